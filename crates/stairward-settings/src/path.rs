//! Paths that identify places in the settings tree, and their text form.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use stairward_types::{BackendId, GroupId, InvalidName, RegionName, ServiceName};

/// A level of the settings tree, from the most general to the most specific.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// The whole fleet.
    Root,
    /// One region.
    Region,
    /// One service.
    Service,
    /// One database group.
    Group,
    /// One back end of a group.
    Backend,
}

impl fmt::Display for Level {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Root => "root",
            Self::Region => "region",
            Self::Service => "service",
            Self::Group => "group",
            Self::Backend => "backend",
        })
    }
}

/// The path of a place in the settings tree. A place is a scope at which options can be set.
///
/// Its text form is `root`, or pairs of level and name joined by `/`, for example
/// `region/south/service/reader-core/group/reader-core-1/backend/reader-core-1-a`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum SettingsPath {
    /// The whole fleet.
    Root,
    /// A region.
    Region(RegionName),
    /// A service below a region.
    Service(RegionName, ServiceName),
    /// A group below a service.
    Group(RegionName, ServiceName, GroupId),
    /// A back end below a group.
    Backend(RegionName, ServiceName, GroupId, BackendId),
}

/// Why a text is not a valid [`SettingsPath`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum InvalidPath {
    /// The text is neither `root` nor pairs of level and name in the order of the tree.
    #[snafu(display(
        "{text:?} is not a path: write root, or region/NAME/service/NAME/group/NAME/backend/NAME up to the level meant"
    ))]
    InvalidStructure {
        /// The rejected text.
        text: String,
    },
    /// A name in the path is not valid.
    #[snafu(display("{text:?} is not a path: {source}"))]
    InvalidName {
        /// The rejected name.
        text: String,
        /// The violated rule.
        source: InvalidName,
    },
}

impl SettingsPath {
    /// The level of the place.
    #[must_use]
    pub const fn level(&self) -> Level {
        match self {
            Self::Root => Level::Root,
            Self::Region(..) => Level::Region,
            Self::Service(..) => Level::Service,
            Self::Group(..) => Level::Group,
            Self::Backend(..) => Level::Backend,
        }
    }

    /// The place one level up; `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        match self {
            Self::Root => None,
            Self::Region(_) => Some(Self::Root),
            Self::Service(region, _) => Some(Self::Region(region.clone())),
            Self::Group(region, service, _) => Some(Self::Service(region.clone(), service.clone())),
            Self::Backend(region, service, group, _) => {
                Some(Self::Group(region.clone(), service.clone(), group.clone()))
            }
        }
    }

    /// This place and its ancestors, the most specific first.
    pub fn self_and_ancestors(&self) -> impl Iterator<Item = Self> {
        std::iter::successors(Some(self.clone()), Self::parent)
    }

    /// Whether `self` is `other` or one of its descendants.
    #[must_use]
    pub fn is_within(&self, other: &Self) -> bool {
        self.self_and_ancestors().any(|place| place == *other)
    }

    /// The place with this name one level down.
    ///
    /// # Errors
    /// [`InvalidPath`] when the name is not valid or `self` is a back end, which has no children.
    pub fn child(&self, name: &str) -> Result<Self, InvalidPath> {
        let context = || InvalidNameSnafu { text: name };
        match self.clone() {
            Self::Root => RegionName::new(name)
                .map(Self::Region)
                .with_context(|_| context()),
            Self::Region(region) => ServiceName::new(name)
                .map(|service| Self::Service(region, service))
                .with_context(|_| context()),
            Self::Service(region, service) => GroupId::new(name)
                .map(|group| Self::Group(region, service, group))
                .with_context(|_| context()),
            Self::Group(region, service, group) => BackendId::new(name)
                .map(|backend| Self::Backend(region, service, group, backend))
                .with_context(|_| context()),
            Self::Backend(..) => InvalidStructureSnafu { text: name }.fail(),
        }
    }

    /// The level below this one; `None` below a back end.
    #[must_use]
    pub const fn child_level(&self) -> Option<Level> {
        match self {
            Self::Root => Some(Level::Region),
            Self::Region(..) => Some(Level::Service),
            Self::Service(..) => Some(Level::Group),
            Self::Group(..) => Some(Level::Backend),
            Self::Backend(..) => None,
        }
    }

    /// The region in the path; `None` for the root.
    #[must_use]
    pub const fn region(&self) -> Option<&RegionName> {
        match self {
            Self::Root => None,
            Self::Region(region)
            | Self::Service(region, ..)
            | Self::Group(region, ..)
            | Self::Backend(region, ..) => Some(region),
        }
    }
}

impl fmt::Display for SettingsPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => formatter.write_str("root"),
            Self::Region(region) => write!(formatter, "region/{region}"),
            Self::Service(region, service) => {
                write!(formatter, "region/{region}/service/{service}")
            }
            Self::Group(region, service, group) => {
                write!(formatter, "region/{region}/service/{service}/group/{group}")
            }
            Self::Backend(region, service, group, backend) => write!(
                formatter,
                "region/{region}/service/{service}/group/{group}/backend/{backend}"
            ),
        }
    }
}

impl FromStr for SettingsPath {
    type Err = InvalidPath;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "root" {
            return Ok(Self::Root);
        }
        let invalid_structure = || InvalidStructureSnafu { text }.build();
        let mut path = Self::Root;
        let mut parts = text.split('/');
        while let Some(level_name) = parts.next() {
            let level = path.child_level().ok_or_else(invalid_structure)?;
            if level_name != level.to_string() {
                return Err(invalid_structure());
            }
            let name = parts.next().ok_or_else(invalid_structure)?;
            path = path.child(name)?;
        }
        Ok(path)
    }
}

impl TryFrom<String> for SettingsPath {
    type Error = InvalidPath;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SettingsPath> for String {
    fn from(path: SettingsPath) -> Self {
        path.to_string()
    }
}
