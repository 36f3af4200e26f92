//! The retry budget of idempotent requests.

/// Retries allowed, in thousandths of the requests.
const RETRY_PERMILLE: u64 = 100;
/// Retries that can be saved up, so that a quiet host can still retry, in thousandths of a retry.
const SAVED_MAX_PERMILLE: u64 = 20_000;

/// Allows retries of a tenth of recent requests, so that retries cannot multiply an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved_permille: u64,
}

impl RetryBudget {
    /// Opens a full budget.
    #[must_use]
    pub fn open() -> Self {
        Self {
            saved_permille: SAVED_MAX_PERMILLE,
        }
    }

    /// Notes a request, which earns a tenth of a retry.
    pub fn earn(&mut self) {
        let saved = self.saved_permille + RETRY_PERMILLE;
        self.saved_permille = saved.min(SAVED_MAX_PERMILLE);
    }

    /// Spends one retry; false if the budget is used up.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved_permille.checked_sub(1_000) else {
            return false;
        };
        self.saved_permille = left;
        true
    }
}
