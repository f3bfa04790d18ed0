//! Decides how a batch runs: handled by the edge itself, on the stream of an open transaction, or
//! on a new stream.

use std::time::Duration;

use stairward_session::Hints;
use stairward_types::{AccessClass, Freshness, ResultCode, Time};

use super::batch::{Batch, BatchKind, single_session_change};
use super::error::EdgeError;
use super::frontend::{Frame, FrontendMessage, Target};
use super::hint_changes;
use super::reply;
use super::session::{Session, SessionResult, Transaction};

/// How long a session's first read waits for a majority before it falls back to the primary.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(1);

/// A batch together with the limits and hints that apply to it.
pub(super) struct Request {
    pub(super) batch: Batch,
    pub(super) access: AccessClass,
    pub(super) repeatable: bool,
    pub(super) request_key: Option<String>,
    pub(super) read_only: bool,
    pub(super) deadline: Time,
    pub(super) staleness: Duration,
    pub(super) service: String,
}

/// The minimum freshness of the backend that answers a read.
pub(super) struct ReadFloor {
    pub(super) freshness: Option<Freshness>,
    /// Whether only the primary may answer, because the minimum freshness couldn't be determined.
    pub(super) primary_only: bool,
}

impl Session {
    /// Runs a batch and sends its response, followed by `ReadyForQuery` unless the batch is
    /// partial.
    pub(super) async fn execute(&mut self, mut batch: Batch) -> SessionResult<()> {
        let statements = batch.class.statements as u64;
        self.service.counters.statements.add(statements);
        if let Transaction::Lost { reported } = self.transaction {
            self.handle_lost_transaction(&batch, reported);
            return Ok(());
        }
        if let Some(error) = batch.error.take() {
            self.refuse(batch.kind, error);
            return Ok(());
        }
        if self.handle_locally(&batch) {
            return Ok(());
        }
        let request = match self.build_request(batch) {
            Ok(request) => request,
            Err((kind, error)) => {
                self.refuse(kind, error);
                return Ok(());
            }
        };
        if self.active.is_some() {
            self.run_on_active_stream(request).await
        } else {
            self.run_on_new_stream(request).await
        }
    }

    /// Handles a batch that needs no backend. Returns false if one is needed.
    fn handle_locally(&mut self, batch: &Batch) -> bool {
        if self.transaction == Transaction::Failed || batch.kind != BatchKind::Simple {
            return false;
        }
        if batch.class.statements == 0 {
            reply::empty_query_response(&mut self.client.output);
            self.send_ready();
            return true;
        }
        if hint_changes::is_show_token(&batch.text) {
            let token = self.token().unwrap_or_default();
            let output = &mut self.client.output;
            reply::text_row(output, hint_changes::TOKEN_PARAMETER, &token);
            reply::command_complete(output, "SHOW");
            self.send_ready();
            return true;
        }
        let Some(change) =
            single_session_change(batch).filter(|change| hint_changes::is_hint_change(change))
        else {
            return false;
        };
        let is_local = matches!(
            change,
            stairward_session::SessionChange::Set { local: true, .. }
        );
        // As in PostgreSQL, SET LOCAL has no effect outside a transaction.
        let has_effect = !is_local || self.transaction == Transaction::Open;
        if has_effect && let Err(error) = hint_changes::apply(change, &mut self.hints) {
            self.refuse(batch.kind, error);
            return true;
        }
        let is_reset = matches!(change, stairward_session::SessionChange::Reset { .. });
        let tag = if is_reset { "RESET" } else { "SET" };
        reply::command_complete(&mut self.client.output, tag);
        self.send_ready();
        true
    }

    /// Combines a batch with the current hints and group settings.
    fn build_request(&mut self, batch: Batch) -> Result<Request, (BatchKind, EdgeError)> {
        let hints = self.hints.effective(batch.hints.clone());
        let now = self.now();
        let limits_and_service = self.group.with_settings(|settings| {
            let timeout = hints.deadline.unwrap_or(settings.request_timeout);
            let staleness = hints
                .maximum_staleness
                .unwrap_or(settings.maximum_staleness);
            (timeout, staleness, settings.service.to_string())
        });
        let Some((timeout, staleness, service)) = limits_and_service else {
            let error =
                EdgeError::with_explanation(ResultCode::UnknownDatabase, self.group.id.as_str());
            return Err((batch.kind, error));
        };
        let read_only = hints.read_only == Some(true);
        let access = batch.access();
        if read_only && access == AccessClass::Write && !batch.class.controls_transaction() {
            let error = EdgeError::with_explanation(
                ResultCode::InvalidHint,
                "stairward.read_only is on and the statement may write",
            );
            return Err((batch.kind, error));
        }
        let access = if read_only { AccessClass::Read } else { access };
        let request_key = self
            .request_key(&batch, access, &hints)
            .map_err(|error| (batch.kind, error))?;
        Ok(Request {
            access,
            repeatable: access == AccessClass::Read
                || hints.repeatable == Some(true)
                || request_key.is_some(),
            request_key,
            read_only,
            deadline: now + timeout,
            staleness,
            service,
            batch,
        })
    }

