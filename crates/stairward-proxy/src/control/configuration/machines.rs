//! The platform's list of machines, which introduces nodes to each other.

use std::sync::Arc;

use rand::RngExt as _;
use stairward_store::{Machine, PlatformClient};
use stairward_types::Duration;
use tokio::sync::watch;

use crate::cluster::Cluster;

/// Time between two reads of the list by a node that needs it.
const MACHINES_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the list now and then, and passes it on. Only watchers read it, and nodes that see no other
/// member, so that the store has few readers. Runs until all receivers are gone.
pub(super) async fn follow_machines(
    cluster: Cluster,
    platform: Arc<PlatformClient>,
    is_watcher: watch::Receiver<bool>,
    machines: watch::Sender<Arc<Vec<Machine>>>,
) {
    while !machines.is_closed() {
        let is_alone = cluster.members().members.len() <= 1;
        let needs_list = is_alone || *is_watcher.borrow();
        if needs_list && let Ok(list) = platform.machines().await {
            machines.send_replace(Arc::new(list));
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(MACHINES_INTERVAL.mul_f64(jitter)).await;
    }
}
