//! Settings of a simulated proxy: drives the real spreading decisions and reads the store.

use std::sync::Arc;
use std::time::Duration;

use stairward_checker::HistoryEvent;
use stairward_membership::Event as MembershipEvent;
use stairward_membership::configuration::{
    Effect as SpreadEffect, Event as SpreadEvent, ExchangeAnswer, OutgoingUpdate, StoreAnswer,
    Update,
};
use stairward_settings::{SettingsDocument, SettingsUpdate};
use stairward_types::{NodeId, Revision};

use super::calls::CallPurpose;
use super::control::Control;
use super::message::{CallReply, CallRequest, PeerMessage, StoreAnswered, StoreRead};
use super::outbox::{Action, Outbox, ProxyTimer};
use super::proxy::ProxyState;
use super::variant::BrokenVariant;

/// How much longer than the store may wait its answer may take.
const STORE_GRACE: Duration = Duration::from_millis(500);

impl Control {
    fn revision(&self) -> Revision {
        self.document
            .as_ref()
            .map_or(Revision(0), |document| document.revision())
    }

    fn history_from(&self) -> Revision {
        let document = self.document.as_ref();
        let oldest = document.and_then(|document| document.history().next());
        oldest.map_or(self.revision(), |edit| Revision(edit.revision.0 - 1))
    }

    fn absorb(&self, update: &Update) -> Option<SettingsDocument> {
        let decoded = SettingsUpdate::decode(update.whole, &update.document).ok()?;
        match (&self.document, decoded) {
            (Some(document), decoded) => document.apply_update(decoded).ok()?,
            (None, SettingsUpdate::Whole(document)) => Some(*document),
            (None, SettingsUpdate::Edits(_)) => None,
        }
    }

    fn encode(&self, outgoing: OutgoingUpdate) -> Option<Update> {
        let document = self.document.as_ref()?;
        let (after, update) = match outgoing {
            OutgoingUpdate::Nothing => return None,
            OutgoingUpdate::EditsAfter(after) => (after, document.update_after(after)),
            OutgoingUpdate::WholeTree => {
                let whole = SettingsUpdate::Whole(Box::new(document.as_ref().clone()));
                (Revision(0), whole)
            }
        };
        let whole = update.is_whole();
        Some(Update {
            after: if whole { Revision(0) } else { after },
            revision: update.revision()?,
            whole,
            document: update.encode().ok()?.into(),
        })
    }
}

impl ProxyState {
    /// Lets time pass for the spreading of settings.
    pub(super) fn tick_settings(&mut self, out: &mut Outbox<'_>) {
        self.feed_settings(SpreadEvent::Tick, out);
        out.wake(out.now + self.control.tick, ProxyTimer::Settings);
        self.check_trust(out);
    }

    /// Tells the spreader what happened and carries its decisions out.
    pub(super) fn feed_settings(&mut self, event: SpreadEvent, out: &mut Outbox<'_>) {
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let spreader = &mut self.control.spreader;
            let effects = spreader.handle(out.now, event, out.random.generator());
            for effect in effects {
                events.extend(self.settings_effect(effect, out));
            }
        }
    }

    fn settings_effect(
        &mut self,
        effect: SpreadEffect,
        out: &mut Outbox<'_>,
    ) -> Option<SpreadEvent> {
        match effect {
            SpreadEffect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => {
                let request = stairward_membership::configuration::ExchangeRequest {
                    digest,
                    update: self.control.encode(update),
                };
                let request = CallRequest::ExchangeSettings(request);
                self.calls
                    .ask(to, request, CallPurpose::Exchange(exchange), out);
                None
            }
            SpreadEffect::AnswerExchange {
                call,
                digest,
                update,
            } => {
                let answer = ExchangeAnswer {
                    digest,
                    update: self.control.encode(update),
                };
                if let Some((node, call)) = self.asked_exchanges.remove(&call) {
                    let reply = CallReply::Settings(answer);
                    out.peer(node, PeerMessage::Reply(call, reply));
                }
                None
            }
            SpreadEffect::Apply(update) => match self.control.absorb(&update) {
                Some(document) => self.put_in_force(document, out),
                None => Some(SpreadEvent::ApplyFailed),
            },
            SpreadEffect::ReadStore { wait, .. } => {
                self.read_store(wait, out);
                None
            }
            SpreadEffect::WatcherStarted | SpreadEffect::WatcherStopped => None,
            SpreadEffect::ReadinessChanged(readiness) => {
                out.log(|| format!("readiness {readiness:?}"));
                None
            }
        }
    }

    /// A peer starts an exchange of settings.
    pub(super) fn exchange_asked(
        &mut self,
        from: NodeId,
        call: u64,
        request: stairward_membership::configuration::ExchangeRequest,
        out: &mut Outbox<'_>,
    ) {
        if self.broken == Some(BrokenVariant::Revision) {
            self.revert_to(request.digest.revision, out);
        }
        self.next_exchange += 1;
        self.asked_exchanges
            .insert(self.next_exchange, (from, call));
        let asked = SpreadEvent::ExchangeRequested {
            from,
            call: self.next_exchange,
            request,
        };
        self.feed_settings(asked, out);
    }

    /// The broken variant: takes whatever revision it hears of for the one in force.
    fn revert_to(&mut self, revision: Revision, out: &mut Outbox<'_>) {
        if revision.0 > 0 && revision < self.control.revision() {
            out.record(HistoryEvent::SettingsApplied {
                proxy: self.identity.node,
                revision,
            });
        }
    }

    /// Puts a document in force unless it is older than the one held.
    fn put_in_force(
        &mut self,
        document: SettingsDocument,
        out: &mut Outbox<'_>,
    ) -> Option<SpreadEvent> {
        if document.revision() <= self.control.revision() {
            return None;
        }
        let resolved = document.resolve().ok()?;
        let revision = document.revision();
        self.control.settings = Arc::new(resolved);
        self.control.document = Some(Arc::new(document));
        out.log(|| format!("settings revision {revision} in force"));
        out.record(HistoryEvent::SettingsApplied {
            proxy: self.identity.node,
            revision,
        });
        self.feed_membership(MembershipEvent::SettingsApplied(revision), out);
        self.settings_changed(out);
        Some(SpreadEvent::Applied {
            revision,
            history_from: self.control.history_from(),
        })
    }

    fn read_store(&mut self, wait: Duration, out: &mut Outbox<'_>) {
        let control = &mut self.control;
        control.next_read += 1;
        let read = control.next_read;
        control.waiting_read = Some(read);
        let request = StoreRead {
            after: control.store_version,
            wait,
        };
        out.actions.push(Action::Store(read, request));
        let patience = out.now + wait + STORE_GRACE;
        out.wake(patience, ProxyTimer::StoreRead(read));
    }

    /// The store answered a read, or did not in time.
    pub(super) fn store_read_ended(
        &mut self,
        read: u64,
        answer: Option<StoreAnswered>,
        out: &mut Outbox<'_>,
    ) {
        if self.control.waiting_read != Some(read) {
            return;
        }
        self.control.waiting_read = None;
        let answer = match answer {
            None => StoreAnswer::Failed,
            Some(answered) => {
                if let Some((version, document)) = answered.newer {
                    self.control.store_version = version;
                    self.control.store_revision = document.revision();
                    if let Some(applied) = self.put_in_force(document.as_ref().clone(), out) {
                        self.feed_settings(applied, out);
                    }
                }
                StoreAnswer::Read(self.control.store_revision)
            }
        };
        self.feed_settings(SpreadEvent::StoreAnswered(answer), out);
    }
}
