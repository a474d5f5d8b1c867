//! The part of the storage that survives a crash, and its format on the disk.

use super::{Configuration, Entry, StorageChange};
use chalkdeck_wal::record;
use chalkdeck_wal::state::{Identity, MalformedRecord, ReplayableState, Replayed, SnapshotDamage};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// Version of the format of records and snapshots.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of a snapshot in one record. Snapshots are split, as the size of a record is limited.
const SNAPSHOT_CHUNK_BYTES: usize = record::MAX_BODY_BYTES / 2;

/// The state that a replica stores for the consensus library.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    entries: Vec<Entry>,
    promised: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    /// The configuration that the entries and ballots belong to.
    pub configuration: Configuration,
    /// The number of changes applied since the log was created.
    change_count: u64,
}

impl PersistedState {
    /// Applies a change.
    pub(super) fn apply(&mut self, change: StorageChange) {
        self.change_count += 1;
        match change {
            StorageChange::Append(entries) => self.entries.extend(entries),
            StorageChange::ReplaceFrom(index, entries) => {
                self.entries.truncate(index);
                self.entries.extend(entries);
            }
            StorageChange::Promise(ballot) => self.promised = Some(ballot),
            StorageChange::Accept(ballot) => self.accepted = Some(ballot),
            StorageChange::Decide(count) => self.decided = count,
            StorageChange::BeginConfiguration(configuration) => {
                *self = PersistedState {
                    configuration,
                    change_count: self.change_count,
                    ..PersistedState::default()
                };
            }
        }
    }

    /// The entries of a range; empty if the range is not within the log.
    pub(super) fn entries(&self, from: usize, to: usize) -> Vec<Entry> {
        let range = self.entries.get(from..to);
        range.map(<[Entry]>::to_vec).unwrap_or_default()
    }

    pub(super) fn promised(&self) -> Option<Ballot> {
        self.promised
    }

    pub(super) fn accepted(&self) -> Option<Ballot> {
        self.accepted
    }

    /// The decided entries from an index on.
    pub fn decided_since(&self, index: usize) -> Vec<Entry> {
        self.entries(index, self.decided)
    }

    /// The number of decided entries.
    pub fn decided(&self) -> usize {
        self.decided
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Encodes changes as one record of the log. `position` is the number of changes before them.
pub fn encode_record(position: u64, changes: &[StorageChange]) -> Vec<u8> {
    let mut bytes = Vec::new();
    record::append_bytes(&mut bytes, &encode(&(position, changes)));
    bytes
}

/// Encodes a value. This cannot fail for the types of this module: they have no maps of unknown length and no custom serializers.
fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

impl ReplayableState for PersistedState {
    type Settings = ();
    const VERSION: u32 = FORMAT_VERSION;
    const RECORD_CONTENT: &'static str = "changes";

    fn new((): &()) -> PersistedState {
        PersistedState::default()
    }

    fn position(&self) -> u64 {
        self.change_count
    }

    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord> {
        let (position, changes): (u64, Vec<StorageChange>) =
            postcard::from_bytes(body).map_err(|_| MalformedRecord)?;
        if position > self.change_count {
            return Ok(Replayed::Gap {
                record_position: position,
            });
        }
        if position < self.change_count {
            return Ok(Replayed::AlreadyApplied);
        }
        let count = changes.len() as u64;
        for change in changes {
            self.apply(change);
        }
        Ok(Replayed::Changes(count))
    }

    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        let body = encode(&(FORMAT_VERSION, identity.incarnation, identity.epoch, self));
        let mut bytes = Vec::new();
        for chunk in body.chunks(SNAPSHOT_CHUNK_BYTES) {
            record::append_bytes(&mut bytes, chunk);
        }
        bytes
    }

    fn restore(bytes: &[u8], (): &()) -> Result<(PersistedState, Identity), SnapshotDamage> {
        let body = join_records(bytes)?;
        let damage = |expected: String| SnapshotDamage {
            offset: 0,
            expected,
        };
        let decoded: Result<(u32, u64, u64, PersistedState), _> = postcard::from_bytes(&body);
        let (version, incarnation, epoch, state) =
            decoded.map_err(|e| damage(format!("the stored state of a replica: {e}")))?;
        if version != FORMAT_VERSION {
            return Err(damage(format!("version {FORMAT_VERSION}, found {version}")));
        }
        Ok((state, Identity { incarnation, epoch }))
    }
}

/// Concatenates the bodies of all records.
fn join_records(bytes: &[u8]) -> Result<Vec<u8>, SnapshotDamage> {
    let mut joined = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = record::body_at(bytes, offset) else {
            return Err(SnapshotDamage {
                offset,
                expected: "a sound record".into(),
            });
        };
        joined.extend_from_slice(body);
        offset += record::HEADER_BYTES + body.len();
    }
    Ok(joined)
}
