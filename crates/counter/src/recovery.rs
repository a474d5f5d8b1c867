//! Recovery of the counter's state from its snapshots and log.

use crate::batch::IncrementBatch;
use crate::snapshot;
use crate::state::{CounterState, Limits};
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::OpenError;
use chalkdeck_wal::log::{Log, OpenedLog};
use chalkdeck_wal::recovery::{self, RecoveredState};
use chalkdeck_wal::state::{Identity, MalformedRecord, ReplayableState, Replayed, SnapshotDamage};

/// Recovers the state of a folder up to a position, without changing the folder; see [`recovery::recover`].
pub fn recover<D: Disk>(
    disk: &D,
    limits: Limits,
    end_position: u64,
) -> Result<RecoveredState<CounterState>, OpenError> {
    recovery::recover(disk, &limits, end_position)
}

/// Opens the log of a folder and recovers its state; see [`Log::open`].
pub fn open<D: Disk>(
    disk: D,
    limits: Limits,
    new_incarnation: u64,
) -> Result<OpenedLog<D, CounterState>, OpenError> {
    Log::open(disk, &limits, new_incarnation)
}

impl ReplayableState for CounterState {
    type Settings = Limits;
    const VERSION: u32 = snapshot::VERSION;
    const RECORD_CONTENT: &'static str = "adds";

    fn new(limits: &Limits) -> CounterState {
        CounterState::new(*limits)
    }

    fn position(&self) -> u64 {
        self.position
    }

    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord> {
        let batch = IncrementBatch::decode(body).map_err(|_| MalformedRecord)?;
        if batch.position > self.position {
            let record_position = batch.position;
            return Ok(Replayed::Gap { record_position });
        }
        if batch.position < self.position {
            return Ok(Replayed::AlreadyApplied);
        }
        for increment in &batch.increments {
            self.apply(batch.time, increment);
        }
        Ok(Replayed::Changes(batch.increments.len() as u64))
    }

    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        snapshot::encode(self, identity)
    }

    fn restore(bytes: &[u8], limits: &Limits) -> Result<(CounterState, Identity), SnapshotDamage> {
        let decoded = snapshot::decode(bytes, *limits)?;
        Ok((decoded.state, decoded.identity))
    }
}
