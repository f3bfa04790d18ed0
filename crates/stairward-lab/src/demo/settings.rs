//! The settings tree of a site whose databases listen at given addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use stairward_settings::{SettingsOption, SettingsPath, SettingsProblem, SettingsTree};
use stairward_types::BackendId;

use crate::site::{Site, SiteError};

/// Name of the user that proxies log in as at the stand-in databases.
pub const BACKEND_USER: &str = "stairward";

/// A settings tree that could not be made.
#[derive(Debug, Snafu)]
pub enum SiteSettingsError {
    /// The site's names cannot be used.
    #[snafu(display("{source}"))]
    Names {
        /// Why.
        source: SiteError,
    },
    /// A value does not fit the schema.
    #[snafu(display("{source}"))]
    Value {
        /// Which and why.
        source: SettingsProblem,
    },
    /// A database has no address.
    #[snafu(display("back end {backend} has no address"))]
    NoAddress {
        /// The back end.
        backend: BackendId,
    },
}

/// Where each database of a site listens.
pub type BackendAddresses = BTreeMap<BackendId, SocketAddr>;

/// The place of one of a site's back ends in the settings tree. Services stand below the region of
/// the site's first place.
///
/// # Errors
/// [`SiteError::Name`] when the site's names cannot be used.
pub fn backend_path(site: &Site, group: usize, place: usize) -> Result<SettingsPath, SiteError> {
    Ok(SettingsPath::Backend(
        site.places[0].region.clone(),
        site.service.clone(),
        site.group(group)?,
        site.backend(group, place)?,
    ))
}

/// Writes the settings tree of a site.
///
/// # Errors
/// [`SiteSettingsError`] when a name or value does not fit, or an address is missing.
pub fn site_settings(
    site: &Site,
    addresses: &BackendAddresses,
) -> Result<SettingsTree, SiteSettingsError> {
    let mut tree = SettingsTree::new();
    let service = SettingsPath::Service(site.places[0].region.clone(), site.service.clone());
    let databases = &site.databases;
    let options = [
        (
            SettingsOption::ConnectionLimit,
            u64::from(databases.connections),
        ),
        (SettingsOption::Slots, u64::from(databases.slots)),
    ];
    for (option, value) in options {
        tree.set(&service, option, value).context(ValueSnafu)?;
    }
    tree.set(&service, SettingsOption::BackendUser, BACKEND_USER)
        .context(ValueSnafu)?;
    for group in 0..databases.groups {
        for place in 0..site.places.len() {
            add_backend(&mut tree, site, addresses, (group, place))?;
        }
    }
    Ok(tree)
}

fn add_backend(
    tree: &mut SettingsTree,
    site: &Site,
    addresses: &BackendAddresses,
    (group, place): (usize, usize),
) -> Result<(), SiteSettingsError> {
    let path = backend_path(site, group, place).context(NamesSnafu)?;
    let backend = site.backend(group, place).context(NamesSnafu)?;
    let address = addresses
        .get(&backend)
        .ok_or(SiteSettingsError::NoAddress { backend })?;
    let place = &site.places[place];
    let options = [
        (SettingsOption::Address, address.to_string()),
        (SettingsOption::Zone, place.zone.to_string()),
        (SettingsOption::Region, place.region.to_string()),
    ];
    for (option, value) in options {
        tree.set(&path, option, value.as_str())
            .context(ValueSnafu)?;
    }
    Ok(())
}
