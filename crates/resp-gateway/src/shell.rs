//! One gateway on the platform: the decisions' events are raised from what happened on its sockets, and their actions are
//! carried out. Nothing is sent, refused, failed, repeated or called off here that was not decided there.

use crate::backends::{AttemptId, Backends, Ended, Sent};
use crate::client_replies;
use crate::clock;
use crate::config::{Config, ConfigError};
use crate::counter::{Counter, Told};
use crate::discovery::{CallId, Discovery, DiscoveryAction, Timing};
use crate::endpoint_list::EndpointList;
use crate::request::{self, Command, RequestError};
use crate::sessions::{ReceivedCommand, Sessions};
use bytes::Bytes;
use chalkdeck::api::{
    Action, AttemptResult, EndpointId, Event, LoadReport, Outcome, RequestId, SettingsError,
    TimeDelta, TimerId, Timestamp, UpdateScope,
};
use chalkdeck::DecisionEngine;
use chalkdeck::Decisions;
use chalkdeck_net::clock::Clock;
use chalkdeck_net::due::Dues;
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{CloseReason, ConnId, Engine, Event as NetEvent, Limits, ListenerId};
use chalkdeck_resp::{Frame, ReplySlot};
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;

/// The longest sleep of the loop; signals are looked at that often. In microseconds, as all of these.
const LONGEST_WAIT: u64 = 100_000;
/// How often connections are looked at that stand still.
const SWEEP_INTERVAL: u64 = 250_000;
/// New connections still come so long after SIGTERM, and are served; then connections are let go one after another.
const SHUTDOWN_ACCEPTS: u64 = 420_000;
/// The platform kills a gateway so long after SIGTERM and the longest deadline, of which it counts three seconds at most.
const KILL_DELAY: u64 = 700_000;
const KILL_MAX_DEADLINE: u64 = 3_000_000;
/// What comes during a stop has its answer so long before that.
const KILL_MARGIN: u64 = 60_000;
/// How often a stopping gateway looks whether connections can go.
const SHUTDOWN_INTERVAL: u64 = 5_000;
/// Descriptors set aside for the loop, logs, the listener, discovery and the counter (old and new addresses).
const RESERVED_DESCRIPTORS: usize = 32;
/// Of the others so many hundredths are clients'; the rest are the backends'.
const CLIENT_PERCENT: usize = 55;
/// Of the memory granted, this part may be held as bytes of commands under way.
const HELD_BYTES_SHARE: f64 = 0.125;

/// Why a gateway does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The system gives no poll handle.
    #[error("no poll handle: {0}")]
    #[diagnostic(
        code(chalkdeck::platform::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// The clients' address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    #[diagnostic(
        code(chalkdeck::platform::listen),
        help(
            "see whether another process listens there, and whether the address is this machine's"
        )
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Settings that make no sense.
    #[error("settings: {0}")]
    #[diagnostic(
        code(chalkdeck::platform::settings),
        help("see what the platform tells its gateways")
    )]
    Settings(#[from] SettingsError),
}

/// What a timer of the loop is for.
enum TimerPurpose {
    Policy(TimerId),
    GiveUp(AttemptId),
    Dial(ConnId),
    Count,
    DiscoveryCall(CallId),
    Sweep,
    Shutdown,
}

/// A request without its final answer.
struct Call {
    conn: ConnId,
    slot: ReplySlot,
    command: Command,
    bytes: usize,
    attempts: usize,
}

/// A running gateway.
pub struct Shell {
    engine: Engine,
    decisions: Decisions,
    config: Config,
    listener: ListenerId,
    /// The listener still takes connections in.
    is_listening: bool,
    listen: SocketAddr,
    dues: Dues<TimerPurpose>,
    sessions: Sessions,
    calls: FxHashMap<RequestId, Call>,
    /// Open requests by the ids that clients gave them.
    ids: FxHashMap<Bytes, RequestId>,
    next_id: u64,
    backends: Backends,
    counter: Option<Counter>,
    /// A timer for the next call to the counter that ends unanswered is under way.
    counts_watched: bool,
    discovery: Discovery,
    events: Vec<NetEvent>,
    /// When SIGTERM came.
    stop: Option<u64>,
}

