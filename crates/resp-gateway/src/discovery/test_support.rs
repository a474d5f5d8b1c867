//! A fake discovery agent that fails in several ways, and the discovery client that calls it, on a controlled clock. All times are in
//! microseconds.

use super::http_exchange::MAX_RESPONSE_BYTES;
use super::*;
use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_net::{Event, Limits, ListenerId};
use std::sync::Arc;

pub(super) const DRAIN_GRACE: u64 = 2_000_000;
/// The step by which the clock is advanced.
pub(super) const STEP: u64 = 10_000;

/// The behaviour of the fake agent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum AgentMode {
    Responds,
    /// Accepts calls and never responds to them.
    Silent,
    /// Sends only half of each response.
    Truncates,
    /// Refuses connections.
    Refuses,
}

/// A long poll that the agent holds.
#[derive(Clone, Copy)]
pub(super) struct WaitingPoll {
    pub(super) conn: ConnId,
    /// The version that the caller holds.
    held: u64,
    /// When the agent responds even if nothing has changed.
    expiry: u64,
}

/// A part of a response that the agent sends later.
struct DelayedBytes {
    conn: ConnId,
    send_at: u64,
    bytes: Vec<u8>,
}

/// How long the agent takes for its responses.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct ResponseDelay {
    /// The time from the moment at which a response is due until its first byte is sent.
    pub(super) first_byte: u64,
    /// The time over which its bytes are sent in pieces.
    pub(super) spread: u64,
    /// The time for which the agent is busy with each call; it serves one at a time.
    pub(super) busy: u64,
}

/// The number of pieces in which a response is sent if it takes time.
const PIECES: usize = 12;

/// The time-out timer of a call.
#[derive(Clone, Copy)]
struct CallTimer {
    fires_at: u64,
    call: CallId,
}

/// The discovery client and its fake agent, on one event loop.
pub(super) struct Setup {
    pub(super) engine: Engine,
    jumps: Arc<ClockJumps>,
    pub(super) discovery: Discovery,
    pub(super) listener: ListenerId,
    pub(super) address: SocketAddr,
    pub(super) mode: AgentMode,
    /// The version of the list that the agent published last.
    pub(super) published: u64,
    /// Formats a response of the agent from its body.
    pub(super) response_format: fn(&str) -> String,
    pub(super) waiting: Vec<WaitingPoll>,
    received: HashMap<ConnId, Vec<u8>>,
    /// The agent's side of the connections.
    pub(super) agent_conns: Vec<ConnId>,
    call_timers: Vec<CallTimer>,
    /// The version of the list that the gateway applied last.
    pub(super) version: u64,
    /// The number of lists that were applied.
    pub(super) list_count: usize,
    pub(super) zones: HashMap<String, u32>,
    pub(super) response_delay: ResponseDelay,
    delayed: Vec<DelayedBytes>,
    /// When the agent has served all calls that it received.
    busy_until: u64,
    /// Connections on which the agent receives requests and sends nothing.
    pub(super) silent_conns: Vec<ConnId>,
    /// The number of requests that the agent received.
    pub(super) request_count: usize,
}

