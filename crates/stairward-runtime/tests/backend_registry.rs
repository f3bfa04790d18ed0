//! After any sequence of discovery changes the registry equals the last list, and applying the same list again is an
//! empty change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{BackendDescription, DiscoveryChange};
use stairward_runtime::backend_registry::BackendRegistry;
use stairward_testing::check;
use stairward_types::{BackendId, BackendRole, ServiceName, StoreRevision, Time, ZoneName};

fn service(number: u8) -> ServiceName {
    ServiceName::new(format!("core-{}", number % 3)).unwrap()
}

fn describe(number: u8, shape: u8) -> BackendDescription {
    BackendDescription {
        id: BackendId::new(format!("db-{number}")).unwrap(),
        // Some back ends move to another service.
        service: service(if shape.is_multiple_of(8) {
            shape / 8
        } else {
            number
        }),
        address: SocketAddr::from(([10, 0, 0, number], 5_432)),
        zone: ZoneName::new(if shape & 2 == 0 { "a" } else { "b" }).unwrap(),
        is_leaving: shape & 1 != 0,
        role: BackendRole::Replica,
        incarnation: None,
        cold_left: Duration::ZERO,
        slots: (shape & 4 != 0).then_some(u32::from(shape)),
        revision: StoreRevision::new(0, u64::from(shape)),
    }
}

/// A list of back ends, one per step; a later step with the same number replaces the earlier one.
fn list(steps: &[(u8, u8)]) -> BTreeMap<BackendId, BackendDescription> {
    let described = steps
        .iter()
        .map(|(number, shape)| describe(number % 8, *shape));
    described
        .map(|description| (description.id.clone(), description))
        .collect()
}

/// The change from the registry's back ends to a list.
fn difference(discovered: &BackendRegistry, list: Vec<BackendDescription>) -> DiscoveryChange {
    let ids = (0..8).map(|number| BackendId::new(format!("db-{number}")).unwrap());
    let is_gone = |id: &BackendId| {
        discovered.get(id).is_some() && !list.iter().any(|backend| backend.id == *id)
    };
    let gone = ids.filter(is_gone).collect();
    let is_news = |backend: &BackendDescription| {
        let known = discovered.get(&backend.id);
        known.is_none_or(|known| **known != *backend)
    };
    let described = list.into_iter().filter(is_news).map(Arc::new).collect();
    DiscoveryChange { described, gone }
}

#[test]
fn after_any_changes_the_registry_equals_the_last_list() {
    check!()
        .with_type::<Vec<Vec<(u8, u8)>>>()
        .for_each(|lists| {
            let mut discovered = BackendRegistry::default();
            for steps in lists {
                let list = list(steps);
                let change = difference(&discovered, list.values().cloned().collect());
                discovered.apply(Time::ZERO, &change);
                assert_eq!(discovered.is_empty(), list.is_empty());
                for number in 0..8 {
                    let id = BackendId::new(format!("db-{number}")).unwrap();
                    assert_eq!(discovered.get(&id).map(|known| &**known), list.get(&id));
                }
                for number in 0..3 {
                    let service = service(number);
                    let of_service = list.values().filter(|backend| backend.service == service);
                    let expected: Vec<_> = of_service.collect();
                    let members: Vec<_> = discovered.members(&service).map(|b| &**b).collect();
                    assert_eq!(members, expected);
                    let slots = expected.iter().filter_map(|backend| backend.slots).max();
                    assert_eq!(discovered.slots(&service), slots);
                }
                let again = difference(&discovered, list.into_values().collect());
                assert!(again.described.is_empty() && again.gone.is_empty());
            }
        });
}

#[test]
fn a_removed_back_end_is_kept_for_a_minute() {
    let mut discovered = BackendRegistry::default();
    let both = vec![describe(1, 1), describe(2, 1)];
    let change = difference(&discovered, both);
    discovered.apply(Time::ZERO, &change);
    let id = BackendId::new("db-1").unwrap();
    let change = difference(&discovered, vec![describe(2, 1)]);
    assert_eq!(change.gone, std::slice::from_ref(&id));
    let touched = discovered.apply(Time::from_millis(1_000), &change);
    assert!(touched.contains(&service(1)) && !touched.contains(&service(2)));
    assert!(discovered.get(&id).is_none());
    assert!(discovered.get_including_removed(&id).is_some());
    let change = difference(&discovered, vec![describe(2, 3)]);
    discovered.apply(Time::from_millis(62_000), &change);
    assert!(discovered.get_including_removed(&id).is_none());
}
