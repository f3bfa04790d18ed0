//! Log lines for decisions of the engine and of failover, rate-limited by event kind.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

use stairward_engine::{
    Decision, EngineStatistics, LeadershipChange, LeavingChange, ReplyRecord, RequestRecord,
    SessionId,
};
use stairward_failover::{FailoverStep, MemberCallResult, RecordedPromotion, Via};
use stairward_limits::Shard;
use stairward_types::{
    BackendId, Duration, LogEvent, NodeId, OutcomeClass, ResultCode, ServiceName, TenantName, Term,
    Time, ZoneName,
};

use crate::member_requests::DoubtedMemberReply;
use crate::traffic::Traffic;

/// Maximum lines of one kind per second. Suppressed lines are counted and the count is logged with the next one.
const LINES_PER_SECOND: u32 = 100;
/// Maximum lines per second for joining nodes: when a fleet starts, every node sees every other one join at once.
const JOIN_LINES_PER_SECOND: u32 = 10;

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Fields of a log line for a change of a service's leadership.
pub(crate) struct LeadLine<'a> {
    pub service: &'a ServiceName,
    pub leader: &'a BackendId,
    pub change: LeadershipChange,
    pub term: Term,
    pub awaited: Option<Term>,
    pub age: Option<Duration>,
}

/// Fields of a log line for the start or end of an evacuation.
pub(crate) struct EvacuationLine<'a> {
    pub zone: &'a ZoneName,
    pub is_evacuated: bool,
    /// Number of back ends in the zone.
    pub backends: usize,
    /// Whether the zone is in the node's settings.
    pub is_known: bool,
}

/// Writes rate-limited log lines.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    /// When the node's clock started.
    started: Instant,
    windows: RefCell<BTreeMap<LogEvent, Window>>,
}

impl DecisionLog {
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            windows: RefCell::default(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    /// Returns the number of lines suppressed before this one, or none if this one must be suppressed as well.
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

    /// Logs a decision about a request.
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

    /// Logs a reply of a back end that does not answer the command that awaits one, or may not.
    pub fn doubted_reply(&self, now: Time, record: &ReplyRecord) {
        let event = LogEvent::ReplyDoubted;
        let Some(left_out) = self.admit(now, event) else {
            return;
        };
        tracing::warn!(
            event = event.number(),
            name = event.name(),
            request = record.request,
            backend = record.backend.as_str(),
            connection = record.connection.0,
            expected = record.expected.unwrap_or("nothing"),
            received = record.received,
            reason = record.doubt.name(),
            term = record.position.map(|at| at.term.0),
            position = record.position.map(|at| at.position.0),
            last_reply_age_ms = record.last_reply_age.map(|age| age.as_millis()),
            is_closing = record.is_closing,
            left_out,
        );
    }

    /// Logs a reply to a member request that may be a repetition of an earlier one.
    pub fn doubted_member_reply(&self, now: Time, doubted: &DoubtedMemberReply) {
        let event = LogEvent::ReplyDoubted;
        let Some(left_out) = self.admit(now, event) else {
            return;
        };
        tracing::warn!(
            event = event.number(),
            name = event.name(),
            backend = doubted.backend.as_str(),
            expected = doubted.request.name(),
            received = doubted.received,
            reason = doubted.doubt.name(),
            term = doubted.position.map(|at| at.term.0),
            position = doubted.position.map(|at| at.position.0),
            last_reply_age_ms = doubted.last_reply_age.map(|age| age.as_millis()),
            is_closing = true,
            left_out,
        );
    }

    /// Logs the refusal of a session. The client's key is a secret and is not logged.
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

    /// Logs that a caller sent a message that is not a valid statement.
    pub fn invalid_statement(&self, session: SessionId) {
        let event = LogEvent::StatementInvalid;
        if let Some(left_out) = self.admit(self.now(), event) {
            let (number, name) = (event.number(), event.name());
            tracing::warn!(event = number, name, session = session.0, left_out);
        }
    }

    /// Logs the start or end of an evacuation.
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

    /// Logs a change in the shutdown of a back end.
    pub fn leaving(&self, now: Time, backend: &BackendId, change: LeavingChange) {
        let event = match change {
            LeavingChange::Started { .. } => LogEvent::BackendLeaving,
            LeavingChange::Expired { .. } => LogEvent::BackendLeft,
            LeavingChange::Cancelled => LogEvent::BackendStays,
        };
        let Some(left_out) = self.admit(now, event) else {
            return;
        };
        let (number, name, backend) = (event.number(), event.name(), backend.as_str());
        match change {
            LeavingChange::Started { age, used_for } => {
                let age_ms = age.map(|age| age.as_millis());
                let used_for_ms = used_for.as_millis();
                tracing::info!(event = number, name, backend, age_ms, used_for_ms, left_out);
            }
            LeavingChange::Expired { sent, last_after } => {
                let last_after_ms = last_after.as_millis();
                tracing::info!(event = number, name, backend, sent, last_after_ms, left_out);
            }
            LeavingChange::Cancelled => {
                tracing::info!(event = number, name, backend, left_out);
            }
        }
    }

    /// Logs that a back end is cold or has warmed up.
    pub fn warm_up(&self, now: Time, backend: &BackendId, left: Option<Duration>) {
        let event = LogEvent::WarmUpChanged;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let left_ms = left.map_or(0, |left| left.as_millis());
            let backend = backend.as_str();
            tracing::info!(event = number, name, backend, left_ms, left_out);
        }
    }

