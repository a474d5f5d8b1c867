//! Observes whether a peer accepts the bytes that are written to it.

/// When a peer was last seen to accept bytes, by the event loop's clock in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct WriteProgress {
    /// The total number of bytes that the peer had accepted when this was last observed.
    written_bytes: u64,
    /// When this number was last seen to grow, or the observation began.
    last_write_at: u64,
}

impl WriteProgress {
    /// Begins to observe a peer that has accepted this number of bytes.
    pub fn begin(now: u64, written_bytes: u64) -> WriteProgress {
        WriteProgress {
            written_bytes,
            last_write_at: now,
        }
    }

    /// Records the total number of bytes that the peer has accepted. Returns whether it has changed since the last time.
    pub fn observe(&mut self, now: u64, written_bytes: u64) -> bool {
        let has_changed = written_bytes != self.written_bytes;
        if has_changed {
            *self = WriteProgress::begin(now, written_bytes);
        }
        has_changed
    }

    /// Whether the peer has accepted no byte for this time, in microseconds.
    pub fn has_stalled_for(&self, now: u64, micros: u64) -> bool {
        now >= self.last_write_at + micros
    }
}
