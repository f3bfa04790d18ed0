//! One checker per invariant, and the function that runs them all.

mod configuration_reverted;
mod foreign_answer;
mod leaving_got_work;
mod mixed_transactions;
mod not_run_ran;
mod own_reads;
mod ran_twice;
mod replaced_primary_ack;
mod stop_cut_request;

use stairward_types::Duration;

use crate::index::Index;
use crate::recorder::History;
use crate::report::Report;

/// Time limits of the invariants that allow for a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckLimits {
    /// How long a back end may still be given new work after it was marked as leaving.
    pub leaving_grace: Duration,
    /// How long after the store accepted a revision it may be missing on a proxy without faults.
    pub configuration_delay: Duration,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self {
            leaving_grace: Duration::from_secs(3),
            configuration_delay: Duration::from_secs(6),
        }
    }
}

/// Checks a history against every invariant, with the default limits.
#[must_use]
pub fn check(history: &History) -> Report {
    check_with_limits(history, CheckLimits::default())
}

/// Checks a history against every invariant, with the given limits.
#[must_use]
pub fn check_with_limits(history: &History, limits: CheckLimits) -> Report {
    let index = Index::build(history);
    let mut report = Report {
        dropped: history.dropped,
        ..Report::default()
    };
    own_reads::check(&index, &mut report);
    replaced_primary_ack::check(&index, &mut report);
    mixed_transactions::check(&index, &mut report);
    foreign_answer::check(&index, &mut report);
    not_run_ran::check(&index, &mut report);
    ran_twice::check(&index, &mut report);
    leaving_got_work::check(history, &index, limits.leaving_grace, &mut report);
    stop_cut_request::check(history, &index, &mut report);
    configuration_reverted::check(history, limits.configuration_delay, &mut report);
    report
}
