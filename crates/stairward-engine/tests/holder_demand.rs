//! Number of connection holders: no more than back ends can use, and together never more connections than a
//! back end takes, even if nodes have different views of the fleet.

use stairward_engine::{HolderSizing, connections_per_holder};
use stairward_testing::check;

const fn demand(connections: u32, slots: u32, zones: u32) -> HolderSizing {
    HolderSizing {
        connections,
        slots: Some(slots),
        zones,
    }
}

#[test]
fn a_small_connection_limit_bounds_the_holders() {
    assert_eq!(demand(36, 3, 3).holder_count(), 11);
    assert_eq!(demand(50, 5, 3).holder_count(), 16);
    assert_eq!(demand(2, 3, 3).holder_count(), 1);
    assert_eq!(demand(0, 3, 3).holder_count(), 1);
}

#[test]
fn a_large_connection_limit_adds_no_holders_beyond_the_slots() {
    let holders = demand(428, 3, 6).holder_count();
    assert_eq!(holders, demand(1_000_000, 3, 6).holder_count());
    assert!(holders < 20, "{holders}");
}

#[test]
fn each_zone_has_a_second_holder() {
    assert!(demand(428, 1, 14).holder_count() >= 28);
}

#[test]
fn unknown_slots_leave_the_connection_limit_in_force() {
    let unknown = HolderSizing {
        slots: None,
        ..demand(428, 1, 6)
    };
    assert_eq!(unknown.holder_count(), 142);
}

/// Connections reserved per back end.
const RESERVED: u32 = 1;

#[test]
fn holders_of_two_views_stay_within_the_connection_limit() {
    check!()
        .with_type::<(u16, u8, u8, u16)>()
        .for_each(|(connections, slots, zones, nodes)| {
            let demand = demand(
                u32::from(*connections),
                u32::from(*slots).max(1),
                u32::from(*zones),
            );
            let available = demand.connections.saturating_sub(RESERVED);
            // If there are fewer nodes than holders, all of them hold connections.
            let holders = demand.holder_count().min(u32::from(*nodes).max(1));
            let held = holders * connections_per_holder(available, holders);
            assert!(held <= available.max(holders), "{demand:?}: {held}");
            let allowed = HolderSizing {
                slots: None,
                ..demand
            };
            if 2 * holders <= allowed.holder_count() {
                assert!(2 * held <= available, "{demand:?}: twice {held}");
            }
        });
}
