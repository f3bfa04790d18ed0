//! The limits of one node: admission, lending and coordinating together.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, TenantName, Time};

use crate::allowance::Allowance;
use crate::coordinator::Coordinator;
use crate::fleet::Fleet;
use crate::lender::{Lending, Outstanding};
use crate::message::{CoordinatorTime, GrantRequest, GrantResponse, TenantDemand, TenantGrant};
use crate::options::LimitOptions;
use crate::rate_limit::RateLimit;
use crate::shard::Shard;

/// Shortest and longest time for which nothing more is asked for a tenant that got less than it wanted: shorter
/// costs messages, longer leaves room unused.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two writes of the record: the first may still be under way.
const RECORD_PAUSE: Duration = Duration::from_secs(3);
/// How long the first grants take once a node may lend: two questions to another region and their answers.
const FIRST_GRANT_TIME: Duration = Duration::from_millis(150);
/// How often what is known of idle tenants is dropped.
const SWEEP: Duration = Duration::from_secs(10);

/// What the limits hear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The nodes that live, and those that have said that they leave, whole.
    Members {
        /// Nodes that live and don't leave, this one among them.
        live: BTreeSet<NodeId>,
        /// Nodes that leave.
        leaving: BTreeSet<NodeId>,
    },
    /// All tenants that have a limit.
    Limits(BTreeMap<TenantName, RateLimit>),
    /// How many nodes are on record; 0 where there is no record. A node lends nothing before it knows.
    RecordedFleetSize(u32),
    /// A coordinator answered.
    GrantReceived(NodeId, GrantResponse),
    /// A node can't be reached.
    PeerLost(NodeId),
    /// Time has passed; see [`Limiter::next_wake`].
    Tick,
}

/// What the limits want done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Ask a coordinator; it answers with [`Limiter::answer`], which comes back as [`Event::GrantReceived`].
    RequestGrant(NodeId, GrantRequest),
    /// Operations of a tenant that wait may be admitted.
    Available(TenantName),
    /// Record how many nodes there may be, where all nodes read it.
    RecordFleetSize(u32),
    /// A coordinator did not answer: another is asked from now on.
    CoordinatorChanged {
        /// The shard.
        shard: Shard,
        /// The one that did not answer.
        silent: NodeId,
        /// The one that is asked now; this node itself where no other answers.
        now: Option<NodeId>,
    },
    /// Operations of a tenant that wait have no room for this long; the coordinator said so.
    Denied(TenantName, Duration),
}

/// What becomes of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// It waits for a coordinator's answer.
    Waiting,
    /// The limit is reached; there is most likely room after this time.
    Denied(Duration),
}

/// The limits as one node keeps them.
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
    record_after: Time,
}

