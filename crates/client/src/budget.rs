//! Retry budget: what successes earn pays for further tries, over all calls of a client.

/// Tokens; one pays for one further try. Never below zero.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    tokens: f64,
    most: f64,
    earn: f64,
}

impl Budget {
    /// Starts full.
    pub(crate) fn new(most: f64, earn: f64) -> Budget {
        Budget {
            tokens: most,
            most,
            earn,
        }
    }
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.most);
    }
    /// Takes a token, if there is a whole one.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}
