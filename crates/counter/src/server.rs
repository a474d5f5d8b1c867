//! One part of the counter on sockets: increments in, batches to the log, answers out.

mod admin;
mod batches;
mod completions;
mod error;
mod parts;
mod startup;
mod streams;

pub use error::ServerError;
pub use parts::run;

use crate::hot_names::HotNameSampler;
use crate::metrics::Metrics;
use crate::pending::PendingQueue;
use crate::state::CounterState;
use crate::writer::Writer;
use batches::{BatchInFlight, PendingIncrement};
use bytes::BytesMut;
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, ListenerId, StreamId};
use chalkdeck_wal::disk::Folder;
use chalkdeck_wal::state::Identity;
use chalkdeck_wal::{retention, snapshot};
use completions::SnapshotSchedule;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use streams::IncrementStream;

/// Longest wait of a turn without an event, in microseconds.
const TURN_WAIT: u64 = 50_000;
/// The same while the server drains.
const DRAIN_TURN_WAIT: u64 = 5_000;
/// How long a drain may take, in microseconds.
const DRAIN_TIMEOUT: u64 = 2_000_000;

/// Where a part keeps its log and snapshots.
struct Storage {
    writer: Writer,
    folder: Folder,
}

/// One part of the counter.
pub struct Server {
    engine: Engine,
    grpc_listener: ListenerId,
    grpc_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    state: CounterState,
    identity: Identity,
    /// `None`: the state is in memory only.
    storage: Option<Storage>,
    streams: FxHashMap<StreamId, IncrementStream>,
    pending: PendingQueue<ConnId, PendingIncrement>,
    in_flight: Option<BatchInFlight>,
    /// Encoded answers of this turn.
    answers: FxHashMap<StreamId, BytesMut>,
    hot_names: HotNameSampler,
    metrics: Metrics,
    snapshot_schedule: SnapshotSchedule,
    /// Whether the log is closed, so that nothing more is counted.
    is_closed: bool,
}

impl Server {
    /// Address of the gRPC service.
    pub fn grpc_address(&self) -> SocketAddr {
        self.grpc_address
    }

    /// Address of the admin port.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Serves until a signal asks for the stop; then answers what waits and writes a snapshot.
    pub fn run(mut self, signals: &Signals) -> Result<(), ServerError> {
        let mut events = Vec::new();
        while !signals.stop() {
            self.turn(TURN_WAIT, &mut events)?;
        }
        self.drain(&mut events)?;
        self.write_last_snapshot()
    }

    fn drain(&mut self, events: &mut Vec<Event>) -> Result<(), ServerError> {
        self.engine.drain(self.grpc_listener);
        let deadline = self.engine.now() + DRAIN_TIMEOUT;
        while self.has_unanswered_increments() && self.engine.now() < deadline {
            self.turn(DRAIN_TURN_WAIT, events)?;
        }
        // One more turn sends the last answers.
        self.turn(0, events)
    }

    fn has_unanswered_increments(&self) -> bool {
        self.in_flight.is_some() || !self.pending.is_empty()
    }

    fn turn(&mut self, max_wait: u64, events: &mut Vec<Event>) -> Result<(), ServerError> {
        let can_begin_batch = self.in_flight.is_none() && !self.pending.is_empty();
        let wait = if can_begin_batch { 0 } else { max_wait };
        self.engine.turn(wait, events)?;
        for event in events.drain(..) {
            self.on_event(event);
        }
        while let Some(completion) = self.next_completion() {
            self.on_completion(completion);
        }
        self.begin_batch();
        self.send_answers();
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Opened {
                conn, stream, head, ..
            } => self.on_stream_opened(conn, stream, head.uri.path()),
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            Event::End { stream, .. } => self.on_stream_ended(stream),
            Event::StreamFailed { stream, .. } => {
                self.streams.remove(&stream);
            }
            // Pending increments of a lost connection are not counted: nobody would get the answers.
            Event::Closed { conn, .. } => self.pending.remove_connection(conn),
            Event::Get { conn, path } => self.on_get(conn, &path),
            _ => {}
        }
    }

    fn write_last_snapshot(self) -> Result<(), ServerError> {
        let Some(storage) = self.storage.filter(|_| !self.is_closed) else {
            return Ok(());
        };
        // Ends the threads, which sync what they wrote.
        drop(storage.writer);
        snapshot::write(&storage.folder, &self.state, self.identity)?;
        retention::remove_superseded(&storage.folder)?;
        tracing::info!(position = self.state.position(), "stopped with a snapshot");
        Ok(())
    }
}
