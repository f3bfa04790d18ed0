//! Grants operations out of the shares that nodes have lent to this one.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{NodeId, TenantName, Time};

use crate::lent_shares::LentShares;
use crate::message::{GrantRequest, TenantDemand, TenantGrant};
use crate::options::LimitOptions;
use crate::rate_limit::RateLimit;
use crate::shard::Shard;

/// Fraction of a bucket that is reserved for waiting operations and not granted in advance.
const RESERVED_FOR_WAITING: f64 = 0.25;
/// Maximum retry delay that is reported.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// How long full buckets of inactive tenants are kept. A new bucket starts full again.
const IDLE_RETENTION: Duration = Duration::from_secs(10);
/// How far the lent fraction may fall before all buckets are reduced to it.
const MIN_FRACTION_DROP: f64 = 1.0 / 16.0;

/// The token bucket of one tenant.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    operations: f64,
    /// [`LentShares::lent_seconds`] of the shard at the last refill.
    filled_at: f64,
    /// The earliest time not yet assigned to a denied operation as its retry time.
    next_retry_at: Time,
    requested_at: Time,
}

impl Bucket {
    fn refill(&mut self, limit: RateLimit, lent_seconds: f64, fraction: f64) {
        let seconds = lent_seconds - self.filled_at;
        self.filled_at = lent_seconds;
        self.operations += limit.per_second() * seconds;
        self.operations = self.operations.min(limit.burst().max(1.0) * fraction);
    }

    /// Takes up to `wanted` whole operations, and leaves at least `reserved` in the bucket.
    fn take(&mut self, wanted: u32, reserved: f64) -> u32 {
        let available = (self.operations - reserved).max(0.0).floor();
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
struct ShardBuckets {
    shares: LentShares,
    buckets: BTreeMap<TenantName, Bucket>,
    /// The lent fraction to which the buckets were last reduced.
    shrunk_to: f64,
    swept_at: Time,
}

impl ShardBuckets {
    /// Reduces all buckets to the lent fraction after that has fallen: the share that is no longer
    /// lent may accumulate at its owner.
    fn shrink_buckets(&mut self, limits: &BTreeMap<TenantName, RateLimit>) {
        let fraction = self.shares.fraction();
        if fraction + MIN_FRACTION_DROP < self.shrunk_to {
            let lent_seconds = self.shares.lent_seconds();
            for (tenant, bucket) in &mut self.buckets {
                match limits.get(tenant) {
                    Some(limit) => bucket.refill(*limit, lent_seconds, fraction),
                    None => bucket.operations = 0.0,
                }
            }
            self.shrunk_to = fraction;
        }
        self.shrunk_to = self.shrunk_to.max(fraction);
    }

    fn sweep(&mut self, now: Time, limits: &BTreeMap<TenantName, RateLimit>) {
        if now.since(self.swept_at) < IDLE_RETENTION {
            return;
        }
        self.swept_at = now;
        let (lent_seconds, fraction) = (self.shares.lent_seconds(), self.shares.fraction());
        self.buckets.retain(|tenant, bucket| {
            let Some(limit) = limits.get(tenant) else {
                return false;
            };
            bucket.refill(*limit, lent_seconds, fraction);
            let is_full = bucket.operations >= limit.burst().max(1.0) * fraction;
            !is_full || now.since(bucket.requested_at) < IDLE_RETENTION
        });
    }
}

/// The shards that this node coordinates with the shares lent to it.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    shards: BTreeMap<Shard, ShardBuckets>,
}

impl Coordinator {
    /// Records a node's loan, and grants its demands as far as there is room.
    pub fn answer(
        &mut self,
        now: Time,
        options: &LimitOptions,
        limits: &BTreeMap<TenantName, RateLimit>,
        nodes: Option<u32>,
        lender: NodeId,
        request: &GrantRequest,
    ) -> Vec<TenantGrant> {
        let shard = self.shards.entry(request.shard).or_default();
        shard.shares.advance(now);
        shard.shrink_buckets(limits);
        let loan = request.loan.filter(|coordinator_time| {
            coordinator_time.incarnation == options.incarnation && coordinator_time.at <= now
        });
        if let (Some(coordinator_time), Some(nodes)) = (loan, nodes) {
            let nodes = nodes.max(request.nodes);
            shard
                .shares
                .lend(now, lender, nodes, coordinator_time.at + options.loan);
        }
        shard.sweep(now, limits);
        let demands = request.demands.iter();
        demands
            .map(|demand| shard.grant(now, demand, limits.get(&demand.tenant).copied()))
            .collect()
    }
}

impl ShardBuckets {
    fn grant(&mut self, now: Time, demand: &TenantDemand, limit: Option<RateLimit>) -> TenantGrant {
        let mut granted = TenantGrant {
            tenant: demand.tenant.clone(),
            count: 0,
            unmet: demand.waiting,
            retry_after: MAX_RETRY_AFTER,
            spacing: Duration::ZERO,
        };
        // The tenant may belong to a newer configuration than that of this node; by the next
        // request it may be known.
        let Some(limit) = limit else {
            granted.retry_after = Duration::from_millis(500);
            return granted;
        };
        let (lent_seconds, fraction) = (self.shares.lent_seconds(), self.shares.fraction());
        let bucket = self.buckets.entry(demand.tenant.clone()).or_default();
        bucket.requested_at = now;
        bucket.refill(limit, lent_seconds, fraction);
        granted.count = bucket.take(demand.waiting, 0.0);
        let unmet = demand.waiting - granted.count;
        granted.unmet = unmet;
        if unmet == 0 {
            let reserved = limit.burst().max(1.0) * fraction * RESERVED_FOR_WAITING;
            granted.count += bucket.take(demand.ahead, reserved);
        }
        let rate = limit.per_second() * fraction;
        if rate > 0.0 {
            let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
            granted.spacing = spacing.min(MAX_RETRY_AFTER);
            // Each denied operation is assigned a retry time after those of the earlier ones.
            let first = bucket.next_retry_at.max(now) + granted.spacing;
            granted.retry_after = first.since(now).min(MAX_RETRY_AFTER);
            let last = first + granted.spacing * unmet.saturating_sub(1);
            if unmet > 0 {
                bucket.next_retry_at = last.min(now + MAX_RETRY_AFTER);
            }
        }
        granted
    }
}
