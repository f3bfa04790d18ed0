//! Running a batch on a new stream, as the routing machine decides.

use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::simplequery::Query;
use stairward_protocol::stream::{EdgeMessage, Open, OwnerMessage, WireAccess};
use stairward_routing::{Attempt, Effect, Event, Outcome, RequestMachine, RequestSpec};
use stairward_types::{AccessClass, ResultCode, Time};
use tokio::sync::watch;

use super::active::{ActiveStream, observation, prepare};
use super::batch::BatchKind;
use super::client::ClientError;
use super::execute::{ReadFloor, Request};
use super::session::{Flow, Session, SessionEnd};
use super::waiting::{Heard, retry_after};

/// How long a connection to an owner may take to be made before its standby is asked.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What a step of a request came to.
enum Progress {
    /// It goes on.
    Continue(Option<Event>),
    /// It was admitted and the rest of its batch is still to come.
    Underway,
    /// It has its outcome.
    Finished(Outcome),
}

impl Session {
    /// Runs a batch that starts a new stream.
    pub(super) async fn run_on_new(&mut self, request: Request) -> Flow<()> {
        let floor = self.floor_for(&request).await;
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
        let output_before = self.client.output.len();
        let mut opening = Opening {
            request,
            floor,
            wake: Time::NEVER,
            output_before,
            primary: self.group.watch_primary(),
        };
        self.registration.cancels.mark_unchanged();
        let outcome = self.drive(&mut machine, &mut opening).await;
        if outcome.is_err() {
            // Gives back a place in the hold queue.
            let now = self.now();
            self.group
                .with_routing(|routing| machine.handle(now, Event::Cancelled, routing, 0));
        }
        match outcome? {
            None | Some(Outcome::Answered) => {}
            Some(Outcome::Failed(failure)) => {
                self.active = None;
                self.truncate_output(&opening);
                self.refuse(kind, failure.into());
            }
        }
        Ok(())
    }

    /// Forgets answers of a failed attempt that the caller has seen nothing of.
    fn truncate_output(&mut self, opening: &Opening) {
        let length = self.client.output.len().min(opening.output_before);
        self.client.output.truncate(length);
    }

    async fn floor_for(&mut self, request: &Request) -> ReadFloor {
        if request.access == AccessClass::Read {
            return self.read_floor(request).await;
        }
        ReadFloor {
            freshness: self.floor.get(),
            primary_only: true,
        }
    }

    /// Feeds the machine until the request has its outcome; `None` when the rest of its batch is
    /// still to come.
    async fn drive(
        &mut self,
        machine: &mut RequestMachine,
        opening: &mut Opening,
    ) -> Flow<Option<Outcome>> {
        let mut next = Some(Event::Start);
        loop {
            let event = match next.take() {
                Some(event) => event,
                None => match self.next_event(opening).await? {
                    Progress::Continue(Some(event)) => event,
                    Progress::Continue(None) => continue,
                    Progress::Underway => return Ok(None),
                    Progress::Finished(outcome) => return Ok(Some(outcome)),
                },
            };
            let now = self.now();
            let random = rand::random();
            let effects = self
                .group
                .with_routing(|routing| machine.handle(now, event, routing, random));
            for effect in effects {
                match self.carry_out(effect, opening).await {
                    Progress::Continue(Some(event)) => next = Some(event),
                    Progress::Continue(None) => {}
                    Progress::Underway => return Ok(None),
                    Progress::Finished(outcome) => return Ok(Some(outcome)),
                }
            }
        }
    }

