//! Limits at one node: admission, lending and coordination.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, TenantName, Time};

use crate::allowance::Allowance;
use crate::coordinator::Coordinator;
use crate::fleet::Fleet;
use crate::lender::{Lending, OutstandingRequest};
use crate::message::{CoordinatorTime, GrantRequest, GrantResponse, TenantDemand, TenantGrant};
use crate::options::LimitOptions;
use crate::rate_limit::RateLimit;
use crate::shard::Shard;

/// Minimum and maximum pause before more is requested for a tenant that was granted less than its
/// demand. A shorter pause costs messages, a longer one leaves room unused.
const MIN_REQUEST_PAUSE: Duration = Duration::from_millis(40);
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two writes of the record; the first may still be in progress.
const RECORD_WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// Time until the first grants arrive once a node may lend: two round trips to another region.
const FIRST_GRANT_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the state of idle tenants is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Input of the limiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The complete sets of nodes that are alive and of nodes that announced that they leave.
    Members {
        /// Nodes that are alive and not leaving, including this one.
        live: BTreeSet<NodeId>,
        /// Nodes that are leaving.
        leaving: BTreeSet<NodeId>,
    },
    /// All tenants that have a limit.
    Limits(BTreeMap<TenantName, RateLimit>),
    /// The recorded number of nodes; 0 if there is no record. A node lends nothing before it knows
    /// this.
    RecordedFleetSize(u32),
    /// A coordinator answered a request.
    GrantReceived(NodeId, GrantResponse),
    /// A node can't be reached.
    PeerLost(NodeId),
    /// Time has passed; see [`Limiter::next_wake`].
    Tick,
}

/// Output of the limiter, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a coordinator, which answers it with [`Limiter::answer`]; the answer is
    /// delivered as [`Event::GrantReceived`].
    RequestGrant(NodeId, GrantRequest),
    /// Waiting operations of a tenant may be admitted.
    Available(TenantName),
    /// Write the number of nodes to the record that all nodes read.
    RecordFleetSize(u32),
    /// A coordinator did not answer and is replaced by another.
    CoordinatorChanged {
        /// The shard.
        shard: Shard,
        /// The coordinator that did not answer.
        silent: NodeId,
        /// The new coordinator; this node itself if no other answers.
        now: Option<NodeId>,
    },
    /// The coordinator has no room for the waiting operations of a tenant for this long.
    Denied(TenantName, Duration),
}

/// The decision on an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The operation may run.
    Admitted,
    /// The operation waits for the answer of a coordinator.
    Waiting,
    /// The limit is reached; retry after this time, when there is most likely room.
    Denied(Duration),
}

/// The limiter of one node.
#[derive(Debug)]
pub struct Limiter {
    options: LimitOptions,
    limits: BTreeMap<TenantName, RateLimit>,
    fleet: Fleet,
    lendings: BTreeMap<Shard, Lending>,
    allowances: BTreeMap<TenantName, Allowance>,
    coordinator: Coordinator,
    effects: Vec<Effect>,
    last_sequence: u64,
    swept_at: Time,
    next_record_write: Time,
}

impl Limiter {
    /// Creates a limiter that knows no limits and no other node. Its clock starts with its process.
    #[must_use]
    pub fn new(options: LimitOptions) -> Self {
        Self {
            options,
            limits: BTreeMap::new(),
            fleet: Fleet::default(),
            lendings: Shard::all()
                .map(|shard| (shard, Lending::default()))
                .collect(),
            allowances: BTreeMap::new(),
            coordinator: Coordinator::default(),
            effects: Vec::new(),
            last_sequence: 0,
            swept_at: Time::ZERO,
            next_record_write: Time::ZERO,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Members { live, leaving } => self.update_members(now, &live, &leaving),
            Event::Limits(limits) => {
                self.allowances
                    .retain(|tenant, _| limits.contains_key(tenant));
                self.limits = self.buckets(limits);
            }
            Event::RecordedFleetSize(nodes) => self.fleet.set_recorded(nodes),
            Event::GrantReceived(coordinator, grant) => self.apply_grant(now, coordinator, grant),
            Event::PeerLost(node) => {
                for lending in self.lendings.values_mut() {
                    lending.mark_unresponsive(now, node, &self.options);
                }
            }
            Event::Tick => {}
        }
        self.review(now);
    }

    /// The rates and bursts of the buckets.
    fn buckets(&self, limits: BTreeMap<TenantName, RateLimit>) -> BTreeMap<TenantName, RateLimit> {
        let Some(window) = self.options.window else {
            return limits;
        };
        let grant_life = self.options.grant_life;
        let limits = limits.into_iter();
        limits
            .map(|(tenant, limit)| (tenant, window.bucket(limit, grant_life)))
            .collect()
    }

