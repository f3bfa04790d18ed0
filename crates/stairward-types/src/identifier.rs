//! Names and numbers that identify things.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest name accepted, in bytes.
const MAXIMUM_NAME_BYTES: usize = 63;

/// A name that breaks the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{name:?} is not a name: use 1 to 63 of a-z, 0-9, '-', '_', '.', starting with a letter or digit"
))]
pub struct InvalidName {
    /// The text that was refused.
    pub name: String,
}

fn check_name(name: &str) -> Result<(), InvalidName> {
    let first_is_alphanumeric = name
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let all_allowed = name.bytes().all(|byte| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    });
    if first_is_alphanumeric && all_allowed && name.len() <= MAXIMUM_NAME_BYTES {
        Ok(())
    } else {
        Err(InvalidName {
            name: name.to_owned(),
        })
    }
}

// Names are shared, not copied: they are the keys of most maps, and whole maps of them are passed on with each change
// of the membership view.
macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps a name.
            ///
            /// # Errors
            /// [`InvalidName`] when it is empty, longer than 63 bytes or has other characters.
            pub fn new(name: impl Into<String>) -> Result<Self, InvalidName> {
                let name = name.into();
                check_name(&name)?;
                Ok(Self(name.into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

name_type! {
    /// A region: places between which latency is high and links may be lost together.
    RegionName
}
name_type! {
    /// A zone: machines that may fail together, within one region.
    ZoneName
}
name_type! {
    /// A service: an application's share of the databases, for example `reader-core`.
    ServiceName
}
name_type! {
    /// A database group: a primary and its replicas. It is also the database name callers ask for.
    GroupId
}
name_type! {
    /// A back end: one database server, a member of exactly one group. Unique in the fleet.
    BackendId
}

name_type! {
    /// A tenant: one customer of the services, whose sessions carry one of its keys.
    TenantName
}

macro_rules! number_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_type! {
    /// A stairward process's place in the fleet; stays the same when the process returns.
    NodeId
}
number_type! {
    /// One life of a process at its place; a later life has a higher number.
    Incarnation
}
number_type! {
    /// A version of the settings tree. It only ever grows.
    Revision
}
number_type! {
    /// One unit of work between an edge and an owner, unique on its connection: a statement batch
    /// or a whole transaction.
    StreamId
}
number_type! {
    /// Chosen by whoever edits the settings, so that a lost reply can be settled afterwards.
    ChangeId
}
