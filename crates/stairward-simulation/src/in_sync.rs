//! The record of in-sync members in the store, and reviews of missing members.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::Event;
use stairward_failover::{
    Event as FailoverEvent, InSyncRecord, MemberCallResult, RecordVersion, ReviewCall, Via,
};
use stairward_types::{StoreRevision, Term};

use crate::options::BrokenVariant;
use crate::world::{FAR_DELAY, STORE_DELAY, SimulationEvent, World};
use crate::world_databases::{MEMBER_TIMEOUT, RETRY_PAUSE};

/// In the variant that forgets members as time passes: how long they are remembered.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

impl World {
    fn in_sync_version(&self) -> RecordVersion {
        let revision = self.store.in_sync_version + self.copy_revision_offset();
        RecordVersion(StoreRevision::new(self.visible_era(), revision))
    }

    pub(crate) fn deliver_in_sync_record(&mut self, node: usize, incarnation: u64) {
        match self.options.broken {
            Some(BrokenVariant::ForgottenMembers) => self.forget_missing_members(),
            Some(BrokenVariant::MembersForgottenAtRestart) => self.store.in_sync = None,
            _ => {}
        }
        let version = self.in_sync_version();
        let record = self.store.in_sync.clone();
        let records = record.map(|record| (crate::group::service(), (version, record)));
        let event = FailoverEvent::InSyncRecords {
            era: self.visible_era(),
            records: records.into_iter().collect::<BTreeMap<_, _>>(),
        };
        self.handle_failover_event(node, incarnation, event);
    }

    pub(crate) fn write_in_sync_record_from(
        &mut self,
        node: usize,
        incarnation: u64,
        version: RecordVersion,
        record: InSyncRecord,
    ) {
        if !self.can_reach_store(node) {
            return;
        }
        let expected = version
            .0
            .revision()
            .saturating_sub(self.copy_revision_offset());
        let record = match self.options.broken {
            Some(BrokenVariant::PermanentMembers) => self.with_recorded_members(record),
            _ => record,
        };
        if self.store.write_in_sync(expected, record) {
            self.notify_all_nodes();
        }
        // A node that expected another copy of the store can make nothing of the answer.
        let is_understood = version.0.era() == self.visible_era();
        let is_lost = self.store.loses_responses && self.random.random_range(0..2) == 0;
        if let Some(record) = self.store.in_sync.clone()
            && is_understood
            && !is_lost
        {
            let service = crate::group::service();
            let event = FailoverEvent::InSyncRecord(service, self.in_sync_version(), record);
            let answer = SimulationEvent::Failover(node, incarnation, Box::new(event));
            self.queue.schedule(STORE_DELAY, answer);
        }
    }

    /// Removes members from the record that discovery has not listed for a while.
    fn forget_missing_members(&mut self) {
        let now = self.now();
        let Some(mut record) = self.store.in_sync.clone() else {
            return;
        };
        let before = record.members.len();
        record.members.retain(|id, _| {
            let unlisted_at = self.group.databases[id].leaving_since;
            self.group.listed.contains_key(id)
                || unlisted_at.is_none_or(|at| now < at + FORGOTTEN_AFTER)
        });
        if record.members.len() < before {
            let version = self.store.in_sync_version;
            self.store.write_in_sync(version, record);
        }
    }

    /// Holds all replicas for a later term, and tells the nodes of it.
    pub(crate) fn leave_holds_behind(&mut self) {
        let databases = self.group.databases.values();
        let newest = databases.map(|database| database.held.max(database.term));
        let term = Term(newest.max().unwrap_or_default().0 + 1);
        for database in self.group.databases.values_mut() {
            database.hold(term);
        }
        for node in 0..self.nodes.len() {
            let incarnation = self.nodes[node].incarnation;
            let event = Event::LeadershipRevoked(crate::group::service(), term);
            self.handle_engine_event(node, incarnation, event);
        }
    }

    /// The record with all members that the store's record contains.
    fn with_recorded_members(&self, mut record: InSyncRecord) -> InSyncRecord {
        let known = self.store.in_sync.iter().flat_map(|known| &known.members);
        record
            .members
            .extend(known.map(|(id, address)| (id.clone(), *address)));
        record
    }

    /// A node queries a member for a review, directly or through a peer.
    pub(crate) fn review_member(&mut self, node: usize, incarnation: u64, call: ReviewCall) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let (result, delay) = self.review_result(node, &call);
        if let (MemberCallResult::Answered(status), Some(until)) = (result, call.until)
            && !status.received.covers(until)
            && self.random.random_range(0..20) > 0
        {
            let again = SimulationEvent::ReviewMember(node, incarnation, call);
            return self.queue.schedule(RETRY_PAUSE, again);
        }
        let event = FailoverEvent::MemberReviewed(call, result);
        let event = SimulationEvent::Failover(node, incarnation, Box::new(event));
        self.queue.schedule(delay, event);
    }

    fn review_result(&self, node: usize, call: &ReviewCall) -> (MemberCallResult, Duration) {
        let calling_node = match &call.via {
            Via::Direct => node,
            Via::Peer(peer) => usize::try_from(peer.0).unwrap_or(0),
        };
        let caller = &self.nodes[calling_node];
        let can_call = caller.is_running && self.now() >= caller.paused_until;
        if !can_call || !self.can_reach(calling_node, &call.backend) {
            return (MemberCallResult::Silent, MEMBER_TIMEOUT);
        }
        let database = self.group.databases.get(&call.backend);
        let database = database.filter(|database| database.is_alive);
        let result = database.map_or(MemberCallResult::Refused, |database| {
            MemberCallResult::Answered(database.status())
        });
        (result, FAR_DELAY)
    }
}
