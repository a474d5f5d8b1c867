//! The retry budget of a client: a token bucket that answered calls refill and retries drain. It limits how much retries add to
//! the load of failing servers.

/// The tokens that one retry costs.
const RETRY_COST: f64 = 1.0;

/// Tokens for retries; never below zero.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
    refill: f64,
}

impl RetryBudget {
    /// A full budget, to which each answered call adds `refill` tokens.
    pub(crate) fn new(max_tokens: f64, refill: f64) -> RetryBudget {
        RetryBudget {
            tokens: max_tokens,
            max_tokens,
            refill,
        }
    }

    /// Adds the tokens for an answered call.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.refill).min(self.max_tokens);
    }

    /// Spends the tokens for one retry, if there are enough; returns whether it did.
    pub(crate) fn try_spend(&mut self) -> bool {
        let can_spend = self.tokens >= RETRY_COST;
        if can_spend {
            self.tokens -= RETRY_COST;
        }
        can_spend
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}