    /// Takes the effects to be carried out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The latest time for the next [`Event::Tick`]; `None` while there is no limit.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.limits.is_empty() {
            return None;
        }
        let renewals = self.lendings.values().map(|lending| {
            let answer_due = lending
                .outstanding
                .map(|outstanding_request| outstanding_request.at + self.options.answer_timeout);
            answer_due.unwrap_or(lending.renew_at)
        });
        // While a request is in progress, its answer or timeout comes next; while no node is known,
        // the next view does.
        let may_request = |tenant: &TenantName| {
            let lending = self.lendings.get(&Shard::of(tenant));
            lending.is_some_and(Lending::may_request)
        };
        let openings = self
            .allowances
            .iter()
            .filter(|(tenant, allowance)| allowance.lacks_grants() && may_request(tenant))
            .map(|(_, allowance)| allowance.denied_until.max(allowance.requests_paused_until));
        renewals.chain(openings).min()
    }

    /// Whether a tenant's operations are limited.
    #[must_use]
    pub fn is_limited(&self, tenant: &TenantName) -> bool {
        self.limits.contains_key(tenant)
    }

    /// Decides whether a new operation is admitted.
    pub fn admit(&mut self, now: Time, tenant: &TenantName) -> Admission {
        if !self.limits.contains_key(tenant) {
            return Admission::Admitted;
        }
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        allowance.record_demand(now);
        if allowance.waiting == 0 && allowance.take(now) {
            if allowance.runs_low(now) && now >= allowance.denied_until {
                self.request_grant(now, Shard::of(tenant));
            }
            return Admission::Admitted;
        }
        if now < allowance.denied_until {
            return Admission::Denied(allowance.next_retry(now));
        }
        allowance.waiting += 1;
        self.request_grant(now, Shard::of(tenant));
        // A node that is its own coordinator has its answer at once.
        Admission::Waiting
    }

    /// Uses a granted operation for a waiting one; returns whether there was one.
    pub fn admit_waiting(&mut self, now: Time, tenant: &TenantName) -> bool {
        let Some(allowance) = self.allowances.get_mut(tenant) else {
            // The limit of the tenant was removed.
            return true;
        };
        let is_admitted = allowance.take(now);
        if is_admitted {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
        is_admitted
    }

    /// Removes a waiting operation that was given up.
    pub fn give_up(&mut self, tenant: &TenantName) {
        if let Some(allowance) = self.allowances.get_mut(tenant) {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
    }

    /// When a denied operation of a tenant should be retried.
    pub fn next_retry(&mut self, now: Time, tenant: &TenantName) -> Duration {
        let allowance = self.allowances.get_mut(tenant);
        allowance.map_or(Duration::ZERO, |allowance| allowance.next_retry(now))
    }

    /// The expected time of the first grants, while this node has just started, cannot lend its
    /// share yet, and so may be granted nothing.
    #[must_use]
    pub fn first_grants_at(&self, now: Time) -> Option<Time> {
        let first = self.options.started + self.options.loan_by_lender() + FIRST_GRANT_DELAY;
        (now < first).then_some(first)
    }

    /// Answers the request of a node, as coordinator.
    pub fn answer(&mut self, now: Time, node: NodeId, request: &GrantRequest) -> GrantResponse {
        self.fleet.record_reported(now, request.nodes);
        let nodes = self.fleet.size(now);
        let granted =
            self.coordinator
                .answer(now, &self.options, &self.limits, nodes, node, request);
        GrantResponse {
            shard: request.shard,
            sequence: request.sequence,
            coordinator_time: CoordinatorTime {
                incarnation: self.options.incarnation,
                at: now,
            },
            nodes: self.fleet.size_to_report(),
            granted,
        }
    }

    fn update_members(&mut self, now: Time, live: &BTreeSet<NodeId>, leaving: &BTreeSet<NodeId>) {
        self.fleet
            .update(now, live, leaving, self.options.node_retention);
        let nodes: Vec<NodeId> = if self.options.lends_shares {
            live.iter().copied().collect()
        } else {
            vec![self.options.node]
        };
        for (shard, lending) in &mut self.lendings {
            lending.rank(*shard, &nodes);
        }
    }

    fn review(&mut self, now: Time) {
        if self.limits.is_empty() {
            return;
        }
        self.record_fleet(now);
        for shard in Shard::all() {
            self.check_timeout(now, shard);
            let lending = self.lendings.get(&shard);
            let is_due = lending.is_some_and(|lending| now >= lending.renew_at);
            if is_due || self.needs_request(now, shard) {
                self.request_grant(now, shard);
            }
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.allowances
                .retain(|_, allowance| !allowance.is_idle(now));
        }
    }

    /// Maintains the record of the number of nodes, on the coordinator of the first shard. The
    /// number increases at once, and decreases only after this node has run for as long as it
    /// remembers nodes.
    fn record_fleet(&mut self, now: Time) {
        let own = self.options.node;
        let first = self.lendings.get(&Shard(0));
        let keeps_record = first.is_some_and(|lending| lending.coordinator(now, own) == Some(own));
        let Some(recorded) = self.fleet.recorded().filter(|_| keeps_record) else {
            return;
        };
        let counted = self.fleet.counted();
        let may_shrink = now.since(self.options.started) >= self.options.node_retention;
        let is_wrong = counted > recorded || (may_shrink && counted < recorded);
        if is_wrong && now >= self.next_record_write {
            self.next_record_write = now + RECORD_WRITE_INTERVAL;
            self.effects.push(Effect::RecordFleetSize(counted));
        }
    }

    fn check_timeout(&mut self, now: Time, shard: Shard) {
        let Some(lending) = self.lendings.get_mut(&shard) else {
            return;
        };
        let overdue = lending.outstanding.filter(|outstanding_request| {
            now >= outstanding_request.at + self.options.answer_timeout
        });
        if let Some(outstanding_request) = overdue
            && lending.record_timeout(now, &self.options)
        {
            self.effects.push(Effect::CoordinatorChanged {
                shard,
                silent: outstanding_request.to,
                now: lending.coordinator(now, self.options.node),
            });
        }
    }

    fn needs_request(&mut self, now: Time, shard: Shard) -> bool {
        self.allowances.iter_mut().any(|(tenant, allowance)| {
            allowance.unmet(now) > 0 && allowance.may_request(now) && Shard::of(tenant) == shard
        })
    }

    fn demands(&mut self, now: Time, shard: Shard) -> Vec<TenantDemand> {
        let open = self
            .allowances
            .iter_mut()
            .filter(|(tenant, allowance)| allowance.may_request(now) && Shard::of(tenant) == shard);
        let demands = open.map(|(tenant, allowance)| TenantDemand {
            tenant: tenant.clone(),
            waiting: allowance.unmet(now),
            ahead: allowance.prefetch(now),
        });
        demands
            .filter(|demand| demand.waiting > 0 || demand.ahead > 0)
            .collect()
    }

    /// Requests the demands of a shard from its coordinator and lends this node's share. One
    /// request at a time.
    fn request_grant(&mut self, now: Time, shard: Shard) {
        let demands = self.demands(now, shard);
        let own = self.options.node;
        let nodes = self.fleet.size_to_report();
        let Some(lending) = self.lendings.get_mut(&shard) else {
            return;
        };
        if lending.outstanding.is_some() {
            return;
        }
        let Some(grantor) = lending.grantor(now, own) else {
            // No node is known yet; the first view will trigger the request.
            lending.renew_at = now + self.options.renewal_margin;
            return;
        };
        self.last_sequence += 1;
        // An earlier incarnation of this process may have lent the share until then.
        let is_free = now >= self.options.started + self.options.loan_by_lender();
        let is_coordinator = lending.coordinator(now, own) == Some(grantor);
        let may_lend = is_free && is_coordinator && self.fleet.size(now).is_some();
        let loan = may_lend
            .then(|| lending.lend(now, grantor, &self.options))
            .flatten();
        let renewal_at = now + (self.options.loan - self.options.renewal_margin);
        let loan_ends = lending.loan_ends(now).filter(|_| !is_coordinator);
        lending.renew_at = loan_ends.map_or(renewal_at, |ends| ends.min(renewal_at));
        lending.outstanding = Some(OutstandingRequest {
            to: grantor,
            at: now,
            sequence: self.last_sequence,
        });
        let request = GrantRequest {
            shard,
            sequence: self.last_sequence,
            nodes,
            loan,
            demands,
        };
        if grantor == own {
            let grant = self.answer(now, own, &request);
            self.apply_grant(now, own, grant);
        } else {
            self.effects.push(Effect::RequestGrant(grantor, request));
        }
    }

    fn apply_grant(&mut self, now: Time, coordinator: NodeId, grant: GrantResponse) {
        if coordinator != self.options.node {
            self.fleet.record_reported(now, grant.nodes);
        }
        let Some(lending) = self.lendings.get_mut(&grant.shard) else {
            return;
        };
        let outstanding_request = lending.outstanding.filter(|outstanding_request| {
            outstanding_request.to == coordinator && outstanding_request.sequence == grant.sequence
        });
        let is_first = lending.record_answer(coordinator, grant.coordinator_time);
        // A late answer belongs to a request that was given up.
        if let Some(outstanding_request) = outstanding_request {
            let until = outstanding_request.at + self.options.grant_life;
            for granted in grant.granted {
                self.apply_tenant_grant(now, until, granted);
            }
        }
        if is_first {
            // The coordinator's time is known now, so the share is lent at once.
            self.request_grant(now, grant.shard);
        }
    }

    fn apply_tenant_grant(&mut self, now: Time, until: Time, granted: TenantGrant) {
        let first_grants_at = self.first_grants_at(now);
        let Some(allowance) = self.allowances.get_mut(&granted.tenant) else {
            return;
        };
        allowance.grant(until, granted.count);
        if granted.count > 0 {
            self.effects.push(Effect::Available(granted.tenant.clone()));
        }
        if granted.unmet == 0 {
            return;
        }
        if let Some(first) = first_grants_at {
            // Before shares are lent, a lack of room says nothing about the limit.
            allowance.requests_paused_until = first.min(now + MAX_REQUEST_PAUSE);
        } else {
            let pause = granted
                .retry_after
                .clamp(MIN_REQUEST_PAUSE, MAX_REQUEST_PAUSE);
            allowance.deny_until(now, now + pause, granted.retry_after, granted.spacing);
            self.effects
                .push(Effect::Denied(granted.tenant, granted.retry_after));
        }
    }
}
