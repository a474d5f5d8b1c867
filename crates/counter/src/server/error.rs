//! Errors of the server.

use chalkdeck_wal::error::OpenError;
use std::io;
use std::path::PathBuf;

/// Why a partition could not start or had to stop.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServerError {
    /// The folder cannot be used.
    #[error("folder {}: {error}", path.display())]
    #[diagnostic(
        code(chalkdeck::counter::folder),
        help("see its rights, and whether another process holds it")
    )]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the file system.
        error: io::Error,
    },
    /// The log of the folder cannot be opened.
    #[error("folder {}: {error}", path.display())]
    Log {
        /// The folder.
        path: PathBuf,
        /// The error of the log.
        #[diagnostic_source]
        error: OpenError,
    },
    /// A port is in use, the last snapshot could not be written, or another system call failed.
    #[error(transparent)]
    #[diagnostic(
        code(chalkdeck::counter::system),
        help("see whether another process uses the ports, and the folder's rights and room")
    )]
    Io(#[from] io::Error),
    /// The thread of a partition panicked.
    #[error("a part panicked")]
    #[diagnostic(
        code(chalkdeck::counter::panic),
        help("this is a fault of the program: the other parts go on; keep the log and report it")
    )]
    PartitionPanicked,
}
