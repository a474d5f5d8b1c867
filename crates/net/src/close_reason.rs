//! Why a connection ended.

use std::io;

/// How a connection ended. Only an orderly end means that all that the peer wrote was received.
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
