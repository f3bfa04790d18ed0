//! The sites that the lab emulates: places, latencies, databases and traffic, read from data files.

mod latency;

use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use stairward_types::{BackendId, GroupId, InvalidName, RegionName, ServiceName, ZoneName};

pub use latency::LatencyMap;

/// Tolerance when shares are added up.
const SHARE_TOLERANCE: f64 = 1e-6;

/// The names of the sites that come with the lab.
pub const SITE_NAMES: &[&str] = &["lintas", "krvny-most"];

/// One site.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// What the site is called on the command line.
    pub name: String,
    /// What the site is called in reports.
    pub title: String,
    /// The service that its groups belong to.
    pub service: ServiceName,
    /// Its network.
    pub latency: Latency,
    /// Its database groups.
    pub databases: Databases,
    /// Where proxies and databases stand; each group has one database in each place.
    pub places: Vec<Place>,
    /// How its callers behave.
    pub traffic: Traffic,
    /// The tables its statements use.
    pub tables: Tables,
    /// What its callers ask for.
    pub operations: Vec<Operation>,
}

/// One-way delays, in milliseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between two zones of a region.
    pub between_zones_ms: f64,
    /// Between two regions.
    pub between_regions_ms: f64,
    /// Between a caller and a proxy.
    pub to_clients_ms: f64,
}

/// The size of the database groups.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Databases {
    /// Number of groups.
    pub groups: usize,
    /// Databases in each group.
    pub members_per_group: usize,
    /// Statements that one database runs at once.
    pub slots: u32,
    /// Connections that one database accepts.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u64,
}

impl Databases {
    /// Time to open a connection.
    #[must_use]
    pub fn connect_time(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }
}

/// Where a proxy and one database of each group stand.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The zone.
    pub zone: ZoneName,
    /// The zone's region.
    pub region: RegionName,
}

/// How callers behave.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Sessions open at once.
    pub sessions: u32,
    /// Arrivals over all sessions.
    pub requests_per_second: f64,
    /// Share of requests before which the session reconnects to another proxy.
    pub roam_share: f64,
    /// Share of reconnections that present the session token.
    pub roam_with_token_share: f64,
    /// Share of own writes that the session's next request reads back.
    pub read_back_share: f64,
    /// Lists in the shared table of each group.
    pub shared_lists: u32,
    /// Rows of each such list.
    pub rows_per_list: u32,
    /// Rows of the own table that each session writes.
    pub rows_per_session: u32,
}

/// Names of the four tables that a site's statements use.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tables {
    /// Rows that all sessions read.
    pub shared: String,
    /// Rows that one session writes and reads.
    pub own: String,
    /// Balances that a transaction draws on.
    pub balance: String,
    /// Records that a transaction inserts.
    pub record: String,
}

/// One thing that callers ask for.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Its name in reports.
    pub name: String,
    /// The shape of its statements.
    pub kind: OperationKind,
    /// Its share of all requests.
    pub share: f64,
    /// Whether it may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

const fn default_repeatable() -> bool {
    true
}

/// The shape of an operation's statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationKind {
    /// Reads a list that all sessions share.
    ReadShared,
    /// Reads a row that only this session writes.
    ReadOwn,
    /// Writes a row of this session.
    WriteOwn,
    /// Draws on a balance and inserts a record, in one transaction.
    Transaction,
}

/// Why a site cannot be used.
#[derive(Debug, Snafu)]
pub enum SiteError {
    /// The lab has no such site.
    #[snafu(display("there is no site {name:?}; the sites are {}", SITE_NAMES.join(", ")))]
    UnknownSite {
        /// The name asked for.
        name: String,
    },
    /// The file is not valid TOML or has unknown or missing fields.
    #[snafu(display("the site file is not valid: {source}"))]
    Parse {
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// The operations' shares don't add up to one.
    #[snafu(display("the shares of the operations add up to {sum}, not to 1"))]
    Shares {
        /// What they add up to.
        sum: f64,
    },
    /// Each group needs one place for each of its members.
    #[snafu(display("{members} members of a group don't fit {places} places"))]
    Places {
        /// Members of a group.
        members: usize,
        /// Places listed.
        places: usize,
    },
    /// A name made from the site's data breaks the rules for names.
    #[snafu(display("{source}"))]
    Name {
        /// Which and why.
        source: InvalidName,
    },
}

impl Site {
    /// One of the sites that come with the lab.
    ///
    /// # Errors
    /// [`SiteError::UnknownSite`] when there is no such site.
    pub fn named(name: &str) -> Result<Self, SiteError> {
        match name {
            "lintas" => Self::parse(include_str!("../../sites/lintas.toml")),
            "krvny-most" => Self::parse(include_str!("../../sites/krvny-most.toml")),
            _ => UnknownSiteSnafu { name }.fail(),
        }
    }

    /// Reads and checks a site file.
    ///
    /// # Errors
    /// [`SiteError`] when the text is not valid or its numbers contradict each other.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        let site: Self = toml::from_str(text).map_err(Box::new).context(ParseSnafu)?;
        let sum: f64 = site
            .operations
            .iter()
            .map(|operation| operation.share)
            .sum();
        ensure!((sum - 1.0).abs() < SHARE_TOLERANCE, SharesSnafu { sum });
        let members = site.databases.members_per_group;
        let places = site.places.len();
        ensure!(members == places, PlacesSnafu { members, places });
        Ok(site)
    }

    /// The name of the group with this number, counted from zero.
    ///
    /// # Errors
    /// [`SiteError::Name`] when the service's name leaves no room for the number.
    pub fn group(&self, number: usize) -> Result<GroupId, SiteError> {
        GroupId::new(format!("{}-{}", self.service, number + 1)).context(NameSnafu)
    }

    /// The name of a group's database in a place, both counted from zero.
    ///
    /// # Errors
    /// [`SiteError::Name`] when the names leave no room for the number.
    pub fn backend(&self, group: usize, place: usize) -> Result<BackendId, SiteError> {
        let zone = &self.places[place].zone;
        BackendId::new(format!("{}-{}-{zone}", self.service, group + 1)).context(NameSnafu)
    }

    /// The one-way delays between this site's places.
    #[must_use]
    pub fn latencies(&self) -> LatencyMap<'_> {
        LatencyMap::new(self)
    }
}
