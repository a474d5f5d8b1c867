//! Fencing tokens: monotonically increasing numbers that a leader attaches to every operation and that every resource checks.

/// Identifies one leadership of an election. Each later leader gets a larger token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// An operation carried a smaller token than one that the resource has already seen: a newer leader has replaced its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale fencing token {}, expected at least {}", .presented.0, .highest_seen.0)]
pub struct StaleToken {
    /// The token that the operation carried.
    pub presented: FencingToken,
    /// The largest token that the resource has seen so far.
    pub highest_seen: FencingToken,
}

/// Checks fencing tokens at a resource. Protects it from a former leader that was stalled and acts before it rechecks its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGuard {
    highest_seen: FencingToken,
}

impl FencingGuard {
    /// Creates the guard of a resource that has already seen this token.
    pub fn with_highest_seen(highest_seen: FencingToken) -> FencingGuard {
        FencingGuard { highest_seen }
    }

    /// Returns the largest token seen so far.
    pub fn highest_seen(&self) -> FencingToken {
        self.highest_seen
    }

    /// Admits an operation with this token, and rejects every smaller token from now on.
    ///
    /// # Errors
    /// [`StaleToken`] if a larger token was seen before; the operation must not be executed.
    pub fn check(&mut self, presented: FencingToken) -> Result<(), StaleToken> {
        if presented < self.highest_seen {
            return Err(StaleToken {
                presented,
                highest_seen: self.highest_seen,
            });
        }
        self.highest_seen = presented;
        Ok(())
    }
}
