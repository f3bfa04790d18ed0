//! The task that drives the disseminator: feeds it events and executes its effects.

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
use super::machines::poll_machines;
use super::metrics;
use super::store::{StoreRead, StoreView, read_store};
use crate::cluster::{Cluster, MembershipView};
use crate::peer::PeerNetwork;

/// Time limit for a peer to answer an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the queue of completed exchanges and store reads. There are never more of them than
/// the disseminator's limit of concurrent exchanges plus one read.
const COMPLETION_QUEUE_LENGTH: usize = 256;

/// An input to the driver.
pub(super) enum Input {
    /// A membership datagram carried a peer's revision.
    RevisionReported { from: NodeId, revision: Revision },
    /// A peer requested an exchange.
    ExchangeRequested {
        from: NodeId,
        exchange: SettingsExchange,
        reply: oneshot::Sender<SettingsExchange>,
    },
    /// The store accepted an edit made through this node.
    EditStored {
        document: Box<SettingsDocument>,
        done: oneshot::Sender<()>,
    },
}

/// The completion of an operation that the driver started.
enum Completion {
    Exchange {
        exchange: ExchangeId,
        answer: Option<SettingsExchange>,
    },
    StoreRead(Box<StoreRead>),
}

/// The channels on which the driver publishes its state.
#[derive(Default)]
pub(super) struct DriverOutputs {
    pub(super) document: watch::Sender<Option<Arc<SettingsDocument>>>,
    pub(super) status: watch::Sender<PublishedStatus>,
    pub(super) is_watcher: watch::Sender<bool>,
    pub(super) machines: watch::Sender<Arc<Vec<Machine>>>,
}

/// Drives the configuration disseminator of one node.
pub struct ConfigurationDriver {
    cluster: Cluster,
    network: PeerNetwork,
    platform: Arc<PlatformClient>,
    tick: Duration,
    disseminator: ConfigurationDisseminator,
    rng: StdRng,
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
            disseminator: ConfigurationDisseminator::new(now, identity.node, region, parameters),
            cluster,
            network,
            platform,
            tick,
            rng: rand::make_rng(),
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

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let machines = poll_machines(
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
                    Some(input) => self.handle_input(input),
                    None => break,
                },
                Some(completion) = self.completions.recv() => self.handle_completion(completion),
                Ok(()) = members.changed() => {
                    let view = Arc::clone(&members.borrow_and_update());
                    self.handle_event(Event::MembersChanged(self.peer_locations(&view)));
                }
                _ = ticks.tick() => self.handle_event(Event::Tick),
            }
        }
        machines.abort();
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::RevisionReported { from, revision } => {
                self.handle_event(Event::RevisionHeard { from, revision })
            }
            Input::ExchangeRequested {
                from,
                exchange,
                reply,
            } => self.handle_exchange_request(from, exchange, reply),
            Input::EditStored { document, done } => {
                self.apply_document(*document);
                self.drain_events();
                let _ = done.send(());
            }
        }
    }

    fn handle_exchange_request(
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
        self.handle_event(Event::ExchangeRequested {
            from,
            call,
            request,
        });
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Exchange {
                exchange,
                answer: Some(answer),
            } => {
                let (digest, update) = from_wire(answer);
                let answer = ExchangeAnswer { digest, update };
                self.handle_event(Event::ExchangeAnswered { exchange, answer });
            }
            Completion::Exchange {
                exchange,
                answer: None,
            } => self.handle_event(Event::ExchangeFailed { exchange }),
            Completion::StoreRead(read) => {
                let answer = self.store.record_read(&read);
                if let Ok(Some(object)) = *read {
                    self.apply_document(object.value);
                }
                self.handle_event(Event::StoreAnswered(answer));
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.drain_events();
    }

    /// Handles queued events until none is left; executing effects may queue more.
    fn drain_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let now = self.cluster.clock.now();
            let effects = self.disseminator.handle(now, event, &mut self.rng);
            for effect in effects {
                self.execute_effect(effect);
            }
        }
        self.publish();
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => self.start_exchange(exchange, to, &digest, update),
            Effect::AnswerExchange {
                call,
                digest,
                update,
            } => self.answer_exchange(call, &digest, update),
            Effect::Apply(update) => self.apply_update(&update),
            Effect::ReadStore { wait, .. } => self.read_store(wait),
            Effect::WatcherStarted => self.set_watcher(true),
            Effect::WatcherStopped => self.set_watcher(false),
            Effect::ReadinessChanged(readiness) => self.log_readiness(readiness),
        }
    }

    fn start_exchange(
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

    fn answer_exchange(&mut self, call: u64, digest: &SettingsDigest, update: OutgoingUpdate) {
        let answer = to_wire(digest, self.held.encode(update).as_ref());
        if let Some(reply) = self.waiting_calls.remove(&call) {
            let _ = reply.send(answer);
        }
    }

    fn apply_update(&mut self, update: &Update) {
        match self.held.merge(update) {
            Ok(Some(document)) => self.apply_document(document),
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::ConfigurationRefused.number(),
                    revision = update.revision.0,
                    %error,
                    "rejected a settings update from a peer"
                );
                self.events.push_back(Event::ApplyFailed);
            }
        }
    }

    /// Applies a document if it is valid and newer than the current one.
    fn apply_document(&mut self, document: SettingsDocument) {
        let resolved = match document.resolve() {
            Ok(resolved) => resolved,
            Err(problems) => {
                tracing::warn!(
                    event = LogEvent::ConfigurationRefused.number(),
                    revision = document.revision().0,
                    problems = problems.len(),
                    "rejected invalid settings"
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
            "applied newer settings"
        );
        let history_from = self.held.history_start();
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

    fn set_watcher(&self, is_watcher: bool) {
        self.outputs.is_watcher.send_replace(is_watcher);
        if is_watcher {
            let event = LogEvent::WatcherStarted.number();
            tracing::info!(event, "started watching the platform's store");
        } else {
            let event = LogEvent::WatcherStopped.number();
            tracing::info!(event, "stopped watching the platform's store");
        }
    }

    fn log_readiness(&self, readiness: Readiness) {
        if readiness == Readiness::Ready {
            tracing::info!(
                event = LogEvent::NodeReady.number(),
                revision = self.held.revision().0,
                "the settings are confirmed as the newest"
            );
        }
    }

    /// Publishes the state of the settings to the rest of the node.
    fn publish(&self) {
        let now = self.cluster.clock.now();
        metrics::record(&self.disseminator, now);
        self.cluster
            .set_settings_trusted_until(self.disseminator.trusted_until(now));
        self.outputs.status.send_replace(PublishedStatus {
            readiness: self.disseminator.readiness(),
            source: self.disseminator.source_status(now),
            store_read_at: self.disseminator.store_read_at(),
        });
    }

    fn peer_locations(&self, view: &MembershipView) -> Arc<[PeerLocation]> {
        let identity = &self.cluster.identity;
        let mut locations: Vec<PeerLocation> = view
            .members
            .iter()
            .map(|member| PeerLocation {
                node: member.node,
                region: member.region.clone(),
                leaving: member.leaving,
            })
            .collect();
        if view.member(identity.node).is_none() {
            locations.push(PeerLocation {
                node: identity.node,
                region: identity.region.clone(),
                leaving: false,
            });
        }
        locations.into()
    }
}
