//! A keeper's log on its disk: records before anything is said, snapshots when it has grown.

use crate::store::Kept;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::{AppendError, OpenError};
use chalkdeck_wal::log::{Log, OpenedLog};
use chalkdeck_wal::recovery::RecoveryReport;
use chalkdeck_wal::state::{Identity, ReplayableState};
use chalkdeck_wal::{retention, snapshot};
use std::io;

/// Bytes of log after which a snapshot is made.
const GROWN: usize = 8 << 20;

/// What a keeper kept, and its log.
pub struct Journal<D: Disk> {
    disk: D,
    log: Log<D>,
    grown: usize,
    most: usize,
}

/// A journal with what it held.
pub struct Begun<D: Disk> {
    /// The journal, ready for the next record.
    pub journal: Journal<D>,
    /// What was kept.
    pub kept: Kept,
    /// The position of the next record.
    pub position: u64,
    /// Whose disk it is, and starts on it so far.
    pub identity: Identity,
    /// How it was found.
    pub found: RecoveryReport,
}

/// Why a record is not on the disk. The keeper must say nothing of that turn and end.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum JournalError {
    /// The record was not written.
    #[error("log: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::log),
        help("see the disk's room and health; the others go on as long as a majority of them is up; start this keeper again")
    )]
    Record(#[from] AppendError),
    /// No snapshot was made.
    #[error("snapshot: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::snapshot),
        help("see the disk's room: the log goes on growing until a snapshot can be made")
    )]
    Snapshot(#[from] io::Error),
}

impl<D: Disk> Journal<D> {
    /// Reads a folder. `incarnation`: of one that holds nothing. Errors: the disk, or damage.
    pub fn open(disk: D, incarnation: u64) -> Result<Begun<D>, OpenError> {
        let opened: OpenedLog<D, Kept> = Log::open(disk.clone(), &(), incarnation)?;
        let OpenedLog {
            log,
            state: kept,
            report: found,
        } = opened;
        let (position, identity) = (kept.position(), log.identity());
        let journal = Journal {
            disk,
            log,
            grown: 0,
            most: GROWN,
        };
        Ok(Begun {
            journal,
            kept,
            position,
            identity,
            found,
        })
    }
    /// Makes snapshots after so many bytes.
    pub fn snapshot_after(&mut self, bytes: usize) {
        self.most = bytes;
    }

    /// Puts a record on the disk; when this returns it outlasts a crash.
    pub fn write(&mut self, record: &[u8]) -> Result<(), JournalError> {
        self.log.append(record)?;
        self.log.sync()?;
        self.grown += record.len();
        Ok(())
    }
    /// Whether a snapshot is due.
    pub fn has_grown(&self) -> bool {
        self.grown >= self.most
    }
    /// Makes a snapshot of what is kept at this moment, and removes what it makes needless.
    pub fn snapshot(&mut self, kept: &Kept) -> Result<(), JournalError> {
        self.log.roll(kept.position())?;
        snapshot::write(&self.disk, kept, self.log.identity())?;
        retention::remove_superseded(&self.disk)?;
        self.grown = 0;
        Ok(())
    }
}
