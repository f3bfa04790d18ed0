//! The task that carries out the spreader's decisions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use stairward_membership::configuration::{
    ConfigurationDisseminator, DisseminationParameters, Effect, Event, ExchangeAnswer, ExchangeId,
    ExchangeRequest, OutgoingUpdate, PeerLocation, Readiness, SettingsDigest, Update, from_wire,
    to_wire,
};
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::settings::SettingsExchange;
use stairward_settings::SettingsDocument;
use stairward_store::{Machine, PlatformClient};
use stairward_types::{Duration, LogEvent, NodeId, Revision};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::handle::PublishedStatus;
use super::held::HeldSettings;
use super::machines::follow_machines;
use super::metrics;
use super::store::{StoreRead, StoreView, read_store};
use crate::cluster::{Cluster, MembershipView};
use crate::peer::PeerNetwork;

/// How long a peer may take to answer an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Ends of exchanges and reads that may wait for the driver. There are never more than the
/// spreader's bound of exchanges and one read.
const COMPLETION_QUEUE_LENGTH: usize = 256;

/// What the driver is asked to do.
pub(super) enum Input {
    /// A membership datagram told of a peer's revision.
    Heard { from: NodeId, revision: Revision },
    /// A peer started an exchange.
    Asked {
        from: NodeId,
        exchange: SettingsExchange,
        reply: oneshot::Sender<SettingsExchange>,
    },
    /// The store has accepted an edit made through this node.
    Edited {
        document: Box<SettingsDocument>,
        done: oneshot::Sender<()>,
    },
}

/// Something the driver had started has ended.
enum Completion {
    Exchange {
        exchange: ExchangeId,
        answer: Option<SettingsExchange>,
    },
    StoreRead(Box<StoreRead>),
}

/// Where the driver tells of its state.
#[derive(Default)]
pub(super) struct DriverOutputs {
    pub(super) document: watch::Sender<Option<Arc<SettingsDocument>>>,
    pub(super) status: watch::Sender<PublishedStatus>,
    pub(super) is_watcher: watch::Sender<bool>,
    pub(super) machines: watch::Sender<Arc<Vec<Machine>>>,
}

/// Drives the spreader of one node.
pub struct ConfigurationDriver {
    cluster: Cluster,
    network: PeerNetwork,
    platform: Arc<PlatformClient>,
    tick: Duration,
    spreader: ConfigurationDisseminator,
    random: StdRng,
    held: HeldSettings,
    store: StoreView,
    inputs: mpsc::Receiver<Input>,
    outputs: DriverOutputs,
    completions: mpsc::Receiver<Completion>,
    completion_sender: mpsc::Sender<Completion>,
    next_call: u64,
    waiting_calls: BTreeMap<u64, oneshot::Sender<SettingsExchange>>,
    events: VecDeque<Event>,
}

