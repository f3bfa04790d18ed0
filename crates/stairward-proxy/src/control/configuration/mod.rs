//! Keeps this node's settings the newest: drives the configuration spreader.
//!
//! [`start`] gives a [`ConfigurationHandle`], through which the rest of the node asks and edits, and
//! a [`ConfigurationDriver`] to be run as one task. The driver carries out the spreader's decisions:
//! it exchanges with peers, reads the platform's store while this node is a watcher, and puts newer
//! settings in force through the [`Cluster`].

mod driver;
mod handle;
mod held;
mod machines;
mod metrics;
mod store;

use std::sync::Arc;

use stairward_membership::configuration::DisseminationParameters;
use stairward_store::PlatformClient;
use stairward_types::Time;

pub use driver::ConfigurationDriver;
pub use handle::{ConfigurationHandle, ConfigurationStatus};

use crate::cluster::Cluster;
use crate::peer::PeerNetwork;

/// Prepares the driver of a node that has just started. Until it has run and found proof that its
/// settings are the newest, [`Cluster::settings_trusted_until`] lies in the past.
#[must_use]
pub fn start(
    cluster: Cluster,
    network: PeerNetwork,
    platform: Arc<PlatformClient>,
    parameters: DisseminationParameters,
) -> (ConfigurationHandle, ConfigurationDriver) {
    cluster.set_settings_trusted_until(Time::ZERO);
    let (handle, inputs, outputs) = handle::connect(cluster.clone(), Arc::clone(&platform));
    let driver = ConfigurationDriver::new(cluster, network, platform, parameters, inputs, outputs);
    (handle, driver)
}
