//! Log lines for what the engine and the duty decide, bounded a second by kind.

use std::cell::RefCell;
use std::collections::BTreeMap;

use stairward_engine::{
    Decision, EngineStatistics, LeadChange, LeavingChange, RequestRecord, SessionId,
};
use stairward_failover::{Action, Reach, Via};
use stairward_limits::Shard;
use stairward_types::{
    BackendId, Duration, LogEvent, NodeId, OutcomeClass, ResultCode, ServiceName, TenantName, Term,
    Time, ZoneName,
};

use crate::traffic::Traffic;

/// Lines of one kind a second; the rest are counted and the count is told with the next line.
const LINES_PER_SECOND: u32 = 100;
/// Lines a second about nodes that join: a whole fleet does within a moment, and each node would tell of each other.
const JOIN_LINES_PER_SECOND: u32 = 10;

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// A change of what is believed of a service's lead, as the engine tells it.
pub(crate) struct LeadLine<'a> {
    pub service: &'a ServiceName,
    pub leader: &'a BackendId,
    pub change: LeadChange,
    pub term: Term,
    pub awaited: Option<Term>,
    pub age: Option<Duration>,
}

/// An evacuation that was heard of, or its end.
pub(crate) struct EvacuationLine<'a> {
    pub zone: &'a ZoneName,
    pub is_evacuated: bool,
    /// Back ends that stand there.
    pub backends: usize,
    /// Whether the node's settings name the zone.
    pub is_known: bool,
}

/// Writes log lines.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    windows: RefCell<BTreeMap<LogEvent, Window>>,
}

impl DecisionLog {
    /// Whether another line of this kind may be written, and how many were left out before it.
    fn admit(&self, now: Time, event: LogEvent) -> Option<u64> {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(event).or_default();
        let second = now.0 / 1_000_000;
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        let limit = match event {
            LogEvent::MemberJoined => JOIN_LINES_PER_SECOND,
            _ => LINES_PER_SECOND,
        };
        if window.lines >= limit {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }

    /// A decision that touched a request.
    pub fn request(&self, now: Time, record: &RequestRecord) {
        let event = match record.decision {
            Decision::Retried => LogEvent::RequestRetried,
            Decision::Hedged => LogEvent::RequestHedged,
            Decision::Refused(code) if code.class() == OutcomeClass::NotRun => {
                LogEvent::RequestRefused
            }
            Decision::Refused(_) | Decision::OutcomeUnknown(_) => LogEvent::OutcomeUnknown,
        };
        let Some(left_out) = self.admit(now, event) else {
            return;
        };
        let code = match record.decision {
            Decision::Refused(code) | Decision::OutcomeUnknown(code) => code.number(),
            Decision::Retried | Decision::Hedged => 0,
        };
        let proof_age = record.proof_age.map(|age| age.as_millis());
        tracing::info!(
            event = event.number(),
            name = event.name(),
            request = record.id,
            service = record.service.as_ref().map(ServiceName::as_str),
            tenant = record.tenant.as_ref().map(TenantName::as_str),
            retry_ms = record.retry_after.map(|after| after.as_millis()),
            backend = record.backend.as_ref().map(BackendId::as_str),
            code,
            attempts = record.attempts,
            age_ms = record.age.as_millis(),
            proof_age_ms = proof_age,
            left_out,
        );
    }

    /// A client's session was refused before it began. The client's key is a secret and is not told.
    pub fn session_refused(&self, now: Time, session: SessionId, code: ResultCode) {
        let event = match code {
            ResultCode::NotAuthenticated => LogEvent::KeyRefused,
            _ => LogEvent::SessionRefused,
        };
        if let Some(left_out) = self.admit(now, event) {
            let (number, name, code) = (event.number(), event.name(), code.number());
            tracing::warn!(event = number, name, session = session.0, code, left_out);
        }
    }

    /// A zone is evacuated, or is no longer.
    pub fn evacuation(&self, now: Time, line: &EvacuationLine<'_>) {
        let event = LogEvent::EvacuationChanged;
        if let Some(left_out) = self.admit(now, event) {
            tracing::warn!(
                event = event.number(),
                name = event.name(),
                zone = line.zone.as_str(),
                is_evacuated = line.is_evacuated,
                backends = line.backends,
                is_known = line.is_known,
                left_out
            );
        }
    }

    /// What is known of a back end that leaves.
    pub fn leaving(&self, now: Time, backend: &BackendId, change: LeavingChange) {
        let event = match change {
            LeavingChange::Began { .. } => LogEvent::BackendLeaving,
            LeavingChange::Over { .. } => LogEvent::BackendLeft,
            LeavingChange::TakenBack => LogEvent::BackendStays,
        };
        let Some(left_out) = self.admit(now, event) else {
            return;
        };
        let (number, name, backend) = (event.number(), event.name(), backend.as_str());
        match change {
            LeavingChange::Began { age, used_for } => {
                let age_ms = age.map(|age| age.as_millis());
                let used_for_ms = used_for.as_millis();
                tracing::info!(event = number, name, backend, age_ms, used_for_ms, left_out);
            }
            LeavingChange::Over { sent, last_after } => {
                let last_after_ms = last_after.as_millis();
                tracing::info!(event = number, name, backend, sent, last_after_ms, left_out);
            }
            LeavingChange::TakenBack => {
                tracing::info!(event = number, name, backend, left_out);
            }
        }
    }

    /// A back end is cold, or has warmed up.
    pub fn warm_up(&self, now: Time, backend: &BackendId, left: Option<Duration>) {
        let event = LogEvent::WarmUpChanged;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let left_ms = left.map_or(0, |left| left.as_millis());
            let backend = backend.as_str();
            tracing::info!(event = number, name, backend, left_ms, left_out);
        }
    }

