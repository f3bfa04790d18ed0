//! The limit of a tenant.

/// Thousandths per operation.
const THOUSANDTHS: f64 = 1_000.0;

/// The number of operations that a tenant may run over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// Operations per second, in thousandths. With 0 nothing is admitted.
    pub rate_thousandths: u64,
    /// Operations that may arrive at once after a quiet period, in thousandths.
    pub burst_thousandths: u64,
}

impl RateLimit {
    /// Creates a limit from numbers of operations; fractions of a thousandth are dropped.
    #[must_use]
    pub fn from_operations(per_second: f64, burst: f64) -> Self {
        Self {
            rate_thousandths: thousandths(per_second),
            burst_thousandths: thousandths(burst),
        }
    }

    /// Operations per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        operations(self.rate_thousandths)
    }

    /// Burst, in operations.
    #[must_use]
    pub fn burst(self) -> f64 {
        operations(self.burst_thousandths)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, and the cast saturates"
)]
fn thousandths(operations: f64) -> u64 {
    (operations * THOUSANDTHS).max(0.0) as u64
}

#[allow(
    clippy::cast_precision_loss,
    reason = "limits are far below 2^53 thousandths; above, the error is one in 2^53"
)]
fn operations(thousandths: u64) -> f64 {
    thousandths as f64 / THOUSANDTHS
}