impl Limiter {
    /// A node that knows no limits and no other node. Its clock begins with its process.
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
            record_after: Time::ZERO,
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Members { live, leaving } => self.note_members(now, &live, &leaving),
            Event::Limits(limits) => {
                self.allowances
                    .retain(|tenant, _| limits.contains_key(tenant));
                self.limits = self.buckets(limits);
            }
            Event::RecordedFleetSize(nodes) => self.fleet.note_recorded(nodes),
            Event::GrantReceived(coordinator, grant) => self.take_grant(now, coordinator, grant),
            Event::PeerLost(node) => {
                for lending in self.lendings.values_mut() {
                    lending.note_silent(now, node, &self.options);
                }
            }
            Event::Tick => {}
        }
        self.review(now);
    }

    /// The rates and bursts that buckets have.
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

    /// What is to be done, taken.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Event::Tick`] is due at the latest; none while there is no limit.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.limits.is_empty() {
            return None;
        }
        let renewals = self.lendings.values().map(|lending| {
            let answer_due = lending
                .outstanding
                .map(|asked| asked.at + self.options.answer_timeout);
            answer_due.unwrap_or(lending.renew_at)
        });
        // Where a question is under way its answer, or that there is none, is what is waited for; where no node is
        // known to ask, the view.
        let may_ask = |tenant: &TenantName| {
            let lending = self.lendings.get(&Shard::of(tenant));
            lending.is_some_and(Lending::may_ask)
        };
        let openings = self
            .allowances
            .iter()
            .filter(|(tenant, allowance)| allowance.lacks_grants() && may_ask(tenant))
            .map(|(_, allowance)| allowance.closed_until.max(allowance.quiet_until));
        renewals.chain(openings).min()
    }

    /// Whether a tenant's operations are limited.
    #[must_use]
    pub fn is_limited(&self, tenant: &TenantName) -> bool {
        self.limits.contains_key(tenant)
    }

    /// Decides about an operation that has just come.
    pub fn admit(&mut self, now: Time, tenant: &TenantName) -> Admission {
        if !self.limits.contains_key(tenant) {
            return Admission::Admitted;
        }
        let allowance = self.allowances.entry(tenant.clone()).or_default();
        allowance.note_demand(now);
        if allowance.waiting == 0 && allowance.take(now) {
            if allowance.runs_low(now) && now >= allowance.closed_until {
                self.ask(now, Shard::of(tenant));
            }
            return Admission::Admitted;
        }
        if now < allowance.closed_until {
            return Admission::Denied(allowance.next_retry(now));
        }
        allowance.waiting += 1;
        self.ask(now, Shard::of(tenant));
        // A node that coordinates itself has its answer at once.
        Admission::Waiting
    }

    /// Uses a granted operation for one that waits; returns whether there was one.
    pub fn admit_waiting(&mut self, now: Time, tenant: &TenantName) -> bool {
        let Some(allowance) = self.allowances.get_mut(tenant) else {
            // Its limit was taken away.
            return true;
        };
        let is_admitted = allowance.take(now);
        if is_admitted {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
        is_admitted
    }

    /// An operation that waited waits no longer.
    pub fn give_up(&mut self, tenant: &TenantName) {
        if let Some(allowance) = self.allowances.get_mut(tenant) {
            allowance.waiting = allowance.waiting.saturating_sub(1);
        }
    }

    /// When a refused operation of a tenant should come back.
    pub fn next_retry(&mut self, now: Time, tenant: &TenantName) -> Duration {
        let allowance = self.allowances.get_mut(tenant);
        allowance.map_or(Duration::ZERO, |allowance| allowance.next_retry(now))
    }

    /// While this node has just started and could not lend its share yet, and so may get nothing: when it most likely
    /// gets its first grants.
    #[must_use]
    pub fn first_grants_at(&self, now: Time) -> Option<Time> {
        let first = self.options.started + self.options.loan_by_lender() + FIRST_GRANT_TIME;
        (now < first).then_some(first)
    }

    /// Answers another node, as coordinator.
    pub fn answer(&mut self, now: Time, node: NodeId, request: &GrantRequest) -> GrantResponse {
        self.fleet.note_told(now, request.nodes);
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
            nodes: self.fleet.word(),
            granted,
        }
    }

    fn note_members(&mut self, now: Time, live: &BTreeSet<NodeId>, leaving: &BTreeSet<NodeId>) {
        self.fleet
            .note(now, live, leaving, self.options.node_retention);
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
            self.note_unanswered(now, shard);
            let lending = self.lendings.get(&shard);
            let is_due = lending.is_some_and(|lending| now >= lending.renew_at);
            if is_due || self.wants_more(now, shard) {
                self.ask(now, shard);
            }
        }
        if now.since(self.swept_at) >= SWEEP {
            self.swept_at = now;
            self.allowances
                .retain(|_, allowance| !allowance.is_idle(now));
        }
    }

    /// The coordinator of the first shard keeps the record of the number of nodes. It grows at once, and shrinks
    /// only when this node has watched for as long as nodes are remembered.
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
        if is_wrong && now >= self.record_after {
            self.record_after = now + RECORD_PAUSE;
            self.effects.push(Effect::RecordFleetSize(counted));
        }
    }

    fn note_unanswered(&mut self, now: Time, shard: Shard) {
        let Some(lending) = self.lendings.get_mut(&shard) else {
            return;
        };
        let overdue = lending
            .outstanding
            .filter(|asked| now >= asked.at + self.options.answer_timeout);
        if let Some(asked) = overdue
            && lending.note_unanswered(now, &self.options)
        {
            self.effects.push(Effect::CoordinatorChanged {
                shard,
                silent: asked.to,
                now: lending.coordinator(now, self.options.node),
            });
        }
    }

    fn wants_more(&mut self, now: Time, shard: Shard) -> bool {
        self.allowances.iter_mut().any(|(tenant, allowance)| {
            allowance.unmet(now) > 0 && allowance.may_ask(now) && Shard::of(tenant) == shard
        })
    }

    fn demands(&mut self, now: Time, shard: Shard) -> Vec<TenantDemand> {
        let open = self
            .allowances
            .iter_mut()
            .filter(|(tenant, allowance)| allowance.may_ask(now) && Shard::of(tenant) == shard);
        let demands = open.map(|(tenant, allowance)| TenantDemand {
            tenant: tenant.clone(),
            waiting: allowance.unmet(now),
            ahead: allowance.ahead(now),
        });
        demands
            .filter(|demand| demand.waiting > 0 || demand.ahead > 0)
            .collect()
    }

    /// Asks a shard's coordinator for what is wanted, and lends the own share; one question at a time.
    fn ask(&mut self, now: Time, shard: Shard) {
        let demands = self.demands(now, shard);
        let own = self.options.node;
        let nodes = self.fleet.word();
        let Some(lending) = self.lendings.get_mut(&shard) else {
            return;
        };
        if lending.outstanding.is_some() {
            return;
        }
        let Some(grantor) = lending.grantor(now, own) else {
            // No node is known yet; the view's first change is heard of.
            lending.renew_at = now + self.options.renewal_margin;
            return;
        };
        self.last_sequence += 1;
        // An earlier life of this process may have lent the share until then.
        let is_free = now >= self.options.started + self.options.loan_by_lender();
        let is_coordinator = lending.coordinator(now, own) == Some(grantor);
        let may_lend = is_free && is_coordinator && self.fleet.size(now).is_some();
        let loan = may_lend
            .then(|| lending.lend(now, grantor, &self.options))
            .flatten();
        let renewal_at = now + (self.options.loan - self.options.renewal_margin);
        let loan_ends = lending.loan_ends(now).filter(|_| !is_coordinator);
        lending.renew_at = loan_ends.map_or(renewal_at, |ends| ends.min(renewal_at));
        lending.outstanding = Some(Outstanding {
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
            self.take_grant(now, own, grant);
        } else {
            self.effects.push(Effect::RequestGrant(grantor, request));
        }
    }

    fn take_grant(&mut self, now: Time, coordinator: NodeId, grant: GrantResponse) {
        if coordinator != self.options.node {
            self.fleet.note_told(now, grant.nodes);
        }
        let Some(lending) = self.lendings.get_mut(&grant.shard) else {
            return;
        };
        let asked = lending
            .outstanding
            .filter(|asked| asked.to == coordinator && asked.sequence == grant.sequence);
        let is_first = lending.note_answer(coordinator, grant.coordinator_time);
        // One that comes late is of a question that was given up.
        if let Some(asked) = asked {
            let until = asked.at + self.options.grant_life;
            for granted in grant.granted {
                self.take_granted(now, until, granted);
            }
        }
        if is_first {
            // Now a loan can be dated: it is made at once.
            self.ask(now, grant.shard);
        }
    }

    fn take_granted(&mut self, now: Time, until: Time, granted: TenantGrant) {
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
            // Until shares are lent, that there is no room says nothing of the limit.
            allowance.quiet_until = first.min(now + LONGEST_PAUSE);
        } else {
            let pause = granted.retry_after.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
            allowance.close(now, now + pause, granted.retry_after, granted.spacing);
            self.effects
                .push(Effect::Denied(granted.tenant, granted.retry_after));
        }
    }
}