impl Shell {
    /// Binds the listener and begins to ask discovery. Errors: an address that cannot be bound, settings that make no sense.
    pub fn start(config: Config) -> Result<Shell, StartError> {
        Shell::start_at(config, Clock::start())
    }

    /// The same with a clock of the caller's.
    pub fn start_at(config: Config, clock: Clock) -> Result<Shell, StartError> {
        let mut engine = Engine::with_clock(clock).map_err(StartError::Poll)?;
        let sockets = config
            .limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(16);
        let clients = sockets * CLIENT_PERCENT / 100;
        // A few beyond the bound, so that a new client can take the place of an idle one.
        let limits = Limits {
            connections: clients + RESERVED_DESCRIPTORS / 4,
            ..Limits::default()
        };
        let address = config.listen;
        let listened = engine.listen_raw(address, limits);
        let (listener, listen) =
            listened.map_err(|source| StartError::Listen { address, source })?;
        let gateway = DecisionEngine::new(config.seed, config.settings().clone())?;
        let memory = config.limits.memory_mb * 1e6;
        let counter = config
            .counter
            .map(|a| Counter::new(a, config.settings().counter_timeout.as_micros()));
        let mut shell = Shell {
            engine,
            decisions: Decisions::new(gateway),
            listener,
            is_listening: true,
            listen,
            dues: Dues::default(),
            sessions: Sessions::new(clients, (memory * HELD_BYTES_SHARE) as usize),
            calls: FxHashMap::default(),
            ids: FxHashMap::default(),
            next_id: 0,
            backends: Backends::new(sockets - clients, memory, config.endpoint_idle_timeout),
            counter,
            counts_watched: false,
            discovery: Discovery::new(config.discovery, Timing::new(config.drain_grace)),
            events: Vec::new(),
            stop: None,
            config,
        };
        if let Some(known) = shell.config.initial_endpoints.take() {
            shell.listed(known);
        }
        let update = shell.discovery.connect(&mut shell.engine);
        shell.on_discovery(update);
        shell.due_in(SWEEP_INTERVAL, TimerPurpose::Sweep);
        shell.settle();
        Ok(shell)
    }

