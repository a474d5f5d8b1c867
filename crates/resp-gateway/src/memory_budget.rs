//! The memory that client sessions take together, and what one more session may take of it. It does no I/O.
//!
//! Each session is guaranteed a part of the memory, whatever the others take. Beyond it, sessions share a pool: a session may take as much of
//! the pool as is still free after it (a dynamic threshold, as in the shared buffers of network switches). So few sessions can use most of the
//! pool, many get even parts, and there is always room for one that has taken nothing yet.

/// The fraction of the memory that is guaranteed to all sessions together; the rest is the pool.
const GUARANTEED_FRACTION: f64 = 0.25;
/// How far replies that are larger than expected may exceed the memory, as a fraction of it.
pub(crate) const REPLY_OVERRUN_FRACTION: f64 = 0.25;

/// The memory of all client sessions, in bytes.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// What each session may take in any case.
    guaranteed: usize,
    pool: usize,
    /// What sessions take beyond their guaranteed parts.
    pool_used: usize,
    /// What all sessions take.
    used: usize,
    max_used: usize,
}

impl MemoryBudget {
    /// A budget of `bytes` for at most `max_sessions` sessions.
    pub(crate) fn new(bytes: usize, max_sessions: usize) -> MemoryBudget {
        let guaranteed_to_all = (bytes as f64 * GUARANTEED_FRACTION) as usize;
        MemoryBudget {
            guaranteed: guaranteed_to_all / max_sessions.max(1),
            pool: bytes - guaranteed_to_all,
            pool_used: 0,
            used: 0,
            max_used: bytes + (bytes as f64 * REPLY_OVERRUN_FRACTION) as usize,
        }
    }

    /// Whether a session that has taken `held` bytes may take more.
    pub(crate) fn allows(&self, held: usize, additional: usize) -> bool {
        let from_pool = (held + additional).saturating_sub(self.guaranteed);
        let free = self.pool.saturating_sub(self.pool_used);
        from_pool == 0 || from_pool <= free
    }

    /// What each session may take in any case.
    pub(crate) fn guaranteed(&self) -> usize {
        self.guaranteed
    }

    /// Whether sessions take more than they may, together.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used > self.max_used
    }

    /// Whether a reply of this size may be kept until the replies before it are known.
    pub(crate) fn allows_reply(&self, bytes: usize) -> bool {
        self.used + bytes <= self.max_used
    }

    /// Records that a session takes `held` bytes instead of `previous`.
    pub(crate) fn update(&mut self, previous: usize, held: usize) {
        self.used = (self.used + held).saturating_sub(previous);
        let from_pool = held.saturating_sub(self.guaranteed);
        let previous_from_pool = previous.saturating_sub(self.guaranteed);
        self.pool_used = (self.pool_used + from_pool).saturating_sub(previous_from_pool);
    }

    /// What all sessions take, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.used
    }
}

#[cfg(test)]
mod tests;
