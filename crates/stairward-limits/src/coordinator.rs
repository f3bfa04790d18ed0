//! Granting operations out of the shares that were lent.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{NodeId, TenantName, Time};

use crate::lent_shares::LentShares;
use crate::message::{GrantRequest, TenantDemand, TenantGrant};
use crate::options::LimitOptions;
use crate::rate_limit::RateLimit;
use crate::shard::Shard;

/// The part of a bucket that is kept for operations that wait already: nothing of it is granted ahead.
const KEPT_FOR_WAITING: f64 = 0.25;
/// The longest that is ever said until there is room.
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// Full buckets of tenants that have asked nothing for this long are forgotten; they begin full again.
const IDLE_LIFE: Duration = Duration::from_secs(10);
/// By how much the lent part may sink before all buckets are cut to it.
const CUT_STEP: f64 = 1.0 / 16.0;

/// What a tenant may still spend.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    operations: f64,
    /// The shard's whole seconds when it was last filled.
    filled_at: f64,
    /// The next moment for which no operation was told to come back.
    next_room: Time,
    asked_at: Time,
}

impl Bucket {
    fn fill(&mut self, limit: RateLimit, whole_seconds: f64, fraction: f64) {
        let seconds = whole_seconds - self.filled_at;
        self.filled_at = whole_seconds;
        self.operations += limit.per_second() * seconds;
        self.operations = self.operations.min(limit.burst().max(1.0) * fraction);
    }

    /// Takes up to so many whole operations and leaves at least `kept`.
    fn take(&mut self, wanted: u32, kept: f64) -> u32 {
        let available = (self.operations - kept).max(0.0).floor();
        let taken = available.min(f64::from(wanted));
        self.operations -= taken;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and a u32"
        )]
        let count = taken as u32;
        count
    }
}

/// The loans and buckets of one shard.
#[derive(Debug, Default)]
struct Book {
    shares: LentShares,
    buckets: BTreeMap<TenantName, Bucket>,
    /// The lent part to which the buckets were last cut.
    cut_to: f64,
    swept_at: Time,
}

impl Book {
    /// Cuts all buckets to the part that is lent, once that has sunk: what is not lent any more may pile up
    /// elsewhere.
    fn cut(&mut self, limits: &BTreeMap<TenantName, RateLimit>) {
        let fraction = self.shares.fraction();
        if fraction + CUT_STEP < self.cut_to {
            let whole_seconds = self.shares.whole_seconds();
            for (tenant, bucket) in &mut self.buckets {
                match limits.get(tenant) {
                    Some(limit) => bucket.fill(*limit, whole_seconds, fraction),
                    None => bucket.operations = 0.0,
                }
            }
            self.cut_to = fraction;
        }
        self.cut_to = self.cut_to.max(fraction);
    }

    fn sweep(&mut self, now: Time, limits: &BTreeMap<TenantName, RateLimit>) {
        if now.since(self.swept_at) < IDLE_LIFE {
            return;
        }
        self.swept_at = now;
        let (whole_seconds, fraction) = (self.shares.whole_seconds(), self.shares.fraction());
        self.buckets.retain(|tenant, bucket| {
            let Some(limit) = limits.get(tenant) else {
                return false;
            };
            bucket.fill(*limit, whole_seconds, fraction);
            let is_full = bucket.operations >= limit.burst().max(1.0) * fraction;
            !is_full || now.since(bucket.asked_at) < IDLE_LIFE
        });
    }
}

/// The shards for which others lend to this node.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    books: BTreeMap<Shard, Book>,
}

impl Coordinator {
    /// Takes a node's loan in, and grants what it wants as far as there is room.
    pub fn answer(
        &mut self,
        now: Time,
        options: &LimitOptions,
        limits: &BTreeMap<TenantName, RateLimit>,
        nodes: Option<u32>,
        lender: NodeId,
        request: &GrantRequest,
    ) -> Vec<TenantGrant> {
        let book = self.books.entry(request.shard).or_default();
        book.shares.advance(now);
        book.cut(limits);
        let loan = request.loan.filter(|coordinator_time| {
            coordinator_time.incarnation == options.incarnation && coordinator_time.at <= now
        });
        if let (Some(coordinator_time), Some(nodes)) = (loan, nodes) {
            let nodes = nodes.max(request.nodes);
            book.shares
                .lend(now, lender, nodes, coordinator_time.at + options.loan);
        }
        book.sweep(now, limits);
        let demands = request.demands.iter();
        demands
            .map(|demand| book.grant(now, demand, limits.get(&demand.tenant).copied()))
            .collect()
    }
}

impl Book {
    fn grant(&mut self, now: Time, demand: &TenantDemand, limit: Option<RateLimit>) -> TenantGrant {
        let mut granted = TenantGrant {
            tenant: demand.tenant.clone(),
            count: 0,
            unmet: demand.waiting,
            retry_after: LONGEST_RETRY,
            spacing: Duration::ZERO,
        };
        // A tenant of a newer configuration than this node's: the next question may find it known.
        let Some(limit) = limit else {
            granted.retry_after = Duration::from_millis(500);
            return granted;
        };
        let (whole_seconds, fraction) = (self.shares.whole_seconds(), self.shares.fraction());
        let bucket = self.buckets.entry(demand.tenant.clone()).or_default();
        bucket.asked_at = now;
        bucket.fill(limit, whole_seconds, fraction);
        granted.count = bucket.take(demand.waiting, 0.0);
        let unmet = demand.waiting - granted.count;
        granted.unmet = unmet;
        if unmet == 0 {
            let kept = limit.burst().max(1.0) * fraction * KEPT_FOR_WAITING;
            granted.count += bucket.take(demand.ahead, kept);
        }
        let rate = limit.per_second() * fraction;
        if rate > 0.0 {
            let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST_RETRY);
            granted.spacing = spacing.min(LONGEST_RETRY);
            // Whoever is told to come back is given a place behind those who were told before.
            let first = bucket.next_room.max(now) + granted.spacing;
            granted.retry_after = first.since(now).min(LONGEST_RETRY);
            let last = first + granted.spacing * unmet.saturating_sub(1);
            if unmet > 0 {
                bucket.next_room = last.min(now + LONGEST_RETRY);
            }
        }
        granted
    }
}
