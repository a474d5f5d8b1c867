//! Fencing tokens: numbers that only grow, carried by each effect and compared by each sink.

/// The right to act for a duty; a later holder's is larger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// An effect came with a token below one that the sink has seen: its holder has been followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The token that came.
    pub came: Token,
    /// The largest that was seen.
    pub seen: Token,
}

/// A sink's side of a duty. Guards against a holder that was stalled and acts before it looks at its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gate {
    seen: Token,
}

impl Gate {
    /// A sink that has seen this token already.
    pub fn at(seen: Token) -> Gate {
        Gate { seen }
    }
    /// The largest token that was seen.
    pub fn seen(&self) -> Token {
        self.seen
    }
    /// Whether an effect may be done; from here on none with a smaller token is.
    pub fn pass(&mut self, came: Token) -> Result<(), Stale> {
        if came < self.seen {
            return Err(Stale {
                came,
                seen: self.seen,
            });
        }
        self.seen = came;
        Ok(())
    }
}
