//! Members of a synchronous service on whose logs acknowledged commits may depend.
//!
//! A commit is acknowledged once a number of replicas have received it, so it is in the logs of the
//! primary and of that many others. The set kept here contains every member that may have been one
//! of them. A promotion is safe while fewer members of the set are unaccounted for than hold each
//! commit. The set is kept in the metadata store, so that it survives the nodes.
//!
//! Members join the set when discovery lists them, and leave it only by evidence that the others
//! have everything that depended on them (see [`crate::member_review`]), never by time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use stairward_types::{BackendId, ServiceName, Time};

use crate::event::{GroupState, InSyncRecord, RecordVersion};

/// A member of the set, as this node knows it.
#[derive(Debug, Clone)]
struct InSyncMember {
    address: SocketAddr,
    /// Whether the store's record contains it.
    is_recorded: bool,
    /// Since when discovery does not list it; `None` while it does.
    missing_since: Option<Time>,
    /// Whether it was leaving as planned when discovery last listed it.
    is_leaving: bool,
    /// Whether it has left as planned, so that its log has passed to the member that now listens at
    /// its address.
    has_successor: bool,
}

/// The set of one service.
#[derive(Debug)]
struct ServiceMembers {
    /// The version of the record.
    version: RecordVersion,
    members: BTreeMap<BackendId, InSyncMember>,
}

/// The sets of all synchronous services.
#[derive(Debug, Default)]
pub(crate) struct InSyncMembers {
    /// The store era of the known records; `None` before the first listing.
    era: Option<u64>,
    services: BTreeMap<ServiceName, ServiceMembers>,
}

impl InSyncMembers {
    /// Applies the present members of a synchronous service.
    pub fn update_group(&mut self, now: Time, service: &ServiceName, group: &GroupState) {
        let known = self.service(service);
        for (id, member) in group.members.iter().filter(|(_, member)| member.is_listed) {
            let entry = known.members.entry(id.clone()).or_insert(InSyncMember {
                address: member.address,
                is_recorded: false,
                missing_since: None,
                is_leaving: false,
                has_successor: false,
            });
            entry.address = member.address;
            entry.missing_since = None;
            entry.is_leaving = member.is_leaving;
            entry.has_successor = false;
        }
        let listed = group.members.iter().filter(|(_, member)| member.is_listed);
        let listed: BTreeMap<_, _> = listed.map(|(id, member)| (member.address, id)).collect();
        for (id, member) in &mut known.members {
            let occupant = listed.get(&member.address);
            if !group.members.get(id).is_some_and(|member| member.is_listed) {
                member.missing_since.get_or_insert(now);
                member.has_successor |= member.is_leaving && occupant.is_some();
            }
        }
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceMembers {
        let era = self.era.unwrap_or_default();
        let unknown = || ServiceMembers {
            version: RecordVersion::absent_in_era(era),
            members: BTreeMap::new(),
        };
        self.services.entry(service.clone()).or_insert_with(unknown)
    }

    /// Applies a listing of all records of a store era. If it is a new era, the store may have lost
    /// records: what this node knows is recorded again.
    pub fn apply_listing(
        &mut self,
        now: Time,
        era: u64,
        records: BTreeMap<ServiceName, (RecordVersion, InSyncRecord)>,
    ) {
        let known_era = self.era.unwrap_or_default();
        if era < known_era {
            return;
        }
        self.era = Some(era);
        if era > known_era {
            for known in self.services.values_mut() {
                known.version = RecordVersion::absent_in_era(era);
                let members = known.members.values_mut();
                members.for_each(|member| member.is_recorded = false);
            }
        }
        for (service, (version, record)) in records {
            self.apply_record(now, &service, version, &record);
        }
    }

    /// Applies a service's record, unless this version or a later one is known. Members that an
    /// earlier version contained and this one lacks have been accounted for by another node.
    pub fn apply_record(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: RecordVersion,
        record: &InSyncRecord,
    ) {
        if version.0.era() != self.era.unwrap_or_default() {
            return;
        }
        let known = self.service(service);
        if version <= known.version {
            return;
        }
        known.version = version;
        known.members.retain(|id, member| {
            let is_recorded = member.is_recorded || member.has_successor;
            let is_accounted_for = is_recorded && !record.members.contains_key(id);
            member.is_recorded = false;
            !is_accounted_for || member.missing_since.is_none()
        });
        for (id, address) in &record.members {
            let member = known.members.entry(id.clone()).or_insert(InSyncMember {
                address: *address,
                is_recorded: true,
                missing_since: Some(now),
                is_leaving: false,
                has_successor: false,
            });
            member.is_recorded = true;
        }
    }

    /// The version of a service's record; `None` before the first listing.
    pub fn version(&self, service: &ServiceName) -> Option<RecordVersion> {
        let era = self.era?;
        let known = self.services.get(service).map(|known| known.version);
        Some(known.unwrap_or_else(|| RecordVersion::absent_in_era(era)))
    }

    /// The members of a service's set that no other one has succeeded.
    fn counted<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&'a BackendId, &'a InSyncMember)> {
        let members = self.services.get(service).map(|known| &known.members);
        let members = members.into_iter().flatten();
        members.filter(|(_, member)| !member.has_successor)
    }

    /// The members of a service's set.
    pub fn ids(&self, service: &ServiceName) -> BTreeSet<BackendId> {
        self.counted(service).map(|(id, _)| id.clone()).collect()
    }

    /// Where a member of the set listens.
    pub fn address(&self, service: &ServiceName, id: &BackendId) -> Option<SocketAddr> {
        let member = self.services.get(service)?.members.get(id)?;
        Some(member.address)
    }

    /// Whether the record differs from the set.
    pub fn must_be_recorded(&self, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(ServiceMembers::must_be_recorded)
    }

    /// The members of the set that discovery does not list, and since when.
    pub fn missing(&self, service: &ServiceName) -> BTreeMap<BackendId, Time> {
        let missing = self
            .counted(service)
            .filter_map(|(id, member)| Some((id.clone(), member.missing_since?)));
        missing.collect()
    }

    /// The services whose record differs from the set, or of whose members one is missing.
    pub fn unsettled(&self) -> impl Iterator<Item = &ServiceName> {
        let is_unsettled = |known: &ServiceMembers| {
            let mut members = known.members.values();
            known.must_be_recorded() || members.any(|member| member.missing_since.is_some())
        };
        let unsettled = self.services.iter();
        let unsettled = unsettled.filter(move |(_, known)| is_unsettled(known));
        unsettled.map(|(service, _)| service)
    }

    /// The record that contains the set without these members.
    pub fn record_without(
        &self,
        service: &ServiceName,
        accounted_for: &BTreeSet<BackendId>,
    ) -> InSyncRecord {
        let members = self.counted(service);
        let kept = members.filter(|(id, _)| !accounted_for.contains(*id));
        InSyncRecord {
            members: kept
                .map(|(id, member)| (id.clone(), member.address))
                .collect(),
        }
    }
}

impl ServiceMembers {
    fn must_be_recorded(&self) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.is_recorded == member.has_successor)
    }
}
