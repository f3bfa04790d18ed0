//! Back ends known from discovery, by id and by service, including recently removed ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{BackendDescription, DiscoveryChange};
use stairward_types::{BackendId, ServiceName, Time, ZoneName};

/// How long a removed back end is kept: failover may still have to send it requests.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Back ends by id.
type Members = BTreeMap<BackendId, Arc<BackendDescription>>;

/// The back ends listed by discovery. The cost of a change depends on its size, not on the number of back ends.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    service_of: BTreeMap<BackendId, ServiceName>,
    by_service: BTreeMap<ServiceName, Members>,
    /// Recently removed back ends, with the time of removal.
    removed: BTreeMap<BackendId, (Arc<BackendDescription>, Time)>,
}

impl BackendRegistry {
    /// Whether no back end is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.service_of.is_empty()
    }

    /// Applies a change. Returns the affected services.
    pub fn apply(&mut self, now: Time, change: &DiscoveryChange) -> BTreeSet<ServiceName> {
        self.removed
            .retain(|_, (_, removed_at)| now.since(*removed_at) < REMOVED_RETENTION);
        let mut touched = BTreeSet::new();
        for description in &change.described {
            let service = &description.service;
            let before = self
                .service_of
                .insert(description.id.clone(), service.clone());
            if let Some(before) = before.filter(|before| before != service) {
                self.remove_member(&before, &description.id);
                touched.insert(before);
            }
            self.removed.remove(&description.id);
            self.by_service
                .entry(service.clone())
                .or_default()
                .insert(description.id.clone(), Arc::clone(description));
            touched.insert(service.clone());
        }
        for id in &change.gone {
            let Some(service) = self.service_of.remove(id) else {
                continue;
            };
            if let Some(description) = self.remove_member(&service, id) {
                self.removed.insert(id.clone(), (description, now));
            }
            touched.insert(service);
        }
        touched
    }

    fn remove_member(
        &mut self,
        service: &ServiceName,
        id: &BackendId,
    ) -> Option<Arc<BackendDescription>> {
        let members = self.by_service.get_mut(service)?;
        let description = members.remove(id);
        if members.is_empty() {
            self.by_service.remove(service);
        }
        description
    }

    /// A back end that is listed.
    #[must_use]
    pub fn get(&self, id: &BackendId) -> Option<&Arc<BackendDescription>> {
        self.by_service.get(self.service_of.get(id)?)?.get(id)
    }

    /// A back end that is listed or was recently removed.
    #[must_use]
    pub fn get_including_removed(&self, id: &BackendId) -> Option<&Arc<BackendDescription>> {
        let remembered = || self.removed.get(id).map(|(description, _)| description);
        self.get(id).or_else(remembered)
    }

    /// The listed back ends of a service.
    pub fn members(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<BackendDescription>> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// The largest number of concurrent statements that any back end of a service reports; none if no one does.
    #[must_use]
    pub fn slots(&self, service: &ServiceName) -> Option<u32> {
        self.members(service)
            .filter_map(|backend| backend.slots)
            .max()
    }

    /// Number of listed back ends in a zone.
    #[must_use]
    pub fn count_in_zone(&self, zone: &ZoneName) -> usize {
        let members = self.by_service.values().flat_map(BTreeMap::values);
        members.filter(|backend| backend.zone == *zone).count()
    }
}
