//! Retry budget: a token bucket that is filled by successes, so that retries can't amplify an
//! overload.
//!
//! Source: the "retry budgets" of Finagle and linkerd.

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Maximum balance, in thousandths of a retry. It is also the initial balance, so that an edge with
/// little traffic can retry.
const MAX_BALANCE: u64 = 20 * RETRY_COST;
/// Share of successes used until the settings are known, in thousandths.
const DEFAULT_PERMILLE: u32 = 200;

/// Allows retries up to a share of recent successes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
    permille: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
            permille: DEFAULT_PERMILLE,
        }
    }
}

impl RetryBudget {
    /// Sets the share, in thousandths of successes.
    pub fn set_share(&mut self, permille: u32) {
        self.permille = permille;
    }

    /// Counts a success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + u64::from(self.permille)).min(MAX_BALANCE);
    }

    /// Withdraws the cost of one retry. Returns false if the balance is too low.
    pub fn withdraw(&mut self) -> bool {
        let affordable = self.permille > 0 && self.balance >= RETRY_COST;
        if affordable {
            self.balance -= RETRY_COST;
        }
        affordable
    }
}
