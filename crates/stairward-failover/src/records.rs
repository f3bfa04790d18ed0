//! A node's view of the failover records in the store.

use std::collections::BTreeMap;

use stairward_types::{Duration, ServiceName, Term, Time};

use crate::event::{FailoverRecord, RecordVersion, RecordedPromotion};

/// A service's record, and when this node learned of it.
#[derive(Debug)]
struct KnownRecord {
    version: RecordVersion,
    record: Option<FailoverRecord>,
    learned_at: Time,
}

/// The failover records of all services.
#[derive(Debug)]
pub(crate) struct Records {
    /// The holder name that this node writes to records.
    node: String,
    /// How long a record keeps nodes other than its holder from acting.
    lease: Duration,
    /// The store era of the known records; `None` before the first listing. After that, a service
    /// without a known record has none.
    era: Option<u64>,
    known: BTreeMap<ServiceName, KnownRecord>,
    /// The records known when the store was last restored to an older state.
    lost_records: BTreeMap<ServiceName, KnownRecord>,
    /// When this node learned that records may have been lost.
    lost_at: Option<Time>,
    /// The newest term that any holder recorded, even if the store has lost the record since.
    terms: BTreeMap<ServiceName, Term>,
    /// The newest promotion that any holder recorded or announced, even if the store has lost the
    /// record since, or that this node has requested.
    promotions: BTreeMap<ServiceName, RecordedPromotion>,
}

impl Records {
    /// Creates an empty view for the node of this name.
    pub fn new(node: String, lease: Duration) -> Self {
        Self {
            node,
            lease,
            era: None,
            known: BTreeMap::new(),
            lost_records: BTreeMap::new(),
            lost_at: None,
            terms: BTreeMap::new(),
            promotions: BTreeMap::new(),
        }
    }

    /// Records that all records of a store era were listed. Returns whether the era replaces an
    /// earlier one, whose records no longer apply.
    pub fn record_listing(&mut self, now: Time, era: u64) -> bool {
        let before = self.era.unwrap_or_default();
        if era <= before {
            self.era = Some(before);
            return false;
        }
        // Also on a node that has just started: the earlier era may have had a record that it never
        // saw.
        self.lost_at = Some(now);
        self.lost_records = std::mem::take(&mut self.known);
        self.era.replace(era).is_some()
    }

    /// Records the state of a service's record, unless this version or a later one is known, or its
    /// store era is outdated or not listed yet. Returns whether it was new.
    pub fn update(
        &mut self,
        now: Time,
        service: ServiceName,
        version: RecordVersion,
        record: Option<FailoverRecord>,
    ) -> bool {
        if version.0.era() != self.era.unwrap_or_default() {
            return false;
        }
        let known = self.known.get(&service);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        if let Some(record) = &record {
            let newest = self.terms.entry(service.clone()).or_default();
            *newest = record.term.max(*newest);
            if let Some(promotion) = record.promotion() {
                self.note_promotion(&service, promotion);
            }
        }
        let known = KnownRecord {
            version,
            record,
            learned_at: now,
        };
        self.known.insert(service, known);
        true
    }

    /// The version of a service's record; `None` before the first listing.
    pub fn version(&self, service: &ServiceName) -> Option<RecordVersion> {
        let none = self.era.map(RecordVersion::absent_in_era);
        self.known.get(service).map(|known| known.version).or(none)
    }

    /// The newest term that the holders of a service recorded.
    pub fn term(&self, service: &ServiceName) -> Term {
        self.terms.get(service).copied().unwrap_or_default()
    }

    /// Notes a requested promotion, also before it is recorded, unless a later one is known.
    pub fn note_promotion(&mut self, service: &ServiceName, promotion: RecordedPromotion) {
        let known = self.promotions.get(service);
        if known.is_none_or(|known| known.term <= promotion.term) {
            self.promotions.insert(service.clone(), promotion);
        }
    }

    /// Notes a promotion that another node has told of. The answer to a promotion may overtake the
    /// announcement of its request. Returns whether it is news.
    pub fn note_announced_promotion(
        &mut self,
        service: &ServiceName,
        promotion: RecordedPromotion,
    ) -> bool {
        let known = self.promotions.get(service);
        let is_outdated = known.is_some_and(|known| {
            let is_same = known.term == promotion.term && known.leader == promotion.leader;
            known.term > promotion.term || (is_same && promotion.is_pending)
        });
        let is_news = !is_outdated && known != Some(&promotion);
        if is_news {
            self.promotions.insert(service.clone(), promotion);
        }
        is_news
    }

    /// The newest known promotion of each service.
    pub fn promotions(&self) -> impl Iterator<Item = (&ServiceName, &RecordedPromotion)> {
        self.promotions.iter()
    }

    /// The newest known promotion of a service.
    pub fn promotion(&self, service: &ServiceName) -> Option<&RecordedPromotion> {
        self.promotions.get(service)
    }

    /// The record that this node writes as the holder of a service. It keeps what is known of the
    /// newest promotion.
    pub fn own_record(&self, service: &ServiceName) -> FailoverRecord {
        let promotion = self.promotions.get(service);
        let promotion = promotion.filter(|promotion| promotion.term >= self.term(service));
        FailoverRecord {
            holder: self.node.clone(),
            term: promotion.map_or_else(|| self.term(service), |promotion| promotion.term),
            leader: promotion.map(|promotion| promotion.leader.clone()),
            is_pending: promotion.is_some_and(|promotion| promotion.is_pending),
        }
    }

    /// The services whose record this node wrote last and which lacks a promotion that it noted. None
    /// while another node may act under a record that the store has lost.
    pub fn unrecorded(&self, now: Time) -> Vec<ServiceName> {
        if self.lost_lease_ends_at(now).is_some() {
            return Vec::new();
        }
        let lacks = |(service, promotion): &(&ServiceName, &RecordedPromotion)| {
            let record = self
                .known
                .get(*service)
                .and_then(|known| known.record.as_ref());
            record.is_some_and(|record| {
                record.term <= promotion.term && record.promotion().as_ref() != Some(*promotion)
            }) && self.is_last_holder(now, service)
        };
        let unrecorded = self.promotions.iter().filter(lacks);
        unrecorded.map(|(service, _)| service.clone()).collect()
    }

    /// Whether this node was the last to write a service's record; if another has since, it may
    /// have put replicas on hold. A record that the store has lost counts as well while its holder
    /// may still act.
    pub fn is_last_holder(&self, now: Time, service: &ServiceName) -> bool {
        let lost_lease_may_hold = self.lost_lease_ends_at(now).is_some();
        let lost = self
            .lost_records
            .get(service)
            .filter(|_| lost_lease_may_hold);
        let known = self.known.get(service);
        let mut records = known
            .into_iter()
            .chain(lost)
            .filter_map(|known| known.record.as_ref())
            .peekable();
        // The current record may be older or newer than the lost one.
        records.peek().is_some() && records.all(|record| record.holder == self.node)
    }

    /// Whether a node other than this one currently holds the lease of a service.
    pub fn is_held_by_another(&self, now: Time, service: &ServiceName) -> bool {
        self.known.get(service).is_some_and(|known| {
            let holder = known.record.as_ref().map(|record| &record.holder);
            holder.is_some_and(|holder| *holder != self.node) && now < known.learned_at + self.lease
        })
    }

    /// Until when a holder may act under a record that the store has lost; `None` if none can.
    pub fn lost_lease_ends_at(&self, now: Time) -> Option<Time> {
        let ends_at = self.lost_at? + self.lease;
        (now < ends_at).then_some(ends_at)
    }
}