    /// Logs the check of a back end that another node reported as silent.
    pub fn silence_check(&self, now: Time, backend: &BackendId, asker: NodeId, is_silent: bool) {
        let event = LogEvent::SilenceVerified;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let (backend, asker) = (backend.as_str(), asker.0);
            tracing::info!(event = number, name, backend, asker, is_silent, left_out);
        }
    }

    /// Logs the traffic counters since the node started.
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

    /// Logs that a limit coordinator did not reply and another one is used.
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

    /// Logs a step of a failover.
    pub fn failover_action(&self, now: Time, service: &ServiceName, action: &FailoverStep) {
        let event = match action {
            FailoverStep::Began { .. } => LogEvent::FailoverBegan,
            FailoverStep::GaveUp { .. } => LogEvent::FailoverGivenUp,
            FailoverStep::MembersMissing { .. } => LogEvent::MembersMissing,
            FailoverStep::MembersProbed { .. } => LogEvent::MissingMembersProbed,
            FailoverStep::MembersRemoved { .. } => LogEvent::InSyncMembersRemoved,
            FailoverStep::Chose { .. } => LogEvent::PromotionDecided,
            FailoverStep::Ending { .. } => LogEvent::StepDownAsked,
            FailoverStep::Holding { .. } => LogEvent::ReplicasHeld,
            FailoverStep::Ended { .. } => LogEvent::LeadEnded,
            FailoverStep::Answered { .. } => LogEvent::PromotionAnswered,
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

    /// Logs that a connection holder has gone silent or replies again.
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

    /// Logs a change of a service's leadership.
    pub fn lead(&self, now: Time, lead: &LeadLine<'_>) {
        let event = match lead.change {
            LeadershipChange::Confirmed => LogEvent::LeadConfirmed,
            LeadershipChange::Revoked => LogEvent::LeadRevoked,
            LeadershipChange::Lapsed => LogEvent::LeaseLapsed,
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

    /// Logs the promotion that a service's record names.
    pub fn recorded_promotion(
        &self,
        now: Time,
        service: &ServiceName,
        promotion: &RecordedPromotion,
    ) {
        let event = LogEvent::PromotionRecorded;
        if let Some(left_out) = self.admit(now, event) {
            tracing::info!(
                event = event.number(),
                name = event.name(),
                service = service.as_str(),
                backend = promotion.leader.as_str(),
                term = promotion.term.0,
                is_pending = promotion.is_pending,
                left_out
            );
        }
    }

    /// Logs that this node may confirm leaders, since its peers have told it which promotions they know of.
    pub fn peers_consulted(&self, unanswered: usize) {
        let event = LogEvent::PeersConsulted;
        let (number, name) = (event.number(), event.name());
        tracing::info!(event = number, name, unanswered);
    }

    /// Logs the result of a request to a member.
    pub fn member_request(
        &self,
        now: Time,
        backend: &BackendId,
        via: &Via,
        reach: MemberCallResult,
    ) {
        let event = LogEvent::MemberAsked;
        if let Some(left_out) = self.admit(now, event) {
            let (number, name) = (event.number(), event.name());
            let backend = backend.as_str();
            tracing::info!(event = number, name, backend, left_out, "{via:?} {reach:?}");
        }
    }

    /// Logs that a connection ended before all bytes for its peer were written.
    pub fn undelivered(&self, bytes: usize, is_closing: bool, error: &std::io::Error) {
        let event = LogEvent::AnswerUndelivered;
        if let Some(left_out) = self.admit(self.now(), event) {
            let (number, name) = (event.number(), event.name());
            tracing::warn!(event = number, name, bytes, is_closing, %error, left_out);
        }
    }

    /// Logs a change in the state of a back end or node.
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
