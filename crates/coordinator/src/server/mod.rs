//! The network server of one replica: it receives commands, reads and sessions, and exchanges consensus messages with the other
//! replicas. The output of an event-loop turn is sent only after the turn's record is synced to disk. All decisions are made by
//! [`Replica`].

mod error;
mod incoming;
mod metrics;
mod peers;

pub use error::ServerError;

use crate::ids::RequesterId;
use crate::log::{OpenedLog, ReplicaLog};
use crate::replica::{Output, Replica, ReplicaSettings, StartMode};
use crate::settings::Settings;
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId, StreamId};
use chalkdeck_time::{TimeDelta, Timestamp};
use chalkdeck_wal::disk::Folder;
use incoming::{IncomingMessage, IncomingStream, MalformedMessage, Method};
use peers::PeerConnections;
use prost::Message;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// gRPC path of the method that submits a command.
pub const SUBMIT_PATH: &str = "/chalkdeck.keeper.v1.Keeper/Tell";
/// gRPC path of the method that reads the state.
pub const READ_PATH: &str = "/chalkdeck.keeper.v1.Keeper/Look";
/// gRPC path of the method for gateways' sessions.
pub const SESSION_PATH: &str = "/chalkdeck.keeper.v1.Keeper/Session";
/// gRPC path of the method for messages between replicas.
pub const PEER_PATH: &str = "/chalkdeck.keeper.v1.Keeper/Peer";

/// Maximum size of a message from a replica, which may hold the full state.
pub(crate) const MAX_STATE_MESSAGE_BYTES: usize = 512 << 20;
/// Maximum size of a gateway's send queue. The stream of a gateway that reads too slowly is reset beyond that.
const MAX_GATEWAY_SEND_QUEUE_BYTES: usize = 64 << 20;
/// Interval between keepalive pings. A connection is closed if a ping is not answered before the next one is due.
const KEEPALIVE_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// Maximum time that an event-loop turn waits for events.
const MAX_TURN_WAIT: TimeDelta = TimeDelta::from_millis(50);
/// Token of the tick timer.
const TICK_TIMER_TOKEN: u64 = 1;
/// Size of the log at which a snapshot is written, as a multiple of the configuration's initial state, because each snapshot
/// contains that state.
const LOG_TO_STATE_RATIO: usize = 2;
/// Lower bound for the state size that [`LOG_TO_STATE_RATIO`] is applied to.
const MIN_STATE_BYTES: usize = 16 << 20;

/// Limits of a replica's connections.
pub fn connection_limits() -> Limits {
    Limits {
        max_streams: 4_096,
        stream_window_bytes: 1 << 20,
        connection_window_bytes: 64 << 20,
        keepalive_interval_micros: KEEPALIVE_INTERVAL.as_micros(),
        ..Limits::default()
    }
}

/// The server of one replica.
pub struct ReplicaServer {
    engine: Engine,
    listener: ListenerId,
    listen_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    replica: Replica,
    log: ReplicaLog<Folder>,
    incoming_streams: FxHashMap<StreamId, IncomingStream>,
    peers: PeerConnections,
    tick_interval: TimeDelta,
    record_count: u64,
}

impl ReplicaServer {
    /// Replays the log in the settings' folder and binds the addresses.
    ///
    /// # Errors
    /// See [`ServerError`].
    pub fn start(settings: &Settings, start_mode: StartMode) -> Result<ReplicaServer, ServerError> {
        let mut engine = Engine::new().map_err(ServerError::Poll)?;
        let incarnation = generate_incarnation(engine.now());
        let opened = open_log(settings, incarnation)?;
        let replica = Replica::new(
            replica_settings(settings, &opened, incarnation),
            opened.state,
            opened.position,
            start_mode,
            Timestamp::from_micros(engine.now()),
        )?;
        let (listener, listen_address) = bind(&mut engine, settings.listen, Protocol::Http2)?;
        let admin_address = match settings.admin {
            Some(address) => Some(bind(&mut engine, address, Protocol::Http1)?.1),
            None => None,
        };
        engine.set_timer(engine.now(), TICK_TIMER_TOKEN);
        Ok(ReplicaServer {
            engine,
            listener,
            listen_address,
            admin_address,
            replica,
            log: opened.log,
            incoming_streams: FxHashMap::default(),
            peers: PeerConnections::new(&settings.replicas, settings.slot),
            tick_interval: settings.tick_interval,
            record_count: 0,
        })
    }

