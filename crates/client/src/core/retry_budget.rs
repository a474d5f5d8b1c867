//! Retry budget: answers earn what pays for retries, over all calls of a client.

/// Cost of one retry.
const RETRY_COST: f64 = 1.0;

/// Tokens that pay for retries; never below zero.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
    refill: f64,
}

impl RetryBudget {
    /// A full budget; each answer earns `refill`.
    pub(crate) fn new(max_tokens: f64, refill: f64) -> RetryBudget {
        RetryBudget {
            tokens: max_tokens,
            max_tokens,
            refill,
        }
    }

    /// A call was answered.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.refill).min(self.max_tokens);
    }

    /// Pays for a retry, if there are enough tokens.
    pub(crate) fn try_spend(&mut self) -> bool {
        let is_enough = self.tokens >= RETRY_COST;
        if is_enough {
            self.tokens -= RETRY_COST;
        }
        is_enough
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}
