//! Checks whether a back end may run a request, apart from limits.

use stairward_types::{AccessClass, AdminState, BackendRole, Freshness, ResultCode, Term};

use super::message::{BackendState, ConnectionRequest};

/// Conditions of admission other than limits.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionConditions {
    /// Whether the lease is held.
    pub lease_held: bool,
    /// Whether the back end is being handed over to another owner.
    pub draining: bool,
    /// Whether this node's settings are too old to accept work.
    pub configuration_too_old: bool,
    /// State set by operators.
    pub admin_state: AdminState,
    /// The last reported state of the back end; none while it is unreachable.
    pub state: Option<BackendState>,
    /// Whether the last health probe went unanswered.
    pub probe_failed: bool,
    /// The newest known term of the group.
    pub newest_term: Term,
}

/// Result of the admission check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may run.
    Allowed,
    /// It may run once the back end has applied more of the log.
    NotYetFresh,
    /// It may not run here.
    Refused(ResultCode),
}

impl AdmissionConditions {
    /// Checks a request against everything but limits.
    pub(super) fn check(&self, request: &ConnectionRequest) -> Admission {
        if let Some(code) = self.general_refusal() {
            return Admission::Refused(code);
        }
        let Some(state) = self.state else {
            return Admission::Refused(ResultCode::BackendUnavailable);
        };
        match request.access {
            AccessClass::Write => self.check_write(state, request.expected_term),
            AccessClass::Read => Self::check_read(state, request),
        }
    }

    /// Whether any request could be admitted.
    pub(super) fn takes_work(&self) -> bool {
        self.general_refusal().is_none() && self.state.is_some()
    }

    fn general_refusal(&self) -> Option<ResultCode> {
        if self.draining {
            return Some(ResultCode::NotOwner);
        }
        if !self.lease_held {
            return Some(self.refusal_without_lease());
        }
        if self.configuration_too_old {
            return Some(ResultCode::ConfigurationTooOld);
        }
        match self.admin_state {
            AdminState::Leaving => Some(ResultCode::BackendLeaving),
            AdminState::Joining => Some(ResultCode::BackendUnavailable),
            AdminState::Active => None,
        }
    }

    /// The result code while the lease is not held. The lease is lost together with an unreachable back end, but then no
    /// other node can serve it either, so callers must not be redirected to another owner.
    pub(super) fn refusal_without_lease(&self) -> ResultCode {
        if self.probe_failed {
            ResultCode::BackendUnavailable
        } else {
            ResultCode::NotOwner
        }
    }

    fn check_write(&self, state: BackendState, expected_term: Term) -> Admission {
        let least_term = expected_term.max(self.newest_term);
        let leads = state.role == BackendRole::Primary && state.freshness.term >= least_term;
        if leads {
            Admission::Allowed
        } else {
            Admission::Refused(ResultCode::PrimaryReplaced)
        }
    }

    fn check_read(state: BackendState, request: &ConnectionRequest) -> Admission {
        let floor = request.floor.unwrap_or_default();
        let least_term = request.expected_term.max(floor.term);
        let is_primary = state.role == BackendRole::Primary;
        let leads = is_primary && state.freshness.term >= least_term;
        let expected = Freshness::new(least_term, floor.position);
        if leads || state.freshness.covers(expected) {
            Admission::Allowed
        } else if is_primary {
            // A replaced primary makes no progress towards the expected term.
            Admission::Refused(ResultCode::NotFreshEnough)
        } else {
            Admission::NotYetFresh
        }
    }
}
