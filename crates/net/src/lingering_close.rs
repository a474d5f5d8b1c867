//! The time limits of a lingering close: the server writes its last bytes, shuts down its write side and discards input until the peer
//! shuts down its side too. Closing a socket with unread input would reset the connection, and the peer could lose the last bytes.

use crate::write_progress::WriteProgress;

/// The time after which the connection is closed although the peer has not shut down its side, in microseconds. It counts from the
/// shutdown of the write side.
const PEER_END_TIMEOUT_MICROS: u64 = 2_000_000;
/// The time after which the connection is closed although bytes are unwritten, in microseconds. It counts from the last byte that the
/// peer accepted.
const WRITE_TIMEOUT_MICROS: u64 = 10_000_000;

/// The progress of a lingering close. All times are in microseconds, by the loop's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LingeringClose {
    write_progress: WriteProgress,
    /// When the queue was first seen to be empty, so that the write side was shut down.
    written_at: Option<u64>,
}

impl LingeringClose {
    pub(crate) fn begin(now: u64, written_bytes: u64) -> LingeringClose {
        LingeringClose {
            write_progress: WriteProgress::begin(now, written_bytes),
            written_at: None,
        }
    }

    /// Records the total number of bytes that the peer has accepted, and the number of those still queued.
    pub(crate) fn record_progress(&mut self, now: u64, written_bytes: u64, unsent_bytes: usize) {
        self.write_progress.observe(now, written_bytes);
        if unsent_bytes == 0 {
            self.written_at.get_or_insert(now);
        }
    }

    /// When all bytes were written; `None` while some are queued.
    pub(crate) fn written_at(&self) -> Option<u64> {
        self.written_at
    }

    /// Whether the peer has neither accepted bytes nor shut down its side in time.
    pub(crate) fn has_timed_out(&self, now: u64) -> bool {
        match self.written_at {
            Some(written_at) => now >= written_at + PEER_END_TIMEOUT_MICROS,
            None => self
                .write_progress
                .has_stalled_for(now, WRITE_TIMEOUT_MICROS),
        }
    }
}