    /// The idempotency key of the batch, if it has one. A key covers a single write outside a
    /// transaction: within a client's transaction, the ledger row couldn't represent the whole
    /// transaction.
    fn request_key(
        &mut self,
        batch: &Batch,
        access: AccessClass,
        hints: &Hints,
    ) -> Result<Option<String>, EdgeError> {
        let Some(key) = hints.request_key.clone() else {
            return Ok(None);
        };
        if access == AccessClass::Read {
            return Ok(None);
        }
        let is_single_write = self.transaction == Transaction::Idle
            && !batch.class.controls_transaction()
            && batch.kind != BatchKind::Partial;
        if !is_single_write {
            return Err(EdgeError::with_explanation(
                ResultCode::InvalidHint,
                "stairward.request_key can't be used within an explicit transaction",
            ));
        }
        self.hints.consume_request_key();
        Ok(Some(key))
    }

    /// The floor for a read on a new stream. The first read of a session without a token asks a
    /// majority of the group's members for it.
    pub(super) async fn read_floor(&mut self, request: &Request) -> ReadFloor {
        let timeout = request.deadline.since(self.now()).min(MAJORITY_TIMEOUT);
        let must_check_token = self
            .floor
            .get()
            .is_some_and(|floor| self.is_term_unknown(floor));
        if !self.floor_is_known || must_check_token {
            let confirmed = self.group.confirmed_freshness(timeout).await;
            match confirmed {
                Some(confirmed) if self.floor_is_known => self.floor.clamp(confirmed),
                Some(confirmed) => {
                    self.floor.raise(confirmed);
                    self.floor_is_known = true;
                }
                None => {
                    return ReadFloor {
                        freshness: self.floor.get(),
                        primary_only: true,
                    };
                }
            }
        }
        ReadFloor {
            freshness: self.floor_with_staleness(request),
            primary_only: false,
        }
    }

    fn is_term_unknown(&self, floor: Freshness) -> bool {
        self.group.with_routing(|routing| {
            floor.term > routing.view.newest().term.max(primary_term(routing))
        })
    }

    /// The session's floor, raised to the freshness that the group had reached at the maximum
    /// staleness ago.
    fn floor_with_staleness(&self, request: &Request) -> Option<Freshness> {
        let floor = self.floor.get();
        if request.staleness.is_zero() {
            return floor;
        }
        let now = self.now();
        let seen = self
            .group
            .with_routing(|routing| routing.view.staleness_floor(now, request.staleness));
        match (floor, seen) {
            (Some(floor), Some(seen)) => Some(floor.join(seen)),
            (floor, seen) => floor.or(seen),
        }
    }

    /// Responds to a batch while the session's transaction is lost: its end is acknowledged and
    /// everything else is refused.
    fn handle_lost_transaction(&mut self, batch: &Batch, reported: bool) {
        let ends = batch.class.ends.is_some() && batch.class.leaves_open.is_none();
        let commits = batch.class.has_commit;
        if ends && (reported || !commits) {
            self.transaction = Transaction::Idle;
            self.emulate_rollback(batch);
            return;
        }
        let code = if reported {
            ResultCode::StaleTransaction
        } else {
            ResultCode::TransactionLost
        };
        self.refuse(batch.kind, EdgeError::new(code));
        if ends && batch.kind != BatchKind::Partial {
            self.transaction = Transaction::Idle;
        }
    }

    /// Responds to the end of a lost transaction as the backend would to a rollback.
    fn emulate_rollback(&mut self, batch: &Batch) {
        for bytes in &batch.frames {
            let frame = Frame {
                bytes: bytes.clone(),
            };
            if let Ok(message) = frame.message() {
                emulate_response(message, &mut self.client.output);
            }
        }
        if batch.kind != BatchKind::Partial {
            self.send_ready();
        }
    }
}

fn primary_term(routing: &stairward_routing::GroupRouting) -> stairward_types::Term {
    routing
        .view
        .primary()
        .map_or_else(Default::default, |primary| primary.term)
}

fn emulate_response(message: FrontendMessage<'_>, output: &mut bytes::BytesMut) {
    match message {
        FrontendMessage::Query { .. } | FrontendMessage::Execute { .. } => {
            reply::command_complete(output, "ROLLBACK");
        }
        FrontendMessage::Parse { .. } => reply::parse_complete(output),
        FrontendMessage::Bind { .. } => reply::bind_complete(output),
        FrontendMessage::Close { .. } => reply::close_complete(output),
        FrontendMessage::Describe { target, .. } => {
            if target == Target::Statement {
                reply::empty_parameter_description(output);
            }
            reply::no_data(output);
        }
        _ => {}
    }
}
