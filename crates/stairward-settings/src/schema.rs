//! The schema of the settings tree: a single table of all its options. docs/CONFIGURATION.md documents
//! the same table; a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::path::Level;
use crate::problem::ProblemKind;
use crate::value::Value;
use crate::value_kind::ValueKind;

/// The unit of an option's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// The value is not a quantity.
    None,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Bytes.
    Bytes,
    /// Thousandths, as a ratio.
    Permille,
    /// A number of items.
    Count,
}

impl fmt::Display for Unit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::None => "-",
            Self::Milliseconds => "ms",
            Self::Seconds => "s",
            Self::Bytes => "bytes",
            Self::Permille => "permille",
            Self::Count => "count",
        })
    }
}

/// The value of an option that is not set at any level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DefaultValue {
    /// A number.
    Integer(u64),
    /// A text.
    Text(&'static str),
    /// The region in the place's path.
    RegionOfPath,
    /// There is no default; the option must be set.
    Required,
}

impl fmt::Display for DefaultValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(number) => number.fmt(formatter),
            Self::Text(text) => formatter.write_str(text),
            Self::RegionOfPath => formatter.write_str("the region in the path"),
            Self::Required => formatter.write_str("required"),
        }
    }
}

/// The schema of one option of the settings tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OptionSchema {
    /// The name in files and on the wire.
    pub name: &'static str,
    /// The type of its values.
    pub kind: ValueKind,
    /// The unit of its values.
    pub unit: Unit,
    /// The value when no level sets the option.
    pub default: DefaultValue,
    /// The most general level at which it may be set.
    pub highest: Level,
    /// The most specific level at which it may be set.
    pub lowest: Level,
    /// One-line description.
    pub documentation: &'static str,
}

impl OptionSchema {
    /// Whether the option may be set at this level.
    #[must_use]
    pub fn is_allowed_at(&self, level: Level) -> bool {
        (self.highest..=self.lowest).contains(&level)
    }
}

/// A name that is not the name of any option.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no option is called {name:?}"))]
pub struct UnknownOption {
    /// The rejected name.
    pub name: String,
}

macro_rules! settings_options {
    ($(
        #[doc = $documentation:literal]
        $option:ident = $name:literal, $kind:expr, $unit:ident, $default:expr, $highest:ident to $lowest:ident;
    )+) => {
        /// An option of the settings tree.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub enum SettingsOption {
            $(#[doc = $documentation] $option,)+
        }

        impl SettingsOption {
            /// All options, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$option,)+];

            /// The schema of the option.
            #[must_use]
            pub const fn schema(self) -> OptionSchema {
                match self {
                    $(Self::$option => OptionSchema {
                        name: $name,
                        kind: $kind,
                        unit: Unit::$unit,
                        default: $default,
                        highest: Level::$highest,
                        lowest: Level::$lowest,
                        documentation: $documentation.trim_ascii_start(),
                    },)+
                }
            }
        }
    };
}

const fn integer(minimum: u64, maximum: u64) -> ValueKind {
    ValueKind::Integer { minimum, maximum }
}

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;
/// 30 days, in seconds.
const MONTH_S: u64 = 2_592_000;
/// One mebibyte, in bytes.
const MEBIBYTE: u64 = 1 << 20;

/// Values of `fence`.
pub(crate) const FENCE_TERM: &str = "term";
pub(crate) const FENCE_POSITION: &str = "position";
/// Values of `admin_state`.
pub(crate) const STATE_JOINING: &str = "joining";
pub(crate) const STATE_ACTIVE: &str = "active";
pub(crate) const STATE_LEAVING: &str = "leaving";

