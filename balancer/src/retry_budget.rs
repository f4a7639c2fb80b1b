//! The budget that limits retries and hedged requests to a fraction of all requests.

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Number of retries that hedged requests leave in the budget for failed attempts: a hedged request
/// may turn out to be unnecessary, while a failed attempt is certainly lost.
const HEDGING_RETRY_RESERVE: f64 = MAX_RETRY_BUDGET / 2.0;

/// Number of retries that are allowed now.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    available_retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            available_retries: MAX_RETRY_BUDGET,
        }
    }
}

impl RetryBudget {
    /// Adds what a new request contributes to the budget.
    pub(crate) fn add_request(&mut self) {
        self.available_retries =
            (self.available_retries + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    pub(crate) fn allows_retry(&self) -> bool {
        self.available_retries >= 1.0
    }

    pub(crate) fn allows_hedge(&self) -> bool {
        self.available_retries >= HEDGING_RETRY_RESERVE + 1.0
    }

    /// Takes one retry or hedged request from the budget.
    pub(crate) fn spend(&mut self) {
        self.available_retries = (self.available_retries - 1.0).max(0.0);
    }
}
