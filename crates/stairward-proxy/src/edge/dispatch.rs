//! Runs a batch on a new stream, driven by the routing state machine.

use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::simplequery::Query;
use stairward_protocol::stream::{EdgeMessage, Open, OwnerMessage, WireAccess};
use stairward_routing::{Attempt, Effect, Event, Outcome, RequestMachine, RequestSpec};
use stairward_types::{AccessClass, ResultCode, Time};
use tokio::sync::watch;

use super::active::{ActiveStream, build_outgoing, observation};
use super::batch::BatchKind;
use super::client::ClientError;
use super::events::{Wakeup, retry_after};
use super::execute::{ReadFloor, Request};
use super::session::{Session, SessionEnd, SessionResult};

/// Time to establish a connection to an owner before the attempt counts as failed and its standby
/// can be tried.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of one step of a request.
enum Progress {
    /// The request continues, with this event for the state machine, if any.
    Continue(Option<Event>),
    /// The request was admitted, and the rest of its batch hasn't been received yet.
    AwaitingNextPart,
    /// The request has completed.
    Finished(Outcome),
}

impl Session {
    /// Runs a batch on a new stream.
    pub(super) async fn run_on_new_stream(&mut self, request: Request) -> SessionResult<()> {
        let floor = self.request_floor(&request).await;
        let mut machine = RequestMachine::new(RequestSpec {
            access: request.access,
            repeatable: request.repeatable,
            may_commit: request.may_commit(),
            floor: floor.freshness,
            primary_only: floor.primary_only,
            deadline: request.deadline,
            bytes: request.batch.bytes(),
        });
        let kind = request.batch.kind;
        let output_start = self.client.output.len();
        let mut dispatch = Dispatch {
            request,
            floor,
            wake_at: Time::NEVER,
            output_start,
            primary: self.group.subscribe_primary(),
        };
        self.registration.cancel_requests.mark_unchanged();
        let outcome = self.drive_request(&mut machine, &mut dispatch).await;
        if outcome.is_err() {
            // Releases the request's place in the hold queue.
            let now = self.now();
            self.group
                .with_routing(|routing| machine.handle(now, Event::Cancelled, routing, 0));
        }
        match outcome? {
            None | Some(Outcome::Answered) => {}
            Some(Outcome::Failed(failure)) => {
                self.active = None;
                self.discard_output(&dispatch);
                self.refuse(kind, failure.into());
            }
        }
        Ok(())
    }

    /// Discards the buffered response of a failed attempt, none of which was written to the client.
    fn discard_output(&mut self, dispatch: &Dispatch) {
        let length = self.client.output.len().min(dispatch.output_start);
        self.client.output.truncate(length);
    }

    async fn request_floor(&mut self, request: &Request) -> ReadFloor {
        if request.access == AccessClass::Read {
            return self.read_floor(request).await;
        }
        ReadFloor {
            freshness: self.floor.get(),
            primary_only: true,
        }
    }

    /// Drives the state machine until the request completes. Returns `None` if the request was
    /// admitted and the rest of its batch is still to come.
    async fn drive_request(
        &mut self,
        machine: &mut RequestMachine,
        dispatch: &mut Dispatch,
    ) -> SessionResult<Option<Outcome>> {
        let mut next = Some(Event::Start);
        loop {
            let event = match next.take() {
                Some(event) => event,
                None => match self.next_event(dispatch).await? {
                    Progress::Continue(Some(event)) => event,
                    Progress::Continue(None) => continue,
                    Progress::AwaitingNextPart => return Ok(None),
                    Progress::Finished(outcome) => return Ok(Some(outcome)),
                },
            };
            let now = self.now();
            let random = rand::random();
            let effects = self
                .group
                .with_routing(|routing| machine.handle(now, event, routing, random));
            for effect in effects {
                match self.apply_effect(effect, dispatch).await {
                    Progress::Continue(Some(event)) => next = Some(event),
                    Progress::Continue(None) => {}
                    Progress::AwaitingNextPart => return Ok(None),
                    Progress::Finished(outcome) => return Ok(Some(outcome)),
                }
            }
        }
    }

    async fn apply_effect(&mut self, effect: Effect, dispatch: &mut Dispatch) -> Progress {
        match effect {
            Effect::Send(attempt) => {
                self.active = None;
                self.discard_output(dispatch);
                return Progress::Continue(self.send_attempt(&attempt, dispatch).await);
            }
            Effect::WakeAt(moment) => dispatch.wake_at = moment,
            Effect::FindPrimary => {
                self.active = None;
                self.group.start_primary_search();
            }
            Effect::Cancel => {
                if let Some(active) = &self.active {
                    active.stream.send(EdgeMessage::Cancel);
                }
            }
            Effect::Abandon => self.active = None,
            Effect::Finish(outcome) => return Progress::Finished(outcome),
        }
        Progress::Continue(None)
    }

