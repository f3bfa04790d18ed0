//! Matches a back end's replies to the commands that were sent to it, and reports those that are doubted.

use stairward_types::Time;

use crate::connection::{SentStep, Step};
use crate::engine::Engine;
use crate::event::{Effect, ReplyRecord};
use crate::identifiers::ConnectionId;
use crate::reply::{BackendErrorCode, BackendReply, TransactionStatus};
use crate::reply_matching::{Expected, Verdict};
use crate::session::RequestKind;

impl Engine {
    pub(crate) fn handle_reply(&mut self, now: Time, id: ConnectionId, reply: BackendReply) {
        let Some(verdict) = self.judge_reply(now, id, &reply) else {
            return;
        };
        match verdict {
            Verdict::Repetition(_) => return,
            Verdict::Mismatch(_) => return self.drop_connection(now, id),
            Verdict::Answer | Verdict::Ambiguous => {}
        }
        let is_ambiguous = verdict == Verdict::Ambiguous;
        if let (true, Err(error)) = (is_ambiguous, &reply.result) {
            return self.reject_error(now, id, error.code);
        }
        let Some(sent) = self.take_answered_step(now, id, &reply) else {
            return;
        };
        if is_ambiguous {
            self.confirm_reply(now, id, sent, reply);
        } else {
            self.accept_reply(now, id, sent, reply);
        }
    }

    /// Removes the oldest unanswered command, which a reply answers.
    fn take_answered_step(
        &mut self,
        now: Time,
        id: ConnectionId,
        reply: &BackendReply,
    ) -> Option<SentStep> {
        let connection = self.connections.get_mut(&id)?;
        let sent = connection.sent.pop_front()?;
        let backend_id = connection.backend.clone();
        self.backend_answered(now, &backend_id, reply.position);
        if sent.step == Step::Statement
            && let Some(backend) = self.backends.get_mut(&backend_id)
        {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        Some(sent)
    }

    /// Processes a reply that answers a command.
    pub(crate) fn accept_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: BackendReply,
    ) {
        let is_confirming = self
            .connections
            .get(&id)
            .is_some_and(|connection| connection.confirmation.is_some());
        if is_confirming && reply.result.is_err() {
            return self.drop_connection(now, id);
        }
        match sent.step {
            Step::ConfirmationBegin => return,
            Step::ConfirmationEnd => return self.confirmation_ended(now, id),
            Step::Begin { .. } => self.begin_confirmed(id),
            _ => {}
        }
        if let Some((sent, reply)) = self.withhold(now, id, sent, reply) {
            self.process_reply(now, id, sent, reply);
        }
    }

    /// Closes a connection after an error that may be the repetition of an earlier one. Nothing shows that the
    /// statement did not run, and the reply that is still to come would be taken for the next one's.
    fn reject_error(&mut self, now: Time, id: ConnectionId, code: BackendErrorCode) {
        if matches!(code, BackendErrorCode::Busy | BackendErrorCode::NotFresh) {
            self.record_refusal(now, id, code);
        }
        self.drop_connection(now, id);
    }

    /// Judges a reply, and reports it if it is doubted; none if the connection has ended.
    fn judge_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        reply: &BackendReply,
    ) -> Option<Verdict> {
        let expected = self.expected_reply(id);
        let request = self.request_on(id);
        let request = request.map(|(_, request)| request.statement.id.clone());
        let checks = self.options.reply_checks;
        let connection = self.connections.get_mut(&id)?;
        let last_reply_age = connection.replies.record_arrival(now);
        let verdict = connection.replies.judge(checks, expected, reply);
        if let Some(doubt) = verdict.doubt(reply) {
            self.effects.push(Effect::ReplyDoubted(ReplyRecord {
                backend: connection.backend.clone(),
                connection: id,
                expected: connection.sent.front().map(|sent| sent.step.name()),
                request,
                doubt,
                received: reply.kind_name(),
                position: reply.position,
                last_reply_age,
                is_closing: verdict.ends_connection(reply),
            }));
        }
        Some(verdict)
    }

    /// What the reply to the oldest unanswered command of a connection looks like.
    fn expected_reply(&self, id: ConnectionId) -> Expected {
        let Some(connection) = self.connections.get(&id) else {
            return Expected::Nothing;
        };
        let Some(sent) = connection.sent.front() else {
            return Expected::Nothing;
        };
        let current = if connection.in_transaction {
            TransactionStatus::Open
        } else {
            TransactionStatus::Idle
        };
        let status = match &sent.step {
            Step::Reset | Step::SetValue { .. } | Step::Prepare(_) => current,
            Step::Begin { .. } | Step::ConfirmationBegin => TransactionStatus::Open,
            Step::Rollback | Step::Status | Step::ConfirmationEnd => TransactionStatus::Idle,
            Step::Statement => return self.expected_statement_reply(id),
        };
        Expected::Internal {
            status,
            is_report: sent.step == Step::Status,
        }
    }

    fn expected_statement_reply(&self, id: ConnectionId) -> Expected {
        let Some((_, request)) = self.request_on(id) else {
            return Expected::Statement {
                status: None,
                is_repeatable: true,
            };
        };
        let status = match request.kind {
            RequestKind::Write | RequestKind::FreshRead | RequestKind::Commit => {
                Some(TransactionStatus::Idle)
            }
            RequestKind::LeaderRead | RequestKind::InTransaction { .. } => {
                Some(TransactionStatus::Open)
            }
            RequestKind::LeaderTransaction | RequestKind::FreshTransaction => None,
        };
        let is_repeatable = !matches!(request.kind, RequestKind::Write | RequestKind::Commit);
        Expected::Statement {
            status,
            is_repeatable,
        }
    }
}
