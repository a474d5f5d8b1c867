//! The size that is expected of the reply to a request.

use super::session::Session;

/// The weight of the newest size in the mean, as a divisor.
const MEAN_DIVISOR: usize = 32;

/// The mean size of recent replies.
#[derive(Debug, Default)]
pub(super) struct ReplySizes {
    /// The mean, times `MEAN_DIVISOR`.
    scaled_mean: usize,
}

impl ReplySizes {
    /// Records the size of a reply, in bytes.
    pub(super) fn observe(&mut self, bytes: usize) {
        self.scaled_mean = self.scaled_mean - self.scaled_mean / MEAN_DIVISOR + bytes;
    }

    /// The bytes that the reply to the next request of a session is expected to take until those before it are known: none if there are
    /// none, as it is then sent at once.
    pub(super) fn expected_for(&self, session: &Session) -> usize {
        if session.open_requests.is_empty() {
            0
        } else {
            self.scaled_mean / MEAN_DIVISOR
        }
    }
}
