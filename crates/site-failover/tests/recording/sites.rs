//! Sites of servers whose condition changes in the course of a stream.

use super::{MILLISECOND, SECOND};
use chalkdeck_site_failover::{EndpointEntry, EndpointId, SiteId};
use chalkdeck_time::Timestamp;
use fastrand::Rng;

/// How a server behaves towards the gateway.
#[derive(Clone, Copy)]
pub enum Condition {
    Answers { latency: u64 },
    Full,
    Silent,
    Refuses,
}

struct Server {
    id: u64,
    site: u32,
    condition: Condition,
    started: Option<u64>,
    in_service: bool,
    is_listed: bool,
    weight: f64,
}

pub struct SimulatedSites {
    servers: Vec<Server>,
    sites: u32,
}

/// The latency of a server without load.
const USUAL: Condition = Condition::Answers {
    latency: 40 * MILLISECOND,
};

impl SimulatedSites {
    pub fn new(random: &mut Rng) -> SimulatedSites {
        let sites = random.u32(2..6);
        let mut servers = Vec::new();
        for site in 0..sites {
            for _ in 0..random.u64(1..6) {
                servers.push(Server {
                    id: servers.len() as u64,
                    site,
                    condition: USUAL,
                    started: (random.u32(0..4) == 0).then_some(random.u64(0..SECOND)),
                    in_service: true,
                    is_listed: true,
                    weight: f64::from(random.u32(0..5)),
                });
            }
        }
        SimulatedSites { servers, sites }
    }

    pub fn any_site(&self, random: &mut Rng) -> u32 {
        random.u32(0..self.sites)
    }

    pub fn any_server(&self, random: &mut Rng) -> u64 {
        self.servers[random.usize(0..self.servers.len())].id
    }

    pub fn server_of(&self, site: u32, random: &mut Rng) -> u64 {
        let of_site: Vec<u64> = self
            .servers
            .iter()
            .filter(|server| server.site == site)
            .map(|server| server.id)
            .collect();
        of_site[random.usize(0..of_site.len())]
    }

    /// A server that no site has never answers.
    pub fn condition(&self, id: u64) -> Condition {
        let server = self.servers.iter().find(|server| server.id == id);
        server.map_or(Condition::Silent, |server| server.condition)
    }

    /// Gives one server, one site or all sites but the gateway's own a new condition.
    pub fn change(&mut self, random: &mut Rng, now: u64) {
        let condition = match random.u32(0..12) {
            0 => Condition::Full,
            1 | 2 => Condition::Silent,
            3 => Condition::Refuses,
            4 | 5 => Condition::Answers {
                latency: random.u64(100..600) * MILLISECOND,
            },
            _ => USUAL,
        };
        let restarts = random.u32(0..5) == 0;
        let site = self.any_site(random);
        let one = self.any_server(random);
        let scope = random.u32(0..7);
        for server in &mut self.servers {
            let is_meant = match scope {
                0 => server.id == one,
                1..4 => server.site != 0,
                _ => server.site == site,
            };
            if is_meant {
                server.condition = condition;
                server.started = if restarts { Some(now) } else { server.started };
            }
        }
    }

    /// Takes a site out of the list or names it again, or puts a server out of service or back.
    pub fn remove_or_add(&mut self, random: &mut Rng) {
        if random.bool() {
            let index = random.usize(0..self.servers.len());
            self.servers[index].in_service = !self.servers[index].in_service;
            return;
        }
        let site = self.any_site(random);
        let is_listed = random.u32(0..3) > 0;
        for server in self.servers.iter_mut().filter(|s| s.site == site) {
            server.is_listed = is_listed;
        }
    }

    /// The lines of the server list.
    pub fn list(&self, now: u64) -> Vec<EndpointEntry> {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        let line = |server: &Server| EndpointEntry {
            endpoint: EndpointId(server.id),
            site: SiteId(server.site),
            in_service: server.in_service,
            weight: server.weight,
            started: server.started.map(|at| Timestamp::from_micros(at.min(now))),
        };
        listed.map(line).collect()
    }
}
