//! State machine for settings dissemination on one node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;
use stairward_types::{Duration, NodeId, RegionName, Revision, Time};

use super::digest::{SettingsDigest, SourceAge, WantedContent};
use super::exchange::{OpenExchanges, PeerKnowledge};
use super::message::{Effect, Event, ExchangeId, PeerLocation, StoreAnswer};
use super::overlay::neighbours;
use super::parameters::DisseminationParameters;
use super::readiness::{Readiness, ReadinessGate, ReadinessInputs};
use super::source::{SourceEvidence, SourceStatus};
use super::watcher::{Watcher, WatcherChange, ranked_watchers};
use super::watcher_quorum::WatcherQuorum;

/// Decides how one node obtains settings and forwards them to peers.
#[derive(Debug, Clone)]
pub struct ConfigurationDisseminator {
    pub(super) node: NodeId,
    region: RegionName,
    pub(super) parameters: DisseminationParameters,
    /// The revision in force on this node.
    pub(super) revision: Revision,
    /// The highest revision reported by any peer or by the store.
    pub(super) newest_heard: Revision,
    /// The oldest revision from which all edits up to the one in force are known.
    pub(super) history_from: Revision,
    pub(super) members: Arc<[PeerLocation]>,
    /// Neighbours and the last known state of each.
    pub(super) neighbours: BTreeMap<NodeId, PeerKnowledge>,
    pub(super) exchanges: OpenExchanges,
    pub(super) source: SourceEvidence,
    watcher: Watcher,
    pub(super) quorum: WatcherQuorum,
    pub(super) readiness: ReadinessGate,
    /// Size of the membership view when the store was last read after a view change. Until then,
    /// the size reported by a serving peer; 0 when unknown.
    pub(super) fleet_size: u32,
    view_changed_at: Time,
    pub(super) next_random_exchange: Time,
    pub(super) push_due: bool,
    pub(super) last_push: Option<Time>,
    pub(super) last_whole_tree: Option<Time>,
    pub(super) last_proof_request: Option<Time>,
    /// The latest exchange that requested the whole tree.
    pub(super) whole_tree_exchange: Option<ExchangeId>,
    next_quorum_round: Time,
    /// When settings received from a peer last could not be applied; `None` once a revision was
    /// applied.
    refused_at: Option<Time>,
}

impl ConfigurationDisseminator {
    /// Creates the state of a node started at `now`, without settings.
    #[must_use]
    pub fn new(
        now: Time,
        node: NodeId,
        region: RegionName,
        parameters: DisseminationParameters,
    ) -> Self {
        Self {
            node,
            region,
            parameters,
            revision: Revision(0),
            newest_heard: Revision(0),
            history_from: Revision(0),
            members: Arc::new([]),
            neighbours: BTreeMap::new(),
            exchanges: OpenExchanges::default(),
            source: SourceEvidence::default(),
            watcher: Watcher::new(now),
            quorum: WatcherQuorum::default(),
            readiness: ReadinessGate::new(now),
            fleet_size: 0,
            view_changed_at: now,
            next_random_exchange: now,
            push_due: false,
            last_push: None,
            last_whole_tree: None,
            last_proof_request: None,
            whole_tree_exchange: None,
            next_quorum_round: now,
            refused_at: None,
        }
    }

