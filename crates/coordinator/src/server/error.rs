//! Errors that prevent a replica from starting, or stop it.

use crate::consensus::ConsensusError;
use crate::log::LogError;
use chalkdeck_wal::error::OpenError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that prevents a replica from starting, or stops it.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServerError {
    /// The operating system has not provided a poll handle, or the event loop failed.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    #[diagnostic(
        code(chalkdeck::keeper::listen),
        help(
            "see whether another process listens there, and whether the address is this machine's"
        )
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log's folder cannot be opened or created.
    #[error("folder {}: {source}", folder.display())]
    #[diagnostic(code(chalkdeck::keeper::folder), help("see its path, room and rights"))]
    Folder {
        /// Its path.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log in the folder cannot be read.
    #[error("folder {}: {source}", folder.display())]
    #[diagnostic(
        code(chalkdeck::keeper::damage),
        help("move the folder away and start with an empty one, without --first: this replica comes back as a new member")
    )]
    Damaged {
        /// Its path.
        folder: PathBuf,
        /// The error of the log.
        source: OpenError,
    },
    /// See [`ConsensusError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Consensus(#[from] ConsensusError),
    /// See [`LogError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] LogError),
}
