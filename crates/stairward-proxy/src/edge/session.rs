//! A client session: reads messages, collects them into batches and runs them.

use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::TransactionStatus;
use stairward_protocol::stream::OwnerMessage;
use stairward_session::{
    PreparedStatements, SessionFloor, SessionHints, SessionToken, SessionVariables,
};
use stairward_types::{Freshness, LogEvent, OutcomeClass, ResultCode, Time};
use tokio::sync::watch;

use super::active::ActiveStream;
use super::batch::{Batch, BatchBuilder, BatchKind};
use super::cancel::Registration;
use super::client::{Client, ClientError, OUTPUT_BYTES};
use super::error::EdgeError;
use super::frontend::{Frame, FrontendError, FrontendMessage};
use super::group::Group;
use super::hint_changes::TOKEN_PARAMETER;
use super::reply::{self, Severity};
use super::service::EdgeService;

/// How long an idle session stays open after a drain has begun. A request that the client had
/// already sent arrives within this time and is still served.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(250);
/// Maximum delay for buffering a response before it is written.
pub(super) const OUTPUT_DELAY: Duration = Duration::from_millis(5);
/// Maximum message size while the group has no settings.
const DEFAULT_MESSAGE_LIMIT_BYTES: usize = 1024 * 1024;

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The client sent `Terminate`.
    Terminated,
    /// The proxy is draining.
    Drained,
    /// The client connection failed or was closed.
    Client(ClientError),
    /// The client violated the protocol.
    ProtocolViolated(FrontendError),
}

impl From<ClientError> for SessionEnd {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Protocol { source } => Self::ProtocolViolated(source),
            other => Self::Client(other),
        }
    }
}

pub(super) type SessionResult<T> = Result<T, SessionEnd>;

/// The state of the session's transaction as seen by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transaction {
    /// No transaction is open.
    Idle,
    /// A transaction is open on the active stream.
    Open,
    /// A transaction is open on the active stream and has failed.
    Failed,
    /// The transaction was lost or abandoned and has been rolled back; the client hasn't ended it
    /// yet.
    Lost {
        /// Whether the loss has been reported to the client.
        reported: bool,
    },
}

impl Transaction {
    fn status(self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Open => TransactionStatus::Transaction,
            Self::Failed | Self::Lost { .. } => TransactionStatus::Error,
        }
    }
}

/// A client session. It isn't bound to a backend.
pub(super) struct Session {
    pub(super) service: Arc<EdgeService>,
    pub(super) group: Arc<Group>,
    pub(super) client: Client,
    pub(super) registration: Registration,
    pub(super) draining: watch::Receiver<bool>,
    pub(super) hints: SessionHints,
    pub(super) variables: SessionVariables,
    pub(super) prepared: PreparedStatements,
    pub(super) floor: SessionFloor,
    /// Whether the floor covers everything that the client may have seen in earlier sessions.
    pub(super) floor_is_known: bool,
    /// The floor of the last token sent to the client.
    pub(super) reported_floor: Option<Freshness>,
    pub(super) transaction: Transaction,
    pub(super) active: Option<Box<ActiveStream>>,
    pub(super) builder: BatchBuilder,
    /// Whether a request was served since the drain began. If so, the session ends right after the
    /// response, when the client is least likely to have sent another request.
    pub(super) served_while_draining: bool,
    /// Whether messages are ignored up to the next `Sync`, after an error in the current batch.
    pub(super) skip_until_sync: bool,
}

/// The input that a session waits for between batches.
enum SessionInput {
    Frame(Frame),
    /// An owner message: the response to a part of a batch, or the loss of a transaction.
    Owner(Option<OwnerMessage>),
    Drain,
    /// A drain has begun; the session reconsiders what to wait for.
    DrainStarted,
}

impl Session {
    /// Serves the client until the session ends.
    pub(super) async fn run(mut self: Box<Self>) {
        let end = loop {
            if let Err(end) = self.process_next().await {
                break end;
            }
        };
        Box::pin(self.close(end)).await;
    }

    async fn process_next(&mut self) -> SessionResult<()> {
        match self.next_input().await? {
            // Boxed, so that an idle session doesn't reserve memory for a running batch.
            SessionInput::Frame(frame) => Box::pin(self.handle_frame(frame)).await,
            SessionInput::Owner(message) => {
                Box::pin(self.handle_owner_message_between_batches(message)).await
            }
            SessionInput::Drain => Err(SessionEnd::Drained),
            SessionInput::DrainStarted => Ok(()),
        }
    }