impl ConfigurationDriver {
    pub(super) fn new(
        cluster: Cluster,
        network: PeerNetwork,
        platform: Arc<PlatformClient>,
        parameters: DisseminationParameters,
        inputs: mpsc::Receiver<Input>,
        outputs: DriverOutputs,
    ) -> Self {
        let (completion_sender, completions) = mpsc::channel(COMPLETION_QUEUE_LENGTH);
        let identity = Arc::clone(&cluster.identity);
        let tick = parameters.tick_interval;
        let now = cluster.clock.now();
        let region = identity.region.clone();
        Self {
            spreader: ConfigurationDisseminator::new(now, identity.node, region, parameters),
            cluster,
            network,
            platform,
            tick,
            random: rand::make_rng(),
            held: HeldSettings::default(),
            store: StoreView::default(),
            inputs,
            outputs,
            completions,
            completion_sender,
            next_call: 0,
            waiting_calls: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self) {
        let machines = follow_machines(
            self.cluster.clone(),
            Arc::clone(&self.platform),
            self.outputs.is_watcher.subscribe(),
            std::mem::take(&mut self.outputs.machines),
        );
        let machines = tokio::spawn(machines);
        let mut members = self.cluster.watch_members();
        members.mark_changed();
        let mut ticks = tokio::time::interval(self.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.take_input(input),
                    None => break,
                },
                Some(completion) = self.completions.recv() => self.take_completion(completion),
                Ok(()) = members.changed() => {
                    let view = Arc::clone(&members.borrow_and_update());
                    self.handle(Event::MembersChanged(self.places(&view)));
                }
                _ = ticks.tick() => self.handle(Event::Tick),
            }
        }
        machines.abort();
    }

    fn take_input(&mut self, input: Input) {
        match input {
            Input::Heard { from, revision } => self.handle(Event::RevisionHeard { from, revision }),
            Input::Asked {
                from,
                exchange,
                reply,
            } => self.asked(from, exchange, reply),
            Input::Edited { document, done } => {
                self.put_in_force(*document);
                self.drain_events();
                let _ = done.send(());
            }
        }
    }

    fn asked(
        &mut self,
        from: NodeId,
        exchange: SettingsExchange,
        reply: oneshot::Sender<SettingsExchange>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.waiting_calls.insert(call, reply);
        let (digest, update) = from_wire(exchange);
        let request = ExchangeRequest { digest, update };
        self.handle(Event::ExchangeRequested {
            from,
            call,
            request,
        });
    }

    fn take_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Exchange {
                exchange,
                answer: Some(answer),
            } => {
                let (digest, update) = from_wire(answer);
                let answer = ExchangeAnswer { digest, update };
                self.handle(Event::ExchangeAnswered { exchange, answer });
            }
            Completion::Exchange {
                exchange,
                answer: None,
            } => self.handle(Event::ExchangeFailed { exchange }),
            Completion::StoreRead(read) => {
                let answer = self.store.note(&read);
                if let Ok(Some(object)) = *read {
                    self.put_in_force(object.value);
                }
                self.handle(Event::StoreAnswered(answer));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        self.events.push_back(event);
        self.drain_events();
    }

    /// Handles events until none is left; carrying effects out may add some.
    fn drain_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let now = self.cluster.clock.now();
            let effects = self.spreader.handle(now, event, &mut self.random);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.publish();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => self.ask(exchange, to, &digest, update),
            Effect::AnswerExchange {
                call,
                digest,
                update,
            } => self.answer(call, &digest, update),
            Effect::Apply(update) => self.apply(&update),
            Effect::ReadStore { wait, .. } => self.read_store(wait),
            Effect::WatcherStarted => self.watch(true),
            Effect::WatcherStopped => self.watch(false),
            Effect::ReadinessChanged(readiness) => self.note_readiness(readiness),
        }
    }

    fn ask(
        &self,
        exchange: ExchangeId,
        to: NodeId,
        digest: &SettingsDigest,
        update: OutgoingUpdate,
    ) {
        let request = to_wire(digest, self.held.encode(update).as_ref());
        let network = self.network.clone();
        let completions = self.completion_sender.clone();
        tokio::spawn(async move {
            let request = CallRequest::ExchangeSettings(request);
            let answer = match network.call(to, request, EXCHANGE_TIMEOUT).await {
                Ok(CallReply::Settings(answer)) => Some(answer),
                _ => None,
            };
            let completion = Completion::Exchange { exchange, answer };
            let _ = completions.send(completion).await;
        });
    }

    fn answer(&mut self, call: u64, digest: &SettingsDigest, update: OutgoingUpdate) {
        let answer = to_wire(digest, self.held.encode(update).as_ref());
        if let Some(reply) = self.waiting_calls.remove(&call) {
            let _ = reply.send(answer);
        }
    }

    fn apply(&mut self, update: &Update) {
        match self.held.absorb(update) {
            Ok(Some(document)) => self.put_in_force(document),
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::ConfigurationRefused.number(),
                    revision = update.revision.0,
                    %error,
                    "settings from a peer were refused"
                );
                self.events.push_back(Event::ApplyFailed);
            }
        }
    }

    /// Puts a document in force unless it is older than the one held.
    fn put_in_force(&mut self, document: SettingsDocument) {
        let resolved = match document.resolve() {
            Ok(resolved) => resolved,
            Err(problems) => {
                tracing::warn!(
                    event = LogEvent::ConfigurationRefused.number(),
                    revision = document.revision().0,
                    problems = problems.len(),
                    "settings that are not valid were refused"
                );
                return;
            }
        };
        if !self.held.replace(document) {
            return;
        }
        self.cluster.apply_settings(resolved);
        self.outputs.document.send_replace(self.held.document());
        let revision = self.held.revision();
        tracing::info!(
            event = LogEvent::ConfigurationApplied.number(),
            revision = revision.0,
            "newer settings are in force"
        );
        let history_from = self.held.history_from();
        self.events.push_back(Event::Applied {
            revision,
            history_from,
        });
    }

    fn read_store(&self, wait: Duration) {
        let platform = Arc::clone(&self.platform);
        let version = self.store.version();
        let completions = self.completion_sender.clone();
        tokio::spawn(async move {
            let read = read_store(platform, version, wait).await;
            let _ = completions
                .send(Completion::StoreRead(Box::new(read)))
                .await;
        });
    }

    fn watch(&self, is_watcher: bool) {
        self.outputs.is_watcher.send_replace(is_watcher);
        if is_watcher {
            let event = LogEvent::WatcherStarted.number();
            tracing::info!(event, "this node watches the platform's store");
        } else {
            let event = LogEvent::WatcherStopped.number();
            tracing::info!(event, "this node no longer watches the platform's store");
        }
    }

    fn note_readiness(&self, readiness: Readiness) {
        if readiness == Readiness::Ready {
            tracing::info!(
                event = LogEvent::NodeReady.number(),
                revision = self.held.revision().0,
                "the settings are proved to be the newest"
            );
        }
    }

    /// Tells the rest of the node what has become of the settings' state.
    fn publish(&self) {
        let now = self.cluster.clock.now();
        metrics::record(&self.spreader, now);
        self.cluster
            .set_settings_trusted_until(self.spreader.trusted_until(now));
        self.outputs.status.send_replace(PublishedStatus {
            readiness: self.spreader.readiness(),
            source: self.spreader.source_status(now),
            store_read_at: self.spreader.store_read_at(),
        });
    }

    fn places(&self, view: &MembershipView) -> Arc<[PeerLocation]> {
        let identity = &self.cluster.identity;
        let mut places: Vec<PeerLocation> = view
            .members
            .iter()
            .map(|member| PeerLocation {
                node: member.node,
                region: member.region.clone(),
                leaving: member.leaving,
            })
            .collect();
        if view.member(identity.node).is_none() {
            places.push(PeerLocation {
                node: identity.node,
                region: identity.region.clone(),
                leaving: false,
            });
        }
        places.into()
    }
}
