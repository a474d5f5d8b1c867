//! What the agreement's core keeps: in memory for the core, and as operations for the log, which replays to the same.

use chalkdeck_wal::record;
use chalkdeck_wal::state::{Identity, MalformedRecord, ReplayableState, Replayed, SnapshotDamage};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{
    Entry as EntryTrait, Snapshot, StopSign, Storage, StorageOp, StorageResult,
};
use prost::Message;
use serde::{Deserialize, Serialize};

use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

/// One entry of the agreed log: a command's bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(pub Vec<u8>);

impl EntryTrait for Entry {
    type Snapshot = NoSnap;
}

impl Entry {
    /// The command, as every keeper reads it. Bytes that cannot be read change nothing.
    pub fn command(&self) -> wire::Command {
        wire::Command::decode(&self.0[..]).unwrap_or_default()
    }
}

/// The library's own snapshots are not used: of 0.2.4, a follower that takes a delta over has lost what lies between its snapshot and
/// what it had decided. A log that has grown ends instead, and the next one begins from the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoSnap;

impl Snapshot<Entry> for NoSnap {
    fn create(_: &[Entry]) -> NoSnap {
        NoSnap
    }
    fn merge(&mut self, _: NoSnap) {}
    fn use_snapshots() -> bool {
        false
    }
}

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Entries behind the last one.
    Append(Vec<Entry>),
    /// Entries from a place on; what stood there goes.
    Replace(usize, Vec<Entry>),
    /// A round was promised.
    Promise(Ballot),
    /// A round was accepted.
    Accepted(Ballot),
    /// So much is decided.
    Decided(usize),
    /// A new configuration begins with nothing: its number, this keeper's in it, and all keepers'.
    Begin(Configuration),
}

/// Who agrees with whom.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number, from 1; 0: none yet.
    pub number: u32,
    /// This keeper's number in it.
    pub own: u64,
    /// All keepers: number, slot, incarnation.
    pub members: Vec<(u64, u32, u64)>,
    /// What the configuration before left, as bytes of a state.
    pub base: Vec<u8>,
}

/// What is kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    entries: Vec<Entry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    /// The configuration that it belongs to.
    pub configuration: Configuration,
    /// Operations so far.
    ops: u64,
}

impl Kept {
    /// What is decided from a place on.
    pub(crate) fn since(&self, place: usize) -> Vec<Entry> {
        self.entries(place, self.decided)
    }
    fn apply(&mut self, op: Op) {
        self.ops += 1;
        match op {
            Op::Append(entries) => self.entries.extend(entries),
            Op::Replace(from, entries) => {
                self.entries.truncate(from);
                self.entries.extend(entries);
            }
            Op::Promise(b) => self.promise = Some(b),
            Op::Accepted(b) => self.accepted = Some(b),
            Op::Decided(d) => self.decided = d,
            Op::Begin(configuration) => {
                *self = Kept {
                    configuration,
                    ops: self.ops,
                    ..Kept::default()
                };
            }
        }
    }
    fn entries(&self, from: usize, to: usize) -> Vec<Entry> {
        self.entries
            .get(from..to)
            .map(<[Entry]>::to_vec)
            .unwrap_or_default()
    }
    /// So many entries are decided, in all.
    pub fn decided(&self) -> usize {
        self.decided
    }
    /// Entries held in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The core's storage: changes are made at once in memory and gathered for the log. What the core says may only leave after they
/// are on the disk.
#[derive(Clone, Debug, Default)]
pub struct Store {
    kept: Kept,
    gathered: Vec<Op>,
}

impl Store {
    /// What a log replayed to.
    pub fn new(kept: Kept) -> Store {
        Store {
            kept,
            gathered: Vec::new(),
        }
    }
    /// What is kept.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }
    /// A change of its own.
    pub fn put(&mut self, op: Op) {
        self.kept.apply(op.clone());
        self.gathered.push(op);
    }
    /// The changes since the last call, to be written before anything is said.
    pub fn take(&mut self) -> Vec<Op> {
        std::mem::take(&mut self.gathered)
    }
    fn write(&mut self, ops: Vec<StorageOp<Entry>>) {
        for op in ops {
            self.put(match op {
                StorageOp::AppendEntry(entry) => Op::Append(vec![entry]),
                StorageOp::AppendEntries(entries) => Op::Append(entries),
                StorageOp::AppendOnPrefix(from, entries) => Op::Replace(from, entries),
                StorageOp::SetPromise(ballot) => Op::Promise(ballot),
                StorageOp::SetDecidedIndex(index) => Op::Decided(index),
                StorageOp::SetAcceptedRound(ballot) => Op::Accepted(ballot),
                // Asked for by snapshots and stop signs alone.
                StorageOp::SetCompactedIdx(_)
                | StorageOp::Trim(_)
                | StorageOp::SetSnapshot(_)
                | StorageOp::SetStopsign(_) => continue,
            });
        }
    }
    /// Begins a new configuration.
    pub fn begin(&mut self, configuration: Configuration) {
        self.put(Op::Begin(configuration));
    }
}

/// Changes as one record of the log.
pub fn encode(position: u64, ops: &[Op]) -> Vec<u8> {
    // Its own types always have a form.
    let body = postcard::to_stdvec(&(position, ops)).unwrap_or_default();
    let mut out = Vec::new();
    record::append_bytes(&mut out, &body);
    out
}

/// Version of the form of log and snapshots.
pub const VERSION: u32 = 1;

impl ReplayableState for Kept {
    type Settings = ();
    const VERSION: u32 = VERSION;
    const RECORD_CONTENT: &'static str = "changes";

