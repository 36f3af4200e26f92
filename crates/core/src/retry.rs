//! Retry budget of idempotent requests.

/// Budget that a request adds, in thousandths of a retry.
const EARNED_PER_REQUEST_PERMILLE: u64 = 100;
/// Maximum balance, in thousandths of a retry. It lets a host with few requests still retry.
const BALANCE_MAX_PERMILLE: u64 = 20_000;

/// Limits retries to a tenth of the recent requests, so that retries cannot amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_permille: u64,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    #[must_use]
    pub fn full() -> Self {
        Self {
            balance_permille: BALANCE_MAX_PERMILLE,
        }
    }

    /// Records a request, which adds a tenth of a retry to the balance.
    pub fn record_request(&mut self) {
        let saved = self.balance_permille + EARNED_PER_REQUEST_PERMILLE;
        self.balance_permille = saved.min(BALANCE_MAX_PERMILLE);
    }

    /// Takes one retry from the balance; returns false if the balance is too low.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.balance_permille.checked_sub(1_000) else {
            return false;
        };
        self.balance_permille = left;
        true
    }
}
