//! The thread that appends batches to the log, one at a time.

use super::{Completion, CompletionSender, SyncPolicy, WriteOutcome};
use crate::batch::IncrementBatch;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::AppendError;
use chalkdeck_wal::log::Log;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Maximum time that a batch stays unsynced with [`SyncPolicy::Periodic`].
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// A request to the thread.
pub(super) enum LogRequest {
    /// Append a batch.
    Write(IncrementBatch),
    /// Begin a new segment.
    Roll {
        /// Number of increments before the segment.
        position: u64,
    },
}

/// State of the thread.
pub(super) struct LogThread<D: Disk> {
    log: Log<D>,
    sync_policy: SyncPolicy,
    completions: CompletionSender,
    last_periodic_sync: Instant,
    /// Whether batches have been written since the last periodic sync; always `false` with other policies.
    has_unsynced_batches: bool,
    /// Buffer for encoding a record.
    record: Vec<u8>,
}

impl<D: Disk> LogThread<D> {
    pub(super) fn new(
        log: Log<D>,
        sync_policy: SyncPolicy,
        completions: CompletionSender,
    ) -> LogThread<D> {
        LogThread {
            log,
            sync_policy,
            completions,
            last_periodic_sync: Instant::now(),
            has_unsynced_batches: false,
            record: Vec::new(),
        }
    }

    /// Runs until the channel is closed, then syncs the log.
    pub(super) fn run(mut self, inbox: &Receiver<LogRequest>) {
        loop {
            match inbox.recv_timeout(self.time_until_sync()) {
                Ok(LogRequest::Write(batch)) => self.write(&batch),
                Ok(LogRequest::Roll { position }) => {
                    let rolled = self.log.roll(position);
                    self.completions.send(Completion::Rolled(rolled));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    // The event loop has dropped the writer, so no one can handle an error.
                    let _ = self.log.sync();
                    return;
                }
            }
            self.sync_periodically();
        }
    }

    fn time_until_sync(&self) -> Duration {
        if self.has_unsynced_batches {
            return SYNC_INTERVAL.saturating_sub(self.last_periodic_sync.elapsed());
        }
        Duration::MAX
    }

    fn write(&mut self, batch: &IncrementBatch) {
        let started_at = Instant::now();
        self.record.clear();
        batch.encode(&mut self.record);
        let result = self.append_record();
        self.has_unsynced_batches = self.sync_policy == SyncPolicy::Periodic;
        self.completions.send(Completion::Batch(WriteOutcome {
            result,
            elapsed: started_at.elapsed(),
            record_len: self.record.len(),
        }));
    }

    fn append_record(&mut self) -> Result<(), AppendError> {
        self.log.append(&self.record)?;
        if self.sync_policy == SyncPolicy::EveryBatch {
            self.log.sync()?;
        }
        Ok(())
    }

    fn sync_periodically(&mut self) {
        if !self.has_unsynced_batches || self.last_periodic_sync.elapsed() < SYNC_INTERVAL {
            return;
        }
        // An error closes the log; the next batch reports it.
        let _ = self.log.sync();
        self.has_unsynced_batches = false;
        self.last_periodic_sync = Instant::now();
    }
}