    async fn carry_out(&mut self, effect: Effect, opening: &mut Opening) -> Progress {
        match effect {
            Effect::Send(attempt) => {
                self.active = None;
                self.truncate_output(opening);
                return Progress::Continue(self.send_attempt(&attempt, opening).await);
            }
            Effect::WakeAt(moment) => opening.wake = moment,
            Effect::FindPrimary => {
                self.active = None;
                self.group.search_primary();
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

    /// Opens a stream; returns what the machine must hear when that failed.
    async fn send_attempt(&mut self, attempt: &Attempt, opening: &Opening) -> Option<Event> {
        let lost = Some(Event::StreamLost {
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
        let Some(node) = node else { return lost };
        let request = &opening.request;
        let prepared = prepare(
            request.batch.clone(),
            |_| false,
            &self.prepared,
            request.may_commit(),
        );
        let setup = self.session_setup(request);
        let mut batch = prepared.wire;
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
            floor: opening.floor.freshness.into(),
            expected_term: attempt.expected_term.0,
            deadline_milliseconds: milliseconds(attempt.remaining),
            freshness_wait_milliseconds: milliseconds(attempt.freshness_wait),
            request_key: request.request_key.as_deref().unwrap_or_default().into(),
            session_setup: setup.into(),
            batch,
        };
        // Giving up on a connection that is still being made sends nothing.
        let patience = attempt.remaining.min(OPEN_TIMEOUT);
        let opened = self.service.network.open_stream(node, open);
        match tokio::time::timeout(patience, opened).await {
            Ok(Ok(stream)) => {
                let active = ActiveStream::opened(stream, request.access, prepared.running);
                self.active = Some(Box::new(active));
                None
            }
            Ok(Err(_)) | Err(_) => lost,
        }
    }

    /// The messages that set the session up on a connection; empty when there is nothing to set.
    fn session_setup(&self, request: &Request) -> Vec<u8> {
        let mut sql = self.variables.setup_sql();
        if request.read_only {
            sql.push_str("SET default_transaction_read_only TO on;");
        }
        if sql.is_empty() {
            return Vec::new();
        }
        let mut bytes = BytesMut::new();
        // Encoding fails only for messages of a gigabyte.
        let _ = Query::new(sql).encode(&mut bytes);
        bytes.to_vec()
    }

    async fn next_event(&mut self, opening: &mut Opening) -> Flow<Progress> {
        // A write under way is left to run: the caller may have sent it and gone.
        let watch_caller = opening.request.access == AccessClass::Read || self.active.is_none();
        let heard = self
            .hear(opening.wake, &mut opening.primary, watch_caller)
            .await?;
        let message = match heard {
            Heard::Owner(Some(message)) => message,
            Heard::Owner(None) => {
                self.active = None;
                return Ok(Progress::Continue(Some(Event::StreamLost {
                    request_sent: true,
                })));
            }
            Heard::Flush => {
                let begun = self.flush_answers().await?;
                opening.output_before = 0;
                return Ok(Progress::Continue(begun.then_some(Event::AnswerStarted)));
            }
            Heard::Tick => return Ok(Progress::Continue(Some(Event::Tick))),
            Heard::PrimaryLearnt => return Ok(Progress::Continue(Some(Event::PrimaryFound))),
            Heard::Cancelled => return Ok(Progress::Continue(Some(Event::Cancelled))),
            Heard::CallerGone => return Err(SessionEnd::Client(ClientError::Closed)),
        };
        self.hear_owner(message, opening).await
    }

    /// Takes a message of the owner in. Those that end the stream let go of it, since nothing but its
    /// end would be heard on it from now on.
    async fn hear_owner(&mut self, message: OwnerMessage, opening: &mut Opening) -> Flow<Progress> {
        let event = match message {
            OwnerMessage::Admitted(hint) => {
                if opening.request.batch.kind == BatchKind::Partial {
                    return Ok(Progress::Underway);
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
                let begun = self.pass_answer(&messages.bytes).await?;
                if begun {
                    opening.output_before = 0;
                }
                return Ok(Progress::Continue(begun.then_some(Event::AnswerStarted)));
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
            done @ OwnerMessage::BatchDone { .. } => Event::Done(self.batch_done(done)),
        };
        Ok(Progress::Continue(Some(event)))
    }
}

/// A request on its way to a stream.
pub(super) struct Opening {
    request: Request,
    floor: ReadFloor,
    wake: Time,
    /// Length of the caller's output when the request began; what follows is of the attempt.
    output_before: usize,
    primary: watch::Receiver<u64>,
}

impl Request {
    /// Whether running it may commit writes.
    pub(super) fn may_commit(&self) -> bool {
        self.access == AccessClass::Write && self.batch.class.may_commit(false)
    }
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