    /// A back end that another node finds silent was looked at.
    pub fn verified(&self, now: Time, backend: &BackendId, asker: NodeId, is_silent: bool) {
        let event = LogEvent::SilenceVerified;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let (backend, asker) = (backend.as_str(), asker.0);
            tracing::info!(event = number, name, backend, asker, is_silent, left_out);
        }
    }

    /// What the node's links carried since it began.
    pub fn traffic(
        &self,
        now: Time,
        traffic: &Traffic,
        links: usize,
        statistics: EngineStatistics,
    ) {
        let event = LogEvent::PeerTraffic;
        if let Some(left_out) = self.admit(now, event) {
            tracing::info!(
                event = event.number(),
                name = event.name(),
                links,
                accepted = traffic.accepted_open(),
                sessions = statistics.sessions,
                connections = statistics.connections,
                messages = traffic.message_line(),
                openings = traffic.opening_line(),
                left_out
            );
        }
    }

    /// A coordinator of tenants' limits did not answer, and another is asked.
    pub fn coordinator(&self, now: Time, shard: Shard, silent: NodeId, next: Option<NodeId>) {
        let event = LogEvent::LimitCoordinatorSilent;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let next = next.map(|node| node.0);
            tracing::warn!(
                event = number,
                name,
                shard = shard.0,
                silent = silent.0,
                next,
                left_out
            );
        }
    }

    /// A step of the failover duty.
    pub fn failover_action(&self, now: Time, service: &ServiceName, action: &Action) {
        let event = match action {
            Action::Began { .. } => LogEvent::FailoverBegan,
            Action::GaveUp { .. } => LogEvent::FailoverGivenUp,
            Action::Chose { .. } => LogEvent::PromotionDecided,
            Action::Ending { .. } => LogEvent::StepDownAsked,
            Action::Holding { .. } => LogEvent::ReplicasHeld,
            Action::Ended { .. } => LogEvent::LeadEnded,
            Action::Answered { .. } => LogEvent::PromotionAnswered,
        };
        if let Some(left_out) = self.admit(now, event) {
            tracing::info!(
                event = event.number(),
                name = event.name(),
                service = service.as_str(),
                left_out,
                "{action:?}"
            );
        }
    }

    /// A holder gives no sign of life, or gives one again.
    pub fn holder(&self, now: Time, holder: NodeId, is_silent: bool) {
        let event = if is_silent {
            LogEvent::HolderSilent
        } else {
            LogEvent::HolderHeard
        };
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            tracing::info!(event = number, name, holder = holder.0, left_out);
        }
    }

    /// A change of what is believed of a service's lead.
    pub fn lead(&self, now: Time, lead: &LeadLine<'_>) {
        let event = match lead.change {
            LeadChange::Confirmed => LogEvent::LeadConfirmed,
            LeadChange::Revoked => LogEvent::LeadRevoked,
            LeadChange::Lapsed => LogEvent::LeaseLapsed,
        };
        if let Some(left_out) = self.admit(now, event) {
            tracing::info!(
                event = event.number(),
                name = event.name(),
                service = lead.service.as_str(),
                backend = lead.leader.as_str(),
                term = lead.term.0,
                awaited_term = lead.awaited.map(|term| term.0),
                confirmed_age_ms = lead.age.map(|age| age.as_millis()),
                left_out
            );
        }
    }

    /// What came of asking a member to step down or to hold.
    pub fn reach(&self, now: Time, backend: &BackendId, via: &Via, reach: Reach) {
        let event = LogEvent::MemberAsked;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let backend = backend.as_str();
            tracing::info!(event = number, name, backend, left_out, "{via:?} {reach:?}");
        }
    }

    /// A change of what is believed of a back end.
    pub fn backend(&self, now: Time, event: LogEvent, backend: &str) {
        if let Some(left_out) = self.admit(now, event) {
            tracing::info!(
                event = event.number(),
                name = event.name(),
                backend,
                left_out
            );
        }
    }
}