    /// Where clients come in.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Serves until it is asked to stop and all it took is answered.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        loop {
            self.turn(LONGEST_WAIT)?;
            if signals.reload() {
                self.reload();
            }
            if signals.stop() {
                self.stop();
            }
            if self.stopped() {
                tracing::info!("stopped");
                return Ok(());
            }
        }
    }

    /// Begins to stop: serves what still comes, then ends.
    pub fn stop(&mut self) {
        if self.stop.is_none() {
            tracing::info!(
                open = self.calls.len(),
                "stopping: serves what still comes, then ends"
            );
            self.stop = Some(self.engine.now());
            self.due_in(SHUTDOWN_ACCEPTS, TimerPurpose::Shutdown);
        }
    }

    /// Whether a stop is over: all clients are let go, or all that was taken before it must have had its answer.
    pub fn stopped(&self) -> bool {
        let Some(since) = self.stop else { return false };
        let alone = self.sessions.is_shutting_down()
            && !self.is_listening
            && self.engine.held_by(self.listener) == 0;
        alone || self.engine.now() >= since + KILL_DELAY + self.longest_deadline()
    }

    fn longest_deadline(&self) -> u64 {
        self.config
            .settings()
            .classes
            .iter()
            .map(|c| c.deadline.as_micros())
            .max()
            .unwrap_or(0)
    }

    /// When what comes now has to be answered at the latest: a stopping gateway does not outlive its patience.
    fn ends_by(&self) -> u64 {
        let patience = KILL_DELAY - KILL_MARGIN + self.longest_deadline().min(KILL_MAX_DEADLINE);
        self.stop.map_or(u64::MAX, |since| since + patience)
    }

    /// No new connections come any more: those that stand are let go.
    fn continue_shutdown(&mut self) {
        self.is_listening &= !self.engine.unlisten_if_empty(self.listener);
        self.sessions.shut_down(clock::now(&self.engine));
        self.due_in(SHUTDOWN_INTERVAL, TimerPurpose::Shutdown);
    }

    /// Waits for what happens, at most so many microseconds, and deals with it.
    pub fn turn(&mut self, most_wait: u64) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        let most_wait = if self.sessions.has_resumed() {
            0
        } else {
            most_wait
        };
        self.engine.turn(most_wait, &mut events)?;
        for event in events.drain(..) {
            self.on_event(event);
            self.settle();
        }
        self.events = events;
        // Once a turn, so that a long pipeline does not keep the others waiting.
        for conn in self.sessions.take_resumed() {
            self.commands(conn);
            self.settle();
        }
        self.sessions.close_idle(&mut self.engine);
        Ok(())
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, .. } => self.sessions.on_accepted(&mut self.engine, conn),
            NetEvent::Connected { conn } => self.on_connected(conn),
            NetEvent::Bytes { conn, data } => self.on_bytes(conn, &data),
            NetEvent::Closed {
                conn,
                unsent,
                reason,
                ..
            } => self.on_closed(conn, unsent, &reason),
            NetEvent::Timer(token) => self.on_due(token),
            // Streams are HTTP/2's, and there is no side port.
            _ => {}
        }
    }

    fn on_connected(&mut self, conn: ConnId) {
        let Shell {
            engine,
            backends,
            counter,
            discovery,
            ..
        } = self;
        if backends.owns(conn) {
            backends.connected(engine, conn);
        } else if discovery.owns(conn) {
            if let Some(action) = discovery.on_connected(engine, conn) {
                self.on_discovery(action);
            }
        } else {
            counter
                .as_mut()
                .into_iter()
                .for_each(|c| c.connected(engine, conn));
        }
    }

    fn on_bytes(&mut self, conn: ConnId, data: &[u8]) {
        self.engine.handled(conn);
        let Shell {
            engine,
            backends,
            counter,
            discovery,
            sessions,
            config,
            ..
        } = self;
        if sessions.owns(conn) {
            sessions.on_bytes(engine, conn, data);
            return self.commands(conn);
        }
        if backends.owns(conn) {
            let ended = backends.bytes(engine, conn, data);
            return ended.into_iter().for_each(|e| self.ended(e));
        }
        if let Some(told) = counter.as_mut().and_then(|c| c.bytes(engine, conn, data)) {
            return self.counted(told);
        }
        let actions = discovery.on_bytes(engine, conn, data, &mut config.named_settings.zones);
        for action in actions {
            self.on_discovery(action);
        }
    }

    fn on_closed(&mut self, conn: ConnId, unsent: usize, reason: &CloseReason) {
        if self.sessions.owns(conn) {
            for id in self.sessions.on_closed(conn) {
                self.forget(id);
                self.decisions.push(Event::ClientDisconnected(id));
            }
        } else if self.backends.owns(conn) {
            let ended = self.backends.closed(self.engine.now(), conn, unsent);
            ended.into_iter().for_each(|e| self.ended(e));
        } else if let Some(told) = self.counter.as_mut().and_then(|c| c.closed(conn, unsent)) {
            self.counted(told);
        } else {
            let Shell {
                engine,
                discovery,
                config,
                ..
            } = self;
            let zones = &mut config.named_settings.zones;
            for action in discovery.on_closed(engine, conn, reason, zones) {
                self.on_discovery(action);
            }
        }
    }

    fn due_in(&mut self, after: u64, purpose: TimerPurpose) {
        self.dues.set(&mut self.engine, after, purpose);
    }

    fn on_due(&mut self, token: u64) {
        match self.dues.take(token) {
            Some(TimerPurpose::Policy(timer)) => self.decisions.push(Event::Timer(timer)),
            Some(TimerPurpose::GiveUp(attempt)) => self.give_up(attempt, Outcome::Timeout),
            Some(TimerPurpose::Dial(conn)) => {
                let ended = self.backends.dial_over(&mut self.engine, conn);
                ended.into_iter().for_each(|e| self.ended(e));
                let Shell {
                    engine,
                    counter: Some(counter),
                    ..
                } = self
                else {
                    return;
                };
                let told = counter.dial_over(engine, conn);
                self.counted(told);
            }
            Some(TimerPurpose::Count) => self.count_times_out(),
            Some(TimerPurpose::DiscoveryCall(call)) => {
                if let Some(action) = self.discovery.on_call_timeout(&mut self.engine, call) {
                    self.on_discovery(action);
                }
            }
            Some(TimerPurpose::Shutdown) => self.continue_shutdown(),
            Some(TimerPurpose::Sweep) => {
                self.due_in(SWEEP_INTERVAL, TimerPurpose::Sweep);
                self.backends.sweep(&mut self.engine);
                self.sessions.sweep(&mut self.engine);
            }
            None => {}
        }
    }

    // ---- between the decisions and the sockets ----

    fn settle(&mut self) {
        while let Some(action) = self
            .decisions
            .next_action(Timestamp::from_micros(self.engine.now()))
        {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt {
                request: id,
                endpoint: server,
                deadline: until,
            } => self.send(id, server, until.as_micros()),
            Action::Reject {
                request: id,
                retry_after: back,
            } => {
                self.answer(id, client_replies::busy(back));
            }
            Action::Fail(id) => {
                self.answer(id, client_replies::error("failed"));
            }
            Action::CancelAttempt {
                request,
                attempt: number,
            } => {
                self.give_up(AttemptId { request, number }, Outcome::Cancelled);
            }
            Action::AddToCounter {
                key: name,
                amount,
                time_to_live: life,
            } => {
                let Shell {
                    engine,
                    counter: Some(counter),
                    ..
                } = self
                else {
                    return;
                };
                let (told, dialled) = counter.add(engine, name, amount, life.as_micros());
                let dial_timeout = self.config.dial_timeout.as_micros();
                dialled
                    .into_iter()
                    .for_each(|conn| self.due_in(dial_timeout, TimerPurpose::Dial(conn)));
                self.watch_counts();
                self.counted(told);
            }
            Action::SetTimer { timer, after } => {
                self.due_in(after.as_micros(), TimerPurpose::Policy(timer))
            }
            Action::Probe(server) => {
                self.decisions.push(Event::ProbeCompleted {
                    endpoint: server,
                    outcome: Outcome::NeverSent,
                    load_report: LoadReport::default(),
                });
            }
            // No class of this platform leaves the work to its caller, and the list is watched in any case.
            Action::Grant(_) | Action::Subscribe | Action::FetchEndpoints => {}
        }
    }

    fn send(&mut self, id: RequestId, server: EndpointId, until: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            number: call.attempts,
        };
        call.attempts += 1;
        match self
            .backends
            .send(&mut self.engine, attempt, server, until, &call.command)
        {
            Sent::Under(dialled) => {
                let wait = until.saturating_sub(self.engine.now());
                self.due_in(wait, TimerPurpose::GiveUp(attempt));
                let dial_timeout = self.config.dial_timeout.as_micros();
                dialled
                    .into_iter()
                    .for_each(|conn| self.due_in(dial_timeout, TimerPurpose::Dial(conn)));
            }
            Sent::Ended(ended) => self.ended(ended),
        }
    }

    fn give_up(&mut self, attempt: AttemptId, how: Outcome) {
        let ended = self.backends.give_up(&mut self.engine, attempt, how);
        ended.into_iter().for_each(|e| self.ended(e));
    }

    /// An attempt ended. A value goes to the client at once; all else is the decisions'.
    fn ended(&mut self, end: Ended) {
        let Ended {
            attempt,
            server,
            outcome,
            took,
            report,
            value,
        } = end;
        let served =
            value.is_some_and(|value| self.answer(attempt.request, Frame::BulkString(value)));
        self.decisions.push(Event::AttemptEnded(AttemptResult {
            id: attempt.request,
            attempt: attempt.number,
            endpoint: server,
            outcome,
            elapsed: TimeDelta::from_micros(took),
            request_finished: served,
            settled_units: None,
            load_report: report,
        }));
    }

    fn forget(&mut self, id: RequestId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.ids.remove(call.command.id());
        self.sessions.on_request_ended(call.conn, id, call.bytes);
        Some(call)
    }

    /// The final answer of a request; whether it had none yet.
    fn answer(&mut self, id: RequestId, answer: Frame) -> bool {
        let Some(call) = self.forget(id) else {
            return false;
        };
        self.sessions.reply(call.conn, call.slot, answer);
        self.sessions.flush(&mut self.engine, call.conn);
        true
    }

    // ---- clients ----

    /// Takes what a connection has sent, as far as there is room for it.
    fn commands(&mut self, conn: ConnId) {
        while let Some(ReceivedCommand {
            slot,
            words,
            received_at,
        }) = self.sessions.next_command(&mut self.engine, conn)
        {
            if let Some(answer) = self.command(conn, slot, words, received_at.as_micros()) {
                self.sessions.reply(conn, slot, answer);
            }
        }
        self.sessions.flush(&mut self.engine, conn);
    }

    /// A command: its answer, or none when it is a request, whose answer comes later.
    /// `received_at`: when it had come, from where on its client's time counts.
    fn command(
        &mut self,
        conn: ConnId,
        slot: ReplySlot,
        words: Vec<Bytes>,
        received_at: u64,
    ) -> Option<Frame> {
        let name = words[0].to_ascii_uppercase();
        match &name[..] {
            b"PING" => return Some(client_replies::pong()),
            b"CLIENT" | b"SELECT" => return Some(client_replies::ok()),
            b"QUIT" => {
                self.sessions.close_reading(conn);
                return Some(client_replies::ok());
            }
            _ => {}
        }
        let id = RequestId(self.next_id + 1);
        let bytes = words.iter().map(Bytes::len).sum();
        let (command, mut arrival) =
            match request::read(words, id, received_at, &self.config.named_settings) {
                Ok(read) => read,
                Err(why) => return Some(client_replies::error(&why.to_string())),
            };
        arrival.deadline = arrival.deadline.min(Timestamp::from_micros(self.ends_by()));
        if self.ids.contains_key(command.id()) {
            return Some(client_replies::error(&RequestError::IdTaken.to_string()));
        }
        self.next_id += 1;
        self.ids.insert(command.id().clone(), id);
        self.sessions.on_request_opened(conn, id, bytes);
        self.calls.insert(
            id,
            Call {
                conn,
                slot,
                command,
                bytes,
                attempts: 0,
            },
        );
        self.decisions.push(Event::RequestArrived(arrival));
        None
    }

    // ---- the counter ----

    fn counted(&mut self, told: Vec<Told>) {
        for Told {
            name,
            outcome,
            total,
        } in told
        {
            self.decisions.push(Event::CounterReplied {
                key: name,
                outcome,
                total,
            });
        }
    }

    /// All calls have the same time, so the first of them ends first and one timer serves all.
    fn watch_counts(&mut self) {
        let Some(until) = self.counter.as_ref().and_then(Counter::next_timeout) else {
            return;
        };
        if !std::mem::replace(&mut self.counts_watched, true) {
            self.due_in(until.saturating_sub(self.engine.now()), TimerPurpose::Count);
        }
    }

    fn count_times_out(&mut self) {
        self.counts_watched = false;
        let Shell {
            engine,
            counter: Some(counter),
            ..
        } = self
        else {
            return;
        };
        let told = counter.timed_out(engine);
        self.watch_counts();
        self.counted(told);
    }

    // ---- the list, the configuration ----

    fn on_discovery(&mut self, action: DiscoveryAction) {
        match action {
            DiscoveryAction::UpdateEndpoints(list) => self.listed(list),
            DiscoveryAction::CheckCall { after, call } => {
                self.due_in(after.as_micros(), TimerPurpose::DiscoveryCall(call));
            }
        }
    }

    fn listed(&mut self, list: EndpointList) {
        self.backends.update(&mut self.engine, &list);
        let scope = list.scope;
        let entries: Vec<_> = list.endpoints.into_iter().map(|e| e.entry).collect();
        if scope == UpdateScope::Complete || !entries.is_empty() {
            self.decisions
                .push(Event::EndpointsUpdated { scope, entries });
        }
    }

    /// Takes over the addresses of discovery and the counter from the file; the rest needs a new start. A file that cannot be
    /// read changes nothing.
    pub fn reload(&mut self) {
        let new = match Config::load(&self.config.file) {
            Ok(new) => new,
            Err(ConfigError { location, kind }) => {
                return tracing::error!(%location, error = %kind, "configuration is invalid; keeping the earlier one");
            }
        };
        tracing::info!(discovery = %new.discovery, "configuration read again");
        if let Some(action) = self.discovery.set_address(&mut self.engine, new.discovery) {
            self.on_discovery(action);
        }
        if let (
            Some(address),
            Shell {
                counter: Some(counter),
                engine,
                ..
            },
        ) = (new.counter, &mut *self)
        {
            let told = counter.moved(engine, address);
            self.counted(told);
        }
        (self.config.discovery, self.config.counter) = (new.discovery, new.counter);
        self.settle();
    }
}
