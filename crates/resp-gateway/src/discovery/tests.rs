//! The watch against an agent that falls silent in every way, under a clock in hand: how long after a change was told it is heard.

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
enum Mood {
    Answers,
    /// Takes calls and says nothing; it will not come back to them.
    Silent,
    /// Says half an answer and no more.
    Half,
    /// Refuses connections.
    Refuses,
}

struct World {
    engine: Engine,
    jumps: Arc<Jumps>,
    discovery: Discovery,
    listener: ListenerId,
    address: SocketAddr,
    mood: Mood,
    index: u64,
    /// How the agent writes its answers.
    form: fn(&str) -> String,
    /// Calls that wait for updates: on which connection, for which version, until when.
    waiting: Vec<(ConnId, u64, u64)>,
    heard: HashMap<ConnId, Vec<u8>>,
    ours: Vec<ConnId>,
    looks: Vec<(u64, u64)>,
    /// The last version that was taken over, and how many lists were.
    held: u64,
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
    fn new(mood: Mood, form: fn(&str) -> String) -> World {
        let jumps = Arc::<Jumps>::default();
        let mut engine = Engine::with_clock(Clock::jumping(jumps.clone())).expect("a poll handle");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = engine
            .listen_raw(any, Limits::default())
            .expect("a free port");
        let discovery = Discovery::new(address, Timing::new(GRACE));
        let (waiting, heard, ours, looks, zones) = Default::default();
        let (held, lists, index) = (0, 0, 1);
        let mut world = World {
            engine,
            jumps,
            discovery,
            listener,
            address,
            mood,
            index,
            form,
            waiting,
            heard,
            ours,
            looks,
            held,
            lists,
            zones,
        };
        let updates = world.discovery.dial(&mut world.engine);
        world.updates(vec![updates]);
        world
    }

