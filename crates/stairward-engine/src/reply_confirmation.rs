//! Confirms successes of the proxy's own commands that may be repetitions of earlier replies.
//!
//! Commands whose replies differ are sent after the doubted one. Since a back end answers in order, a missing reply
//! to the doubted command would come in place of theirs.

use stairward_types::Time;

use crate::connection::{Confirmation, SentStep, Step};
use crate::engine::Engine;
use crate::event::BackendCommand;
use crate::identifiers::ConnectionId;
use crate::reply::BackendReply;

impl Engine {
    /// Has a success confirmed that may be a repetition, if anything depends on it.
    pub(crate) fn confirm_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: BackendReply,
    ) {
        let may_confirm = self.may_confirm(now, id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match sent.step {
            Step::Begin { .. } | Step::Status if !may_confirm => self.drop_connection(now, id),
            Step::Begin { .. } if connection.confirmation.is_none() => {
                self.begin_anew(now, id, sent.step);
            }
            Step::Status => self.confirm_report(now, id, Confirmation::Report(sent, reply)),
            // The replies to these can only differ in an error that a back end has no reason for.
            _ => self.accept_reply(now, id, sent, reply),
        }
    }

    /// Whether commands may still be sent to confirm a doubted reply.
    fn may_confirm(&self, now: Time, id: ConnectionId) -> bool {
        !self.is_backend_unusable(now, id) && !self.is_on_evacuated_backend(now, id)
    }

    /// Begins and ends an empty transaction, whose replies confirm that the report came before them.
    fn confirm_report(&mut self, now: Time, id: ConnectionId, report: Confirmation) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.confirmation = Some(report);
        }
        let begin = BackendCommand::Begin {
            read_only: true,
            floor: None,
        };
        self.send_step(now, id, begin, Step::ConfirmationBegin);
        self.send_step(now, id, BackendCommand::Rollback, Step::ConfirmationEnd);
    }

    /// Ends a transaction whose begin is doubted, and begins it again.
    fn begin_anew(&mut self, now: Time, id: ConnectionId, step: Step) {
        let Step::Begin { read_only, floor } = step else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.confirmation = Some(Confirmation::Begin);
        }
        self.send_step(now, id, BackendCommand::Rollback, Step::ConfirmationEnd);
        self.send(now, id, BackendCommand::Begin { read_only, floor });
    }

    /// A transaction has begun.
    pub(crate) fn begin_confirmed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.confirmation = None;
        }
    }

    /// The last command of a confirmation was answered in its place.
    pub(crate) fn confirmation_ended(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.sent.is_empty() {
            return;
        }
        match connection.confirmation.take() {
            Some(Confirmation::Report(sent, reply)) => self.accept_reply(now, id, sent, reply),
            Some(Confirmation::Begin) | None => self.free_connection(now, id),
        }
    }
}
