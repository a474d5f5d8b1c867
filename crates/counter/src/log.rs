//! The counter's log: batches of adds as records of `chalkdeck_wal`, and the counts that they replay to.

use crate::snapshot;
use crate::state::{Add, Counts, Limits};
use chalkdeck_proto::chalkdeck::counter::v1::Batch;
pub use chalkdeck_wal::disk;
use chalkdeck_wal::disk::Disk;
pub use chalkdeck_wal::error::{AppendError, OpenError};
use chalkdeck_wal::log::{Log, OpenedLog};
pub use chalkdeck_wal::record;
use chalkdeck_wal::recovery::{self, RecoveredState};
use chalkdeck_wal::state::{
    Identity, MalformedRecord, ReplayableState, Replayed as ReplayedRecord, SnapshotDamage,
};
use prost::Message;

/// A log with its counts.
pub type Opened<D> = OpenedLog<D, Counts>;
/// What a folder held.
pub type Replayed = RecoveredState<Counts>;

/// Reads a folder without changing it, up to a position. Errors: the disk, or damage before the torn tail.
pub fn replay<D: Disk>(disk: &D, limits: Limits, until: u64) -> Result<Replayed, OpenError> {
    recovery::recover(disk, &limits, until)
}

/// Reads a folder, cuts a torn tail and begins a new segment in a new epoch. `incarnation`: of a folder that holds nothing.
/// Errors: the disk, or damage before the tail; then nothing has been changed.
pub fn open<D: Disk>(disk: D, limits: Limits, incarnation: u64) -> Result<Opened<D>, OpenError> {
    Log::open(disk, &limits, incarnation)
}

/// Adds as one record, counted from `position` on at `time`.
pub fn encode(out: &mut Vec<u8>, position: u64, time: u64, adds: &[Add]) {
    let batch = Batch {
        position,
        time,
        names: adds.iter().map(|a| a.name).collect(),
        amounts: adds.iter().map(|a| a.amount).collect(),
        lifetimes: adds.iter().map(|a| a.lifetime).collect(),
        callers: adds.iter().map(|a| a.caller).collect(),
        numbers: adds.iter().map(|a| a.number).collect(),
    };
    record::append_message(out, &batch);
}

/// The adds of a batch; none if its columns differ in length.
pub fn adds_of(batch: &Batch) -> Option<Vec<Add>> {
    let len = batch.names.len();
    let columns = [
        batch.amounts.len(),
        batch.lifetimes.len(),
        batch.callers.len(),
        batch.numbers.len(),
    ];
    if columns.iter().any(|c| *c != len) || batch.amounts.iter().any(|a| !a.is_finite()) {
        return None;
    }
    let add = |i: usize| Add {
        name: batch.names[i],
        amount: batch.amounts[i],
        lifetime: batch.lifetimes[i],
        caller: batch.callers[i],
        number: batch.numbers[i],
    };
    Some((0..len).map(add).collect())
}

impl ReplayableState for Counts {
    type Settings = Limits;
    const VERSION: u32 = snapshot::VERSION;
    const RECORD_CONTENT: &'static str = "adds";

    fn new(limits: &Limits) -> Counts {
        Counts::new(*limits)
    }
    fn position(&self) -> u64 {
        self.position
    }
    fn replay(&mut self, body: &[u8]) -> Result<ReplayedRecord, MalformedRecord> {
        let batch = Batch::decode(body).map_err(|_| MalformedRecord)?;
        let adds = adds_of(&batch).ok_or(MalformedRecord)?;
        Ok(match batch.position {
            from if from > self.position => ReplayedRecord::Gap {
                record_position: from,
            },
            from if from < self.position => ReplayedRecord::AlreadyApplied,
            _ => {
                for add in &adds {
                    self.apply(batch.time, add);
                }
                ReplayedRecord::Changes(adds.len() as u64)
            }
        })
    }
    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        snapshot::encode(self, identity)
    }
    fn restore(bytes: &[u8], limits: &Limits) -> Result<(Counts, Identity), SnapshotDamage> {
        snapshot::decode(bytes, *limits).map(|d| (d.counts, d.identity))
    }
}