    fn updates(&mut self, updates: Vec<Update>) {
        for updates in updates {
            match updates {
                Update::List(list) if list.snapshot || !list.servers.is_empty() => {
                    (self.held, self.lists) = (list.index, self.lists + 1);
                }
                Update::List(_) => {}
                Update::CheckCall(after, call) => {
                    self.looks.push((self.engine.now() + after, call))
                }
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Accepted { conn, .. } => self.ours.push(conn),
            Event::Connected { conn } => {
                let updates = self.discovery.connected(&mut self.engine, conn);
                self.updates(updates.unwrap_or_default());
            }
            Event::Bytes { conn, data } if self.ours.contains(&conn) => {
                self.heard.entry(conn).or_default().extend_from_slice(&data);
                self.asked(conn);
            }
            Event::Bytes { conn, data } => {
                let World {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let updates = discovery.bytes(engine, conn, &data, zones);
                self.updates(updates.unwrap_or_default());
            }
            Event::Closed { conn, reason, .. } => {
                let World {
                    discovery,
                    engine,
                    zones,
                    ..
                } = self;
                let updates = discovery.closed(engine, conn, &reason, zones);
                self.updates(updates.unwrap_or_default());
            }
            _ => {}
        }
    }

    /// A call came, or a part of it.
    fn asked(&mut self, conn: ConnId) {
        let text = String::from_utf8_lossy(&self.heard[&conn]).into_owned();
        if !text.ends_with("\r\n\r\n") {
            return;
        }
        self.heard.remove(&conn);
        let number = |name: &str| {
            let rest = text.split_once(name)?.1;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        match (self.mood, number("since=")) {
            (Mood::Silent | Mood::Refuses, _) => {}
            (Mood::Half, _) => self.answer(conn, true),
            (Mood::Answers, None) => self.answer(conn, true),
            (Mood::Answers, Some(held)) => {
                let until = self.engine.now()
                    + number("timeout_ms=").expect("how long it may wait") * 1_000;
                self.waiting.push((conn, held, until));
            }
        }
    }

    fn answer(&mut self, conn: ConnId, whole: bool) {
        let entry = r#"{"name":"s-1","address":"127.0.0.1:9","status":"ready"}"#;
        let entries = if whole { entry } else { "" };
        let body = format!(
            r#"{{"index":{},"snapshot":{whole},"endpoints":[{entries}]}}"#,
            self.index
        );
        let text = (self.form)(&body);
        let length = if self.mood == Mood::Half {
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
        if self.mood == Mood::Answers {
            let index = self.index;
            let due = |w: &(ConnId, u64, u64)| index > w.1 || now >= w.2;
            let (due, rest) = self.waiting.drain(..).partition(due);
            self.waiting = rest;
            let due: Vec<(ConnId, u64, u64)> = due;
            due.into_iter().for_each(|w| self.answer(w.0, index > w.1));
        } else {
            self.waiting.clear();
        }
        let (due, rest) = self.looks.drain(..).partition(|l| l.0 <= now);
        self.looks = rest;
        let due: Vec<(u64, u64)> = due;
        for (_, call) in due {
            let updates = self.discovery.call_timed_out(&mut self.engine, call);
            self.updates(updates.into_iter().collect());
        }
        for _ in 0..8 {
            let mut events = Vec::new();
            self.engine.turn(0, &mut events).expect("a turn");
            events.into_iter().for_each(|e| self.event(e));
        }
    }

    fn pass(&mut self, micros: u64) {
        (0..micros / STEP).for_each(|_| self.step());
    }

    fn mood(&mut self, mood: Mood) {
        if self.mood == Mood::Refuses {
            let (listener, _) = self
                .engine
                .listen_raw(self.address, Limits::default())
                .expect("its port");
            self.listener = listener;
        }
        if mood == Mood::Refuses {
            self.engine.unlisten(self.listener);
            std::mem::take(&mut self.ours)
                .into_iter()
                .for_each(|c| self.engine.close(c));
        }
        self.mood = mood;
    }

    /// A change is told to the agent now; how long until it was taken over.
    fn delay(&mut self) -> u64 {
        self.index += 1;
        self.until_heard()
    }

    fn until_heard(&mut self) -> u64 {
        let begun = self.engine.now();
        while self.held != self.index {
            self.step();
            let gone = self.engine.now() - begun;
            assert!(gone < 20 * GRACE, "never heard");
        }
        self.engine.now() - begun
    }
}

/// The worst delay over all moments at which the fault may begin, in steps of 30 ms.
fn worst(form: fn(&str) -> String, fault: impl Fn(&mut World) -> u64) -> u64 {
    let timing = Timing::new(GRACE);
    let moments = (0..timing.poll + timing.timeout).step_by(30_000);
    let delays = moments.map(|moment| {
        let mut world = World::new(Mood::Answers, form);
        world.pass(100_000 + moment);
        assert_eq!(world.held, world.index, "it is well before the fault");
        fault(&mut world)
    });
    delays.max().expect("moments")
}

/// Real time passes beside the clock's steps.
const NOISE: u64 = 100_000;

#[test]
fn a_change_that_is_told_to_a_watch_is_heard_at_once() {
    assert!(worst(plain, World::delay) <= 2 * STEP + NOISE);
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_within_a_known_time() {
    let timing = Timing::new(GRACE);
    for mood in [Mood::Silent, Mood::Half] {
        // Silent on that connection alone: the agent answers on the next.
        let once = worst(plain, |w| {
            w.mood(mood);
            w.step();
            // Calls that were under way are not come back to.
            w.waiting.clear();
            w.mood(Mood::Answers);
            w.delay()
        });
        assert!(
            once <= timing.timeout + 3 * STEP + NOISE,
            "{mood:?} once: {once}"
        );
        // And on the next connections as well.
        let thrice = worst(plain, |w| {
            w.mood(mood);
            w.index += 1;
            let begun = w.engine.now();
            w.pass(2 * timing.timeout);
            w.mood(Mood::Answers);
            w.until_heard();
            w.engine.now() - begun
        });
        assert!(
            thrice <= 3 * timing.timeout + 4 * STEP + NOISE,
            "{mood:?} thrice: {thrice}"
        );
    }
}

#[test]
fn what_discovery_holds_at_its_return_is_heard_well_within_the_grace() {
    let timing = Timing::new(GRACE);
    for (mood, bound) in [
        (Mood::Silent, timing.timeout),
        (Mood::Refuses, timing.retry_delay),
    ] {
        let back = worst(plain, |w| {
            w.mood(mood);
            w.pass(8 * GRACE / 2);
            w.mood(Mood::Answers);
            w.delay()
        });
        assert!(back <= bound + 3 * STEP + NOISE, "{mood:?}: {back}");
        assert!(
            back < GRACE / 2 + NOISE,
            "{mood:?}: {back} of a grace of {GRACE}"
        );
    }
}

#[test]
fn a_new_process_hears_what_the_agent_holds_also_where_its_first_call_is_lost() {
    let timing = Timing::new(GRACE);
    let mut world = World::new(Mood::Silent, plain);
    world.pass(50_000);
    world.mood(Mood::Answers);
    let begun = world.until_heard();
    assert!(begun <= timing.timeout + 3 * STEP + NOISE, "{begun}");
    let mut world = World::new(Mood::Answers, plain);
    assert!(
        world.until_heard() <= 2 * STEP + NOISE,
        "from the first moment"
    );
}

#[test]
fn a_connection_that_never_comes_up_is_given_up_as_a_silent_one() {
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
    let timing = Timing::new(GRACE);
    let mut world = World::new(Mood::Answers, plain);
    world.pass(100_000);
    let updates = world.discovery.set_address(&mut world.engine, address);
    world.updates(updates.into_iter().collect());
    world.pass(timing.timeout / 2);
    // SIGHUP moves it back to one that answers; the whole list is asked for there.
    let (lists, own) = (world.lists, world.address);
    world.discovery.address = own;
    let begun = world.engine.now();
    while world.lists == lists {
        world.step();
        assert!(world.engine.now() - begun < GRACE, "never heard");
    }
    let gone = world.engine.now() - begun;
    assert!(gone <= timing.timeout + 3 * STEP + NOISE, "{gone}");
    assert!(fills.len() < 10);
}

#[test]
fn a_watch_that_falls_silent_right_after_it_was_moved_is_opened_anew() {
    let timing = Timing::new(GRACE);
    let mut world = World::new(Mood::Answers, plain);
    world.pass(300_000);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listener, address) = world
        .engine
        .listen_raw(any, Limits::default())
        .expect("a free port");
    (world.listener, world.address, world.mood) = (listener, address, Mood::Silent);
    let updates = world.discovery.set_address(&mut world.engine, address);
    world.updates(updates.into_iter().collect());
    world.pass(20_000);
    world.mood(Mood::Answers);
    world.index = 40;
    let gone = world.until_heard();
    assert!(gone <= timing.timeout + 3 * STEP + NOISE, "{gone}");
}

#[test]
fn answers_come_indented_in_chunks_and_in_pieces() {
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
        let mut world = World::new(Mood::Answers, form);
        for _ in 0..5 {
            world.pass(700_000);
            assert!(world.delay() <= 2 * STEP + NOISE);
        }
    }
}

#[test]
fn answers_that_cannot_be_read_leave_the_last_list_and_the_whole_one_is_asked_for() {
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
    let timing = Timing::new(GRACE);
    for (i, form) in spoilt.into_iter().enumerate() {
        let mut world = World::new(Mood::Answers, plain);
        world.pass(100_000);
        let (lists, held) = (world.lists, world.held);
        world.form = form;
        world.index += 1;
        world.pass(400_000);
        assert_eq!((world.lists, world.held), (lists, held), "form {i}");
        world.form = plain;
        let gone = world.until_heard();
        assert!(
            gone <= timing.timeout + 3 * STEP + NOISE,
            "form {i}: {gone}"
        );
        assert_eq!(world.discovery.held, Some(world.index), "form {i}");
    }
}

#[test]
fn times_follow_the_grace() {
    for grace in [100_000, 250_000, 1_000_000, 2_000_000, 5_000_000] {
        let timing = Timing::new(grace);
        assert!(timing.timeout <= grace / 2, "{timing:?} of {grace}");
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
fn an_answer_without_a_length_is_whole_at_an_end_in_order_and_never_at_a_reset() {
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
        let mut world = World::new(Mood::Answers, plain);
        world.pass(300_000);
        let lists = world.lists;
        let updates = world.discovery.set_address(&mut world.engine, address);
        world.updates(updates.into_iter().collect());
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
