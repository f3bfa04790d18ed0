//! Spreads the claims of the nodes over time: a few claim at once, and more the longer no claim
//! succeeds.

use std::time::Duration;

use stairward_types::ServiceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Average number of nodes that claim at once. Only one claim succeeds, and each costs a call to
/// the store.
const INITIAL_ATTEMPTS: u64 = 3;
/// With each interval of this length, the number of nodes that have claimed doubles.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);

/// How long a node waits before it claims a service, among this number of nodes.
///
/// Each node computes its own place from a hash; the places are spread evenly over the nodes.
pub(crate) fn start_delay(node: &str, service: &ServiceName, nodes: u32) -> Duration {
    match place(node, service, nodes) / INITIAL_ATTEMPTS {
        0 => Duration::ZERO,
        times => DOUBLING_INTERVAL * (times.ilog2() + 1),
    }
}

/// How long a node waits for its turn if one of this number of nodes starts in each interval.
pub(crate) fn turn_delay(
    node: &str,
    service: &ServiceName,
    nodes: u32,
    interval: Duration,
) -> Duration {
    let place = place(node, service, nodes);
    interval * u32::try_from(place).unwrap_or(u32::MAX)
}

/// The place of a node among this number of nodes, from 0.
fn place(node: &str, service: &ServiceName, nodes: u32) -> u64 {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let hash = xxh3_64_with_seed(node.as_bytes(), seed);
    // The upper half of the product is the hash scaled to the number of nodes.
    let place = (u128::from(hash) * u128::from(nodes)) >> u64::BITS;
    u64::try_from(place).unwrap_or(u64::MAX)
}
