//! The retry budget of idempotent requests.

/// Retries allowed, in thousandths of the requests.
const EARNED_PER_REQUEST_PERMILLE: u64 = 100;
/// Retries that can be saved up, so that a quiet host can still retry, in thousandths of a retry.
const BALANCE_MAX_PERMILLE: u64 = 20_000;

/// Allows retries of a tenth of recent requests, so that retries cannot multiply an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_permille: u64,
}

impl RetryBudget {
    /// Opens a full budget.
    #[must_use]
    pub fn full() -> Self {
        Self {
            balance_permille: BALANCE_MAX_PERMILLE,
        }
    }

    /// Notes a request, which earns a tenth of a retry.
    pub fn record_request(&mut self) {
        let saved = self.balance_permille + EARNED_PER_REQUEST_PERMILLE;
        self.balance_permille = saved.min(BALANCE_MAX_PERMILLE);
    }

    /// Spends one retry; false if the budget is used up.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.balance_permille.checked_sub(1_000) else {
            return false;
        };
        self.balance_permille = left;
        true
    }
}
