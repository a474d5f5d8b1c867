//! What a state gives so that a log can keep it.

/// Whose log it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Made with the folder.
    pub incarnation: u64,
    /// Starts of the service so far.
    pub epoch: u64,
}

/// What is wrong with a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("offset {offset}: expected {expected}")]
pub struct Damage {
    /// Where, in bytes.
    pub offset: usize,
    /// What was expected there.
    pub expected: String,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// So many changes were made.
    Changes(u64),
    /// All of it is held already.
    Held,
    /// It begins behind what is held: what lies between is missing. From where it begins.
    Gap(u64),
}

/// A state that a log keeps. The same records in the same order give the same state, and the same state the same snapshot.
pub trait Held: Sized {
    /// What a new state is made by: its bounds.
    type Settings: Clone;
    /// Version of the form of records and snapshots; others are refused.
    const VERSION: u32;
    /// What one record is, for messages.
    const RECORD: &'static str;

    /// A state that holds nothing.
    fn new(settings: &Self::Settings) -> Self;
    /// How far the log goes that it holds; grows with each change.
    fn position(&self) -> u64;
    /// Takes a record; none: its body cannot be read.
    fn replay(&mut self, body: &[u8]) -> Option<Applied>;
    /// All of it as bytes.
    fn snapshot(&self, identity: Identity) -> Vec<u8>;
    /// Reads a snapshot, whole or not at all.
    fn restore(bytes: &[u8], settings: &Self::Settings) -> Result<(Self, Identity), Damage>;
}