    /// The address that the gRPC server listens on.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// The address that health checks and metrics are served on.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Serves until a stop signal is received.
    ///
    /// # Errors
    /// Writing the log or polling for events failed. No output was sent whose record is not on disk.
    pub fn run(mut self, signals: &Signals) -> Result<(), ServerError> {
        let mut events = Vec::new();
        self.end_turn()?;
        while !signals.is_stop_requested() {
            self.engine
                .turn(MAX_TURN_WAIT.as_micros(), &mut events)
                .map_err(ServerError::Poll)?;
            let now = Timestamp::from_micros(self.engine.now());
            self.replica.advance_clock(now);
            for event in events.drain(..) {
                self.on_event(event);
            }
            self.end_turn()?;
        }
        self.engine.drain(self.listener);
        self.engine.turn(0, &mut events).map_err(ServerError::Poll)
    }

    /// Writes the record of a turn, and then sends the turn's outputs.
    fn end_turn(&mut self) -> Result<(), ServerError> {
        if let Some(record) = self.replica.end_turn() {
            self.log.write(&record)?;
            self.record_count += 1;
            if self.log.needs_snapshot() {
                self.log.write_snapshot(&self.replica.persisted_state())?;
            }
        }
        for output in self.replica.take_outputs() {
            self.send(output);
        }
        Ok(())
    }

    fn send(&mut self, output: Output) {
        match output {
            Output::Peer(slot, message) => self.peers.send(&mut self.engine, slot, &message),
            Output::ReadMembers(slot, request) => {
                self.peers.send_read(&mut self.engine, slot, &request);
            }
            Output::CommandResponse(requester, response) => self.respond(requester, &response),
            Output::ReadResponse(requester, response) => {
                self.respond(requester, response.as_ref());
            }
            Output::Session(requester, message) => self.send_to_gateway(requester, &*message),
        }
    }

    /// Sends the response of a unary call.
    fn respond(&mut self, requester: RequesterId, message: &impl Message) {
        let stream = StreamId(requester.0);
        if self.incoming_streams.remove(&stream).is_none() {
            return;
        }
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine
            .send(stream, grpc::frame(&message.encode_to_vec()));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }

    fn send_to_gateway(&mut self, requester: RequesterId, message: &impl Message) {
        let stream = StreamId(requester.0);
        if self.engine.queued_bytes(stream) > MAX_GATEWAY_SEND_QUEUE_BYTES {
            self.remove_incoming(stream);
            self.engine.reset(stream, h2::Reason::ENHANCE_YOUR_CALM);
            return;
        }
        self.engine
            .send(stream, grpc::frame(&message.encode_to_vec()));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Timer(TICK_TIMER_TOKEN) => self.on_tick(),
            Event::StreamOpened { stream, head, .. } => {
                self.on_stream_opened(stream, head.uri.path())
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            Event::StreamEnded { stream, .. } => self.on_remote_end(stream),
            Event::StreamFailed { stream, .. } => {
                self.remove_incoming(stream);
                self.peers.on_stream_closed(stream);
            }
            Event::Connected { conn } => self.peers.on_connected(conn),
            Event::Closed { conn, .. } => self.peers.on_connection_closed(&self.engine, conn),
            Event::Get { conn, path } => self.on_http_get(conn, &path),
            _ => {}
        }
    }

    fn on_tick(&mut self) {
        self.replica.tick();
        let next = Timestamp::from_micros(self.engine.now()) + self.tick_interval;
        self.engine.set_timer(next.as_micros(), TICK_TIMER_TOKEN);
        self.peers.tick(&mut self.engine);
    }

    fn on_stream_opened(&mut self, stream: StreamId, path: &str) {
        let Some(method) = Method::from_path(path) else {
            let trailers = grpc::trailers(Code::Unimplemented, &format!("no method {path}"));
            let head = grpc::trailers_only(trailers);
            return self.engine.respond(stream, head, true);
        };
        if method.is_streaming() {
            self.engine.respond(stream, grpc::response_head(), false);
        }
        self.incoming_streams
            .insert(stream, IncomingStream::new(method));
    }

    /// Handles a stream whose remote side has finished sending.
    fn on_remote_end(&mut self, stream: StreamId) {
        let incoming = self.incoming_streams.get(&stream);
        if incoming.is_some_and(|incoming| incoming.method.is_streaming()) {
            self.engine
                .finish(stream, Some(grpc::trailers(Code::Ok, "")));
            self.remove_incoming(stream);
        }
        self.peers.on_stream_closed(stream);
    }

