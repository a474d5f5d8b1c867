//! Retry budget: requests earn the retries that may be sent.

/// Retries that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The most retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries that may be sent, so that failures don't multiply the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget {
            retries: MAX_SAVED_RETRIES,
        }
    }

    /// A request arrived.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether there is a retry left.
    pub(crate) fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// A retry is sent.
    pub(crate) fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
