//! The trait of a state that is restored from snapshots and a log, and the types that it uses.

/// Identifies the log that a record or snapshot belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Chosen when the folder was first used; a folder that was emptied gets a new one.
    pub incarnation: u64,
    /// Number of starts of the service with this folder.
    pub epoch: u64,
}

/// A snapshot is damaged and cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("offset {offset}: expected {expected}")]
pub struct SnapshotDamage {
    /// Offset of the damage in bytes.
    pub offset: usize,
    /// What was expected there.
    pub expected: String,
}

/// The body of a record cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body of a record cannot be decoded")]
pub struct MalformedRecord;

/// Outcome of replaying one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replayed {
    /// The record was applied and made this many changes.
    Changes(u64),
    /// The state already contains the record; the state is unchanged.
    AlreadyApplied,
    /// Changes between the state and the record are missing; the state is unchanged.
    Gap {
        /// Position at which the record starts.
        record_position: u64,
    },
}

/// A state that can be restored from snapshots and a log.
///
/// It must be deterministic: the same records in the same order give the same state, and equal states give the same
/// snapshot bytes.
pub trait ReplayableState: Sized {
    /// Settings that an empty state is created with, such as its limits.
    type Settings: Clone;
    /// Format version of records and snapshots; recovery rejects other versions.
    const VERSION: u32;
    /// Plural noun for the changes in a record, for error messages.
    const RECORD_CONTENT: &'static str;

    /// Creates an empty state.
    fn new(settings: &Self::Settings) -> Self;
    /// Number of changes that were applied to the state.
    fn position(&self) -> u64;
    /// Applies the body of a record if the record starts at this state's position; otherwise the state stays unchanged.
    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord>;
    /// Encodes the full state.
    fn snapshot(&self, identity: Identity) -> Vec<u8>;
    /// Decodes a snapshot; returns an error unless all of it is valid.
    fn restore(bytes: &[u8], settings: &Self::Settings)
        -> Result<(Self, Identity), SnapshotDamage>;
}
