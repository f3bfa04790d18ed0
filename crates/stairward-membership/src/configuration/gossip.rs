//! Exchanges with peers: pushing edits, propagating proof of freshness, and anti-entropy.

use rand::{Rng, RngExt as _};
use stairward_types::{Duration, NodeId, Revision, Time};

use super::digest::{SettingsDigest, WantedContent};
use super::disseminator::ConfigurationDisseminator;
use super::exchange::{OpenExchange, PeerKnowledge};
use super::message::{Effect, ExchangeAnswer, ExchangeId, ExchangeRequest, OutgoingUpdate, Update};

/// Random members considered per attempt before giving up until the next one.
const RANDOM_PEER_ATTEMPTS: usize = 4;

impl ConfigurationDisseminator {
    /// Handles a peer's revision from a membership datagram.
    pub(super) fn revision_heard(
        &mut self,
        now: Time,
        from: NodeId,
        revision: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.newest_heard = self.newest_heard.max(revision);
        if revision > self.revision {
            self.start_exchange_if_idle(now, from, effects);
        }
    }

    /// Handles an exchange started by a peer.
    pub(super) fn exchange_requested(
        &mut self,
        now: Time,
        from: NodeId,
        call: u64,
        request: ExchangeRequest,
        effects: &mut Vec<Effect>,
    ) {
        let theirs = request.digest;
        self.newest_heard = self.newest_heard.max(theirs.revision);
        if let Some(known) = self.neighbours.get_mut(&from) {
            known.learn(now, &theirs);
        }
        let update = self.update_for(now, &theirs);
        effects.push(Effect::AnswerExchange {
            call,
            digest: self.digest(now),
            update,
        });
        let is_behind = self.revision < theirs.revision;
        let usable = request.update.filter(|update| self.is_usable(now, update));
        if let Some(update) = usable {
            effects.push(Effect::Apply(update));
        } else if is_behind {
            self.start_exchange_if_idle(now, from, effects);
        } else if self.is_peer_fresher(now, &theirs) {
            self.request_proof(now, from, effects);
        }
    }

    /// Handles a peer's answer to an exchange.
    pub(super) fn exchange_answered(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        answer: ExchangeAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(OpenExchange { to, requested_at }) = self.exchanges.finish(exchange) else {
            return;
        };
        let theirs = answer.digest;
        self.newest_heard = self.newest_heard.max(theirs.revision);
        self.source.learn(requested_at, &theirs, self.revision);
        let minimum_store_age = self.parameters.source_timeout;
        self.readiness.record_answer(to, &theirs, minimum_store_age);
        self.quorum.record_answer(to, requested_at, &theirs);
        if self.fleet_size == 0 && theirs.ready {
            self.fleet_size = theirs.fleet_size;
        }
        if let Some(known) = self.neighbours.get_mut(&to) {
            known.learn(now, &theirs);
        }
        let usable = answer.update.filter(|update| self.is_usable(now, update));
        effects.extend(usable.map(Effect::Apply));
        self.notify_neighbours(now, effects);
    }

    /// Handles an exchange without an answer. While a newer revision is known to exist, another
    /// peer is tried at once.
    pub(super) fn exchange_failed(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        rng: &mut dyn Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(failed) = self.exchanges.finish(exchange) else {
            return;
        };
        self.neighbours.entry(failed.to).and_modify(|known| {
            *known = PeerKnowledge::default();
        });
        if self.newest_heard > self.revision {
            self.exchange_with_random_member(now, rng, effects);
        }
    }