    fn new((): &()) -> Kept {
        Kept::default()
    }
    fn position(&self) -> u64 {
        self.ops
    }
    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord> {
        let (position, ops): (u64, Vec<Op>) =
            postcard::from_bytes(body).map_err(|_| MalformedRecord)?;
        if position != self.ops {
            return Ok(if position > self.ops {
                Replayed::Gap {
                    record_position: position,
                }
            } else {
                Replayed::AlreadyApplied
            });
        }
        let count = ops.len() as u64;
        ops.into_iter().for_each(|op| self.apply(op));
        Ok(Replayed::Changes(count))
    }
    fn snapshot(&self, identity: Identity) -> Vec<u8> {
        let body = postcard::to_stdvec(&(VERSION, identity.incarnation, identity.epoch, self))
            .unwrap_or_default();
        // Parts, as one record is bounded.
        let mut out = Vec::new();
        for part in body.chunks(record::MAX_BODY_LEN / 2) {
            record::append_bytes(&mut out, part);
        }
        out
    }
    fn restore(bytes: &[u8], (): &()) -> Result<(Kept, Identity), SnapshotDamage> {
        let (mut whole, mut at) = (Vec::new(), 0);
        while at < bytes.len() {
            let Some(body) = record::body_at(bytes, at) else {
                return Err(SnapshotDamage {
                    offset: at,
                    expected: "a sound record".into(),
                });
            };
            whole.extend_from_slice(body);
            at += record::HEADER_LEN + body.len();
        }
        let read: Result<(u32, u64, u64, Kept), _> = postcard::from_bytes(&whole);
        match read {
            Ok((VERSION, incarnation, epoch, kept)) => Ok((kept, Identity { incarnation, epoch })),
            Ok((other, ..)) => Err(SnapshotDamage {
                offset: 0,
                expected: format!("version {VERSION}, found {other}"),
            }),
            Err(e) => Err(SnapshotDamage {
                offset: 0,
                expected: format!("what a keeper keeps: {e}"),
            }),
        }
    }
}

/// The store as the core holds it and its carrier looks at it.
#[derive(Clone, Debug, Default)]
pub struct Shelf(pub std::rc::Rc<std::cell::RefCell<Store>>);

impl Shelf {
    /// A store that was replayed.
    pub fn new(kept: Kept) -> Shelf {
        Shelf(std::rc::Rc::new(std::cell::RefCell::new(Store::new(kept))))
    }
}

impl Storage<Entry> for Shelf {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        self.0.borrow_mut().write(ops);
        Ok(())
    }
    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntry(entry)])
    }
    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntries(entries)])
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendOnPrefix(from, entries)])
    }
    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetPromise(ballot)])
    }
    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetDecidedIndex(index)])
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().kept.decided)
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(ballot)])
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().kept.accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().kept.entries(from, to))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().kept.entries.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let store = self.0.borrow();
        Ok(store.kept.entries(from, store.kept.entries.len()))
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().kept.promise)
    }
    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(stop)])
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }
    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::Trim(index)])
    }
    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetCompactedIdx(index)])
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }
    fn set_snapshot(&mut self, snap: Option<NoSnap>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetSnapshot(snap)])
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnap>> {
        Ok(None)
    }
}
