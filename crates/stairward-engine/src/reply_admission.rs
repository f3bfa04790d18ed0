//! Matches a back end's replies to the commands that were sent to it, and reports those that are doubted.

use stairward_types::Time;

use crate::connection::Step;
use crate::engine::Engine;
use crate::event::{Effect, ReplyRecord};
use crate::identifiers::ConnectionId;
use crate::reply::{BackendReply, TransactionStatus};
use crate::reply_matching::{Expected, Verdict};
use crate::session::RequestKind;

impl Engine {
    pub(crate) fn handle_reply(&mut self, now: Time, id: ConnectionId, reply: BackendReply) {
        self.judge_reply(now, id, &reply);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(sent) = connection.sent.pop_front() else {
            // A reply without a command.
            return self.drop_connection(now, id);
        };
        let backend_id = connection.backend.clone();
        self.backend_answered(now, &backend_id, reply.position);
        if sent.step == Step::Statement
            && let Some(backend) = self.backends.get_mut(&backend_id)
        {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        if let Some((sent, reply)) = self.withhold(now, id, sent, reply) {
            self.process_reply(now, id, sent, reply);
        }
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
        if let Some(doubt) = verdict.doubt() {
            self.effects.push(Effect::ReplyDoubted(ReplyRecord {
                backend: connection.backend.clone(),
                connection: id,
                expected: connection.sent.front().map(|sent| sent.step.name()),
                request,
                doubt,
                received: reply.kind_name(),
                position: reply.position,
                last_reply_age,
                is_closing: matches!(verdict, Verdict::Mismatch(_)),
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
            Step::Begin { .. } => TransactionStatus::Open,
            Step::Rollback | Step::Status => TransactionStatus::Idle,
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
