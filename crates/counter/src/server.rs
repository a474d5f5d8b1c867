//! The server of one partition: receives increments, writes them to the log in batches and sends the responses.

mod admin;
mod batches;
mod completions;
mod error;
mod partitions;
mod startup;
mod streams;

pub use error::ServerError;
pub use partitions::run;

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

/// Maximum time that a turn of the event loop waits for events, in microseconds.
const MAX_TURN_WAIT_MICROS: u64 = 50_000;
/// Maximum time that a turn waits for events while the server drains, in microseconds.
const MAX_DRAIN_TURN_WAIT_MICROS: u64 = 5_000;
/// Maximum duration of a drain, in microseconds.
const DRAIN_TIMEOUT_MICROS: u64 = 2_000_000;

/// Where a partition stores its log and snapshots.
struct Storage {
    writer: Writer,
    folder: Folder,
}

/// The server of one partition of the counter.
pub struct Server {
    engine: Engine,
    grpc_listener: ListenerId,
    grpc_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    state: CounterState,
    identity: Identity,
    /// `None` if the state is in memory only.
    storage: Option<Storage>,
    streams: FxHashMap<StreamId, IncrementStream>,
    /// Streams that are not read any more and end once all their increments have responses.
    ending_streams: Vec<StreamId>,
    pending: PendingQueue<ConnId, PendingIncrement>,
    in_flight: Option<BatchInFlight>,
    /// Encoded responses that this turn sends.
    responses: FxHashMap<StreamId, BytesMut>,
    hot_name_sampler: HotNameSampler,
    metrics: Metrics,
    snapshot_schedule: SnapshotSchedule,
    /// Whether an error closed the log; then no further increments are counted.
    is_log_closed: bool,
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

    /// Serves until a signal requests the stop, then drains pending increments and writes a snapshot.
    pub fn run(mut self, signals: &Signals) -> Result<(), ServerError> {
        let mut events = Vec::new();
        while !signals.is_stop_requested() {
            self.turn(MAX_TURN_WAIT_MICROS, &mut events)?;
        }
        self.drain(&mut events)?;
        self.write_last_snapshot()
    }

    fn drain(&mut self, events: &mut Vec<Event>) -> Result<(), ServerError> {
        self.engine.drain(self.grpc_listener);
        let deadline = self.engine.now() + DRAIN_TIMEOUT_MICROS;
        while self.has_outstanding_increments() && self.engine.now() < deadline {
            self.turn(MAX_DRAIN_TURN_WAIT_MICROS, events)?;
        }
        // One more turn sends the last responses.
        self.turn(0, events)
    }

    fn has_outstanding_increments(&self) -> bool {
        self.in_flight.is_some() || !self.pending.is_empty()
    }

    fn turn(&mut self, max_wait_micros: u64, events: &mut Vec<Event>) -> Result<(), ServerError> {
        let can_begin_batch = self.in_flight.is_none() && !self.pending.is_empty();
        let wait_micros = if can_begin_batch { 0 } else { max_wait_micros };
        self.engine.turn(wait_micros, events)?;
        for event in events.drain(..) {
            self.on_event(event);
        }
        while let Some(completion) = self.next_completion() {
            self.on_completion(completion);
        }
        self.begin_batch();
        self.send_responses();
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::StreamOpened {
                conn, stream, head, ..
            } => self.on_stream_opened(conn, stream, head.uri.path()),
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            Event::StreamEnded { stream, .. } => self.on_stream_ended(stream),
            Event::StreamFailed { stream, .. } => {
                self.streams.remove(&stream);
            }
            // Pending increments of a closed connection are dropped: no client could receive the responses.
            Event::Closed { conn, .. } => self.pending.remove_connection(conn),
            Event::Get { conn, path } => self.on_get(conn, &path),
            _ => {}
        }
    }

    fn write_last_snapshot(self) -> Result<(), ServerError> {
        let Some(storage) = self.storage.filter(|_| !self.is_log_closed) else {
            return Ok(());
        };
        // Stops the threads; the log thread syncs the log before it ends.
        drop(storage.writer);
        snapshot::write(&storage.folder, &self.state, self.identity)?;
        retention::remove_superseded(&storage.folder)?;
        tracing::info!(position = self.state.position(), "stopped with a snapshot");
        Ok(())
    }
}
