//! Keeps this node's settings up to date by driving the configuration disseminator.
//!
//! [`start`] returns a [`ConfigurationHandle`], through which the rest of the node reads and edits
//! the settings, and a [`ConfigurationDriver`] to be run as one task. The driver executes the
//! disseminator's effects: it exchanges settings with peers, reads the platform's store while this
//! node is a watcher, and applies newer settings to the [`Cluster`].

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

/// Creates the handle and the driver of a node that has just started. Until the running driver has
/// confirmed that the settings are the newest, [`Cluster::settings_trusted_until`] is in the past.
#[must_use]
pub fn start(
    cluster: Cluster,
    network: PeerNetwork,
    platform: Arc<PlatformClient>,
    parameters: DisseminationParameters,
) -> (ConfigurationHandle, ConfigurationDriver) {
    cluster.set_settings_trusted_until(Time::ZERO);
    let (handle, inputs, outputs) = handle::create_handle(cluster.clone(), Arc::clone(&platform));
    let driver = ConfigurationDriver::new(cluster, network, platform, parameters, inputs, outputs);
    (handle, driver)
}