    async fn next_input(&mut self) -> SessionResult<SessionInput> {
        let limit = self.message_limit();
        if self.client.output.len() < OUTPUT_BYTES
            && let Some(frame) = self.client.buffered_frame(limit)?
        {
            return Ok(SessionInput::Frame(frame));
        }
        self.client.flush().await?;
        let draining = *self.draining.borrow();
        let idle = self.is_idle();
        if draining && idle && self.served_while_draining {
            return Ok(SessionInput::Drain);
        }
        let frame = tokio::select! {
            biased;
            frame = self.client.frame(limit) => frame?,
            message = receive(&mut self.active) => return Ok(SessionInput::Owner(message)),
            _ = self.draining.wait_for(|draining| *draining), if !draining => {
                return Ok(SessionInput::DrainStarted);
            }
            () = tokio::time::sleep(DRAIN_IDLE_TIME), if draining && idle => {
                return Ok(SessionInput::Drain);
            }
        };
        self.served_while_draining = draining;
        Ok(SessionInput::Frame(frame))
    }

    /// Whether no transaction is open and no batch has been started. Only then may a drain end the
    /// session.
    fn is_idle(&self) -> bool {
        let has_transaction = matches!(self.transaction, Transaction::Open | Transaction::Failed);
        !has_transaction && self.active.is_none() && self.builder.is_empty()
    }

    fn message_limit(&self) -> usize {
        self.group
            .with_settings(|settings| settings.maximum_message_bytes)
            .unwrap_or(DEFAULT_MESSAGE_LIMIT_BYTES)
    }

    async fn handle_frame(&mut self, frame: Frame) -> SessionResult<()> {
        let parsed = match frame.message() {
            Ok(message) => message,
            Err(FrontendError::NotUtf8 { tag }) => return self.reject_encoding(tag).await,
            Err(error) => return Err(SessionEnd::ProtocolViolated(error)),
        };
        match parsed {
            FrontendMessage::Terminate => Err(SessionEnd::Terminated),
            FrontendMessage::Query { text } => {
                self.skip_until_sync = false;
                let class = self.service.classify(text);
                let batch = Batch::simple(frame.clone(), text, class);
                self.execute(batch).await
            }
            FrontendMessage::Sync => self.sync(frame).await,
            FrontendMessage::Flush if !self.skip_until_sync && !self.builder.is_empty() => {
                let batch = self.builder.finish(frame, BatchKind::Partial);
                self.execute(batch).await
            }
            FrontendMessage::FunctionCall => {
                let error = EdgeError::with_explanation(
                    ResultCode::FeatureRefused,
                    "function call messages",
                );
                self.refuse(BatchKind::Simple, error);
                Ok(())
            }
            // Remaining messages of a refused COPY are ignored, as in PostgreSQL.
            FrontendMessage::CopyData | FrontendMessage::CopyDone | FrontendMessage::CopyFail => {
                Ok(())
            }
            FrontendMessage::Password => {
                Err(SessionEnd::ProtocolViolated(FrontendError::Malformed {
                    tag: frame.tag(),
                }))
            }
            message => {
                self.buffer_message(&frame, message);
                Ok(())
            }
        }
    }

    fn buffer_message(&mut self, frame: &Frame, message: FrontendMessage<'_>) {
        let is_flush = matches!(message, FrontendMessage::Flush);
        if self.skip_until_sync || is_flush {
            return;
        }
        let service = &self.service;
        self.builder.add(frame, message, &self.prepared, |text| {
            service.classify(text)
        });
    }

    async fn sync(&mut self, frame: Frame) -> SessionResult<()> {
        let is_empty = self.builder.is_empty();
        let batch = self.builder.finish(frame, BatchKind::Extended);
        let has_running_part = self
            .active
            .as_ref()
            .is_some_and(|active| active.running.is_some());
        if self.skip_until_sync || (is_empty && !has_running_part) {
            self.skip_until_sync = false;
            self.send_ready();
            return Ok(());
        }
        self.execute(batch).await
    }

