//! When each node tries to take the duty: a few at once, more the longer none of them has.

use std::time::Duration;

use stairward_types::ServiceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nodes that try at once, on average: the rest would only be refused, and each try is a call to the store.
const INITIAL_ATTEMPTS: u64 = 3;
/// With each pause of this length twice as many have tried.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);

/// How long a node waits before it tries to take the duty for a service, among so many nodes.
///
/// Every node knows only its own place: by hash, spread evenly over the nodes.
pub(crate) fn start_delay(node: &str, service: &ServiceName, nodes: u32) -> Duration {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let hash = xxh3_64_with_seed(node.as_bytes(), seed);
    // The upper half of the product is the hash scaled to the number of nodes.
    let place = (u128::from(hash) * u128::from(nodes)) >> u64::BITS;
    let place = u64::try_from(place).unwrap_or(u64::MAX);
    match place / INITIAL_ATTEMPTS {
        0 => Duration::ZERO,
        times => DOUBLING_INTERVAL * (times.ilog2() + 1),
    }
}
