//! What a state must offer so that a log and snapshots can restore it.

/// Which log a record or snapshot belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Drawn when the folder was created; a folder that was emptied gets another one.
    pub incarnation: u64,
    /// Number of starts of the service with this folder.
    pub epoch: u64,
}

/// Why a snapshot cannot be restored.
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
    /// The state contains the record already; nothing was changed.
    AlreadyApplied,
    /// Changes between the state and the record are missing; nothing was changed.
    Gap {
        /// Position at which the record begins.
        record_position: u64,
    },
}

/// A state that a log and snapshots restore.
///
/// The same records in the same order must give the same state, and the same state the same snapshot.
pub trait ReplayableState: Sized {
    /// What an empty state is created from, such as its bounds.
    type Settings: Clone;
    /// Version of the format of records and snapshots; other versions are rejected.
    const VERSION: u32;
    /// What a record contains, in the plural, for error messages.
    const RECORD_CONTENT: &'static str;

    /// An empty state.
    fn new(settings: &Self::Settings) -> Self;
    /// Number of changes that the state contains; grows with each of them.
    fn position(&self) -> u64;
    /// Applies the body of a record that follows this state; leaves the state unchanged otherwise.
    fn replay(&mut self, body: &[u8]) -> Result<Replayed, MalformedRecord>;
    /// Encodes the whole state.
    fn snapshot(&self, identity: Identity) -> Vec<u8>;
    /// Decodes a snapshot completely or not at all.
    fn restore(bytes: &[u8], settings: &Self::Settings)
        -> Result<(Self, Identity), SnapshotDamage>;
}