settings_options! {
    /// Share of a contended back end, relative to other services.
    Weight = "weight", integer(1, 1_000), Count, DefaultValue::Integer(1), Root to Service;
    /// User that proxies log in as at the back ends.
    BackendUser = "backend_user", ValueKind::Text, None, DefaultValue::Text("stairward"), Root to Group;
    /// Deadline of a request that names none.
    RequestTimeout = "request_timeout_ms", integer(1, HOUR_MS), Milliseconds, DefaultValue::Integer(10_000), Root to Group;
    /// How long a replica may be waited for before the request goes elsewhere.
    FreshnessWait = "freshness_wait_ms", integer(0, 60_000), Milliseconds, DefaultValue::Integer(20), Root to Group;
    /// How stale a read may be beyond the session's own floor; 0 sets no bound besides the floor.
    MaximumStaleness = "maximum_staleness_ms", integer(0, HOUR_MS), Milliseconds, DefaultValue::Integer(0), Root to Group;
    /// What a majority must prove before a write is acknowledged: no later term, or also the position.
    Fence = "fence", ValueKind::Choice(&[FENCE_TERM, FENCE_POSITION]), None, DefaultValue::Text(FENCE_POSITION), Root to Group;
    /// How long that proof may take before the outcome is called unknown.
    FenceTimeout = "fence_timeout_ms", integer(1, 60_000), Milliseconds, DefaultValue::Integer(2_000), Root to Group;
    /// Requests that may wait, per edge and group, for a new primary; 0 holds none.
    HoldQueueRequests = "hold_queue_requests", integer(0, 100_000), Count, DefaultValue::Integer(1_000), Root to Group;
    /// Bytes of requests that may wait, per edge and group, for a new primary.
    HoldQueueBytes = "hold_queue_bytes", integer(0, 1_024 * MEBIBYTE), Bytes, DefaultValue::Integer(16 * MEBIBYTE), Root to Group;
    /// How long a request may wait for a new primary.
    HoldQueueTime = "hold_queue_time_ms", integer(0, HOUR_MS), Milliseconds, DefaultValue::Integer(5_000), Root to Group;
    /// Requests that may wait at one owner for one back end.
    AdmissionQueueRequests = "admission_queue_requests", integer(0, 100_000), Count, DefaultValue::Integer(200), Root to Group;
    /// Retries allowed, as a share of recent successes; 0 allows none.
    RetryBudget = "retry_budget_permille", integer(0, 1_000), Permille, DefaultValue::Integer(100), Root to Group;
    /// How long transactions on a leaving back end may go on.
    LeaveTimeout = "leave_timeout_ms", integer(0, HOUR_MS), Milliseconds, DefaultValue::Integer(30_000), Root to Group;
    /// Largest message accepted from a caller.
    MaximumMessageBytes = "maximum_message_bytes", integer(1_024, 256 * MEBIBYTE), Bytes, DefaultValue::Integer(4 * MEBIBYTE), Root to Group;
    /// How long ledger rows of request keys are kept.
    RequestKeyRetention = "request_key_retention_s", integer(60, MONTH_S), Seconds, DefaultValue::Integer(86_400), Root to Group;
    /// Connections to one back end that all proxies together may hold.
    ConnectionLimit = "connection_limit", integer(1, 10_000), Count, DefaultValue::Integer(40), Root to Backend;
    /// Statements that may run at one back end at once.
    Slots = "slots", integer(1, 10_000), Count, DefaultValue::Integer(5), Root to Backend;
    /// Connections to one back end being opened at once.
    OpeningLimit = "opening_limit", integer(1, 1_000), Count, DefaultValue::Integer(4), Root to Backend;
    /// Where the back end listens, by IP number.
    Address = "address", ValueKind::Address, None, DefaultValue::Required, Backend to Backend;
    /// The region the back end stands in.
    Region = "region", ValueKind::Name, None, DefaultValue::RegionOfPath, Backend to Backend;
    /// The zone the back end stands in.
    Zone = "zone", ValueKind::Name, None, DefaultValue::Required, Backend to Backend;
    /// Whether the back end is warmed up, in use, or finishing what it has begun.
    AdminState = "admin_state", ValueKind::Choice(&[STATE_JOINING, STATE_ACTIVE, STATE_LEAVING]), None, DefaultValue::Text(STATE_ACTIVE), Backend to Backend;
}

impl SettingsOption {
    /// The name in files and on the wire.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.schema().name
    }

    /// Looks up an option by its name.
    ///
    /// # Errors
    /// [`UnknownOption`] when no option has this name.
    pub fn from_name(name: &str) -> Result<Self, UnknownOption> {
        Self::ALL
            .iter()
            .copied()
            .find(|option| option.name() == name)
            .ok_or_else(|| UnknownOption {
                name: name.to_owned(),
            })
    }

    /// Checks that the option may be set to this value at this level.
    ///
    /// # Errors
    /// The [`ProblemKind`] that describes the violation.
    pub fn check(self, level: Level, value: &Value) -> Result<(), ProblemKind> {
        let schema = self.schema();
        if !schema.is_allowed_at(level) {
            return Err(ProblemKind::NotAllowedHere {
                level,
                highest: schema.highest,
                lowest: schema.lowest,
            });
        }
        schema.kind.check(value)
    }
}

impl fmt::Display for SettingsOption {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl TryFrom<String> for SettingsOption {
    type Error = UnknownOption;
    fn try_from(name: String) -> Result<Self, Self::Error> {
        Self::from_name(&name)
    }
}

impl From<SettingsOption> for String {
    fn from(option: SettingsOption) -> Self {
        option.name().to_owned()
    }
}
