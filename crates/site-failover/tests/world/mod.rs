//! A small world: gateways' cores, sites of servers that answer, are slow, refuse or are silent, a clock.
#![allow(dead_code)]

use chalkdeck_site_failover::{Core, Event, How, Listed, Plan, Settings, SiteId, State, View};
use std::collections::VecDeque;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const AIM: u64 = 500 * MS;
/// Time between two requests of a gateway.
const GAP: u64 = 10 * MS;

#[derive(Clone, Copy, PartialEq)]
pub enum Is {
    Up(u64),
    Silent,
    Refusing,
}

pub struct World {
    pub now: u64,
    pub cores: Vec<Core>,
    /// By gateway, site and server: how it is from there.
    pub is: Vec<Vec<[Is; 4]>>,
    pub started: Vec<Option<u64>>,
    pub listed: Vec<bool>,
    out: VecDeque<(u64, usize, u64, How, u64)>,
    turn: u64,
    /// Requests by gateway and site.
    pub sent: Vec<Vec<u64>>,
}

pub fn settings(own: u32, me: u32) -> Settings {
    let (cold_from, cold, fall_multiple) = (0.25, 3 * SECOND, 2.0);
    Settings {
        own: SiteId(own),
        me,
        gateways: 3,
        cold_from,
        cold,
        fall_multiple,
    }
}

impl World {
    /// Three sites, a gateway in each.
    pub fn new() -> World {
        let cores = (0..3).map(|i| Core::new(settings(i, i))).collect();
        let mut world = World {
            now: SECOND,
            cores,
            is: vec![vec![[Is::Up(40 * MS); 4]; 3]; 3],
            started: vec![None; 3],
            listed: vec![true; 3],
            out: VecDeque::new(),
            turn: 0,
            sent: vec![vec![0; 3]; 3],
        };
        world.list();
        world
    }

    /// Tells all gateways the list.
    pub fn list(&mut self) {
        let mut lines = Vec::new();
        for site in (0..3u32).filter(|&s| self.listed[s as usize]) {
            for k in 0..4 {
                let (server, started) = (u64::from(site) * 4 + k, self.started[site as usize]);
                let site = SiteId(site);
                lines.push(Listed {
                    server,
                    site,
                    in_service: true,
                    weight: 1.0,
                    started,
                });
            }
        }
        self.cores
            .iter_mut()
            .for_each(|c| c.on(self.now, Event::List(&lines)));
    }

    pub fn site_is(&mut self, site: usize, is: Is) {
        self.is.iter_mut().for_each(|from| from[site] = [is; 4]);
    }

    pub fn plan(&mut self, gateway: usize) -> Plan {
        self.cores[gateway].plan(self.now)
    }
    pub fn view(&mut self, gateway: usize, site: usize) -> View {
        self.plan(gateway).sites[site].clone()
    }
    pub fn state(&mut self, gateway: usize, site: usize) -> State {
        self.view(gateway, site).state
    }

    /// Requests go where the plans say, for so long.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += GAP;
            while self.out.front().is_some_and(|o| o.0 <= self.now) {
                let Some((at, gateway, server, how, took)) = self.out.pop_front() else {
                    break;
                };
                self.cores[gateway].on(at, Event::Ended(server, how, took, AIM, 1.0));
            }
            for gateway in 0..self.cores.len() {
                self.request(gateway);
            }
            self.out.make_contiguous().sort_by_key(|o| o.0);
        }
    }

    fn request(&mut self, gateway: usize) {
        self.turn += 1;
        let plan = self.cores[gateway].plan(self.now);
        self.cores[gateway].on(self.now, Event::Offered(1.0, 1.0));
        // Draws that are even and the same each time.
        let mut draw = (self.turn as f64 * 0.618_033_988_749_895).fract();
        let Some(site) = plan.sites.iter().position(|v| {
            draw -= v.share;
            draw < 0.0
        }) else {
            return;
        };
        let k = (self.turn / 3 % 4) as usize;
        let server = site as u64 * 4 + k as u64;
        self.sent[gateway][site] += 1;
        self.cores[gateway].on(self.now, Event::Sent(server));
        let (took, how) = match self.is[gateway][site][k] {
            Is::Up(took) => (took, How::Answered),
            Is::Silent => (AIM, How::Silent),
            Is::Refusing => (MS, How::Unreached),
        };
        self.out
            .push_back((self.now + took, gateway, server, how, took));
    }

    /// Runs until it holds; how long that took. Panics after `most`.
    pub fn until(&mut self, most: u64, mut holds: impl FnMut(&mut World) -> bool) -> u64 {
        let begin = self.now;
        while !holds(self) {
            assert!(
                self.now < begin + most,
                "it does not come to that in {most} us"
            );
            self.run(GAP);
        }
        self.now - begin
    }
}
