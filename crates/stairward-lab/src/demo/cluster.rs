//! A whole cluster in one process: platform, databases and proxies on loopback addresses.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_checker::{HistoryEvent, Recorder};
use stairward_proxy::cluster::Clock;
use stairward_standins::platform::{
    PlatformStandin, PlatformStandinConfig, PlatformStartError, StoreFault,
};
use stairward_store::{
    EditFailure, PlatformClient, PlatformClientSettings, ReadError, create_settings,
};

use super::databases::{DatabaseOptions, DatabasesError, SiteDatabases};
use super::proxies::{Proxies, ProxiesError};
use super::settings::{SiteSettingsError, site_settings};
use crate::site::Site;

/// Midpoint of the jitter of the one who writes the first settings; nobody competes with it.
const NO_JITTER: f64 = 0.5;

/// What to start.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Whose databases and places.
    pub site: Site,
    /// Fixes the databases' election timeouts.
    pub seed: u64,
    /// Time between a replica's receiving and applying a record.
    pub replica_lag: Duration,
    /// Where the first proxy takes callers; any free port when none is given.
    pub listen: Option<SocketAddr>,
}

/// Why a cluster could not be started.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// The platform's stand-in did not start.
    #[snafu(display("{source}"))]
    Platform {
        /// Why.
        source: PlatformStartError,
    },
    /// The databases did not start.
    #[snafu(display("{source}"))]
    Databases {
        /// Why.
        source: DatabasesError,
    },
    /// The settings tree could not be made.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: SiteSettingsError,
    },
    /// The client of the platform could not be made.
    #[snafu(display("{source}"))]
    Client {
        /// Why.
        source: ReadError,
    },
    /// The first settings were not accepted.
    #[snafu(display("{source}"))]
    FirstSettings {
        /// Why.
        source: EditFailure,
    },
    /// A proxy did not start.
    #[snafu(display("{source}"))]
    Proxies {
        /// Why.
        source: ProxiesError,
    },
}

/// A running cluster.
pub struct DemoCluster {
    /// The databases.
    pub databases: SiteDatabases,
    /// The proxies.
    pub proxies: Proxies,
    platform: PlatformStandin,
    recorder: Recorder,
    clock: Clock,
}

impl DemoCluster {
    /// Starts the platform with the site's settings, the databases and the proxies.
    ///
    /// # Errors
    /// [`ClusterError`] when a part does not start.
    pub async fn start(
        options: &ClusterOptions,
        recorder: Recorder,
        clock: Clock,
    ) -> Result<Self, ClusterError> {
        let platform = PlatformStandin::start(PlatformStandinConfig::default())
            .await
            .context(PlatformSnafu)?;
        let database_options = DatabaseOptions {
            seed: options.seed,
            replica_lag: options.replica_lag,
        };
        let databases = SiteDatabases::start(&options.site, database_options, &recorder, clock)
            .await
            .context(DatabasesSnafu)?;
        let tree = site_settings(&options.site, &databases.addresses()).context(SettingsSnafu)?;
        let client = PlatformClient::new(
            PlatformClientSettings::new(vec![platform.address()]),
            Box::new(|| NO_JITTER),
        )
        .context(ClientSnafu)?;
        let written_at = clock.now();
        let document = create_settings(&client, tree)
            .await
            .context(FirstSettingsSnafu)?;
        let revision = document.revision();
        recorder.record(written_at, HistoryEvent::SettingsAccepted { revision });
        let proxies = Proxies::start(
            &options.site,
            platform.address(),
            options.listen,
            recorder.clone(),
            clock,
        )
        .await
        .context(ProxiesSnafu)?;
        Ok(Self {
            databases,
            proxies,
            platform,
            recorder,
            clock,
        })
    }

    /// Where the platform's stand-in listens.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Takes the platform's store down.
    pub fn take_store_down(&self) {
        let event = HistoryEvent::StoreFaultBegan;
        self.recorder.record(self.clock.now(), event);
        self.platform.inject(StoreFault::Down);
    }

    /// Brings the platform's store back.
    pub fn bring_store_back(&self) {
        self.platform.inject(StoreFault::Heal);
        let event = HistoryEvent::StoreFaultEnded;
        self.recorder.record(self.clock.now(), event);
    }

    /// Ends everything at once.
    pub async fn end(self) {
        self.proxies.end();
        self.databases.shutdown().await;
        self.platform.shutdown().await;
    }
}