    /// Pushes the edits that neighbours lack according to their last known state, at a bounded
    /// rate.
    pub(super) fn push_if_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let interval = self.parameters.push_interval;
        if !self.push_due || !has_passed(now, self.last_push, interval) {
            return;
        }
        self.push_due = false;
        self.last_push = Some(now);
        let outdated: Vec<(NodeId, Revision)> = self
            .neighbours
            .iter()
            .filter(|(_, known)| known.revision < self.revision)
            .map(|(peer, known)| (*peer, known.revision))
            .collect();
        for (peer, held) in outdated {
            self.start_exchange(now, peer, self.pushed_update(held), effects);
        }
    }

    /// Notifies the neighbours whose last known proof of freshness is older than this node's.
    pub(super) fn notify_neighbours(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let outdated: Vec<NodeId> = self
            .neighbours
            .iter()
            .filter(|(peer, known)| self.should_notify(known) && !self.exchanges.includes(**peer))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in outdated {
            self.start_exchange(now, peer, OutgoingUpdate::Nothing, effects);
        }
    }

    /// Starts an exchange with a random member at the jittered interval, which is shorter while
    /// this node is not up to date.
    pub(super) fn run_random_exchange(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_random_exchange {
            return;
        }
        let interval = self.exchange_interval();
        let jitter = rng.random_range(0.5..1.5);
        self.next_random_exchange = now + interval.mul_f64(jitter);
        self.exchange_with_random_member(now, rng, effects);
    }

    fn exchange_with_random_member(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        effects: &mut Vec<Effect>,
    ) {
        if self.members.is_empty() {
            return;
        }
        let already_answered = self.readiness.answered_peers();
        let choices: Vec<NodeId> = (0..RANDOM_PEER_ATTEMPTS)
            .map(|_| self.members[rng.random_range(0..self.members.len())].node)
            .filter(|peer| *peer != self.node && !self.exchanges.includes(*peer))
            .collect();
        let is_collecting = !self.readiness.is_ready();
        let unanswered = choices
            .iter()
            .find(|peer| is_collecting && !already_answered.contains(peer));
        if let Some(peer) = unanswered.or(choices.first()) {
            self.start_exchange(now, *peer, OutgoingUpdate::Nothing, effects);
        }
    }

    /// Requests fresher proof from a peer that has it. Rate-limited, since several peers may offer
    /// the same proof.
    fn request_proof(&mut self, now: Time, peer: NodeId, effects: &mut Vec<Effect>) {
        let interval = self.parameters.proof_request_interval;
        if has_passed(now, self.last_proof_request, interval) {
            self.last_proof_request = Some(now);
            self.start_exchange_if_idle(now, peer, effects);
        }
    }

    /// Starts an exchange without an update unless one with the peer is in progress.
    pub(super) fn start_exchange_if_idle(
        &mut self,
        now: Time,
        peer: NodeId,
        effects: &mut Vec<Effect>,
    ) {
        if !self.exchanges.includes(peer) {
            self.start_exchange(now, peer, OutgoingUpdate::Nothing, effects);
        }
    }

    fn start_exchange(
        &mut self,
        now: Time,
        to: NodeId,
        update: OutgoingUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let maximum = self.parameters.maximum_exchanges;
        let Some(exchange) = self.exchanges.start(to, now, maximum) else {
            return;
        };
        let digest = SettingsDigest {
            wanted: self.wanted_for_exchange(now, exchange),
            ..self.digest(now)
        };
        if let Some(known) = self.neighbours.get_mut(&to) {
            known.learn(now, &digest);
        }
        effects.push(Effect::StartExchange {
            exchange,
            to,
            digest,
            update,
        });
    }

    /// The content to request in an exchange that starts now. The whole tree is large and therefore
    /// requested from one peer at a time.
    fn wanted_for_exchange(&mut self, now: Time, exchange: ExchangeId) -> WantedContent {
        let wanted = self.wanted_content(now);
        let needs_whole = self.revision == Revision(0) || wanted == WantedContent::WholeTree;
        if !needs_whole || wanted == WantedContent::Nothing {
            return wanted;
        }
        let is_requested = self
            .whole_tree_exchange
            .is_some_and(|pending| self.exchanges.is_open(pending));
        if is_requested {
            return WantedContent::Nothing;
        }
        self.whole_tree_exchange = Some(exchange);
        wanted
    }

    /// The edits since a neighbour's last known revision. If that is unknown, only the last edit,
    /// which is what most neighbours lack; the others will request more.
    fn pushed_update(&self, held: Revision) -> OutgoingUpdate {
        let previous = Revision(self.revision.0.saturating_sub(1));
        let after = if held >= self.history_from && held > Revision(0) {
            held
        } else {
            previous
        };
        if after >= self.history_from && after > Revision(0) {
            OutgoingUpdate::EditsAfter(after)
        } else {
            OutgoingUpdate::Nothing
        }
    }

    fn update_for(&mut self, now: Time, theirs: &SettingsDigest) -> OutgoingUpdate {
        if theirs.revision >= self.revision {
            return OutgoingUpdate::Nothing;
        }
        let has_edits = theirs.revision >= self.history_from && theirs.revision > Revision(0);
        match theirs.wanted {
            WantedContent::Nothing => OutgoingUpdate::Nothing,
            WantedContent::Newer if has_edits => OutgoingUpdate::EditsAfter(theirs.revision),
            WantedContent::Newer | WantedContent::WholeTree => self.whole_tree(now),
        }
    }

    fn whole_tree(&mut self, now: Time) -> OutgoingUpdate {
        let interval = self.parameters.whole_tree_interval;
        if !has_passed(now, self.last_whole_tree, interval) {
            return OutgoingUpdate::Nothing;
        }
        self.last_whole_tree = Some(now);
        OutgoingUpdate::WholeTree
    }

    /// Whether an update can be applied and leads to a revision newer than the one in force. Older
    /// revisions are never applied.
    fn is_usable(&self, now: Time, update: &Update) -> bool {
        if update.revision <= self.revision {
            return false;
        }
        match self.wanted_content(now) {
            WantedContent::Nothing => false,
            WantedContent::Newer => update.whole || update.after <= self.revision,
            WantedContent::WholeTree => update.whole,
        }
    }

    /// Whether a peer's proof of freshness exceeds this node's by the threshold for requesting it.
    fn is_peer_fresher(&self, now: Time, theirs: &SettingsDigest) -> bool {
        let step = self.parameters.freshness_threshold;
        let is_younger = |age: Option<Duration>, own: Option<Time>| {
            age.is_some_and(|age| own.is_none_or(|own| now - age >= own + step))
        };
        is_younger(theirs.store_read, self.source.store_read_at())
            || is_younger(theirs.watcher_heard, self.source.watcher_heard_at())
    }

    /// Whether this node's proof of freshness exceeds a neighbour's by the threshold for sending
    /// it.
    fn should_notify(&self, known: &PeerKnowledge) -> bool {
        let step = self.parameters.freshness_threshold;
        let is_younger = |own: Option<Time>, theirs: Option<Time>| {
            own.is_some_and(|own| theirs.is_none_or(|theirs| own >= theirs + step))
        };
        is_younger(self.source.store_read_at(), known.store_read_at)
            || is_younger(self.source.watcher_heard_at(), known.watcher_heard_at)
    }
}

/// Whether `interval` has passed since `last`; true if `last` is `None`.
fn has_passed(now: Time, last: Option<Time>, interval: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
