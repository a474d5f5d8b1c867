//! Implementation of the consensus library's storage traits.
//!
//! The library's own snapshots and stop signs are not used: in version 0.2.4, a follower that installs a delta snapshot loses the
//! entries between its own snapshot and its decided index. Instead, a log that has grown is ended, and the next configuration's log
//! begins with a snapshot of the state.

use super::{Entry, Storage, StorageChange};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{
    Entry as LibraryEntry, Snapshot, StopSign, Storage as LibraryStorage, StorageOp, StorageResult,
};
use serde::{Deserialize, Serialize};

/// The snapshot type that the library requires; never created, as snapshots are disabled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoSnapshot;

impl Snapshot<Entry> for NoSnapshot {
    fn create(_: &[Entry]) -> NoSnapshot {
        NoSnapshot
    }
    fn merge(&mut self, _: NoSnapshot) {}
    fn use_snapshots() -> bool {
        false
    }
}

impl LibraryEntry for Entry {
    type Snapshot = NoSnapshot;
}

/// Converts a library operation to a change; `None` for operations on snapshots and stop signs, which are not used.
fn change_from_operation(operation: StorageOp<Entry>) -> Option<StorageChange> {
    match operation {
        StorageOp::AppendEntry(entry) => Some(StorageChange::Append(vec![entry])),
        StorageOp::AppendEntries(entries) => Some(StorageChange::Append(entries)),
        StorageOp::AppendOnPrefix(from, entries) => Some(StorageChange::ReplaceFrom(from, entries)),
        StorageOp::SetPromise(ballot) => Some(StorageChange::Promise(ballot)),
        StorageOp::SetDecidedIndex(index) => Some(StorageChange::Decide(index)),
        StorageOp::SetAcceptedRound(ballot) => Some(StorageChange::Accept(ballot)),
        StorageOp::SetCompactedIdx(_)
        | StorageOp::Trim(_)
        | StorageOp::SetSnapshot(_)
        | StorageOp::SetStopsign(_) => None,
    }
}

impl LibraryStorage<Entry> for Storage {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for change in operations.into_iter().filter_map(change_from_operation) {
            self.change(change);
        }
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
        Ok(self.state().decided())
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(ballot)])
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().accepted())
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.state().entries(from, to))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.state().len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let state = self.state();
        Ok(state.entries(from, state.len()))
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().promised())
    }
    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(stop_sign)])
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
    fn set_snapshot(&mut self, snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetSnapshot(snapshot)])
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
