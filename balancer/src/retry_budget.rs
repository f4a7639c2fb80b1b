//! The budget that limits retries and hedged requests to a fraction of all requests.

/// Retries that each request adds to the budget, and its maximum.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_RETRY_BUDGET: f64 = 20.0;
/// What hedged requests leave of it: they may turn out unnecessary, while a failed attempt is lost
/// for certain.
const HEDGING_RETRY_RESERVE: f64 = MAX_RETRY_BUDGET / 2.0;

/// Number of retries that are allowed now.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            retries: MAX_RETRY_BUDGET,
        }
    }
}

impl RetryBudget {
    /// Adds a request's share.
    pub(crate) fn add_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    pub(crate) fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    pub(crate) fn allows_hedge(&self) -> bool {
        self.retries >= HEDGING_RETRY_RESERVE + 1.0
    }

    /// Pays for a retry or a hedged request.
    pub(crate) fn spend(&mut self) {
        self.retries = (self.retries - 1.0).max(0.0);
    }
}
