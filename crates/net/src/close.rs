//! Why a connection ended.

use std::io;

/// How a connection came to its end. Only an orderly end says that all the peer wrote has arrived.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The peer ended its direction in order, after its last byte.
    #[error("closed by the peer")]
    PeerEnded,
    /// It was closed from here.
    #[error("closed here")]
    Local,
    /// It was reset, could not be made, or failed otherwise.
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for CloseReason {
    fn from(error: io::Error) -> CloseReason {
        CloseReason::Failed(error.to_string())
    }
}
