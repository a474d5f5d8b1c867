//! Simulation of a gateway whose peers act at random, with checks that the gateway handles each request correctly.

mod peers;

use crate::common::{config, LARGE_LIMITS};
use chalkdeck_net::clock::{Clock, ClockJumps};
use chalkdeck_resp_gateway::{Config, GatewayServer};
use fastrand::Rng;
use peers::{Attempt, Client, Counter, Discovery, Endpoint};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const ENDPOINT_COUNT: usize = 3;
const MAX_CLIENTS: usize = 6;
/// The time after SIGTERM at which the platform kills a gateway, in microseconds: the longest deadline of 3 s, plus 700 ms.
const KILL_DELAY_MICROS: u64 = 3_700_000;
/// The number of turns of the event loop within which the gateway notices that a client has disconnected.
const TURNS_TO_NOTICE: u64 = 3;
/// The number of turns within which everything that was written is received and handled.
const TURNS_TO_IDLE: usize = 40;

/// The class of a request: idempotent, not idempotent, or keyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    View,
    Sale,
    Order,
}

/// A request that a client has sent, and its attempts.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub class: Class,
    pub client: u64,
    /// The turn of the event loop before which the last byte of its command was written.
    pub written_before: u64,
    /// The number of its attempts that arrived completely at an endpoint.
    pub arrived_count: usize,
    /// The number of those attempts that the endpoint rejected, so that they never ran.
    pub rejected_count: usize,
}

/// A gateway and its simulated peers.
pub struct Simulation {
    pub gateway: GatewayServer,
    file: PathBuf,
    jumps: Arc<ClockJumps>,
    clock: Clock,
    turn_count: u64,
    endpoints: Vec<Endpoint>,
    counter: Counter,
    discovery: Discovery,
    clients: HashMap<u64, Client>,
    /// Clients that have disconnected, each with the turn before which it did.
    disconnected: HashMap<u64, u64>,
    requests: HashMap<String, SentRequest>,
    /// Attempts that have no reply yet.
    attempts: Vec<Attempt>,
    /// The number that was last given to a client or a request.
    last_number: u64,
    /// When the shutdown was requested.
    shutdown_at: Option<u64>,
    /// Whether the gateway has completed its shutdown.
    has_ended: bool,
    /// A fault that was found in the current sequence.
    fault: Option<String>,
}

