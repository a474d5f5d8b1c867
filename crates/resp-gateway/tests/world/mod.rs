//! A gateway among peers that do anything in any order, and a check of what it owes them.

mod peers;

use crate::common::{config, LARGE_LIMITS};
use chalkdeck_net::clock::{Clock, Jumps};
use chalkdeck_resp_gateway::{Config, GatewayServer};
use fastrand::Rng;
use peers::{Attempt, Client, Counter, Discovery, Endpoint};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const ENDPOINTS: usize = 3;
const MAX_CLIENTS: usize = 6;
/// The platform kills a gateway so long after SIGTERM: the longest deadline and some time.
const KILL_DELAY: u64 = 3_700_000;
/// Turns of the loop after which the end of a connection, which waits in a socket, was noticed.
const TURNS_TO_NOTICE: u64 = 3;
/// Turns in which all that crosses the loopback has come to rest.
const TURNS_TO_IDLE: usize = 40;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    View,
    Sale,
    Order,
}

/// A request and its attempts.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub class: Class,
    pub client: u64,
    /// The last byte of its command was written before this turn of the loop.
    pub turn: u64,
    /// Attempts that arrived complete at an endpoint.
    pub arrived: usize,
    /// Those of them that the endpoint rejected, so that they never ran.
    pub rejected: usize,
}

pub struct World {
    pub gateway: GatewayServer,
    file: PathBuf,
    jumps: Arc<Jumps>,
    clock: Clock,
    turns: u64,
    endpoints: Vec<Endpoint>,
    counter: Counter,
    discovery: Discovery,
    clients: HashMap<u64, Client>,
    /// Clients that have gone: before which turn.
    gone: HashMap<u64, u64>,
    requests: HashMap<String, SentRequest>,
    attempts: Vec<Attempt>,
    next: u64,
    /// When SIGTERM came.
    shutdown_at: Option<u64>,
    /// The process has ended by itself.
    ended: bool,
    fault: Option<String>,
}

