//! Where the parts of a run stand: proxies, databases, and the first settings.

use std::collections::BTreeMap;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_settings::{
    SettingsDocument, SettingsOption, SettingsPath, SettingsProblem, SettingsTree, Value,
};
use stairward_standins::group::{GroupConfig, MemberConfig};
use stairward_types::{BackendId, GroupId, NodeId};

use super::control::ProxyIdentity;
use crate::site::{Site, SiteError};

/// Proxies in each place.
const PROXIES_PER_PLACE: usize = 2;
/// How long a statement occupies its slot.
const STATEMENT_TIME: Duration = Duration::from_micros(500);
/// Deadline of a request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Port in the made-up addresses of databases.
const DATABASE_PORT: u16 = 5432;

/// The site cannot be laid out.
#[derive(Debug, Snafu)]
pub enum LayoutError {
    /// The site's data is wrong.
    #[snafu(display("{source}"), context(false))]
    Site {
        /// What is wrong.
        source: SiteError,
    },
    /// The settings made from it are not valid.
    #[snafu(display("the settings are not valid: {}", problems.first().map(ToString::to_string).unwrap_or_default()))]
    Settings {
        /// What is wrong.
        problems: Vec<SettingsProblem>,
    },
    /// One setting is not valid.
    #[snafu(display("{source}"))]
    Setting {
        /// What is wrong.
        source: SettingsProblem,
    },
}

/// One database.
#[derive(Debug, Clone)]
pub(super) struct DatabasePlace {
    /// Its name.
    pub backend: BackendId,
    /// Its group, by number.
    pub group: usize,
    /// Its place, by number.
    pub place: usize,
    /// Where its settings stand.
    pub path: SettingsPath,
}

/// The layout.
#[derive(Debug)]
pub(super) struct Layout {
    /// The proxies with their places, by number.
    pub proxies: Vec<(ProxyIdentity, usize)>,
    /// The groups, by number.
    pub groups: Vec<GroupId>,
    /// The databases, by name.
    pub databases: BTreeMap<BackendId, DatabasePlace>,
}

impl Layout {
    /// Lays a site out.
    pub(super) fn new(site: &Site) -> Result<Self, LayoutError> {
        let mut layout = Self {
            proxies: proxies(site),
            groups: Vec::new(),
            databases: BTreeMap::new(),
        };
        for group in 0..site.databases.groups {
            layout.groups.push(site.group(group)?);
            for place in 0..site.places.len() {
                let database = database(site, group, place)?;
                layout.databases.insert(database.backend.clone(), database);
            }
        }
        Ok(layout)
    }

    /// The databases of a group, the first primary first.
    pub(super) fn members(&self, group: usize) -> Vec<&DatabasePlace> {
        let mut members: Vec<_> = self
            .databases
            .values()
            .filter(|database| database.group == group)
            .collect();
        // Each group starts with its primary in another place.
        members.sort_by_key(|database| {
            (database.place + self.groups.len() - group) % members_modulus(self)
        });
        members
    }

    /// The first settings.
    pub(super) fn document(&self, site: &Site) -> Result<SettingsDocument, LayoutError> {
        let mut tree = SettingsTree::new();
        let root = [
            (SettingsOption::RequestTimeout, REQUEST_TIMEOUT_MS),
            (
                SettingsOption::ConnectionLimit,
                u64::from(site.databases.connections),
            ),
            (SettingsOption::Slots, u64::from(site.databases.slots)),
        ];
        for (option, value) in root {
            tree.set(&SettingsPath::Root, option, value)
                .context(SettingSnafu)?;
        }
        for (number, database) in self.databases.values().enumerate() {
            let place = &site.places[database.place];
            let address = format!("10.1.0.{}:{DATABASE_PORT}", number + 1);
            let options = [
                (SettingsOption::Address, address),
                (SettingsOption::Region, place.region.to_string()),
                (SettingsOption::Zone, place.zone.to_string()),
            ];
            for (option, value) in options {
                tree.set(&database.path, option, Value::Text(value))
                    .context(SettingSnafu)?;
            }
        }
        SettingsDocument::initial(tree).map_err(|problems| LayoutError::Settings { problems })
    }

    /// The configuration of a group's stand-in.
    pub(super) fn group_config(&self, site: &Site, group: usize, lag: Duration) -> GroupConfig {
        let places = self.members(group);
        let members = places.iter().map(|database| MemberConfig {
            connection_limit: site.databases.connections as usize,
            slots: site.databases.slots as usize,
            connection_opening_time: site.databases.connect_time(),
            statement_time: STATEMENT_TIME,
            replication_lag: lag,
            ..MemberConfig::new(database.backend.clone())
        });
        let mut config = GroupConfig::new(self.groups[group].as_str(), members.collect());
        let latencies = site.latencies();
        for left in &places {
            for right in &places {
                let link = (left.backend.clone(), right.backend.clone());
                let latency = latencies.between(left.place, right.place);
                config.links.insert(link, latency);
            }
        }
        config
    }
}

fn members_modulus(layout: &Layout) -> usize {
    let places = layout.databases.values().map(|database| database.place + 1);
    places.max().unwrap_or(1)
}

fn proxies(site: &Site) -> Vec<(ProxyIdentity, usize)> {
    let mut proxies = Vec::new();
    for (place, site_place) in site.places.iter().enumerate() {
        for _ in 0..PROXIES_PER_PLACE {
            let identity = ProxyIdentity {
                node: NodeId(proxies.len() as u64 + 1),
                region: site_place.region.clone(),
                zone: site_place.zone.clone(),
            };
            proxies.push((identity, place));
        }
    }
    proxies
}

fn database(site: &Site, group: usize, place: usize) -> Result<DatabasePlace, SiteError> {
    let backend = site.backend(group, place)?;
    let path = SettingsPath::Backend(
        site.places[0].region.clone(),
        site.service.clone(),
        site.group(group)?,
        backend.clone(),
    );
    Ok(DatabasePlace {
        backend,
        group,
        place,
        path,
    })
}
