//! Many clients lose their gateway at once. Each is a core of the client library of its own, or a naive one that connects
//! again every 10 ms; all of them share one loop, so that thousands fit into one process.

use crate::cli::ReconnectArgs;
use crate::day::{Act, Fleet};
use crate::process::Program;
use crate::{control, demo};
use anyhow::{bail, Context};
use chalkdeck_client::core::{Action, Core, Event, Settings};
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, Limits};
use std::collections::HashMap;
use std::net::SocketAddr;

const SLOT: u64 = 100_000;
const NAIVE: u64 = 10_000;
/// The window that every client draws its first reconnect from.
const WINDOW: u64 = 2_000_000;

struct Crowd {
    engine: Engine,
    address: SocketAddr,
    cores: Vec<Core>,
    naive: bool,
    conns: HashMap<ConnId, usize>,
    /// Which client a timer is for.
    due: HashMap<u64, usize>,
    next: u64,
    up: usize,
    /// Connects that were begun, by slot from the loss on.
    begun: Vec<u64>,
    lost_at: Option<u64>,
}

impl Crowd {
    fn new(args: &ReconnectArgs, address: SocketAddr) -> anyhow::Result<Crowd> {
        let core = |seed: u64| {
            let set =
                Settings { seed, reconnect_first: WINDOW, reconnect_most: 4 * WINDOW, ..Settings::default() };
            Core::new(set).map_err(anyhow::Error::from)
        };
        let cores = (0..args.clients as u64).map(core).collect::<anyhow::Result<Vec<Core>>>()?;
        let (conns, due, begun) = (HashMap::new(), HashMap::new(), Vec::new());
        let engine = Engine::new()?;
        Ok(Crowd {
            engine,
            address,
            cores,
            naive: args.naive,
            conns,
            due,
            next: 0,
            up: 0,
            begun,
            lost_at: None,
        })
    }

    fn start(&mut self) {
        for i in 0..self.cores.len() {
            if self.naive {
                self.connect(i);
            } else {
                self.tell(i, Event::Gateways(1));
            }
        }
    }

    fn tell(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.engine.now();
        self.cores[i].handle(now, event, &mut actions);
        if actions.iter().any(|a| matches!(a, Action::Connect(_))) {
            self.connect(i);
        }
        if let Some(at) = self.cores[i].next_wake() {
            self.wake_at(at, i);
        }
    }

    fn wake_at(&mut self, at: u64, i: usize) {
        self.next += 1;
        self.due.insert(self.next, i);
        self.engine.timer(at, self.next);
    }

    fn connect(&mut self, i: usize) {
        if let Some(lost) = self.lost_at {
            let slot = ((self.engine.now() - lost) / SLOT) as usize;
            self.begun.resize(self.begun.len().max(slot + 1), 0);
            self.begun[slot] += 1;
        }
        match self.engine.connect(self.address, Limits::default()) {
            Ok(conn) => drop(self.conns.insert(conn, i)),
            Err(_) => self.lost(i),
        }
    }

    fn lost(&mut self, i: usize) {
        if self.naive {
            self.wake_at(self.engine.now() + NAIVE, i);
        } else {
            self.tell(i, Event::Lost(0));
        }
    }

    fn turn(&mut self) -> std::io::Result<()> {
        let mut events = Vec::new();
        self.engine.turn(5_000, &mut events)?;
        for event in events {
            match event {
                NetEvent::Connected { conn } => {
                    self.up += 1;
                    if let Some(&i) = self.conns.get(&conn).filter(|_| !self.naive) {
                        self.tell(i, Event::Connected(0));
                    }
                }
                NetEvent::Closed { conn, reached, .. } => {
                    let Some(i) = self.conns.remove(&conn) else { continue };
                    self.up -= usize::from(reached);
                    self.lost(i);
                }
                NetEvent::Timer(token) => match self.due.remove(&token) {
                    Some(i) if self.naive => self.connect(i),
                    Some(i) => self.tell(i, Event::Tick),
                    None => {}
                },
                _ => {}
            }
        }
        Ok(())
    }

    fn until(&mut self, what: &str, seconds: f64, holds: impl Fn(&Crowd) -> bool) -> anyhow::Result<()> {
        let end = self.engine.now() + (seconds * 1e6) as u64;
        while !holds(self) {
            if self.engine.now() >= end {
                bail!("not in {seconds} s: {what}; {} of {} connections stand", self.up, self.cores.len());
            }
            self.turn()?;
        }
        Ok(())
    }
}

/// Connects all, kills the gateway, starts it again, and prints connects by time.
pub fn run(program: Program, args: &ReconnectArgs) -> anyhow::Result<()> {
    let mut day = demo::fleet()?;
    day.gateways = 1;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut fleet = Fleet::start(program, day, &args.dir, any, None)?;
    let address = *fleet.gateways().first().context("expected a gateway")?;
    let mut crowd = Crowd::new(args, address)?;
    crowd.start();
    crowd.until("the first connections", 60.0, |c| c.up == c.cores.len())?;
    fleet.act(&Act::KillGateway(0), None)?;
    let lost = crowd.engine.now();
    crowd.lost_at = Some(lost);
    let back = lost + (args.away * 1e6) as u64;
    while crowd.engine.now() < back {
        crowd.turn()?;
    }
    fleet.act(&Act::StartGateway(0), None)?;
    let started = crowd.engine.now();
    crowd.until("all connections again", 60.0, |c| c.up == c.cores.len())?;
    let whole = (crowd.engine.now() - started) / 1_000;
    let open = control::get(fleet.admin(0), "/metrics").is_ok();
    let window = &crowd.begun[..crowd.begun.len().min((WINDOW / SLOT) as usize)];
    let (sum, most) = (crowd.begun.iter().sum::<u64>(), window.iter().max().copied().unwrap_or(0));
    let even = crowd.cores.len() as f64 / (WINDOW / SLOT) as f64;
    println!(
        "{} {} clients: {sum} connects begun; within the first window at most {most} in 100 ms, {:.2} of even; all back {whole} ms after the gateway; it answers its side port: {open}",
        crowd.cores.len(),
        if args.naive { "naive" } else { "library" },
        most as f64 / even
    );
    Ok(())
}