    /// Handles an event and returns the resulting effects. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut dyn Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, rng, &mut effects),
            Event::MembersChanged(members) => self.members_changed(now, members),
            Event::RevisionHeard { from, revision } => {
                self.revision_heard(now, from, revision, &mut effects)
            }
            Event::ExchangeRequested {
                from,
                call,
                request,
            } => self.exchange_requested(now, from, call, request, &mut effects),
            Event::ExchangeAnswered { exchange, answer } => {
                self.exchange_answered(now, exchange, answer, &mut effects);
            }
            Event::ExchangeFailed { exchange } => {
                self.exchange_failed(now, exchange, rng, &mut effects)
            }
            Event::Applied {
                revision,
                history_from,
            } => self.applied(now, revision, history_from, &mut effects),
            Event::ApplyFailed => self.refused_at = Some(now),
            Event::StoreAnswered(answer) => self.store_answered(now, answer, rng, &mut effects),
        }
        self.evaluate_readiness(now, &mut effects);
        effects
    }

    /// The revision in force on this node.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether this node may serve callers.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.readiness.state()
    }

    /// Whether this node reads the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watcher.is_watching()
    }

    /// How long ago the settings in force were last known to be the store's newest.
    #[must_use]
    pub fn source_age(&self, now: Time) -> SourceAge {
        self.source.store_age(now)
    }

    /// Whether newer settings may be in force on other nodes.
    #[must_use]
    pub fn source_status(&self, now: Time) -> SourceStatus {
        let limit = self.parameters.source_timeout;
        if self.source.is_current(now, limit) {
            return SourceStatus::Current;
        }
        if self.may_be_newest() && self.source.has_recent_watcher(now, limit) {
            SourceStatus::StoreUnreachable
        } else {
            SourceStatus::CutOff
        }
    }

    /// When the settings in force were last known to be the store's newest.
    #[must_use]
    pub fn store_read_at(&self) -> Option<Time> {
        self.source.store_read_at()
    }

    /// Until when the status stays better than [`SourceStatus::CutOff`] if nothing more is
    /// received.
    #[must_use]
    pub fn trusted_until(&self, now: Time) -> Time {
        let limit = self.parameters.source_timeout;
        let by_store = self.source.store_read_at();
        let by_watcher = self
            .source
            .watcher_heard_at()
            .filter(|_| self.source_status(now) == SourceStatus::StoreUnreachable);
        by_store
            .max(by_watcher)
            .map_or(Time::ZERO, |heard_at| heard_at + limit)
    }

    /// The digest that this node sends to its peers.
    #[must_use]
    pub fn digest(&self, now: Time) -> SettingsDigest {
        SettingsDigest {
            revision: self.revision,
            store_read: self.source.store_age(now),
            watcher_heard: self.source.watcher_age(now),
            fleet_size: self.fleet_size,
            ready: self.readiness.is_ready(),
            watching: self.watcher.is_watching(),
            wanted: self.wanted_content(now),
        }
    }

    /// Whether the settings in force may be the newest while the store is unreachable: most of the
    /// fleet is in view, and no newer revision has been reported.
    fn may_be_newest(&self) -> bool {
        self.sees_majority() && self.newest_heard <= self.revision
    }

    /// Whether more than half of the fleet is in view, by its size when the store was last
    /// reachable. False when that size is unknown.
    fn sees_majority(&self) -> bool {
        let fleet_size = usize::try_from(self.fleet_size).unwrap_or(usize::MAX);
        fleet_size > 0 && self.members.len() > fleet_size / 2
    }

    fn tick(&mut self, now: Time, rng: &mut dyn Rng, effects: &mut Vec<Effect>) {
        self.update_fleet_size();
        self.run_watcher(now, effects);
        self.push_if_due(now, effects);
        self.notify_neighbours(now, effects);
        self.run_random_exchange(now, rng, effects);
    }

    /// Takes the view's size as the fleet size once the store was read after the last view change.
    /// The missing members have then failed, and this node is not partitioned from the store.
    fn update_fleet_size(&mut self) {
        if self.source.store_read_at() >= Some(self.view_changed_at) {
            self.fleet_size = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        }
    }

    fn run_watcher(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let change = self.watcher.tick(now, &self.parameters);
        effects.extend(change.map(watcher_effect));
        self.read_store_if_due(now, effects);
        self.check_watcher_quorum(now, effects);
    }

    /// While the store does not answer, checks whether a majority of the watchers is reachable.
    fn check_watcher_quorum(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_current = self
            .source
            .is_current(now, self.parameters.source_timeout / 2);
        if is_current || !self.watcher.is_watching() {
            return;
        }
        if self.may_be_newest()
            && let Some(heard_at) = self.quorum.majority_heard_at(now)
        {
            self.source.watcher_heard(heard_at);
        }
        if now < self.next_quorum_round {
            return;
        }
        self.next_quorum_round = now + self.parameters.quorum_interval;
        for peer in self.quorum.others() {
            self.start_exchange_if_idle(now, peer, effects);
        }
    }

    fn read_store_if_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.watcher.start_read(now, self.revision) {
            effects.push(Effect::ReadStore {
                after: self.revision,
                wait: self.parameters.store_poll_timeout,
            });
        }
    }

    fn members_changed(&mut self, now: Time, members: Arc<[PeerLocation]>) {
        let known: BTreeSet<NodeId> = self.members.iter().map(|member| member.node).collect();
        let joined = members
            .iter()
            .any(|member| member.region == self.region && !known.contains(&member.node));
        self.members = members;
        self.view_changed_at = now;
        let count = self.parameters.watchers_per_region;
        let is_ranked = ranked_watchers(&self.region, &self.members, count).contains(&self.node);
        self.watcher.update_ranking(now, is_ranked, joined);
        self.quorum.members_changed(self.node, &self.members, count);
        let nodes: Vec<NodeId> = self.members.iter().map(|member| member.node).collect();
        self.neighbours = neighbours(self.node, &nodes, self.parameters.rings)
            .into_iter()
            .map(|peer| {
                (
                    peer,
                    self.neighbours.get(&peer).copied().unwrap_or_default(),
                )
            })
            .collect();
    }

    fn applied(
        &mut self,
        now: Time,
        revision: Revision,
        history_from: Revision,
        effects: &mut Vec<Effect>,
    ) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.history_from = history_from;
        self.newest_heard = self.newest_heard.max(revision);
        self.refused_at = None;
        self.source.applied(revision);
        self.push_due = true;
        self.push_if_due(now, effects);
    }

    fn store_answered(
        &mut self,
        now: Time,
        answer: StoreAnswer,
        rng: &mut dyn Rng,
        effects: &mut Vec<Effect>,
    ) {
        match answer {
            StoreAnswer::Read(revision) if revision >= self.revision => {
                self.store_read(now, revision, effects);
            }
            // A store that returns an older revision than the one in force cannot prove which is
            // the newest.
            StoreAnswer::Read(_) | StoreAnswer::Failed => {
                self.watcher.read_failed(now, &self.parameters, rng);
            }
            StoreAnswer::TooManyReaders => {
                let change = self.watcher.too_many_readers(now, &self.parameters, rng);
                effects.extend(change.map(watcher_effect));
            }
        }
        self.notify_neighbours(now, effects);
    }

    fn store_read(&mut self, now: Time, revision: Revision, effects: &mut Vec<Effect>) {
        self.newest_heard = self.newest_heard.max(revision);
        let wait = self.parameters.store_poll_timeout;
        if let Some(started_at) = self.watcher.read_succeeded(now, revision, wait) {
            self.source.store_read(started_at, revision, self.revision);
            self.source.watcher_heard(started_at);
        }
        self.read_store_if_due(now, effects);
    }

    fn evaluate_readiness(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let inputs = ReadinessInputs {
            now,
            revision: self.revision,
            newest_heard: self.newest_heard,
            store_read_at: self.source.store_read_at(),
            other_members: self.members.len().saturating_sub(1),
        };
        let change = self.readiness.evaluate(&inputs, &self.parameters);
        effects.extend(change.map(Effect::ReadinessChanged));
    }

    /// What this node requests from peers. After a failed apply it pauses, then requests the whole
    /// tree.
    pub(super) fn wanted_content(&self, now: Time) -> WantedContent {
        match self.refused_at {
            None => WantedContent::Newer,
            Some(at) if now.since(at) < self.parameters.refusal_backoff => WantedContent::Nothing,
            Some(_) => WantedContent::WholeTree,
        }
    }

    /// Current interval between exchanges with random members.
    pub(super) fn exchange_interval(&self) -> Duration {
        if self.readiness.is_ready() && self.newest_heard == self.revision {
            self.parameters.exchange_interval
        } else {
            self.parameters.exchange_interval / 5
        }
    }
}

fn watcher_effect(change: WatcherChange) -> Effect {
    match change {
        WatcherChange::Started => Effect::WatcherStarted,
        WatcherChange::Stopped => Effect::WatcherStopped,
    }
}
