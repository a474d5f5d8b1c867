//! Retry budget: limits retries to a fraction of the requests.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Number of retries that may be sent. The limit keeps failures from multiplying the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget {
            retries: MAX_SAVED_RETRIES,
        }
    }

    /// Adds the retries that an arriving request earns.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether the budget has a retry left.
    pub(crate) fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Removes one retry from the budget, for a retry that is sent.
    pub(crate) fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