impl Simulation {
    pub fn new() -> Simulation {
        let endpoints: Vec<Endpoint> = (0..ENDPOINT_COUNT).map(Endpoint::new).collect();
        let (counter, discovery) = (Counter::new(), Discovery::new());
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!(
            "chalkdeck-simulation-{}-{number}.json",
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
        let jumps = Arc::<ClockJumps>::default();
        let clock = Clock::shifted(jumps.clone());
        let config = Config::load(&file).expect("a valid configuration");
        let gateway = GatewayServer::start_with_clock(config, clock.clone()).expect("a free port");
        let mut simulation = Simulation {
            gateway,
            file,
            jumps,
            clock,
            turn_count: 0,
            endpoints,
            counter,
            discovery,
            clients: HashMap::new(),
            disconnected: HashMap::new(),
            requests: HashMap::new(),
            attempts: Vec::new(),
            last_number: 0,
            shutdown_at: None,
            has_ended: false,
            fault: None,
        };
        simulation.run_until_idle();
        simulation
    }

    /// Whether the gateway was asked to shut down, so that no further sequence can run on it.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// Whether the platform would have killed the process by now.
    fn is_killed(&self) -> bool {
        self.shutdown_at
            .is_some_and(|at| self.clock.now() >= at + KILL_DELAY_MICROS)
    }

    /// Runs one random sequence of events.
    ///
    /// # Errors
    /// A description of the fault that was found.
    pub fn run_sequence(&mut self, seed: u64) -> Result<(), String> {
        let mut rng = Rng::with_seed(seed);
        for _ in 0..rng.usize(4..24) {
            self.act_randomly(&mut rng);
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

    /// Performs one random event.
    fn act_randomly(&mut self, rng: &mut Rng) {
        match rng.u8(..100) {
            0..12 => self.connect_client(),
            12..42 => self.send_requests(rng),
            42..50 => self.finish_command_or_disconnect(rng),
            50..72 => self.reply_to_attempt(rng),
            72..82 => self.counter.act_randomly(rng),
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
            self.last_number += 1;
            self.clients.insert(
                self.last_number,
                Client::connect(self.gateway.listen_address()),
            );
        }
    }

    fn random_client(&self, rng: &mut Rng) -> Option<u64> {
        let mut keys: Vec<u64> = self.clients.keys().copied().collect();
        keys.sort_unstable();
        rng.choice(keys)
    }

    fn send_requests(&mut self, rng: &mut Rng) {
        let Some(key) = self.random_client(rng) else {
            return;
        };
        // This records the turn of a command that was written in part, which `Client::send_request` cannot do.
        self.finish_command(key);
        for _ in 0..rng.usize(1..4) {
            let class = rng
                .choice([Class::View, Class::Sale, Class::Order])
                .expect("one of three");
            self.last_number += 1;
            let id = format!("r{}", self.last_number);
            let client = self.clients.get_mut(&key).expect("a known client");
            let is_complete = client.send_request(&id, class, rng.u8(..) < 60);
            let written_before = if is_complete {
                self.turn_count
            } else {
                u64::MAX
            };
            let request = SentRequest {
                class,
                client: key,
                written_before,
                arrived_count: 0,
                rejected_count: 0,
            };
            self.requests.insert(id, request);
            if !is_complete {
                break;
            }
        }
    }

    /// Writes the rest of a command that a client has written in part.
    fn finish_command(&mut self, key: u64) {
        let Some(id) = self.clients.get_mut(&key).and_then(Client::finish_command) else {
            return;
        };
        let turn_count = self.turn_count;
        self.requests
            .entry(id)
            .and_modify(|request| request.written_before = turn_count);
    }

    /// Writes the rest of a random client's command, or disconnects the client.
    fn finish_command_or_disconnect(&mut self, rng: &mut Rng) {
        let Some(key) = self.random_client(rng) else {
            return;
        };
        if rng.bool() {
            return self.finish_command(key);
        }
        let client = self.clients.remove(&key).expect("a known client");
        self.disconnected.insert(key, self.turn_count);
        client.disconnect(rng);
    }

    fn reply_to_attempt(&mut self, rng: &mut Rng) {
        if self.attempts.is_empty() {
            return self.turn();
        }
        let attempt = self.attempts.swap_remove(rng.usize(..self.attempts.len()));
        let is_rejected = self.endpoints[attempt.endpoint].reply_randomly(&attempt, rng);
        if is_rejected {
            self.requests
                .entry(attempt.id)
                .and_modify(|request| request.rejected_count += 1);
        }
    }

    /// Starts or ends the drain of a random endpoint, but leaves at least one in service, and publishes the list.
    fn change_list(&mut self, rng: &mut Rng) {
        let index = rng.usize(..ENDPOINT_COUNT);
        let now = self.clock.now();
        let begins_to_drain = !self.endpoints[index].is_draining();
        self.endpoints[index].draining_since = None;
        if begins_to_drain
            && self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_draining())
                .count()
                + 1
                < ENDPOINT_COUNT
        {
            self.endpoints[index].draining_since = Some(now);
        }
        self.discovery.publish_change(rng);
    }

    fn advance_clock(&mut self, rng: &mut Rng) {
        let micros = rng
            .choice([1_000, 11_000, 90_000, 260_000, 900_000, 2_300_000])
            .expect("one of six");
        self.jumps.jump(micros);
    }

    /// Runs one turn of the gateway's event loop.
    fn turn(&mut self) {
        if self.has_ended {
            return;
        }
        self.gateway.turn(0).expect("a turn");
        self.turn_count += 1;
        self.has_ended = self.gateway.is_shut_down();
    }

    /// Reads what the peers have received and checks it.
    fn observe(&mut self) {
        self.discovery.serve(&self.endpoints, self.turn_count);
        self.counter.read();
        for index in 0..ENDPOINT_COUNT {
            for attempt in self.endpoints[index].take_arrivals() {
                self.check_arrival(index, &attempt);
                self.attempts.push(attempt);
            }
        }
        let keys: Vec<u64> = self.clients.keys().copied().collect();
        for key in keys {
            self.check_replies(key);
        }
    }

    /// Whether an endpoint must get no attempt of a request that was written before the turn `written_before`: the endpoint is draining,
    /// and the gateway applied that before it could read the request.
    fn must_not_be_used(&self, index: usize, written_before: u64) -> bool {
        let applied_by = self.discovery.list_applied_by();
        self.endpoints[index].is_draining() && applied_by.is_some_and(|turn| written_before >= turn)
    }

    fn check_arrival(&mut self, index: usize, attempt: &Attempt) {
        let Some(request) = self.requests.get_mut(&attempt.id) else {
            self.fault = Some(format!("{} was never sent by a client", attempt.id));
            return;
        };
        let written_before = request.written_before;
        let possible_runs = request.arrived_count - request.rejected_count;
        request.arrived_count += 1;
        if request.class == Class::Sale && possible_runs > 0 {
            self.fault = Some(format!(
                "{}, which is not idempotent, was sent again although it may have run",
                attempt.id
            ));
        }
        let disconnected_before = self.disconnected.get(&request.client);
        if disconnected_before.is_some_and(|turn| self.turn_count > turn + TURNS_TO_NOTICE) {
            self.fault = Some(format!(
                "{} was forwarded although its client had disconnected",
                attempt.id
            ));
        }
        if self.must_not_be_used(index, written_before) {
            self.fault = Some(format!(
                "{} was forwarded to a draining endpoint",
                attempt.id
            ));
        }
    }

    fn check_replies(&mut self, key: u64) {
        let client = self.clients.get_mut(&key).expect("a known client");
        for (id, reply) in client.take_replies() {
            let request = &self.requests[&id];
            let may_have_run = request.arrived_count > request.rejected_count;
            if let Some(value) = reply.strip_prefix("served ") {
                if value != id {
                    self.fault = Some(format!("{id} was served with the value of {value}"));
                }
            } else if reply.starts_with("BUSY") && request.class == Class::Sale && may_have_run {
                self.fault = Some(format!(
                    "{id}, which is not idempotent and may have run, was rejected"
                ));
            }
        }
        if let Some(error) = client.take_protocol_error() {
            self.fault = Some(error);
        }
        if client.is_closed() {
            let turn = self.turn_count;
            let client = self.clients.remove(&key).expect("a known client");
            self.disconnected.insert(key, turn);
            // A command that was completely in the socket before the turn of the close has been read.
            let unanswered = client
                .unanswered()
                .find(|id| self.requests[*id].written_before + 1 < turn)
                .cloned();
            if let Some(id) = unanswered.filter(|_| !self.is_killed()) {
                self.fault = Some(format!(
                    "{id} was read, but its connection was closed without a reply"
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

    /// Lets all peers reply correctly, checks that every request is answered, and resets the peers for the next sequence.
    fn settle(&mut self, rng: &mut Rng) {
        let mut keys: Vec<u64> = self.clients.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter().for_each(|key| self.finish_command(key));
        for _ in 0..2 {
            for _ in 0..TURNS_TO_IDLE {
                self.counter.reply_to_all();
                for attempt in std::mem::take(&mut self.attempts) {
                    self.endpoints[attempt.endpoint].reply_served(&attempt);
                }
                self.turn_and_observe();
            }
            // All time-outs of calls without a reply expire.
            self.jumps.jump(3_100_000);
        }
        self.run_until_idle();
        let unanswered = self
            .clients
            .values()
            .find_map(|client| client.unanswered().next());
        if let Some(id) = unanswered.filter(|_| !self.is_killed()) {
            self.fault.get_or_insert(format!("{id} has no reply"));
        }
        if self.shutdown_at.is_some() && !self.has_ended {
            self.fault
                .get_or_insert("the shutdown did not complete".into());
        }
        self.requests.clear();
        self.disconnected.retain(|_, _| false);
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.draining_since = None);
        self.discovery.publish_change(rng);
        self.run_until_idle();
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
