//! Measures the reconnects of many clients that lose their gateway at the same time. Each client is either a core of the
//! client library or a naive client that tries to reconnect every 10 ms. All of them share one event loop, so that thousands
//! fit into one process. Clients that are connected again make calls while the others still reconnect.

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
    /// Reconnect every 10 ms after a loss, as naive clients do
    #[arg(long)]
    pub naive: bool,
    /// How long the gateway is down, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub away: f64,
    /// Run the library's clients and then naive ones, and draw both as SVG
    #[arg(long, conflicts_with = "naive")]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Width of the time slots.
const SLOT_US: u64 = 100_000;
/// Delay before each reconnect of a naive client.
const NAIVE_RECONNECT_US: u64 = 10_000;
/// The window from which every client draws the time of its first reconnect.
const RECONNECT_WINDOW_US: u64 = 2_000_000;

/// Interval between calls, each of which is made by one of the connected clients.
const CALL_INTERVAL_US: u64 = 5_000;
/// Customers that the calls are for; so many that each stays far below its quota.
const CUSTOMERS: u32 = 1_000;

/// Calls of the clients that are connected again while others still reconnect.
struct CallStats {
    next_at: u64,
    open: HashMap<StreamId, u64>,
    sent: u64,
    served: u64,
    latencies_us: Histogram<u64>,
}

/// All clients and their event loop.
struct ClientPool {
    engine: Engine,
    address: SocketAddr,
    cores: Vec<ClientCore>,
    is_naive: bool,
    client_by_conn: HashMap<ConnId, usize>,
    /// The client that a timer is for.
    client_by_timer: HashMap<u64, usize>,
    last_timer: u64,
    connected_count: usize,
    /// Connection attempts in each slot, from the loss on.
    connects_by_slot: Vec<u64>,
    lost_at: Option<u64>,
    /// Established connections, from which callers are drawn.
    connected: Vec<ConnId>,
    /// Set once the gateway has been restarted.
    calls: Option<CallStats>,
    rng: fastrand::Rng,
}

impl ClientPool {
    fn new(
        args: &ReconnectArgs,
        address: SocketAddr,
        is_naive: bool,
    ) -> anyhow::Result<ClientPool> {
        let core = |seed: u64| {
            let settings = Settings {
                seed,
                initial_reconnect_window: TimeDelta::from_micros(RECONNECT_WINDOW_US),
                max_reconnect_window: TimeDelta::from_micros(4 * RECONNECT_WINDOW_US),
                ..Settings::default()
            };
            ClientCore::new(settings).map_err(anyhow::Error::from)
        };
        let cores = (0..args.clients as u64)
            .map(core)
            .collect::<anyhow::Result<Vec<ClientCore>>>()?;
        let (client_by_conn, client_by_timer, connects_by_slot) =
            (HashMap::new(), HashMap::new(), Vec::new());
        let engine = Engine::new()?;
        Ok(ClientPool {
            engine,
            address,
            cores,
            is_naive,
            client_by_conn,
            client_by_timer,
            last_timer: 0,
            connected_count: 0,
            connects_by_slot,
            lost_at: None,
            connected: Vec::new(),
            calls: None,
            rng: fastrand::Rng::with_seed(1),
        })
    }

    fn start(&mut self) {
        for i in 0..self.cores.len() {
            if self.is_naive {
                self.connect(i);
            } else {
                self.handle(i, Event::GatewaysListed { count: 1 });
            }
        }
    }

    fn handle(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = Timestamp::from_micros(self.engine.now());
        self.cores[i].handle(now, event, &mut actions);
        if actions.iter().any(|a| matches!(a, Action::Connect { .. })) {
            self.connect(i);
        }
        if let Some(at) = self.cores[i].next_wake() {
            self.set_wake_up(at.as_micros(), i);
        }
    }

    fn set_wake_up(&mut self, at: u64, i: usize) {
        self.last_timer += 1;
        self.client_by_timer.insert(self.last_timer, i);
        self.engine.set_timer(at, self.last_timer);
    }

