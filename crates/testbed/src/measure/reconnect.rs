//! Many clients lose their gateway at once. Each is a core of the client library of its own, or a naive one that connects
//! again every 10 ms; all of them share one loop, so that thousands fit into one process. Those that are back call on.

use crate::common::plot::{self, Curve};
use crate::common::process::Program;
use crate::common::script::ScriptAction;
use crate::rig::demo;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use chalkdeck_client::core::{Action, ClientCore, Event, GatewayId};
use chalkdeck_client::{Settings, TimeDelta, Timestamp};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, Limits, StreamId};
use clap::Args;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Args)]
pub struct ReconnectArgs {
    #[arg(long, default_value_t = 8_000)]
    pub clients: usize,
    /// Connect again at once after each loss, every 10 ms, as naive clients do
    #[arg(long)]
    pub naive: bool,
    /// How long the gateway is away
    #[arg(long, default_value_t = 3.0)]
    pub away: f64,
    /// Run the library's clients and then naive ones, and draw both
    #[arg(long, conflicts_with = "naive")]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

const SLOT: u64 = 100_000;
const NAIVE: u64 = 10_000;
/// The window that every client draws its first reconnect from.
const WINDOW: u64 = 2_000_000;

/// How often one of those that are connected calls, in microseconds.
const CALLS: u64 = 5_000;
/// They call for so many customers, each far below its quota.
const CUSTOMERS: u32 = 1_000;

/// The calls of those that are back while others still come.
struct Calls {
    due: u64,
    open: HashMap<StreamId, u64>,
    sent: u64,
    served: u64,
    took: Histogram<u64>,
}

struct Crowd {
    engine: Engine,
    address: SocketAddr,
    cores: Vec<ClientCore>,
    naive: bool,
    conns: HashMap<ConnId, usize>,
    /// Which client a timer is for.
    due: HashMap<u64, usize>,
    next: u64,
    up: usize,
    /// Connects that were begun, by slot from the loss on.
    begun: Vec<u64>,
    lost_at: Option<u64>,
    /// Connections that stand, to draw callers from.
    standing: Vec<ConnId>,
    calls: Option<Calls>,
    rng: fastrand::Rng,
}

impl Crowd {
    fn new(args: &ReconnectArgs, address: SocketAddr, naive: bool) -> anyhow::Result<Crowd> {
        let core = |seed: u64| {
            let set = Settings {
                seed,
                initial_reconnect_window: TimeDelta::from_micros(WINDOW),
                max_reconnect_window: TimeDelta::from_micros(4 * WINDOW),
                ..Settings::default()
            };
            ClientCore::new(set).map_err(anyhow::Error::from)
        };
        let cores = (0..args.clients as u64)
            .map(core)
            .collect::<anyhow::Result<Vec<ClientCore>>>()?;
        let (conns, due, begun) = (HashMap::new(), HashMap::new(), Vec::new());
        let engine = Engine::new()?;
        Ok(Crowd {
            engine,
            address,
            cores,
            naive,
            conns,
            due,
            next: 0,
            up: 0,
            begun,
            lost_at: None,
            standing: Vec::new(),
            calls: None,
            rng: fastrand::Rng::with_seed(1),
        })
    }

    fn start(&mut self) {
        for i in 0..self.cores.len() {
            if self.naive {
                self.connect(i);
            } else {
                self.tell(i, Event::GatewaysListed { count: 1 });
            }
        }
    }

    fn tell(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = Timestamp::from_micros(self.engine.now());
        self.cores[i].handle(now, event, &mut actions);
        if actions.iter().any(|a| matches!(a, Action::Connect { .. })) {
            self.connect(i);
        }
        if let Some(at) = self.cores[i].next_wake() {
            self.wake_at(at.as_micros(), i);
        }
    }

    fn wake_at(&mut self, at: u64, i: usize) {
        self.next += 1;
        self.due.insert(self.next, i);
        self.engine.set_timer(at, self.next);
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
            self.tell(
                i,
                Event::Disconnected {
                    gateway: GatewayId(0),
                },
            );
        }
    }

