//! Exchanges with peers: pushing edits, telling of fresh proof, and healing what was missed.

use rand::{Rng, RngExt as _};
use stairward_types::{Duration, NodeId, Revision, Time};

use super::digest::{SettingsDigest, WantedContent};
use super::disseminator::ConfigurationDisseminator;
use super::exchange::{OpenExchange, PeerKnowledge};
use super::message::{Effect, ExchangeAnswer, ExchangeId, ExchangeRequest, OutgoingUpdate, Update};

/// Members tried before a random exchange is given up until the next tick.
const RANDOM_CHOICES: usize = 4;

impl ConfigurationDisseminator {
    /// A membership datagram told of a peer's revision.
    pub(super) fn heard(
        &mut self,
        now: Time,
        from: NodeId,
        revision: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.newest_heard = self.newest_heard.max(revision);
        if revision > self.revision {
            self.ask_unless_asked(now, from, effects);
        }
    }

    /// A peer started an exchange.
    pub(super) fn asked(
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
            self.ask_unless_asked(now, from, effects);
        } else if self.is_fresher(now, &theirs) {
            self.ask_for_proof(now, from, effects);
        }
    }

    /// A peer answered an exchange.
    pub(super) fn answered(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        answer: ExchangeAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(OpenExchange { to, asked_at }) = self.exchanges.finish(exchange) else {
            return;
        };
        let theirs = answer.digest;
        self.newest_heard = self.newest_heard.max(theirs.revision);
        self.source.learn(asked_at, &theirs, self.revision);
        let quiet = self.parameters.source_timeout;
        self.readiness.heard(to, &theirs, quiet);
        self.quorum.heard(to, asked_at, &theirs);
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

    /// A peer did not answer: while something newer is known of, another is asked at once.
    pub(super) fn ask_failed(
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
            self.ask_random_member(now, rng, effects);
        }
    }

    /// Sends the edits that neighbours are thought to lack, at a bounded rate.
    pub(super) fn push_if_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let interval = self.parameters.push_interval;
        if !self.push_due || !has_passed(now, self.last_push, interval) {
            return;
        }
        self.push_due = false;
        self.last_push = Some(now);
        let lacking: Vec<(NodeId, Revision)> = self
            .neighbours
            .iter()
            .filter(|(_, known)| known.revision < self.revision)
            .map(|(peer, known)| (*peer, known.revision))
            .collect();
        for (peer, held) in lacking {
            self.ask(now, peer, self.pushed_update(held), effects);
        }
    }

    /// Tells neighbours that are thought to lack it of younger proof about the store.
    pub(super) fn notify_neighbours(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let lacking: Vec<NodeId> = self
            .neighbours
            .iter()
            .filter(|(peer, known)| self.is_notable(known) && !self.exchanges.includes(**peer))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in lacking {
            self.ask(now, peer, OutgoingUpdate::Nothing, effects);
        }
    }

    /// Exchanges with a random member now and then, more often while something is missing.
    pub(super) fn exchange_at_random(
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
        self.ask_random_member(now, rng, effects);
    }

    fn ask_random_member(&mut self, now: Time, rng: &mut dyn Rng, effects: &mut Vec<Effect>) {
        if self.members.is_empty() {
            return;
        }
        let already_asked = self.readiness.asked();
        let choices: Vec<NodeId> = (0..RANDOM_CHOICES)
            .map(|_| self.members[rng.random_range(0..self.members.len())].node)
            .filter(|peer| *peer != self.node && !self.exchanges.includes(*peer))
            .collect();
        let is_collecting = !self.readiness.is_ready();
        let unasked = choices
            .iter()
            .find(|peer| is_collecting && !already_asked.contains(peer));
        if let Some(peer) = unasked.or(choices.first()) {
            self.ask(now, *peer, OutgoingUpdate::Nothing, effects);
        }
    }

    /// Asks a peer that offered younger proof. Others' offers of the same proof are passed over.
    fn ask_for_proof(&mut self, now: Time, peer: NodeId, effects: &mut Vec<Effect>) {
        let interval = self.parameters.proof_request_interval;
        if has_passed(now, self.last_proof_request, interval) {
            self.last_proof_request = Some(now);
            self.ask_unless_asked(now, peer, effects);
        }
    }

    /// Starts an exchange without an update, unless one with the peer is under way.
    pub(super) fn ask_unless_asked(&mut self, now: Time, peer: NodeId, effects: &mut Vec<Effect>) {
        if !self.exchanges.includes(peer) {
            self.ask(now, peer, OutgoingUpdate::Nothing, effects);
        }
    }

    fn ask(&mut self, now: Time, to: NodeId, update: OutgoingUpdate, effects: &mut Vec<Effect>) {
        let maximum = self.parameters.maximum_exchanges;
        let Some(exchange) = self.exchanges.start(to, now, maximum) else {
            return;
        };
        let digest = SettingsDigest {
            wanted: self.wanted_from_one_peer(now, exchange),
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

    /// What to want in an exchange that begins now. The whole tree is large, so while one peer is
    /// asked for it the others are not.
    fn wanted_from_one_peer(&mut self, now: Time, exchange: ExchangeId) -> WantedContent {
        let wanted = self.wanted_content(now);
        let needs_whole = self.revision == Revision(0) || wanted == WantedContent::WholeTree;
        if !needs_whole || wanted == WantedContent::Nothing {
            return wanted;
        }
        let is_asked = self
            .whole_tree_asked
            .is_some_and(|asked| self.exchanges.is_open(asked));
        if is_asked {
            return WantedContent::Nothing;
        }
        self.whole_tree_asked = Some(exchange);
        wanted
    }

    /// The edits since what a neighbour is thought to hold. When that is not known, the last edit,
    /// which is what most neighbours lack; the others will ask for more.
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

    /// Whether an update leads from the revision in force to a newer one. A revision lower than
    /// the one in force is never taken in.
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

    /// Whether a peer's proof is so much younger than this node's that it is worth asking for.
    fn is_fresher(&self, now: Time, theirs: &SettingsDigest) -> bool {
        let step = self.parameters.freshness_threshold;
        let is_younger = |age: Option<Duration>, own: Option<Time>| {
            age.is_some_and(|age| own.is_none_or(|own| now - age >= own + step))
        };
        is_younger(theirs.store_read, self.source.store_read_at())
            || is_younger(theirs.watcher_heard, self.source.watcher_heard_at())
    }

    /// Whether this node's proof is so much younger than a neighbour's that it should be told.
    fn is_notable(&self, known: &PeerKnowledge) -> bool {
        let step = self.parameters.freshness_threshold;
        let is_younger = |own: Option<Time>, theirs: Option<Time>| {
            own.is_some_and(|own| theirs.is_none_or(|theirs| own >= theirs + step))
        };
        is_younger(self.source.store_read_at(), known.store_read_at)
            || is_younger(self.source.watcher_heard_at(), known.watcher_heard_at)
    }
}

/// Whether `interval` has passed since `last`; true when there was none.
fn has_passed(now: Time, last: Option<Time>, interval: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
