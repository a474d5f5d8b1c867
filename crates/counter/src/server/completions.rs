//! Handles the completions of the writer: acknowledges batches once they are written, and schedules snapshots by the growth
//! of the log.

use super::Server;
use crate::writer::{Completion, WriteOutcome};
use chalkdeck_net::grpc::Code;
use chalkdeck_wal::error::AppendError;
use std::io;

/// Decides when the next snapshot is due.
pub(super) struct SnapshotSchedule {
    /// Bytes of log after which the next snapshot is due.
    threshold_bytes: u64,
    /// Bytes of log since the last snapshot was started.
    bytes_since_snapshot: u64,
    is_snapshot_in_progress: bool,
}

impl SnapshotSchedule {
    pub(super) fn new(threshold_bytes: u64) -> SnapshotSchedule {
        SnapshotSchedule {
            threshold_bytes,
            bytes_since_snapshot: 0,
            is_snapshot_in_progress: false,
        }
    }

    fn is_snapshot_due(&self) -> bool {
        self.bytes_since_snapshot >= self.threshold_bytes && !self.is_snapshot_in_progress
    }
}

impl Server {
    pub(super) fn next_completion(&self) -> Option<Completion> {
        self.storage.as_ref()?.writer.next_completion()
    }

    pub(super) fn on_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Batch(outcome) => self.on_batch_written(outcome),
            Completion::Rolled(Ok(())) => self.write_snapshot(),
            Completion::Snapshot(Ok(())) => self.snapshot_schedule.is_snapshot_in_progress = false,
            Completion::Rolled(Err(error)) | Completion::Snapshot(Err(error)) => {
                self.on_snapshot_failed(&error);
            }
        }
    }

    fn on_batch_written(&mut self, outcome: WriteOutcome) {
        if let Err(error) = outcome.result {
            return self.on_batch_failed(&error);
        }
        self.metrics.record_write(outcome.elapsed);
        self.snapshot_schedule.bytes_since_snapshot += outcome.record_len as u64;
        if let Some(batch) = self.in_flight.take() {
            self.count(batch);
        }
        self.begin_segment_if_due();
    }

    fn on_batch_failed(&mut self, error: &AppendError) {
        tracing::error!(%error, "batch of increments not persisted");
        let code = match error {
            AppendError::NotWritten(_) | AppendError::Closed => Code::Unavailable,
            AppendError::OutcomeUnknown(_) => Code::DataLoss,
        };
        self.is_log_closed |= !matches!(error, AppendError::NotWritten(_));
        self.metrics.set_log_closed(self.is_log_closed);
        if let Some(batch) = self.in_flight.take() {
            self.respond_to_all(batch.increments, code);
        }
        if self.is_log_closed {
            let pending = self.pending.take(usize::MAX);
            self.respond_to_all(pending, Code::Unavailable);
        }
    }

    /// Starts a new segment if a snapshot is due; the snapshot is written once the segment exists. No batch is in flight
    /// here, so the state is that at the end of the log.
    fn begin_segment_if_due(&mut self) {
        if !self.snapshot_schedule.is_snapshot_due() {
            return;
        }
        self.snapshot_schedule.is_snapshot_in_progress = true;
        if let Some(storage) = &self.storage {
            storage.writer.roll(self.state.position());
        }
    }

    fn write_snapshot(&mut self) {
        if let Some(storage) = &self.storage {
            storage.writer.write_snapshot(self.state.clone());
        }
        self.snapshot_schedule.bytes_since_snapshot = 0;
    }

    fn on_snapshot_failed(&mut self, error: &io::Error) {
        tracing::error!(%error, "snapshot not written: the log keeps growing");
        self.snapshot_schedule.is_snapshot_in_progress = false;
    }
}
