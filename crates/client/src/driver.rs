//! Executes the core's actions over sockets, on one thread with an event loop.

mod attempts;
mod calls;
mod connections;
mod streams;

use crate::command::Command;
use crate::core::{Action, AttemptOutcome, CallId, ClientCore, Event, GatewayId, Outcome};
use crate::metrics::Metrics;
use attempts::AttemptId;
use calls::{OpenCall, Responder};
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, StreamError, StreamId};
use chalkdeck_time::{TimeDelta, Timestamp};
use connections::GatewayConnection;
use std::collections::HashMap;
use std::sync::mpsc::Receiver;
use std::sync::Arc;

/// Maximum size of a response message.
const MAX_RESPONSE_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum time that one turn of the event loop waits for events.
const MAX_TURN_WAIT: TimeDelta = TimeDelta::from_secs(1);
/// The timer token for polling the gateway file. All other tokens are those of connect timeouts.
const GATEWAY_FILE_TIMER_TOKEN: u64 = u64::MAX;

/// The state of the client's thread.
pub(crate) struct Driver {
    core: ClientCore,
    engine: Engine,
    commands: Receiver<Command>,
    connect_timeout: TimeDelta,
    keepalive_interval: TimeDelta,
    /// Generates idempotency keys.
    rng: fastrand::Rng,
    gateways: Vec<GatewayConnection>,
    calls: HashMap<CallId, OpenCall>,
    attempts: HashMap<StreamId, AttemptId>,
    /// Connections that are being established, by the tokens of their timeouts.
    connects_by_token: HashMap<u64, ConnId>,
    last_connect_token: u64,
    /// Events that the core has yet to handle.
    core_events: Vec<Event>,
    gateway_file: Option<FileWatch>,
    metrics: Arc<Metrics>,
    is_stopped: bool,
}

impl Driver {
    pub(crate) fn new(core: ClientCore, engine: Engine, commands: Receiver<Command>) -> Driver {
        let settings = core.settings();
        let connect_timeout = settings.connect_timeout;
        let keepalive_interval = settings.keepalive_interval;
        let key_seed = settings.seed ^ fastrand::u64(..);
        Driver {
            core,
            engine,
            commands,
            connect_timeout,
            keepalive_interval,
            rng: fastrand::Rng::with_seed(key_seed),
            gateways: Vec::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            connects_by_token: HashMap::new(),
            last_connect_token: 0,
            core_events: Vec::new(),
            gateway_file: None,
            metrics: Arc::default(),
            is_stopped: false,
        }
    }

    pub(crate) fn metrics(&self) -> Arc<Metrics> {
        self.metrics.clone()
    }

    /// Runs until it receives `Command::Stop`, and then cancels the open calls.
    pub(crate) fn run(&mut self) {
        let mut events = Vec::new();
        while !self.is_stopped {
            if let Err(error) = self.engine.turn(self.max_wait().as_micros(), &mut events) {
                tracing::error!(%error, "client event loop stopped");
                break;
            }
            while let Ok(command) = self.commands.try_recv() {
                self.on_command(command);
            }
            for event in events.drain(..) {
                self.on_event(event);
                self.run_core();
            }
            self.core_events.push(Event::Tick);
            self.run_core();
            self.metrics.set_retry_budget(self.core.retry_budget());
        }
        let open_calls: Vec<CallId> = self.calls.keys().copied().collect();
        for call in open_calls {
            self.complete(call, Outcome::Cancelled);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.engine.now())
    }

    fn max_wait(&self) -> TimeDelta {
        let Some(wake) = self.core.next_wake() else {
            return MAX_TURN_WAIT;
        };
        (wake - self.now()).min(MAX_TURN_WAIT)
    }

    /// Passes events to the core and executes its actions, until no new events result.
    fn run_core(&mut self) {
        while !self.core_events.is_empty() {
            let mut actions = Vec::new();
            for event in std::mem::take(&mut self.core_events) {
                let now = self.now();
                self.core.handle(now, event, &mut actions);
            }
            for action in actions {
                self.execute(&action);
            }
        }
    }

    fn execute(&mut self, action: &Action) {
        match *action {
            Action::Connect { gateway } => self.connect(gateway),
            Action::SendAttempt {
                call,
                attempt,
                gateway,
                time_left,
            } => self.send_attempt(AttemptId { call, attempt }, gateway, time_left),
            Action::CancelAttempt { call, .. } => self.cancel_attempt(call),
            Action::CompleteCall { call, outcome } => self.complete(call, outcome),
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::StartCall { id, call, on_reply } => {
                self.start_call(id, call, Responder::Unary(on_reply));
            }
            Command::OpenStream { id, call, stream } => {
                self.start_call(id, call, Responder::Stream(stream));
            }
            Command::SendMessage { call, message } => self.send_message(call, message),
            Command::FinishStream { call } => self.finish_stream(call),
            Command::Cancel { call } => self.core_events.push(Event::CallCancelled { call }),
            Command::SetGateways { addresses } => self.set_gateways(&addresses),
            Command::WatchGatewayFile { watch } => {
                self.gateway_file = Some(watch);
                self.poll_gateway_file();
            }
            Command::Stop => self.is_stopped = true,
        }
        self.run_core();
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Connected { conn } => self.on_connected(conn),
            NetEvent::Closed { conn, .. } => self.on_closed(conn),
            NetEvent::Timer(GATEWAY_FILE_TIMER_TOKEN) => self.poll_gateway_file(),
            NetEvent::Timer(token) => self.on_connect_timeout(token),
            NetEvent::ResponseHead {
                stream,
                head,
                is_end_stream: true,
            } => self.on_response_ended(stream, &head.headers),
            NetEvent::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            NetEvent::Sent { stream, bytes } => self.on_sent(stream, bytes),
            NetEvent::StreamEnded { stream, trailers } => {
                self.on_response_ended(stream, &trailers.unwrap_or_default());
            }
            NetEvent::StreamFailed { stream, error } => {
                self.end_attempt(stream, stream_error_outcome(error))
            }
            _ => {}
        }
    }

    /// Tells the core that a gateway has no usable connection.
    fn report_disconnected(&mut self, gateway: GatewayId) {
        self.core_events.push(Event::Disconnected { gateway });
    }
}

fn stream_error_outcome(error: StreamError) -> AttemptOutcome {
    match error {
        StreamError::Refused | StreamError::GoneAway => AttemptOutcome::NotProcessed,
        StreamError::Reset(_) | StreamError::ConnectionLost => AttemptOutcome::MayHaveRun,
    }
}
