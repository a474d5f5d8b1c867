//! The counter's log: batches of adds as records of `chalkdeck_wal`, and the counts that they replay to.

use crate::snapshot;
use crate::state::{Add, Counts, Limits};
use chalkdeck_proto::chalkdeck::counter::v1::Batch;
pub use chalkdeck_wal::disk;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::held::{Applied, Damage, Held, Identity};
pub use chalkdeck_wal::log::{segments, snapshots, trim, Failed, Found, Log, OpenError};
pub use chalkdeck_wal::record;
use prost::Message;

/// A log with its counts.
pub type Opened<D> = chalkdeck_wal::log::Opened<D, Counts>;
/// What a folder held.
pub type Replayed = chalkdeck_wal::log::Replayed<Counts>;

/// Reads a folder without changing it, up to a position. Errors: the disk, or damage before the torn tail.
pub fn replay<D: Disk>(disk: &D, limits: Limits, until: u64) -> Result<Replayed, OpenError> {
    chalkdeck_wal::log::replay(disk, &limits, until)
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
    record::push(out, &batch);
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

impl Held for Counts {
    type Settings = Limits;
    const VERSION: u32 = snapshot::VERSION;
    const RECORD: &'static str = "adds";

    fn new(limits: &Limits) -> Counts {
        Counts::new(*limits)
    }
    fn position(&self) -> u64 {
        self.position
    }
    fn replay(&mut self, body: &[u8]) -> Option<Applied> {
        let batch = Batch::decode(body).ok()?;
        let adds = adds_of(&batch)?;
        Some(match batch.position {
            from if from > self.position => Applied::Gap(from),
            from if from < self.position => Applied::Held,
            _ => {
                for add in &adds {
                    self.apply(batch.time, add);
                }
                Applied::Changes(adds.len() as u64)
            }
        })
    }
    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        snapshot::encode(self, identity)
    }
    fn restore(bytes: &[u8], limits: &Limits) -> Result<(Counts, Identity), Damage> {
        snapshot::decode(bytes, *limits).map(|d| (d.counts, d.identity))
    }
}