    fn remove_incoming(&mut self, stream: StreamId) {
        let incoming = self.incoming_streams.remove(&stream);
        if incoming.is_some_and(|incoming| incoming.method == Method::Session) {
            self.replica.on_stream_closed(RequesterId(stream.0));
        }
    }

    fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        if let Some(response) = self.peers.receive_read_data(stream, data) {
            return self.replica.receive_members(&response);
        }
        if let Some(incoming) = self.incoming_streams.get_mut(&stream) {
            incoming.push_data(data);
        }
        // Handling a message may remove the stream.
        while let Some(incoming) = self.incoming_streams.get_mut(&stream) {
            match incoming.next_message() {
                Ok(Some(message)) => self.on_message(RequesterId(stream.0), message),
                Ok(None) => return,
                Err(MalformedMessage) => return self.on_malformed_message(stream),
            }
        }
    }

    fn on_message(&mut self, requester: RequesterId, message: IncomingMessage) {
        match message {
            IncomingMessage::Submit(command) => self.replica.submit(requester, command),
            IncomingMessage::Read(request) => self.replica.read(requester, &request),
            IncomingMessage::Session(message) => {
                self.replica.receive_from_gateway(requester, message);
            }
            IncomingMessage::Peer(message) => self.replica.receive_from_peer(&message),
        }
    }

    fn on_malformed_message(&mut self, stream: StreamId) {
        let trailers = grpc::trailers(Code::InvalidArgument, "expected a message of this method");
        let incoming = self.incoming_streams.get(&stream);
        if incoming.is_some_and(|incoming| !incoming.method.is_streaming()) {
            let head = grpc::trailers_only(trailers);
            self.engine.respond(stream, head, true);
        } else {
            self.engine.finish(stream, Some(trailers));
        }
        self.remove_incoming(stream);
    }

    fn on_http_get(&mut self, conn: ConnId, path: &str) {
        match path {
            "/healthz" if self.replica.has_quorum() => self.engine.reply(conn, 200, "ok\n"),
            "/healthz" => self.engine.reply(
                conn,
                503,
                "nothing is agreed on: no majority, or no place\n",
            ),
            "/metrics" => {
                let text = metrics::render(&self.replica, self.record_count);
                self.engine.reply(conn, 200, &text);
            }
            _ => self
                .engine
                .reply(conn, 404, "expected /healthz or /metrics\n"),
        }
    }
}

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    Http1,
    Http2,
}

fn bind(
    engine: &mut Engine,
    address: SocketAddr,
    protocol: Protocol,
) -> Result<(ListenerId, SocketAddr), ServerError> {
    let is_http1 = protocol == Protocol::Http1;
    engine
        .listen(address, connection_limits(), false, is_http1)
        .map_err(|source| ServerError::Listen { address, source })
}

fn open_log(settings: &Settings, incarnation: u64) -> Result<OpenedLog<Folder>, ServerError> {
    let folder = Folder::open(&settings.folder).map_err(|source| ServerError::Folder {
        folder: settings.folder.clone(),
        source,
    })?;
    let mut opened =
        ReplicaLog::open(folder, incarnation).map_err(|source| ServerError::Damaged {
            folder: settings.folder.clone(),
            source,
        })?;
    let state_bytes = opened.state.configuration.base.len();
    let threshold = state_bytes.max(MIN_STATE_BYTES) * LOG_TO_STATE_RATIO;
    opened.log.set_snapshot_threshold(threshold);
    Ok(opened)
}

fn replica_settings(
    settings: &Settings,
    opened: &OpenedLog<Folder>,
    incarnation: u64,
) -> ReplicaSettings {
    // A replica without a configuration uses its disk's incarnation, so that it requests the same membership after a restart.
    let has_configuration = opened.state.configuration.number > 0;
    ReplicaSettings {
        slot: settings.slot,
        replica_count: settings.replicas.len() as u32,
        lease_terms: settings.lease_terms,
        min_move_interval_ms: settings.min_move_interval_ms,
        unused_after_ms: settings.unused_after_ms,
        max_log_entries: settings.max_log_entries,
        elections: settings.elections.clone(),
        incarnation: if has_configuration {
            incarnation
        } else {
            opened.identity.incarnation
        },
        epoch: opened.identity.epoch,
    }
}
