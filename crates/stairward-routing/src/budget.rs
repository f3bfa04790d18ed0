//! Retry budget: a token bucket filled by successes, so that retries can't multiply an overload.
//!
//! Source: the "retry budgets" of Finagle and linkerd.

/// A whole retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Retries saved up at most, in thousandths; also what a new budget starts with, so that an edge
/// with little traffic can retry.
const MAXIMUM_SAVED: u64 = 20 * RETRY_COST;
/// Share used until settings are known, in thousandths of successes.
const DEFAULT_PERMILLE: u32 = 200;

/// Pays for retries as a share of recent successes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
    permille: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAXIMUM_SAVED,
            permille: DEFAULT_PERMILLE,
        }
    }
}

impl RetryBudget {
    /// Changes the share, in thousandths of successes.
    pub fn set_share(&mut self, permille: u32) {
        self.permille = permille;
    }

    /// Counts a success.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + u64::from(self.permille)).min(MAXIMUM_SAVED);
    }

    /// Pays for one retry. Returns false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        let affordable = self.permille > 0 && self.saved >= RETRY_COST;
        if affordable {
            self.saved -= RETRY_COST;
        }
        affordable
    }
}