    fn connect(&mut self, i: usize) {
        if let Some(lost_at) = self.lost_at {
            let slot = ((self.engine.now() - lost_at) / SLOT_US) as usize;
            self.connects_by_slot
                .resize(self.connects_by_slot.len().max(slot + 1), 0);
            self.connects_by_slot[slot] += 1;
        }
        match self.engine.connect(self.address, Limits::default()) {
            Ok(conn) => drop(self.client_by_conn.insert(conn, i)),
            Err(_) => self.on_disconnect(i),
        }
    }

    fn on_disconnect(&mut self, i: usize) {
        if self.is_naive {
            self.set_wake_up(self.engine.now() + NAIVE_RECONNECT_US, i);
        } else {
            self.handle(
                i,
                Event::Disconnected {
                    gateway: GatewayId(0),
                },
            );
        }
    }

    fn turn(&mut self) -> anyhow::Result<()> {
        let mut events = Vec::new();
        self.send_call()?;
        self.engine.turn(CALL_INTERVAL_US, &mut events)?;
        for event in events {
            match event {
                NetEvent::Connected { conn } => {
                    self.connected_count += 1;
                    self.connected.push(conn);
                    if let Some(&i) = self.client_by_conn.get(&conn).filter(|_| !self.is_naive) {
                        self.handle(
                            i,
                            Event::Connected {
                                gateway: GatewayId(0),
                            },
                        );
                    }
                }
                NetEvent::Closed {
                    conn,
                    was_established,
                    ..
                } => {
                    let Some(i) = self.client_by_conn.remove(&conn) else {
                        continue;
                    };
                    self.connected_count -= usize::from(was_established);
                    if was_established {
                        self.connected.retain(|c| *c != conn);
                    }
                    self.on_disconnect(i);
                }
                NetEvent::Timer(token) => match self.client_by_timer.remove(&token) {
                    Some(i) if self.is_naive => self.connect(i),
                    Some(i) => self.handle(i, Event::Tick),
                    None => {}
                },
                NetEvent::Data { stream, data } => self.engine.consume(stream, data.len()),
                NetEvent::ResponseHead {
                    stream,
                    head,
                    is_end_stream: true,
                } => self.on_response(stream, &head.headers),
                NetEvent::StreamEnded { stream, trailers } => {
                    self.on_response(stream, &trailers.unwrap_or_default())
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Makes a call on a random established connection, if one is due.
    fn send_call(&mut self) -> anyhow::Result<()> {
        let now = self.engine.now();
        let Some(calls) = self.calls.as_mut().filter(|c| c.next_at <= now) else {
            return Ok(());
        };
        let customer = format!("crowd-{}", self.rng.u32(..CUSTOMERS));
        let Some(conn) = self.rng.choice(&self.connected) else {
            return Ok(());
        };
        calls.next_at = now + CALL_INTERVAL_US;
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

    fn on_response(&mut self, stream: StreamId, trailers: &http::HeaderMap) {
        let now = self.engine.now();
        let Some(calls) = &mut self.calls else { return };
        let Some(sent_at) = calls.open.remove(&stream) else {
            return;
        };
        if Code::from_trailers(trailers) == Some(Code::Ok) {
            calls.served += 1;
            calls.latencies_us.saturating_record(now - sent_at);
        }
    }

    fn run_until(
        &mut self,
        expected: &str,
        seconds: f64,
        condition: impl Fn(&ClientPool) -> bool,
    ) -> anyhow::Result<()> {
        let end = self.engine.now() + (seconds * 1e6) as u64;
        while !condition(self) {
            if self.engine.now() >= end {
                bail!(
                    "timed out after {seconds} s: {expected}; {} of {} connections are established",
                    self.connected_count,
                    self.cores.len()
                );
            }
            self.turn()?;
        }
        Ok(())
    }
}

/// Connection attempts in each slot, from the loss of the gateway on.
type ConnectsBySlot = Vec<u64>;

/// Connects all clients, kills the gateway, restarts it and prints how the clients reconnect.
pub fn run(program: &Program, args: &ReconnectArgs) -> anyhow::Result<()> {
    let Some(svg) = &args.svg else {
        return measure(program, args, args.naive).map(drop);
    };
    let curve = |name: &str, connects: ConnectsBySlot| {
        let points = connects.iter().enumerate();
        let points = points
            .map(|(slot, n)| (slot as f64 * SLOT_US as f64 / 1e6, *n as f64))
            .collect();
        Curve {
            name: name.into(),
            points,
        }
    };
    let curves = [
        curve("library", measure(program, args, false)?),
        curve("naive, every 10 ms", measure(program, args, true)?),
    ];
    plot::write_chart(svg, "connects begun in 100 ms after the loss", &curves)
}

fn measure(
    program: &Program,
    args: &ReconnectArgs,
    is_naive: bool,
) -> anyhow::Result<ConnectsBySlot> {
    let mut day = demo::day()?;
    day.gateways = 1;
    let mut fleet = Fleet::start(program.clone(), day, &args.dir, any_port(), None)?;
    let address = *fleet
        .gateway_addresses()
        .first()
        .context("expected a gateway")?;
    let mut pool = ClientPool::new(args, address, is_naive)?;
    pool.start();
    pool.run_until("the first connections", 60.0, |c| {
        c.connected_count == c.cores.len()
    })?;
    fleet.apply(&ScriptAction::KillGateway(0), None)?;
    let lost_at = pool.engine.now();
    pool.lost_at = Some(lost_at);
    let restart_at = lost_at + (args.away * 1e6) as u64;
    while pool.engine.now() < restart_at {
        pool.turn()?;
    }
    fleet.apply(&ScriptAction::StartGateway(0), None)?;
    let started_at = pool.engine.now();
    pool.calls = Some(CallStats {
        next_at: 0,
        open: HashMap::new(),
        sent: 0,
        served: 0,
        latencies_us: Histogram::new_with_bounds(1, 60_000_000, 3)?,
    });
    pool.run_until("all connections again", 60.0, |c| {
        c.connected_count == c.cores.len()
    })?;
    let recovery_ms = (pool.engine.now() - started_at) / 1_000;
    let sent = pool.calls.as_ref().map_or(0, |c| c.sent);
    pool.run_until("answers", 5.0, |c| {
        c.calls.as_ref().is_none_or(|c| c.served >= sent)
    })
    .ok();
    print_results(&pool, recovery_ms);
    Ok(pool.connects_by_slot)
}

fn print_results(pool: &ClientPool, recovery_ms: u64) {
    let first_window = &pool.connects_by_slot[..pool
        .connects_by_slot
        .len()
        .min((RECONNECT_WINDOW_US / SLOT_US) as usize)];
    let (connect_count, max_in_slot) = (
        pool.connects_by_slot.iter().sum::<u64>(),
        first_window.iter().max().copied().unwrap_or(0),
    );
    let even_per_slot = pool.cores.len() as f64 / (RECONNECT_WINDOW_US / SLOT_US) as f64;
    println!(
        "{} {} clients: {connect_count} connects begun; within the first window at most {max_in_slot} in 100 ms, {:.2} of even; all back {recovery_ms} ms after the gateway",
        pool.cores.len(),
        if pool.is_naive { "naive" } else { "library" },
        max_in_slot as f64 / even_per_slot
    );
    if let Some(calls) = &pool.calls {
        let quantile_ms = |q| calls.latencies_us.value_at_quantile(q) as f64 / 1e3;
        println!(
            "  those already back meanwhile: {} of {} calls served, p50 {:.1} ms, p99 {:.1} ms",
            calls.served,
            calls.sent,
            quantile_ms(0.5),
            quantile_ms(0.99)
        );
    }
}
