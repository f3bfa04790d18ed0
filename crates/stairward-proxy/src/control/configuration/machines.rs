//! Polls the platform's list of machines, through which nodes discover each other.

use std::sync::Arc;

use rand::RngExt as _;
use stairward_store::{Machine, PlatformClient};
use stairward_types::Duration;
use tokio::sync::watch;

use crate::cluster::Cluster;

/// Average interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the list periodically and publishes it. To keep the number of store readers small, only
/// watchers and nodes that see no other member read it. Runs until all receivers are dropped.
pub(super) async fn poll_machines(
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
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}
