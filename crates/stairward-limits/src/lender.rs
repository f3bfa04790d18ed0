//! To whom a node lends its share of each shard, and what it has asked.

use std::collections::BTreeMap;

use stairward_types::{NodeId, Time};

use crate::message::CoordinatorTime;
use crate::options::LimitOptions;
use crate::shard::Shard;

/// How many of the highest-ranking nodes are tried before a node coordinates its own share itself.
const CANDIDATES: usize = 3;

/// Questions in a row that a coordinator leaves without an answer before it is passed over.
const MOST_UNANSWERED: u32 = 2;

/// A question without an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outstanding {
    pub to: NodeId,
    pub at: Time,
    pub sequence: u64,
}

/// A share that is lent.
#[derive(Debug, Clone, Copy)]
struct Lent {
    to: NodeId,
    until: Time,
}

/// A node's dealings with the coordinators of one shard.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    /// The nodes that rank highest, best first.
    candidates: Vec<NodeId>,
    lent: Option<Lent>,
    pub outstanding: Option<Outstanding>,
    coordinator_time: BTreeMap<NodeId, CoordinatorTime>,
    /// Coordinators that did not answer, and until when they are passed over.
    silent: BTreeMap<NodeId, Time>,
    unanswered: u32,
    /// When the share is lent again.
    pub renew_at: Time,
}

impl Lending {
    /// Takes the nodes that may coordinate in.
    pub fn rank(&mut self, shard: Shard, nodes: &[NodeId]) {
        let mut ranked: Vec<_> = nodes
            .iter()
            .map(|node| (std::cmp::Reverse(shard.score(*node)), *node))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(CANDIDATES);
        self.candidates = ranked.into_iter().map(|(_, node)| node).collect();
    }

    /// The coordinator to ask; this node itself when no other answers. None while no node is known.
    pub fn coordinator(&self, now: Time, own: NodeId) -> Option<NodeId> {
        let is_silent = |node: &&NodeId| self.silent.get(node).is_some_and(|until| now < *until);
        let first = self.candidates.iter().find(|node| !is_silent(node));
        let known = !self.candidates.is_empty();
        first.copied().or(known.then_some(own))
    }

    /// The node to ask for grants: the coordinator, or the one that has this node's share until the loan ends. It has
    /// what was lent to it and goes on granting, also when it is about to stop, while the new one has nothing yet.
    pub fn grantor(&self, now: Time, own: NodeId) -> Option<NodeId> {
        let coordinator = self.coordinator(now, own)?;
        let bound = self.lent.filter(|lent| now < lent.until);
        let bound = bound.map(|lent| lent.to);
        let bound = bound.filter(|to| self.silent.get(to).is_none_or(|until| now >= *until));
        Some(bound.unwrap_or(coordinator))
    }

    /// When the present loan ends; none where there is none.
    pub fn loan_ends(&self, now: Time) -> Option<Time> {
        let lent = self.lent.filter(|lent| now < lent.until);
        lent.map(|lent| lent.until)
    }

    /// Whether a question can be asked: a node is known to ask, and none is under way.
    pub fn may_ask(&self) -> bool {
        self.outstanding.is_none() && !self.candidates.is_empty()
    }

    /// The question under way has had no answer in time. Returns whether its coordinator is passed over now.
    pub fn note_unanswered(&mut self, now: Time, options: &LimitOptions) -> bool {
        let Some(asked) = self.outstanding.take() else {
            return false;
        };
        self.renew_at = now;
        self.unanswered += 1;
        let is_silent = self.unanswered >= MOST_UNANSWERED;
        if is_silent {
            self.note_silent(now, asked.to, options);
        }
        is_silent
    }

    /// A coordinator did not answer, or can't be reached.
    pub fn note_silent(&mut self, now: Time, node: NodeId, options: &LimitOptions) {
        self.unanswered = 0;
        self.silent.insert(node, now + options.skip_duration);
        self.silent.retain(|_, until| now < *until);
        if self.outstanding.is_some_and(|asked| asked.to == node) {
            self.outstanding = None;
        }
    }

    /// A coordinator answered; its moment is the one that the next loan counts from. Returns whether it answers
    /// for the first time in its life.
    pub fn note_answer(&mut self, node: NodeId, coordinator_time: CoordinatorTime) -> bool {
        self.silent.remove(&node);
        self.unanswered = 0;
        self.outstanding = self.outstanding.filter(|asked| asked.to != node);
        let known = self.coordinator_time.insert(node, coordinator_time);
        known.is_none_or(|known| known.incarnation != coordinator_time.incarnation)
    }

    /// The moment from which the share may be lent to a coordinator now; none while it is bound elsewhere, or the
    /// coordinator's clock is not known.
    pub fn lend(
        &mut self,
        now: Time,
        to: NodeId,
        options: &LimitOptions,
    ) -> Option<CoordinatorTime> {
        let coordinator_time = *self.coordinator_time.get(&to)?;
        let is_bound = self
            .lent
            .is_some_and(|lent| lent.to != to && now < lent.until);
        if is_bound {
            return None;
        }
        let until = now + options.loan_by_lender();
        self.lent = Some(Lent { to, until });
        Some(coordinator_time)
    }
}