impl World {
    pub fn new() -> World {
        let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(Endpoint::new).collect();
        let (counter, discovery) = (Counter::new(), Discovery::new());
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!(
            "chalkdeck-orders-{}-{number}.json",
            std::process::id()
        ));
        std::fs::write(
            &file,
            config(
                "127.0.0.1:0",
                discovery.address(),
                counter.address(),
                LARGE_LIMITS,
            ),
        )
        .expect("a temporary file");
        let jumps = Arc::<Jumps>::default();
        let clock = Clock::jumping(jumps.clone());
        let settings = Config::load(&file).expect("a sound configuration");
        let gateway =
            GatewayServer::start_with_clock(settings, clock.clone()).expect("a free port");
        let mut world = World {
            gateway,
            file,
            jumps,
            clock,
            turns: 0,
            endpoints,
            counter,
            discovery,
            clients: HashMap::new(),
            gone: HashMap::new(),
            requests: HashMap::new(),
            attempts: Vec::new(),
            next: 0,
            shutdown_at: None,
            ended: false,
            fault: None,
        };
        world.run_until_idle();
        world
    }

    /// Whether the gateway was stopped, so that no further order can be played here.
    pub fn is_over(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// Whether the platform would have killed the process by now.
    fn is_killed(&self) -> bool {
        self.shutdown_at
            .is_some_and(|at| self.clock.now() >= at + KILL_DELAY)
    }

    /// Plays one order; says what of it went wrong.
    pub fn play(&mut self, seed: u64) -> Result<(), String> {
        let mut rng = Rng::with_seed(seed);
        for _ in 0..rng.usize(4..24) {
            self.act(&mut rng);
            if rng.u8(..) < 150 {
                self.turn();
            }
            self.observe();
        }
        self.settle(&mut rng);
        match self.fault.take() {
            Some(fault) => Err(fault),
            None => Ok(()),
        }
    }

    fn act(&mut self, rng: &mut Rng) {
        match rng.u8(..100) {
            0..12 => self.connect_client(),
            12..42 => self.send_requests(rng),
            42..50 => self.disconnect_client(rng),
            50..72 => self.answer_attempt(rng),
            72..82 => self.counter.act(rng),
            82..89 => self.change_list(rng),
            89..96 => self.advance_clock(rng),
            96..98 => self.gateway.reload(),
            98 if self.shutdown_at.is_none() => {
                self.shutdown_at = Some(self.clock.now());
                self.gateway.shut_down();
            }
            _ => (0..4).for_each(|_| self.turn_and_observe()),
        }
    }

    fn connect_client(&mut self) {
        if self.clients.len() < MAX_CLIENTS && self.shutdown_at.is_none() {
            self.next += 1;
            self.clients
                .insert(self.next, Client::connect(self.gateway.local_address()));
        }
    }

    fn any_client(&self, rng: &mut Rng) -> Option<u64> {
        let mut keys: Vec<u64> = self.clients.keys().copied().collect();
        keys.sort_unstable();
        rng.choice(keys)
    }

    fn send_requests(&mut self, rng: &mut Rng) {
        let Some(key) = self.any_client(rng) else {
            return;
        };
        // Its turn is noted, which `Client::ask` cannot do.
        self.finish_command(key);
        for _ in 0..rng.usize(1..4) {
            let class = rng
                .choice([Class::View, Class::Sale, Class::Order])
                .expect("one of three");
            self.next += 1;
            let id = format!("r{}", self.next);
            let client = self.clients.get_mut(&key).expect("it is there");
            let whole = client.ask(&id, class, rng.u8(..) < 60);
            let turn = if whole { self.turns } else { u64::MAX };
            let request = SentRequest {
                class,
                client: key,
                turn,
                arrived: 0,
                rejected: 0,
            };
            self.requests.insert(id, request);
            if !whole {
                break;
            }
        }
    }

    /// What a client began to write goes out to its end.
    fn finish_command(&mut self, key: u64) {
        let Some(id) = self.clients.get_mut(&key).and_then(Client::finish) else {
            return;
        };
        let turns = self.turns;
        self.requests
            .entry(id)
            .and_modify(|request| request.turn = turns);
    }

    fn disconnect_client(&mut self, rng: &mut Rng) {
        let Some(key) = self.any_client(rng) else {
            return;
        };
        if rng.bool() {
            return self.finish_command(key);
        }
        let client = self.clients.remove(&key).expect("it is there");
        self.gone.insert(key, self.turns);
        client.disconnect(rng);
    }

    fn answer_attempt(&mut self, rng: &mut Rng) {
        if self.attempts.is_empty() {
            return self.turn();
        }
        let attempt = self.attempts.swap_remove(rng.usize(..self.attempts.len()));
        let rejected = self.endpoints[attempt.endpoint].answer(&attempt, rng);
        if rejected {
            self.requests
                .entry(attempt.id)
                .and_modify(|request| request.rejected += 1);
        }
    }

    fn change_list(&mut self, rng: &mut Rng) {
        let place = rng.usize(..ENDPOINTS);
        let now = self.clock.now();
        let begins_to_drain = !self.endpoints[place].is_draining();
        self.endpoints[place].draining_since = None;
        if begins_to_drain
            && self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_draining())
                .count()
                + 1
                < ENDPOINTS
        {
            self.endpoints[place].draining_since = Some(now);
        }
        self.discovery.change(rng);
    }

    fn advance_clock(&mut self, rng: &mut Rng) {
        let span = rng
            .choice([1_000, 11_000, 90_000, 260_000, 900_000, 2_300_000])
            .expect("one of six");
        self.jumps.jump(span);
    }

    /// One turn of the gateway's loop.
    fn turn(&mut self) {
        if self.ended {
            return;
        }
        self.gateway.turn(0).expect("a turn");
        self.turns += 1;
        self.ended = self.gateway.is_shut_down();
    }

    /// Takes what came to the peers and compares it with what may come.
    fn observe(&mut self) {
        self.discovery.serve(&self.endpoints, self.turns);
        self.counter.read();
        for place in 0..ENDPOINTS {
            for attempt in self.endpoints[place].arrivals() {
                self.check_arrival(place, &attempt);
                self.attempts.push(attempt);
            }
        }
        let keys: Vec<u64> = self.clients.keys().copied().collect();
        for key in keys {
            self.check_answers(key);
        }
    }

    /// Whether an endpoint must get no attempt of a request that was written before this turn: the endpoint drains, and the gateway had
    /// applied that before it could read the request.
    fn must_not_be_used(&self, place: usize, request_turn: u64) -> bool {
        let acknowledged_in = self.discovery.acknowledged_in();
        self.endpoints[place].is_draining()
            && acknowledged_in.is_some_and(|turn| request_turn >= turn)
    }

    fn check_arrival(&mut self, place: usize, attempt: &Attempt) {
        let Some(request) = self.requests.get_mut(&attempt.id) else {
            self.fault = Some(format!("{} was never sent by a client", attempt.id));
            return;
        };
        let request_turn = request.turn;
        let may_have_run = request.arrived - request.rejected;
        request.arrived += 1;
        if request.class == Class::Sale && may_have_run > 0 {
            self.fault = Some(format!("{}, which is unsafe, came twice", attempt.id));
        }
        let gone = self.gone.get(&request.client);
        if gone.is_some_and(|turn| self.turns > turn + TURNS_TO_NOTICE) {
            self.fault = Some(format!(
                "{} was sent on for a client that had gone",
                attempt.id
            ));
        }
        if self.must_not_be_used(place, request_turn) {
            self.fault = Some(format!("{} went to an endpoint that drains", attempt.id));
        }
    }

    fn check_answers(&mut self, key: u64) {
        let client = self.clients.get_mut(&key).expect("it is there");
        for (id, answer) in client.answers() {
            let request = &self.requests[&id];
            let may_have_run = request.arrived > request.rejected;
            if let Some(value) = answer.strip_prefix("served ") {
                if value != id {
                    self.fault = Some(format!("{id} was served with the value of {value}"));
                }
            } else if answer.starts_with("BUSY") && request.class == Class::Sale && may_have_run {
                self.fault = Some(format!(
                    "{id}, which is unsafe and may have run, was refused"
                ));
            }
        }
        if let Some(why) = client.unreadable() {
            self.fault = Some(why);
        }
        if client.is_closed() {
            let turn = self.turns;
            let client = self.clients.remove(&key).expect("it is there");
            self.gone.insert(key, turn);
            // What was whole in the socket before the turn of the close was read there.
            let owed = client
                .unanswered()
                .find(|id| self.requests[*id].turn + 1 < turn)
                .cloned();
            if let Some(id) = owed.filter(|_| !self.is_killed()) {
                self.fault = Some(format!(
                    "{id} was read and its connection closed with no answer"
                ));
            }
        }
    }

    fn turn_and_observe(&mut self) {
        self.turn();
        self.observe();
    }

    fn run_until_idle(&mut self) {
        (0..TURNS_TO_IDLE).for_each(|_| self.turn_and_observe());
    }

    /// Everybody does what is expected of it from here on; then nothing may be owed.
    fn settle(&mut self, rng: &mut Rng) {
        let mut keys: Vec<u64> = self.clients.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter().for_each(|key| self.finish_command(key));
        for _ in 0..2 {
            for _ in 0..TURNS_TO_IDLE {
                self.counter.answer_all();
                for attempt in std::mem::take(&mut self.attempts) {
                    self.endpoints[attempt.endpoint].serve(&attempt);
                }
                self.turn_and_observe();
            }
            // What is silent or broken is given up by now.
            self.jumps.jump(3_100_000);
        }
        self.run_until_idle();
        let unanswered = self
            .clients
            .values()
            .find_map(|client| client.unanswered().next());
        if let Some(id) = unanswered.filter(|_| !self.is_killed()) {
            self.fault.get_or_insert(format!("{id} has no answer"));
        }
        if self.shutdown_at.is_some() && !self.ended {
            self.fault.get_or_insert("the shutdown did not end".into());
        }
        self.requests.clear();
        self.gone.retain(|_, _| false);
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.draining_since = None);
        self.discovery.change(rng);
        self.run_until_idle();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
