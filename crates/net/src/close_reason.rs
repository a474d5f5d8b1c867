//! Why a connection ended.

use std::io;

/// Why a connection ended. Only `PeerEnded` implies that everything the peer sent was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The peer shut down its side in an orderly way, after its last byte.
    #[error("closed by the peer")]
    PeerEnded,
    /// This process closed it.
    #[error("closed locally")]
    ClosedLocally,
    /// It was reset, could not be established, or failed in another way.
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for CloseReason {
    fn from(error: io::Error) -> CloseReason {
        CloseReason::Failed(error.to_string())
    }
}
