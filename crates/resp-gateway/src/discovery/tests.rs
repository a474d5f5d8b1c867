//! Discovery against an agent that falls silent in every way, with the clock in hand: how long after a change is published it is applied.

use super::*;
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_net::{Event, Limits, ListenerId};
use std::net::TcpStream;
use std::sync::Arc;

const GRACE: u64 = 2_000_000;
/// The clock moves by this much at a time.
const STEP: u64 = 10_000;

/// What the agent does.
#[derive(Clone, Copy, PartialEq, Debug)]
enum AgentMode {
    Responds,
    /// Takes calls and never responds to them.
    Silent,
    /// Sends half a response and no more.
    Half,
    /// Refuses connections.
    Refuses,
}

/// A long poll that waits at the agent.
#[derive(Clone, Copy)]
struct WaitingPoll {
    conn: ConnId,
    /// The version that the caller holds.
    held: u64,
    /// The agent responds by then in any case.
    until: u64,
}

/// A timer of a call.
#[derive(Clone, Copy)]
struct CallTimer {
    at: u64,
    call: CallId,
}

struct World {
    engine: Engine,
    jumps: Arc<Jumps>,
    discovery: Discovery,
    listener: ListenerId,
    address: SocketAddr,
    mode: AgentMode,
    index: u64,
    /// How the agent writes its responses.
    form: fn(&str) -> String,
    waiting: Vec<WaitingPoll>,
    received: HashMap<ConnId, Vec<u8>>,
    /// The agent's side of the connections.
    agent_conns: Vec<ConnId>,
    call_timers: Vec<CallTimer>,
    /// The last version that was applied.
    held: u64,
    /// How many lists were applied.
    lists: usize,
    zones: HashMap<String, u32>,
}

