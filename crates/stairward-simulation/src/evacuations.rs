//! Evacuated zones: the store's state, what nodes see of it, and the check that no work arrives in the zone.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{BackendCommand, Event};
use stairward_types::{BackendId, StoreRevision, Time, ZoneName};

use crate::checker::Invariant;
use crate::database::is_client_statement;
use crate::options::BrokenVariant;
use crate::store_view::Evacuation;
use crate::world::{MIN_CONNECTED_TIME, World};

/// Maximum time from an evacuation's acknowledgement to the last work that arrives in the zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Number of zones, with one database each.
const ZONES: u32 = 3;

impl World {
    /// The operator evacuates a random zone. Returns the zone, or `None` if it is evacuated already.
    pub(crate) fn evacuate(&mut self) -> Option<ZoneName> {
        let number = self.random.random_range(1..=ZONES);
        let zone = ZoneName::new(format!("zone-{number}")).expect("valid name");
        if self.store.evacuated.contains_key(&zone) {
            return None;
        }
        let now = self.now();
        self.store.evacuated.insert(zone.clone(), now);
        self.store.operator_evacuations.insert(zone.clone());
        self.notify_all_nodes();
        Some(zone)
    }

    /// The operator ends an evacuation.
    pub(crate) fn end_evacuation(&mut self, zone: &ZoneName) {
        self.store.evacuated.remove(zone);
        self.store.operator_evacuations.remove(zone);
        self.notify_all_nodes();
    }

    /// Delivers the evacuated zones to a node. The forgotten-evacuation variant delivers none after a
    /// restart.
    pub(crate) fn deliver_evacuations(
        &mut self,
        node: usize,
        incarnation: u64,
        since: Option<Time>,
    ) {
        let has_lost_evacuations = self.options.broken == Some(BrokenVariant::ForgottenEvacuation)
            && self.nodes[node].connected_since > Time::ZERO;
        let (now, era) = (self.now(), self.store.era);
        let listed: BTreeMap<String, Evacuation> = if has_lost_evacuations {
            BTreeMap::new()
        } else {
            // Later evacuations have higher revisions.
            let evacuated = self.store.evacuated.iter();
            let object = |at: &Time| Evacuation(StoreRevision::new(era, at.0));
            evacuated
                .map(|(zone, at)| (zone.to_string(), object(at)))
                .collect()
        };
        let seen = self.nodes[node].evacuations.apply_listing(now, era, listed);
        let zones = seen.into_keys().filter_map(|zone| ZoneName::new(zone).ok());
        let zones: std::collections::BTreeSet<_> = zones.collect();
        self.nodes[node].evacuated.clone_from(&zones);
        self.handle_engine_event(
            node,
            incarnation,
            Event::EvacuatedZonesChanged { zones, since },
        );
    }

    /// Checks that no work of a connected node reaches a database after its zone's evacuation had to take
    /// effect.
    pub(crate) fn check_evacuated(
        &mut self,
        node: usize,
        backend: &BackendId,
        command: &BackendCommand,
    ) {
        let zone = self.group.listed.get(backend).map(|entry| &entry.zone);
        // An evacuation that the operator has ended does not apply, also while a restored store shows it again.
        let zone = zone.filter(|zone| self.store.operator_evacuations.contains(*zone));
        let since = zone
            .and_then(|zone| self.store.evacuated.get(zone))
            .copied();
        let now = self.now();
        let is_connected = now >= self.nodes[node].connected_since + MIN_CONNECTED_TIME;
        let Some(since) = since.filter(|_| is_client_statement(command) && is_connected) else {
            return;
        };
        self.checker.count(Invariant::ZoneEvacuation);
        // The limit counts from when the store accepted the evacuation, which it only does while it is
        // available.
        let since = self.store.accepted_at(since);
        if now > since + EVACUATION_LIMIT {
            let text =
                format!("{backend}, evacuated at {since:?}, received new work of node {node}");
            self.checker
                .record_violation(now, Invariant::ZoneEvacuation, text);
        }
    }
}
