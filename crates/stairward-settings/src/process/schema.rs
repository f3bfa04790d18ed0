//! The one table of options in the process file. docs/CONFIGURATION.md documents the same table; a
//! test compares the two.

use std::fmt;

use crate::schema::Unit;

/// What values of a process file option look like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessValueKind {
    /// A whole number within a range, both ends allowed.
    Integer {
        /// Least value.
        minimum: u64,
        /// Greatest value.
        maximum: u64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A name: 1 to 63 of `a-z`, `0-9`, `-`, `_`, `.`.
    Name,
    /// An IP number and a port.
    Address,
    /// A list of addresses.
    Addresses,
    /// A file; a relative one is looked for beside the process file.
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

/// What is used when an option is not in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessDefault {
    /// It must be there.
    Required,
    /// It must be there when its table is.
    RequiredInTable,
    /// A number.
    Integer(u64),
    /// A word.
    Word(&'static str),
    /// What the words say.
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
    /// The table it stands in, such as `listen` or `callers.tls`.
    pub table: &'static str,
    /// Its name in the table.
    pub name: &'static str,
    /// What its values look like.
    pub kind: ProcessValueKind,
    /// What is used when it is not there.
    pub default: ProcessDefault,
    /// What it does, in one line.
    pub documentation: &'static str,
}

impl ProcessOption {
    /// The unit of its values, told by the end of its name.
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

/// Words for the log level, the least talkative first.
pub const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
/// Words for the log format.
pub const LOG_FORMATS: &[&str] = &["text", "json"];

/// Clients accepted when the file does not say.
pub(crate) const DEFAULT_MAXIMUM_CLIENTS: u64 = 5_000;
/// Time for a planned stop when the file does not say, in milliseconds.
pub(crate) const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;
/// Greatest node id: SQL and JSON readers hold it exactly.
const MAXIMUM_NODE_ID: u64 = (1 << 53) - 1;

use ProcessDefault::{Described, Integer, Required, RequiredInTable, Word};
use ProcessValueKind::{Address, Addresses, Choice, File, Name};

/// Every option of the process file, in the order of the documentation.
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