pub(super) fn with_length(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Setup {
    pub(super) fn new(mode: AgentMode, response_format: fn(&str) -> String) -> Setup {
        Setup::with_timing(mode, response_format, timing(), ResponseDelay::default())
    }

    /// A client with these durations, and an agent whose responses take so long from the start.
    pub(super) fn with_timing(
        mode: AgentMode,
        response_format: fn(&str) -> String,
        timing: Timing,
        response_delay: ResponseDelay,
    ) -> Setup {
        let jumps = Arc::<ClockJumps>::default();
        let mut engine = Engine::with_clock(Clock::shifted(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = engine
            .listen_plain(any, Limits::default())
            .expect("a free port");
        let discovery = Discovery::new(address, timing, MAX_RESPONSE_BYTES);
        let mut setup = Setup {
            engine,
            jumps,
            discovery,
            listener,
            address,
            mode,
            published: 1,
            response_format,
            waiting: Vec::new(),
            received: HashMap::new(),
            agent_conns: Vec::new(),
            call_timers: Vec::new(),
            version: 0,
            list_count: 0,
            zones: HashMap::new(),
            response_delay,
            delayed: Vec::new(),
            busy_until: 0,
            silent_conns: Vec::new(),
            request_count: 0,
        };
        let action = setup.discovery.connect(&mut setup.engine);
        setup.execute([action]);
        setup
    }

    pub(super) fn execute(&mut self, actions: impl IntoIterator<Item = DiscoveryAction>) {
        for action in actions {
            match action {
                DiscoveryAction::UpdateEndpoints(list) => {
                    if list.scope == UpdateScope::Complete || !list.endpoints.is_empty() {
                        self.version = list.version;
                        self.list_count += 1;
                    }
                }
                DiscoveryAction::ConfirmEndpoints(_) => {}
                DiscoveryAction::SetCallTimer { after, call } => self.call_timers.push(CallTimer {
                    fires_at: self.engine.now() + after.as_micros(),
                    call,
                }),
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Accepted { conn, .. } => self.agent_conns.push(conn),
            Event::Connected { conn } => {
                let action = self.discovery.on_connected(&mut self.engine, conn);
                self.execute(action);
            }
            Event::Bytes { conn, data, .. } if self.agent_conns.contains(&conn) => {
                self.received
                    .entry(conn)
                    .or_default()
                    .extend_from_slice(&data);
                self.on_request(conn);
            }
            Event::Bytes { conn, data, .. } => {
                let Setup {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let actions = discovery.on_bytes(engine, conn, &data, zones);
                self.execute(actions);
            }
            Event::Closed { conn, .. } if self.agent_conns.contains(&conn) => {
                self.agent_conns.retain(|open| *open != conn);
            }
            Event::Closed { conn, reason, .. } => {
                let Setup {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let actions = discovery.on_closed(engine, conn, &reason, zones);
                self.execute(actions);
            }
            _ => {}
        }
    }

    /// Handles a request, if it has been received completely.
    fn on_request(&mut self, conn: ConnId) {
        let text = String::from_utf8_lossy(&self.received[&conn]).into_owned();
        if !text.ends_with("\r\n\r\n") {
            return;
        }
        self.received.remove(&conn);
        self.request_count += 1;
        let parameter = |name: &str| {
            let rest = text.split_once(name)?.1;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        match (self.mode, parameter("since=")) {
            (AgentMode::Silent | AgentMode::Refuses, _) => {}
            (AgentMode::Truncates, _) => self.respond(conn, true),
            (AgentMode::Responds, None) => self.respond(conn, true),
            (AgentMode::Responds, Some(held)) => {
                let expiry = self.engine.now()
                    + parameter("timeout_ms=").expect("a long poll states its timeout_ms") * 1_000;
                self.waiting.push(WaitingPoll { conn, held, expiry });
            }
        }
    }

    fn respond(&mut self, conn: ConnId, is_complete: bool) {
        let entry = r#"{"name":"s-1","address":"127.0.0.1:9","status":"ready"}"#;
        let entries = if is_complete { entry } else { "" };
        let body = format!(
            r#"{{"index":{},"snapshot":{is_complete},"endpoints":[{entries}]}}"#,
            self.published
        );
        let text = (self.response_format)(&body);
        let length = if self.mode == AgentMode::Truncates {
            text.len() / 2
        } else {
            text.len()
        };
        self.send(conn, &text.as_bytes()[..length]);
    }

    /// Sends a response, or schedules it if it takes time.
    fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        let ResponseDelay {
            first_byte,
            spread,
            busy,
        } = self.response_delay;
        if self.silent_conns.contains(&conn) {
            return;
        }
        self.busy_until = self.busy_until.max(self.engine.now()) + busy;
        if first_byte + spread + busy == 0 {
            self.engine.write(conn, bytes);
            return;
        }
        let pieces = if spread == 0 { 1 } else { PIECES };
        for (index, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            self.delayed.push(DelayedBytes {
                conn,
                send_at: self.busy_until + first_byte + spread * index as u64 / pieces as u64,
                bytes: piece.to_vec(),
            });
        }
    }

    fn send_delayed(&mut self) {
        let now = self.engine.now();
        let delayed = std::mem::take(&mut self.delayed);
        let (due, later): (Vec<_>, Vec<_>) = delayed
            .into_iter()
            .partition(|delayed| delayed.send_at <= now);
        self.delayed = later;
        for DelayedBytes { conn, bytes, .. } in due {
            if !self.silent_conns.contains(&conn) {
                self.engine.write(conn, &bytes);
            }
        }
    }

    /// Lets all connections that are open now fall silent.
    pub(super) fn silence_open_conns(&mut self) {
        self.silent_conns = self.agent_conns.clone();
    }

    /// Advances the clock by one step and handles all events that follow.
    pub(super) fn step(&mut self) {
        self.jumps.jump(STEP as i64);
        self.send_delayed();
        let now = self.engine.now();
        if self.mode == AgentMode::Responds {
            let published = self.published;
            let (due, waiting): (Vec<_>, Vec<_>) = self
                .waiting
                .drain(..)
                .partition(|poll| published > poll.held || now >= poll.expiry);
            self.waiting = waiting;
            for poll in due {
                self.respond(poll.conn, published > poll.held);
            }
        } else {
            self.waiting.clear();
        }
        let (fired, waiting): (Vec<_>, Vec<_>) = self
            .call_timers
            .drain(..)
            .partition(|timer| timer.fires_at <= now);
        self.call_timers = waiting;
        for timer in fired {
            let action = self.discovery.on_call_timeout(&mut self.engine, timer.call);
            self.execute(action);
        }
        for _ in 0..8 {
            let mut events = Vec::new();
            self.engine.turn(0, &mut events).expect("a turn");
            for event in events {
                self.on_event(event);
            }
        }
    }

    pub(super) fn advance(&mut self, micros: u64) {
        (0..micros / STEP).for_each(|_| self.step());
    }

    pub(super) fn set_mode(&mut self, mode: AgentMode) {
        if self.mode == AgentMode::Refuses {
            let (listener, _) = self
                .engine
                .listen_plain(self.address, Limits::default())
                .expect("the agent's port is free again");
            self.listener = listener;
        }
        if mode == AgentMode::Refuses {
            self.engine.close_listener(self.listener);
            for conn in std::mem::take(&mut self.agent_conns) {
                self.engine.close(conn);
            }
        }
        self.mode = mode;
    }

    /// Publishes a change; returns the time until it is applied, in microseconds.
    pub(super) fn publish_delay(&mut self) -> u64 {
        self.published += 1;
        self.delay_until_applied()
    }

    pub(super) fn delay_until_applied(&mut self) -> u64 {
        let started_at = self.engine.now();
        while self.version != self.published {
            self.step();
            let elapsed = self.engine.now() - started_at;
            assert!(elapsed < 20 * DRAIN_GRACE, "the list is never applied");
        }
        self.engine.now() - started_at
    }
}

pub(super) fn timing() -> Timing {
    Timing::new(TimeDelta::from_micros(DRAIN_GRACE))
}

/// The time-out of a call, in microseconds.
pub(super) fn call_timeout() -> u64 {
    timing().timeout.as_micros()
}

/// The tolerance for real time, which passes in addition to the clock's steps.
pub(super) const TOLERANCE: u64 = 100_000;
