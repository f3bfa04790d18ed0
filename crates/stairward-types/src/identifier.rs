//! Names and numeric identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
const MAXIMUM_NAME_BYTES: usize = 63;

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{name:?} is not a name: use 1 to 63 of a-z, 0-9, '-', '_', '.', starting with a letter or digit"
))]
pub struct InvalidName {
    /// The refused text.
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

// Names are reference-counted, since they are the keys of most maps, and whole maps are cloned on every change of the
// membership view.
macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name.
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
    /// A region. Latency between regions is high, and all links to one may fail together.
    RegionName
}
name_type! {
    /// A zone within a region: machines that may fail together.
    ZoneName
}
name_type! {
    /// A service: an application's share of the databases, for example `reader-core`.
    ServiceName
}
name_type! {
    /// A database group: a primary and its replicas. Also the database name that callers connect to.
    GroupId
}
name_type! {
    /// A back end: one database server, a member of exactly one group. Unique in the fleet.
    BackendId
}

name_type! {
    /// A tenant: a customer of the services, whose sessions authenticate with one of its keys.
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
    /// A node of the fleet; stays the same across restarts of its process.
    NodeId
}
number_type! {
    /// One run of a node's process; a later run has a higher number.
    Incarnation
}
number_type! {
    /// A version of the settings tree, which only increases.
    Revision
}
number_type! {
    /// A unit of work between an edge and an owner, unique on its connection: a statement batch or a
    /// whole transaction.
    StreamId
}
number_type! {
    /// Identifies an edit of the settings. Chosen by the editor, so that the outcome can be determined after a lost
    /// reply.
    ChangeId
}
