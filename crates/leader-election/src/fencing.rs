//! Fencing tokens: numbers that only grow, carried by each effect of a leader and compared by each resource.

/// The right to act as the leader of an election; a later leader's token is larger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// An effect carried a smaller token than one that the resource has seen: another leader has followed its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale fencing token {}, expected at least {}", .presented.0, .highest_seen.0)]
pub struct StaleToken {
    /// The token that the effect carried.
    pub presented: FencingToken,
    /// The largest token that the resource has seen.
    pub highest_seen: FencingToken,
}

/// Check of fencing tokens at a resource. Guards against a leader that was stalled, and acts before it checks its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGuard {
    highest_seen: FencingToken,
}

impl FencingGuard {
    /// A guard of a resource that has already seen this token.
    pub fn with_highest_seen(highest_seen: FencingToken) -> FencingGuard {
        FencingGuard { highest_seen }
    }

    /// The largest token that was seen.
    pub fn highest_seen(&self) -> FencingToken {
        self.highest_seen
    }

    /// Admits an effect with this token, and from here on none with a smaller one.
    ///
    /// # Errors
    /// [`StaleToken`] if a larger token was seen before; the effect must not be carried out.
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