    async fn reject_encoding(&mut self, tag: u8) -> SessionResult<()> {
        let error = EdgeError::new(ResultCode::InvalidEncoding);
        if tag == b'Q' {
            self.refuse(BatchKind::Simple, error);
        } else if !self.skip_until_sync {
            self.refuse(BatchKind::Partial, error);
        }
        Ok(())
    }

    /// Sends an error response to a batch in place of a backend. An open transaction is abandoned
    /// and must be ended by the client, as after an error in PostgreSQL.
    pub(super) fn refuse(&mut self, kind: BatchKind, error: EdgeError) {
        self.record_failure(&error);
        if self.transaction != Transaction::Idle {
            self.transaction = Transaction::Lost { reported: true };
            self.variables.roll_back();
            self.hints.end_transaction();
        }
        // Dropping the stream makes the owner roll back the open transaction.
        self.active = None;
        reply::error_response(&mut self.client.output, Severity::Error, &error);
        if kind == BatchKind::Partial {
            self.skip_until_sync = true;
            self.builder = BatchBuilder::default();
        } else {
            self.send_ready();
        }
    }

    fn record_failure(&self, error: &EdgeError) {
        let Some(code) = error.code() else { return };
        let counters = &self.service.counters;
        match code.class() {
            OutcomeClass::OutcomeUnknown => {
                counters.outcomes_unknown.add(1);
                tracing::warn!(
                    event = LogEvent::OutcomeUnknown.number(),
                    code = code.number(),
                    group = %self.group.id,
                    "request outcome unknown"
                );
            }
            _ => {
                counters.refused.add(1);
                tracing::debug!(
                    event = LogEvent::RequestRefused.number(),
                    code = code.number(),
                    group = %self.group.id,
                    "request refused"
                );
            }
        }
    }

    /// Sends the session token if it changed, then `ReadyForQuery`.
    pub(super) fn send_ready(&mut self) {
        self.send_token_if_changed();
        reply::ready_for_query(&mut self.client.output, self.transaction.status());
    }

    fn send_token_if_changed(&mut self) {
        if self.floor.get() == self.reported_floor {
            return;
        }
        if let Some(token) = self.token() {
            reply::parameter_status(&mut self.client.output, TOKEN_PARAMETER, &token);
            self.reported_floor = self.floor.get();
        }
    }

    /// The session token; `None` while the floor is unknown.
    pub(super) fn token(&self) -> Option<String> {
        let floor = self.floor.get()?;
        let token = SessionToken {
            group: self.group.id.clone(),
            floor,
        };
        Some(self.service.token_key().sign(&token))
    }

    pub(super) fn now(&self) -> Time {
        self.service.cluster.clock.now()
    }

    async fn close(mut self: Box<Self>, end: SessionEnd) {
        // Lets the owner roll back before the client is told that the session has ended.
        self.active = None;
        let error = match end {
            SessionEnd::Terminated => return self.client.close().await,
            SessionEnd::Client(ClientError::Closed | ClientError::Socket { .. }) => return,
            SessionEnd::Client(error) => {
                tracing::warn!(
                    event = LogEvent::ProtocolViolated.number(),
                    %error,
                    "client disconnected"
                );
                return;
            }
            SessionEnd::Drained => EdgeError::new(ResultCode::ProxyStopping),
            SessionEnd::ProtocolViolated(error) => protocol_violation(&error),
        };
        reply::error_response(&mut self.client.output, Severity::Fatal, &error);
        self.client.close().await;
    }
}

/// Receives the next message from the active stream; pending while there is none. Cancel-safe.
async fn receive(active: &mut Option<Box<ActiveStream>>) -> Option<OwnerMessage> {
    match active {
        Some(active) => active.stream.receive().await,
        None => std::future::pending().await,
    }
}

fn protocol_violation(error: &FrontendError) -> EdgeError {
    tracing::warn!(
        event = LogEvent::ProtocolViolated.number(),
        %error,
        "disconnecting a client after a protocol violation"
    );
    let code = match error {
        FrontendError::TooLarge { .. } => ResultCode::MessageTooLarge,
        FrontendError::NotUtf8 { .. } => ResultCode::InvalidEncoding,
        _ => ResultCode::ProtocolViolation,
    };
    EdgeError::with_explanation(code, error)
}
