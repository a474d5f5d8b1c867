//! A minimal state for the tests of this package: a sum of byte values.

use crate::disk::Disk;
use crate::log::Log;
use crate::record;
use crate::simulated_disk::SimulatedDisk;
use crate::snapshot;
use crate::state::{Identity, MalformedRecord, ReplayableState, Replayed, SnapshotDamage};

/// Incarnation of the logs that the tests create.
pub(crate) const INCARNATION: u64 = 77;

/// Sum of the values of all records; each record is one change.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Sum {
    pub(crate) position: u64,
    pub(crate) total: u64,
}

/// Encodes a record: the position before it and a value.
pub(crate) fn encode(position: u8, value: u8) -> Vec<u8> {
    let mut out = Vec::new();
    record::append_bytes(&mut out, &[position, value]);
    out
}

impl ReplayableState for Sum {
    type Settings = ();
    const VERSION: u32 = 3;
    const RECORD_CONTENT: &'static str = "values";

    fn new((): &()) -> Sum {
        Sum::default()
    }

    fn position(&self) -> u64 {
        self.position
    }

    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord> {
        let &[position, value] = body else {
            return Err(MalformedRecord);
        };
        let record_position = u64::from(position);
        if record_position > self.position {
            return Ok(Replayed::Gap { record_position });
        }
        if record_position < self.position {
            return Ok(Replayed::AlreadyApplied);
        }
        self.position += 1;
        self.total += u64::from(value);
        Ok(Replayed::Changes(1))
    }

    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        let numbers = [
            self.position,
            self.total,
            identity.incarnation,
            identity.epoch,
        ];
        let body: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
        let mut out = Vec::new();
        record::append_bytes(&mut out, &body);
        out
    }

    fn restore(bytes: &[u8], (): &()) -> Result<(Sum, Identity), SnapshotDamage> {
        let body = record::body_at(bytes, 0).ok_or_else(|| SnapshotDamage {
            offset: 0,
            expected: "a sound record".into(),
        })?;
        let number = |index: usize| {
            let word = body[index * 8..(index + 1) * 8].try_into();
            u64::from_le_bytes(word.expect("eight bytes"))
        };
        let sum = Sum {
            position: number(0),
            total: number(1),
        };
        let identity = Identity {
            incarnation: number(2),
            epoch: number(3),
        };
        Ok((sum, identity))
    }
}

/// A log with its state on a simulated disk.
pub(crate) struct Harness {
    pub(crate) disk: SimulatedDisk,
    pub(crate) log: Log<SimulatedDisk>,
    pub(crate) sum: Sum,
}

impl Harness {
    /// Opens the log on a disk.
    pub(crate) fn open(disk: &SimulatedDisk) -> Harness {
        let opened = Log::open(disk.clone(), &(), INCARNATION)
            .unwrap_or_else(|error| panic!("expected a valid log: {error}"));
        Harness {
            disk: disk.clone(),
            log: opened.log,
            sum: opened.state,
        }
    }

    /// Appends, syncs and applies values.
    pub(crate) fn append(&mut self, values: &[u8]) {
        for value in values {
            let record = encode(self.sum.position as u8, *value);
            self.log.append(&record).expect("appended");
            self.log.sync().expect("synced");
            self.sum
                .replay(&record[record::HEADER_BYTES..])
                .expect("a valid record");
        }
    }

    /// Starts a new segment and writes a snapshot.
    pub(crate) fn snapshot(&mut self) {
        self.log.roll(self.sum.position).expect("a new segment");
        snapshot::write(&self.disk, &self.sum, self.log.identity()).expect("a snapshot");
    }
}

/// Applies a change to the bytes of a file.
pub(crate) fn edit(disk: &SimulatedDisk, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = disk.read(name).expect("a file");
    change(&mut bytes);
    disk.put(name, bytes);
}
