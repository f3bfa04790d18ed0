//! The schema of the process file: a single table of all its options. docs/CONFIGURATION.md documents
//! the same table; a test compares the two.

use std::fmt;

use crate::schema::Unit;

/// The type of a process file option's values, with its constraints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessValueKind {
    /// A whole number within an inclusive range.
    Integer {
        /// Smallest valid value.
        minimum: u64,
        /// Largest valid value.
        maximum: u64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A name: 1 to 63 of `a-z`, `0-9`, `-`, `_`, `.`.
    Name,
    /// An IP address and a port other than 0.
    Address,
    /// A list of addresses.
    Addresses,
    /// A file; a relative path is resolved against the directory of the process file.
    File,
}

impl fmt::Display for ProcessValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer { minimum, maximum } => {
                write!(formatter, "integer, {minimum} to {maximum}")
            }
            Self::Choice(choices) => write!(formatter, "one of {}", choices.join(", ")),
            Self::Name => formatter.write_str("name"),
            Self::Address => formatter.write_str("IP:port"),
            Self::Addresses => formatter.write_str("list of IP:port"),
            Self::File => formatter.write_str("file"),
        }
    }
}

/// The default of an option that is not in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessDefault {
    /// There is no default; the option is required.
    Required,
    /// The option is required if its table is present.
    RequiredInTable,
    /// A number.
    Integer(u64),
    /// A word.
    Word(&'static str),
    /// A computed or absent value, described in words.
    Described(&'static str),
}

impl fmt::Display for ProcessDefault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => formatter.write_str("required"),
            Self::RequiredInTable => formatter.write_str("required if the table is there"),
            Self::Integer(number) => number.fmt(formatter),
            Self::Word(word) | Self::Described(word) => formatter.write_str(word),
        }
    }
}

/// One option of the process file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessOption {
    /// The table that contains it, such as `listen` or `callers.tls`.
    pub table: &'static str,
    /// Its name in the table.
    pub name: &'static str,
    /// The type of its values.
    pub kind: ProcessValueKind,
    /// The default when it is not in the file.
    pub default: ProcessDefault,
    /// One-line description.
    pub documentation: &'static str,
}

impl ProcessOption {
    /// The unit of its values, derived from the suffix of its name.
    #[must_use]
    pub fn unit(&self) -> Unit {
        match self.kind {
            ProcessValueKind::Integer { .. } if self.name.ends_with("_ms") => Unit::Milliseconds,
            ProcessValueKind::Integer { .. } if self.name != "id" => Unit::Count,
            _ => Unit::None,
        }
    }
}

const fn option(
    table: &'static str,
    name: &'static str,
    kind: ProcessValueKind,
    default: ProcessDefault,
    documentation: &'static str,
) -> ProcessOption {
    ProcessOption {
        table,
        name,
        kind,
        default,
        documentation,
    }
}

const fn integer(minimum: u64, maximum: u64) -> ProcessValueKind {
    ProcessValueKind::Integer { minimum, maximum }
}

/// Log levels, the least verbose first.
pub const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
/// Log formats.
pub const LOG_FORMATS: &[&str] = &["text", "json"];

/// Default maximum number of client connections.
pub(crate) const DEFAULT_MAXIMUM_CLIENTS: u64 = 5_000;
/// Default maximum duration of a drain, in milliseconds.
pub(crate) const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;
/// Largest node id: SQL and JSON readers represent it exactly.
const MAXIMUM_NODE_ID: u64 = (1 << 53) - 1;

use ProcessDefault::{Described, Integer, Required, RequiredInTable, Word};
use ProcessValueKind::{Address, Addresses, Choice, File, Name};

/// All options of the process file, in the order of the documentation.
pub const PROCESS_OPTIONS: &[ProcessOption] = &[
    option(
        "node",
        "id",
        integer(1, MAXIMUM_NODE_ID),
        Described("derived from the peer address"),
        "Number of the node, unique in the fleet; stays the same when the process returns.",
    ),
    option(
        "node",
        "region",
        Name,
        Required,
        "The region the process runs in.",
    ),
    option(
        "node",
        "zone",
        Name,
        Required,
        "The zone the process runs in.",
    ),
    option(
        "listen",
        "client",
        Address,
        Required,
        "Where callers connect, PostgreSQL protocol.",
    ),
    option(
        "listen",
        "peer",
        Address,
        Required,
        "Where other nodes connect, TCP and UDP.",
    ),
    option(
        "listen",
        "admin",
        Address,
        Required,
        "Where operators connect, HTTP.",
    ),
    option(
        "platform",
        "addresses",
        Addresses,
        Required,
        "The platform's object API, HTTP; several are tried in turn.",
    ),
    option(
        "cluster",
        "seeds",
        Addresses,
        Described("none"),
        "Peer addresses of nodes to begin with, besides the platform's machine list.",
    ),
    option(
        "cluster",
        "key_file",
        File,
        Required,
        "Key shared by all nodes, 16 bytes or more; proves that a peer belongs to the cluster.",
    ),
    option(
        "callers",
        "users_file",
        File,
        Required,
        "Users that may log in: a TOML file with one `user = \"password\"` a line.",
    ),
    option(
        "callers",
        "maximum_clients",
        integer(1, 18_000),
        Integer(DEFAULT_MAXIMUM_CLIENTS),
        "Client connections accepted at once.",
    ),
    option(
        "callers",
        "token_key_file",
        File,
        Described("derived from the cluster key"),
        "Key that protects session tokens, the same on all nodes.",
    ),
    option(
        "callers.tls",
        "certificate_file",
        File,
        RequiredInTable,
        "Certificate chain shown to callers, PEM. Without the table callers get no TLS.",
    ),
    option(
        "callers.tls",
        "key_file",
        File,
        RequiredInTable,
        "Private key of that certificate, PEM.",
    ),
    option(
        "backends",
        "password_file",
        File,
        Required,
        "Password that proxies log in with at the back ends.",
    ),
    option(
        "backends.tls",
        "root_certificate_file",
        File,
        RequiredInTable,
        "Certificates that may sign back ends' certificates, PEM. Without the table no TLS is used.",
    ),
    option(
        "admin",
        "token_file",
        File,
        Described("none"),
        "Token that operators must show. Required unless the address is loopback.",
    ),
    option(
        "admin.tls",
        "certificate_file",
        File,
        RequiredInTable,
        "Certificate chain of the admin interface, PEM. Required unless the address is loopback.",
    ),
    option(
        "admin.tls",
        "key_file",
        File,
        RequiredInTable,
        "Private key of that certificate, PEM.",
    ),
    option(
        "log",
        "level",
        Choice(LOG_LEVELS),
        Word("info"),
        "Least grave level that is logged.",
    ),
    option(
        "log",
        "format",
        Choice(LOG_FORMATS),
        Word("text"),
        "Lines for people, or one JSON object a line.",
    ),
    option(
        "drain",
        "timeout_ms",
        integer(0, 3_600_000),
        Integer(DEFAULT_DRAIN_TIMEOUT_MS),
        "How long a planned stop may take before what is left is cut off.",
    ),
];
