//! A replica's write-ahead log: a record is synced before any message of the same turn is sent, and a snapshot is written once the
//! log has grown.

use crate::storage::PersistedState;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::{AppendError, OpenError};
use chalkdeck_wal::log::{Log, OpenedLog as OpenedWal};
use chalkdeck_wal::state::{Identity, ReplayableState};
use chalkdeck_wal::{retention, snapshot};
use std::io;

/// Bytes of log after which a snapshot is written, unless [`ReplicaLog::set_snapshot_threshold`] sets another value.
const DEFAULT_SNAPSHOT_THRESHOLD_BYTES: usize = 8 << 20;

/// The log of one replica.
pub struct ReplicaLog<D: Disk> {
    disk: D,
    log: Log<D>,
    bytes_since_snapshot: usize,
    snapshot_threshold_bytes: usize,
}

/// An opened log and its contents.
pub struct OpenedLog<D: Disk> {
    /// The log, ready to append the next record.
    pub log: ReplicaLog<D>,
    /// The state after replay.
    pub state: PersistedState,
    /// The position of the next record.
    pub position: u64,
    /// The identity of the disk and the number of starts on it.
    pub identity: Identity,
}

/// Why a record is not on the disk. The replica must not send the outputs of that turn, and must stop.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LogError {
    /// The record was not written.
    #[error("log: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::log),
        help("see the disk's room and health; the others go on as long as a majority of them is up; start this replica again")
    )]
    Record(#[from] AppendError),
    /// The snapshot was not written.
    #[error("snapshot: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::snapshot),
        help("see the disk's room: the log goes on growing until a snapshot can be made")
    )]
    Snapshot(#[from] io::Error),
}

impl<D: Disk> ReplicaLog<D> {
    /// Opens the log in a folder. `incarnation` becomes the identity of an empty disk.
    ///
    /// # Errors
    /// If the disk fails or its contents are damaged.
    pub fn open(disk: D, incarnation: u64) -> Result<OpenedLog<D>, OpenError> {
        let opened: OpenedWal<D, PersistedState> = Log::open(disk.clone(), &(), incarnation)?;
        let state = opened.state;
        let position = state.position();
        let identity = opened.log.identity();
        let log = ReplicaLog {
            disk,
            log: opened.log,
            bytes_since_snapshot: 0,
            snapshot_threshold_bytes: DEFAULT_SNAPSHOT_THRESHOLD_BYTES,
        };
        Ok(OpenedLog {
            log,
            state,
            position,
            identity,
        })
    }

    /// Sets the number of log bytes after which a snapshot is written.
    pub fn set_snapshot_threshold(&mut self, bytes: usize) {
        self.snapshot_threshold_bytes = bytes;
    }

    /// Appends a record and syncs it; the record survives a crash once this returns.
    ///
    /// # Errors
    /// If the disk fails. Whether the record survives a crash is then unknown.
    pub fn write(&mut self, record: &[u8]) -> Result<(), LogError> {
        self.log.append(record)?;
        self.log.sync()?;
        self.bytes_since_snapshot += record.len();
        Ok(())
    }

    /// Whether a snapshot is due.
    pub fn needs_snapshot(&self) -> bool {
        self.bytes_since_snapshot >= self.snapshot_threshold_bytes
    }

    /// Writes a snapshot of the current state and removes the records that it supersedes.
    ///
    /// # Errors
    /// If the disk fails. Earlier records and snapshots stay intact.
    pub fn write_snapshot(&mut self, state: &PersistedState) -> Result<(), LogError> {
        self.log.roll(state.position())?;
        snapshot::write(&self.disk, state, self.log.identity())?;
        retention::remove_superseded(&self.disk)?;
        self.bytes_since_snapshot = 0;
        Ok(())
    }
}