    /// Opens a stream to the backend's owner. Returns the event for the state machine if that
    /// fails.
    async fn send_attempt(&mut self, attempt: &Attempt, dispatch: &Dispatch) -> Option<Event> {
        let stream_lost = Some(Event::StreamLost {
            request_sent: false,
        });
        let owners = self.service.cluster.owners(&attempt.backend);
        let node = owners.and_then(|owners| {
            if attempt.use_standby {
                owners.standby
            } else {
                Some(owners.owner)
            }
        });
        let Some(node) = node else { return stream_lost };
        let request = &dispatch.request;
        let outgoing = build_outgoing(
            request.batch.clone(),
            |_| false,
            &self.prepared,
            request.may_commit(),
        );
        let setup = self.session_setup(request);
        let mut batch = outgoing.wire;
        if !setup.is_empty() {
            batch.alters_session = 1;
        }
        let open = Open {
            backend: attempt.backend.as_str().into(),
            service: request.service.as_str().into(),
            access: match request.access {
                AccessClass::Read => WireAccess::Read,
                AccessClass::Write => WireAccess::Write,
            },
            floor: dispatch.floor.freshness.into(),
            expected_term: attempt.expected_term.0,
            deadline_milliseconds: milliseconds(attempt.remaining),
            freshness_wait_milliseconds: milliseconds(attempt.freshness_wait),
            request_key: request.request_key.as_deref().unwrap_or_default().into(),
            session_setup: setup.into(),
            batch,
        };
        // If connecting times out, nothing has been sent, so the attempt is safe to repeat.
        let connect_timeout = attempt.remaining.min(OPEN_TIMEOUT);
        let opened = self.service.network.open_stream(node, open);
        match tokio::time::timeout(connect_timeout, opened).await {
            Ok(Ok(stream)) => {
                let active = ActiveStream::opened(stream, request.access, outgoing.running);
                self.active = Some(Box::new(active));
                None
            }
            Ok(Err(_)) | Err(_) => stream_lost,
        }
    }

    /// The messages that set up session state on a backend connection; empty if there is none.
    fn session_setup(&self, request: &Request) -> Vec<u8> {
        let mut sql = self.variables.setup_sql();
        if request.read_only {
            sql.push_str("SET default_transaction_read_only TO on;");
        }
        if sql.is_empty() {
            return Vec::new();
        }
        let mut bytes = BytesMut::new();
        // Encoding fails only for messages of about a gigabyte.
        let _ = Query::new(sql).encode(&mut bytes);
        bytes.to_vec()
    }

    async fn next_event(&mut self, dispatch: &mut Dispatch) -> SessionResult<Progress> {
        // A running write isn't abandoned when the client disconnects: the client may have sent it
        // and closed the connection on purpose.
        let watch_client = dispatch.request.access == AccessClass::Read || self.active.is_none();
        let wakeup = self
            .next_wakeup(dispatch.wake_at, &mut dispatch.primary, watch_client)
            .await?;
        let message = match wakeup {
            Wakeup::Owner(Some(message)) => message,
            Wakeup::Owner(None) => {
                self.active = None;
                return Ok(Progress::Continue(Some(Event::StreamLost {
                    request_sent: true,
                })));
            }
            Wakeup::FlushDue => {
                let response_started = self.flush_output().await?;
                dispatch.output_start = 0;
                return Ok(Progress::Continue(
                    response_started.then_some(Event::AnswerStarted),
                ));
            }
            Wakeup::Timer => return Ok(Progress::Continue(Some(Event::Tick))),
            Wakeup::NewPrimary => return Ok(Progress::Continue(Some(Event::PrimaryFound))),
            Wakeup::CancelRequested => return Ok(Progress::Continue(Some(Event::Cancelled))),
            Wakeup::ClientGone => return Err(SessionEnd::Client(ClientError::Closed)),
        };
        self.handle_owner_message(message, dispatch).await
    }

    /// Processes a message from the owner. A message that ends the stream also drops it, since
    /// nothing but the end of the stream would follow.
    async fn handle_owner_message(
        &mut self,
        message: OwnerMessage,
        dispatch: &mut Dispatch,
    ) -> SessionResult<Progress> {
        let event = match message {
            OwnerMessage::Admitted(hint) => {
                if dispatch.request.batch.kind == BatchKind::Partial {
                    return Ok(Progress::AwaitingNextPart);
                }
                Event::Admitted(observation(hint))
            }
            OwnerMessage::Refused {
                code,
                retry_after_milliseconds,
                hint,
            } => {
                self.active = None;
                Event::Refused {
                    code: ResultCode::from_number(code).unwrap_or(ResultCode::BackendUnavailable),
                    retry_after: retry_after(retry_after_milliseconds),
                    observation: observation(hint),
                }
            }
            OwnerMessage::Answer { messages } => {
                let response_started = self.forward_response(&messages.bytes).await?;
                if response_started {
                    dispatch.output_start = 0;
                }
                return Ok(Progress::Continue(
                    response_started.then_some(Event::AnswerStarted),
                ));
            }
            OwnerMessage::OutcomeUnknown { code, hint } => {
                self.active = None;
                Event::OutcomeUnknown {
                    code: ResultCode::from_number(code).unwrap_or(ResultCode::BackendLostAfterSend),
                    observation: observation(hint),
                }
            }
            OwnerMessage::TransactionLost { .. } => {
                self.active = None;
                Event::TransactionLost
            }
            done @ OwnerMessage::BatchDone { .. } => Event::Done(self.complete_batch(done)),
        };
        Ok(Progress::Continue(Some(event)))
    }
}

/// A request being dispatched to a stream.
pub(super) struct Dispatch {
    request: Request,
    floor: ReadFloor,
    wake_at: Time,
    /// Length of the client's output buffer when the request began. Anything after it belongs to
    /// the current attempt and can be discarded on a retry.
    output_start: usize,
    primary: watch::Receiver<u64>,
}

impl Request {
    /// Whether the request may commit writes.
    pub(super) fn may_commit(&self) -> bool {
        self.access == AccessClass::Write && self.batch.class.may_commit(false)
    }
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
