//! The node to which each share is lent, and the request that is in progress.

use std::collections::BTreeMap;

use stairward_types::{NodeId, Time};

use crate::message::CoordinatorTime;
use crate::options::LimitOptions;
use crate::shard::Shard;

/// How many of the highest-ranking nodes are tried before a node coordinates its own share.
const MAX_CANDIDATES: usize = 3;

/// Consecutive requests without an answer after which a coordinator is skipped.
const MAX_UNANSWERED: u32 = 2;

/// A request that has not been answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutstandingRequest {
    pub to: NodeId,
    pub at: Time,
    pub sequence: u64,
}

/// The current loan of the share.
#[derive(Debug, Clone, Copy)]
struct LentShare {
    to: NodeId,
    until: Time,
}

/// A node's state towards the coordinators of one shard.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    /// The highest-ranking nodes, best first.
    candidates: Vec<NodeId>,
    lent: Option<LentShare>,
    pub outstanding: Option<OutstandingRequest>,
    coordinator_times: BTreeMap<NodeId, CoordinatorTime>,
    /// Coordinators that did not answer, and until when they are skipped.
    unresponsive: BTreeMap<NodeId, Time>,
    unanswered: u32,
    /// When the loan is renewed.
    pub renew_at: Time,
}

impl Lending {
    /// Ranks the nodes that may coordinate.
    pub fn rank(&mut self, shard: Shard, nodes: &[NodeId]) {
        let mut ranked: Vec<_> = nodes
            .iter()
            .map(|node| (std::cmp::Reverse(shard.score(*node)), *node))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_CANDIDATES);
        self.candidates = ranked.into_iter().map(|(_, node)| node).collect();
    }

    /// The current coordinator: the first responsive candidate, or else this node. `None` while no
    /// node is known.
    pub fn coordinator(&self, now: Time, own: NodeId) -> Option<NodeId> {
        let is_unresponsive = |node: &&NodeId| {
            self.unresponsive
                .get(node)
                .is_some_and(|until| now < *until)
        };
        let first = self.candidates.iter().find(|node| !is_unresponsive(node));
        let known = !self.candidates.is_empty();
        first.copied().or(known.then_some(own))
    }

    /// The node to request grants from: the one that holds this node's loan until it ends, or else
    /// the coordinator. The holder of the loan can continue to grant, even while it is about to
    /// stop; a new coordinator has nothing to grant yet.
    pub fn grantor(&self, now: Time, own: NodeId) -> Option<NodeId> {
        let coordinator = self.coordinator(now, own)?;
        let bound = self.lent.filter(|lent| now < lent.until);
        let bound = bound.map(|lent| lent.to);
        let bound = bound.filter(|to| self.unresponsive.get(to).is_none_or(|until| now >= *until));
        Some(bound.unwrap_or(coordinator))
    }

    /// When the current loan ends; `None` without a loan.
    pub fn loan_ends(&self, now: Time) -> Option<Time> {
        let lent = self.lent.filter(|lent| now < lent.until);
        lent.map(|lent| lent.until)
    }

    /// Whether a request can be sent: a candidate is known, and no request is in progress.
    pub fn may_request(&self) -> bool {
        self.outstanding.is_none() && !self.candidates.is_empty()
    }

    /// Handles a timeout of the request in progress. Returns whether its coordinator is skipped
    /// from now on.
    pub fn record_timeout(&mut self, now: Time, options: &LimitOptions) -> bool {
        let Some(outstanding_request) = self.outstanding.take() else {
            return false;
        };
        self.renew_at = now;
        self.unanswered += 1;
        let is_unresponsive = self.unanswered >= MAX_UNANSWERED;
        if is_unresponsive {
            self.mark_unresponsive(now, outstanding_request.to, options);
        }
        is_unresponsive
    }

    /// Marks a coordinator that did not answer or can't be reached, so that it is skipped.
    pub fn mark_unresponsive(&mut self, now: Time, node: NodeId, options: &LimitOptions) {
        self.unanswered = 0;
        self.unresponsive.insert(node, now + options.skip_duration);
        self.unresponsive.retain(|_, until| now < *until);
        if self
            .outstanding
            .is_some_and(|outstanding_request| outstanding_request.to == node)
        {
            self.outstanding = None;
        }
    }

    /// Records an answer with the coordinator's time, from which the next loan counts. Returns
    /// whether this is the first answer of its incarnation.
    pub fn record_answer(&mut self, node: NodeId, coordinator_time: CoordinatorTime) -> bool {
        self.unresponsive.remove(&node);
        self.unanswered = 0;
        self.outstanding = self
            .outstanding
            .filter(|outstanding_request| outstanding_request.to != node);
        let known = self.coordinator_times.insert(node, coordinator_time);
        known.is_none_or(|known| known.incarnation != coordinator_time.incarnation)
    }

    /// Lends the share and returns the coordinator's time from which the loan counts. `None` while
    /// the share is lent to another node, or the coordinator's time is not known.
    pub fn lend(
        &mut self,
        now: Time,
        to: NodeId,
        options: &LimitOptions,
    ) -> Option<CoordinatorTime> {
        let coordinator_time = *self.coordinator_times.get(&to)?;
        let is_bound = self
            .lent
            .is_some_and(|lent| lent.to != to && now < lent.until);
        if is_bound {
            return None;
        }
        let until = now + options.loan_by_lender();
        self.lent = Some(LentShare { to, until });
        Some(coordinator_time)
    }
}