    fn turn(&mut self) -> anyhow::Result<()> {
        let mut events = Vec::new();
        self.call()?;
        self.engine.turn(CALLS, &mut events)?;
        for event in events {
            match event {
                NetEvent::Connected { conn } => {
                    self.up += 1;
                    self.standing.push(conn);
                    if let Some(&i) = self.conns.get(&conn).filter(|_| !self.naive) {
                        self.tell(
                            i,
                            Event::Connected {
                                gateway: GatewayId(0),
                            },
                        );
                    }
                }
                NetEvent::Closed {
                    conn,
                    was_established: reached,
                    ..
                } => {
                    let Some(i) = self.conns.remove(&conn) else {
                        continue;
                    };
                    self.up -= usize::from(reached);
                    if reached {
                        self.standing.retain(|c| *c != conn);
                    }
                    self.lost(i);
                }
                NetEvent::Timer(token) => match self.due.remove(&token) {
                    Some(i) if self.naive => self.connect(i),
                    Some(i) => self.tell(i, Event::Tick),
                    None => {}
                },
                NetEvent::Data { stream, data } => self.engine.consume(stream, data.len()),
                NetEvent::ResponseHead {
                    stream,
                    head,
                    is_end_stream: true,
                } => self.answered(stream, &head.headers),
                NetEvent::StreamEnded { stream, trailers } => {
                    self.answered(stream, &trailers.unwrap_or_default())
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// One of those that are connected makes a call.
    fn call(&mut self) -> anyhow::Result<()> {
        let now = self.engine.now();
        let Some(calls) = self.calls.as_mut().filter(|c| c.due <= now) else {
            return Ok(());
        };
        let customer = format!("crowd-{}", self.rng.u32(..CUSTOMERS));
        let Some(conn) = self.rng.choice(&self.standing) else {
            return Ok(());
        };
        calls.due = now + CALLS;
        let mut head = grpc::request_head(&self.address.to_string(), "/farm.v1.Farm/View")
            .context("a head")?;
        head.headers_mut()
            .insert("x-customer", http::HeaderValue::from_str(&customer)?);
        head.headers_mut()
            .insert(grpc::TIMEOUT, grpc::encode_timeout(2_000_000));
        let Some(stream) = self.engine.open_stream(*conn, head, false) else {
            return Ok(());
        };
        self.engine.send(stream, grpc::frame(b"a field"));
        self.engine.finish(stream, None);
        calls.sent += 1;
        calls.open.insert(stream, now);
        Ok(())
    }

    fn answered(&mut self, stream: StreamId, trailers: &http::HeaderMap) {
        let now = self.engine.now();
        let Some(calls) = &mut self.calls else { return };
        let Some(begun) = calls.open.remove(&stream) else {
            return;
        };
        if Code::from_trailers(trailers) == Some(Code::Ok) {
            calls.served += 1;
            calls.took.saturating_record(now - begun);
        }
    }

    fn until(
        &mut self,
        what: &str,
        seconds: f64,
        holds: impl Fn(&Crowd) -> bool,
    ) -> anyhow::Result<()> {
        let end = self.engine.now() + (seconds * 1e6) as u64;
        while !holds(self) {
            if self.engine.now() >= end {
                bail!(
                    "not in {seconds} s: {what}; {} of {} connections stand",
                    self.up,
                    self.cores.len()
                );
            }
            self.turn()?;
        }
        Ok(())
    }
}

/// Connects begun in each slot from the loss on.
type Begun = Vec<u64>;

/// Connects all, kills the gateway, starts it again, and prints connects by time.
pub fn run(program: &Program, args: &ReconnectArgs) -> anyhow::Result<()> {
    let Some(svg) = &args.svg else {
        return play(program, args, args.naive).map(drop);
    };
    let curve = |name: &str, begun: Begun| {
        let points = begun.iter().enumerate();
        let points = points
            .map(|(slot, n)| (slot as f64 * SLOT as f64 / 1e6, *n as f64))
            .collect();
        Curve {
            name: name.into(),
            points,
        }
    };
    let curves = [
        curve("library", play(program, args, false)?),
        curve("naive, every 10 ms", play(program, args, true)?),
    ];
    plot::write_chart(svg, "connects begun in 100 ms after the loss", &curves)
}

fn play(program: &Program, args: &ReconnectArgs, naive: bool) -> anyhow::Result<Begun> {
    let mut day = demo::day()?;
    day.gateways = 1;
    let mut fleet = Fleet::start(program.clone(), day, &args.dir, any_port(), None)?;
    let address = *fleet
        .gateway_addresses()
        .first()
        .context("expected a gateway")?;
    let mut crowd = Crowd::new(args, address, naive)?;
    crowd.start();
    crowd.until("the first connections", 60.0, |c| c.up == c.cores.len())?;
    fleet.apply(&ScriptAction::KillGateway(0), None)?;
    let lost = crowd.engine.now();
    crowd.lost_at = Some(lost);
    let back = lost + (args.away * 1e6) as u64;
    while crowd.engine.now() < back {
        crowd.turn()?;
    }
    fleet.apply(&ScriptAction::StartGateway(0), None)?;
    let started = crowd.engine.now();
    crowd.calls = Some(Calls {
        due: 0,
        open: HashMap::new(),
        sent: 0,
        served: 0,
        took: Histogram::new_with_bounds(1, 60_000_000, 3)?,
    });
    crowd.until("all connections again", 60.0, |c| c.up == c.cores.len())?;
    let whole = (crowd.engine.now() - started) / 1_000;
    let asked = crowd.calls.as_ref().map_or(0, |c| c.sent);
    crowd
        .until("answers", 5.0, |c| {
            c.calls.as_ref().is_none_or(|c| c.served >= asked)
        })
        .ok();
    print(&crowd, whole);
    Ok(crowd.begun)
}

fn print(crowd: &Crowd, whole: u64) {
    let window = &crowd.begun[..crowd.begun.len().min((WINDOW / SLOT) as usize)];
    let (sum, most) = (
        crowd.begun.iter().sum::<u64>(),
        window.iter().max().copied().unwrap_or(0),
    );
    let even = crowd.cores.len() as f64 / (WINDOW / SLOT) as f64;
    println!(
        "{} {} clients: {sum} connects begun; within the first window at most {most} in 100 ms, {:.2} of even; all back {whole} ms after the gateway",
        crowd.cores.len(),
        if crowd.naive { "naive" } else { "library" },
        most as f64 / even
    );
    if let Some(calls) = &crowd.calls {
        let at = |q| calls.took.value_at_quantile(q) as f64 / 1e3;
        println!(
            "  those already back meanwhile: {} of {} calls served, p50 {:.1} ms, p99 {:.1} ms",
            calls.served,
            calls.sent,
            at(0.5),
            at(0.99)
        );
    }
}