fn plain(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl World {
    fn new(mode: AgentMode, form: fn(&str) -> String) -> World {
        let jumps = Arc::<Jumps>::default();
        let mut engine = Engine::with_clock(Clock::jumping(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = engine
            .listen_raw(any, Limits::default())
            .expect("a free port");
        let discovery = Discovery::new(address, timing());
        let mut world = World {
            engine,
            jumps,
            discovery,
            listener,
            address,
            mode,
            index: 1,
            form,
            waiting: Vec::new(),
            received: HashMap::new(),
            agent_conns: Vec::new(),
            call_timers: Vec::new(),
            held: 0,
            lists: 0,
            zones: HashMap::new(),
        };
        let action = world.discovery.connect(&mut world.engine);
        world.carry_out([action]);
        world
    }

    fn carry_out(&mut self, actions: impl IntoIterator<Item = DiscoveryAction>) {
        for action in actions {
            match action {
                DiscoveryAction::UpdateEndpoints(list) => {
                    if list.scope == UpdateScope::Complete || !list.endpoints.is_empty() {
                        self.held = list.version;
                        self.lists += 1;
                    }
                }
                DiscoveryAction::CheckCall { after, call } => self.call_timers.push(CallTimer {
                    at: self.engine.now() + after.as_micros(),
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
                self.carry_out(action);
            }
            Event::Bytes { conn, data } if self.agent_conns.contains(&conn) => {
                self.received
                    .entry(conn)
                    .or_default()
                    .extend_from_slice(&data);
                self.on_request(conn);
            }
            Event::Bytes { conn, data } => {
                let World {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let actions = discovery.on_bytes(engine, conn, &data, zones);
                self.carry_out(actions);
            }
            Event::Closed { conn, reason, .. } => {
                let World {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let actions = discovery.on_closed(engine, conn, &reason, zones);
                self.carry_out(actions);
            }
            _ => {}
        }
    }

    /// A request, or a part of one, was received.
    fn on_request(&mut self, conn: ConnId) {
        let text = String::from_utf8_lossy(&self.received[&conn]).into_owned();
        if !text.ends_with("\r\n\r\n") {
            return;
        }
        self.received.remove(&conn);
        let number = |name: &str| {
            let rest = text.split_once(name)?.1;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        match (self.mode, number("since=")) {
            (AgentMode::Silent | AgentMode::Refuses, _) => {}
            (AgentMode::Half, _) => self.respond(conn, true),
            (AgentMode::Responds, None) => self.respond(conn, true),
            (AgentMode::Responds, Some(held)) => {
                let until = self.engine.now()
                    + number("timeout_ms=").expect("how long it may wait") * 1_000;
                self.waiting.push(WaitingPoll { conn, held, until });
            }
        }
    }

    fn respond(&mut self, conn: ConnId, is_complete: bool) {
        let entry = r#"{"name":"s-1","address":"127.0.0.1:9","status":"ready"}"#;
        let entries = if is_complete { entry } else { "" };
        let body = format!(
            r#"{{"index":{},"snapshot":{is_complete},"endpoints":[{entries}]}}"#,
            self.index
        );
        let text = (self.form)(&body);
        let length = if self.mode == AgentMode::Half {
            text.len() / 2
        } else {
            text.len()
        };
        self.engine.write(conn, &text.as_bytes()[..length]);
    }

    /// The clock moves on by a step, and all that can happen does.
    fn step(&mut self) {
        self.jumps.jump(STEP as i64);
        let now = self.engine.now();
        if self.mode == AgentMode::Responds {
            let index = self.index;
            let (ended, waiting): (Vec<_>, Vec<_>) = self
                .waiting
                .drain(..)
                .partition(|poll| index > poll.held || now >= poll.until);
            self.waiting = waiting;
            for poll in ended {
                self.respond(poll.conn, index > poll.held);
            }
        } else {
            self.waiting.clear();
        }
        let (fired, waiting): (Vec<_>, Vec<_>) = self
            .call_timers
            .drain(..)
            .partition(|timer| timer.at <= now);
        self.call_timers = waiting;
        for timer in fired {
            let action = self.discovery.on_call_timeout(&mut self.engine, timer.call);
            self.carry_out(action);
        }
        for _ in 0..8 {
            let mut events = Vec::new();
            self.engine.turn(0, &mut events).expect("a turn");
            for event in events {
                self.on_event(event);
            }
        }
    }

    fn pass(&mut self, micros: u64) {
        (0..micros / STEP).for_each(|_| self.step());
    }

    fn set_mode(&mut self, mode: AgentMode) {
        if self.mode == AgentMode::Refuses {
            let (listener, _) = self
                .engine
                .listen_raw(self.address, Limits::default())
                .expect("its port");
            self.listener = listener;
        }
        if mode == AgentMode::Refuses {
            self.engine.unlisten(self.listener);
            for conn in std::mem::take(&mut self.agent_conns) {
                self.engine.close(conn);
            }
        }
        self.mode = mode;
    }

    /// A change is published at the agent now; returns how long until it was applied.
    fn delay(&mut self) -> u64 {
        self.index += 1;
        self.until_applied()
    }

    fn until_applied(&mut self) -> u64 {
        let begun = self.engine.now();
        while self.held != self.index {
            self.step();
            let elapsed = self.engine.now() - begun;
            assert!(elapsed < 20 * GRACE, "never applied");
        }
        self.engine.now() - begun
    }
}

fn timing() -> Timing {
    Timing::new(TimeDelta::from_micros(GRACE))
}

/// The time-out of a call, in microseconds.
fn call_timeout() -> u64 {
    timing().timeout.as_micros()
}

/// The worst delay over all moments at which the fault may begin, in steps of 30 ms.
fn worst(form: fn(&str) -> String, fault: impl Fn(&mut World) -> u64) -> u64 {
    let poll = timing().poll.as_micros();
    let moments = (0..poll + call_timeout()).step_by(30_000);
    let delays = moments.map(|moment| {
        let mut world = World::new(AgentMode::Responds, form);
        world.pass(100_000 + moment);
        assert_eq!(world.held, world.index, "it is well before the fault");
        fault(&mut world)
    });
    delays.max().expect("moments")
}

/// Real time passes beside the clock's steps.
const NOISE: u64 = 100_000;

#[test]
fn change_while_a_poll_waits_then_applied_at_once() {
    assert!(worst(plain, World::delay) <= 2 * STEP + NOISE);
}

#[test]
fn connection_falls_silent_then_replaced_within_the_call_timeout() {
    for mode in [AgentMode::Silent, AgentMode::Half] {
        // Silent on that connection alone: the agent answers on the next.
        let once = worst(plain, |w| {
            w.set_mode(mode);
            w.step();
            // Calls that were under way are not come back to.
            w.waiting.clear();
            w.set_mode(AgentMode::Responds);
            w.delay()
        });
        assert!(
            once <= call_timeout() + 3 * STEP + NOISE,
            "{mode:?} once: {once}"
        );
        // And on the next connections as well.
        let thrice = worst(plain, |w| {
            w.set_mode(mode);
            w.index += 1;
            let begun = w.engine.now();
            w.pass(2 * call_timeout());
            w.set_mode(AgentMode::Responds);
            w.until_applied();
            w.engine.now() - begun
        });
        assert!(
            thrice <= 3 * call_timeout() + 4 * STEP + NOISE,
            "{mode:?} thrice: {thrice}"
        );
    }
}

#[test]
fn agent_returns_after_an_outage_then_its_list_applied_within_half_of_the_grace() {
    for (mode, bound) in [
        (AgentMode::Silent, call_timeout()),
        (AgentMode::Refuses, timing().retry_delay.as_micros()),
    ] {
        let back = worst(plain, |w| {
            w.set_mode(mode);
            w.pass(8 * GRACE / 2);
            w.set_mode(AgentMode::Responds);
            w.delay()
        });
        assert!(back <= bound + 3 * STEP + NOISE, "{mode:?}: {back}");
        assert!(
            back < GRACE / 2 + NOISE,
            "{mode:?}: {back} of a grace of {GRACE}"
        );
    }
}

#[test]
fn first_call_of_a_process_lost_then_list_applied_within_the_call_timeout() {
    let mut world = World::new(AgentMode::Silent, plain);
    world.pass(50_000);
    world.set_mode(AgentMode::Responds);
    let begun = world.until_applied();
    assert!(begun <= call_timeout() + 3 * STEP + NOISE, "{begun}");
    let mut world = World::new(AgentMode::Responds, plain);
    assert!(
        world.until_applied() <= 2 * STEP + NOISE,
        "from the first moment"
    );
}

#[test]
fn connection_never_established_then_replaced_like_a_silent_one() {
    // A listener with a full queue lets further connections hang.
    let full =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    full.bind(&any.into())
        .and_then(|()| full.listen(0))
        .expect("a free port");
    let address = full
        .local_addr()
        .ok()
        .and_then(|a| a.as_socket())
        .expect("its address");
    let mut fills = Vec::new();
    while let Ok(one) = TcpStream::connect_timeout(&address, std::time::Duration::from_millis(200))
    {
        fills.push(one);
    }
    let mut world = World::new(AgentMode::Responds, plain);
    world.pass(100_000);
    let action = world.discovery.set_address(&mut world.engine, address);
    world.carry_out(action);
    world.pass(call_timeout() / 2);
    // SIGHUP moves it back to one that answers; the whole list is asked for there.
    let (lists, own) = (world.lists, world.address);
    world.discovery.address = own;
    let begun = world.engine.now();
    while world.lists == lists {
        world.step();
        assert!(world.engine.now() - begun < GRACE, "never applied");
    }
    let elapsed = world.engine.now() - begun;
    assert!(elapsed <= call_timeout() + 3 * STEP + NOISE, "{elapsed}");
    assert!(fills.len() < 10);
}

#[test]
fn agent_silent_right_after_a_new_address_then_connected_again() {
    let mut world = World::new(AgentMode::Responds, plain);
    world.pass(300_000);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listener, address) = world
        .engine
        .listen_raw(any, Limits::default())
        .expect("a free port");
    world.listener = listener;
    world.address = address;
    world.mode = AgentMode::Silent;
    let action = world.discovery.set_address(&mut world.engine, address);
    world.carry_out(action);
    world.pass(20_000);
    world.set_mode(AgentMode::Responds);
    world.index = 40;
    let elapsed = world.until_applied();
    assert!(elapsed <= call_timeout() + 3 * STEP + NOISE, "{elapsed}");
}

#[test]
fn response_indented_or_chunked_then_applied() {
    let indented = |body: &str| plain(&body.replace(',', " ,\r\n\t  ").replace('{', "\n {\n "));
    let chunked = |body: &str| {
        let (one, two) = body.split_at(body.len() / 3);
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x};note=1\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        )
    };
    let forms: [fn(&str) -> String; 2] = [indented, chunked];
    for form in forms {
        let mut world = World::new(AgentMode::Responds, form);
        for _ in 0..5 {
            world.pass(700_000);
            assert!(world.delay() <= 2 * STEP + NOISE);
        }
    }
}

#[test]
fn invalid_response_then_last_list_stays_and_the_complete_one_is_requested() {
    let spoilt: [fn(&str) -> String; 8] = [
        |_| "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(),
        |_| "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
        |_| "HTTP/1.1 200 OK\r\n\r\n{}".into(),
        |_| "noise\r\n\r\n".into(),
        |_| plain("{]"),
        |_| {
            plain(
                r#"{"index":9,"snapshot":false,"endpoints":[{"name":"s","address":"x","status":"ready"}]}"#,
            )
        },
        |_| "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".into(),
        |_| "HTTP/1.1 301 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n".into(),
    ];
    for (i, form) in spoilt.into_iter().enumerate() {
        let mut world = World::new(AgentMode::Responds, plain);
        world.pass(100_000);
        let (lists, held) = (world.lists, world.held);
        world.form = form;
        world.index += 1;
        world.pass(400_000);
        assert_eq!((world.lists, world.held), (lists, held), "form {i}");
        world.form = plain;
        let elapsed = world.until_applied();
        assert!(
            elapsed <= call_timeout() + 3 * STEP + NOISE,
            "form {i}: {elapsed}"
        );
        assert_eq!(world.discovery.held_version, Some(world.index), "form {i}");
    }
}

#[test]
fn times_follow_the_drain_grace() {
    for grace in [100_000, 250_000, 1_000_000, 2_000_000, 5_000_000] {
        let timing = Timing::new(TimeDelta::from_micros(grace));
        assert!(
            timing.timeout.as_micros() <= grace / 2,
            "{timing:?} of {grace}"
        );
        assert!(
            timing.retry_delay < timing.poll && timing.poll < timing.timeout,
            "{timing:?}"
        );
    }
}

/// How an agent ends a connection after an answer without a length.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Close {
    InOrder,
    Reset,
}

/// Answers the next call with these bytes, which tell no length, and closes. A reset is forced by a close over unread bytes.
fn answer_and_close(world: &mut World, agent: &std::net::TcpListener, answer: &[u8], close: Close) {
    use std::io::{ErrorKind, Read, Write};
    let mut stream = loop {
        match agent.accept() {
            Ok((stream, _)) => break stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => world.step(),
            Err(e) => panic!("the agent cannot accept: {e}"),
        }
    };
    stream.set_nonblocking(true).expect("a socket");
    let mut call = [0; 1_024];
    while !matches!(stream.peek(&mut call), Ok(length) if length > 0) {
        world.step();
    }
    stream.write_all(answer).expect("it is sent");
    if close == Close::InOrder {
        let length = stream.read(&mut call).expect("the call");
        assert!(call[..length].ends_with(b"\r\n\r\n"));
    }
    drop(stream);
    (0..5).for_each(|_| world.step());
}

#[test]
fn response_without_a_length_then_complete_at_an_orderly_end_and_never_at_a_reset() {
    let body = r#"{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","status":"draining"}]}"#;
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}");
    let half = &whole[..whole.len() - 20];
    for (answer, close, taken) in [
        (whole.as_str(), Close::InOrder, true),
        (&whole, Close::Reset, false),
        (half, Close::InOrder, false),
        (half, Close::Reset, false),
    ] {
        let agent = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        agent.set_nonblocking(true).expect("a socket");
        let address = agent.local_addr().expect("its address");
        let mut world = World::new(AgentMode::Responds, plain);
        world.pass(300_000);
        let lists = world.lists;
        let action = world.discovery.set_address(&mut world.engine, address);
        world.carry_out(action);
        answer_and_close(&mut world, &agent, answer.as_bytes(), close);
        assert_eq!(
            world.lists > lists,
            taken,
            "{close:?} after {} bytes",
            answer.len()
        );
        assert_eq!(
            world.held == 7,
            taken,
            "{close:?} after {} bytes",
            answer.len()
        );
        // What was not whole is asked for again, soon and as a whole list.
        answer_and_close(&mut world, &agent, whole.as_bytes(), Close::InOrder);
        assert_eq!(
            world.held,
            7,
            "{close:?} after {} bytes, then whole",
            answer.len()
        );
    }
}
