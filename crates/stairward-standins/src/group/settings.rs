//! A session's settings: `SET`, `SET LOCAL`, `RESET` and `SHOW`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::sql::SqlError;

/// Settings with a default, by name in lower case.
const DEFAULTS: &[(&str, &str)] = &[
    ("application_name", ""),
    ("bytea_output", "hex"),
    ("client_encoding", "UTF8"),
    ("client_min_messages", "notice"),
    ("datestyle", "ISO, MDY"),
    ("default_transaction_isolation", "read committed"),
    ("default_transaction_read_only", "off"),
    ("extra_float_digits", "1"),
    ("idle_in_transaction_session_timeout", "0"),
    ("idle_session_timeout", "0"),
    ("integer_datetimes", "on"),
    ("intervalstyle", "postgres"),
    ("lock_timeout", "0"),
    ("max_connections", "100"),
    ("search_path", "\"$user\", public"),
    ("server_encoding", "UTF8"),
    ("server_version", "17.0"),
    ("server_version_num", "170000"),
    ("standard_conforming_strings", "on"),
    ("statement_timeout", "0"),
    ("synchronous_commit", "on"),
    ("timezone", "UTC"),
    ("transaction_isolation", "read committed"),
    ("transaction_read_only", "off"),
];

/// Settings that the server reports to clients, with the name it reports them by.
const REPORTED: &[(&str, &str)] = &[
    ("application_name", "application_name"),
    ("client_encoding", "client_encoding"),
    ("datestyle", "DateStyle"),
    (
        "default_transaction_read_only",
        "default_transaction_read_only",
    ),
    ("integer_datetimes", "integer_datetimes"),
    ("intervalstyle", "IntervalStyle"),
    ("server_encoding", "server_encoding"),
    ("server_version", "server_version"),
    ("standard_conforming_strings", "standard_conforming_strings"),
    ("timezone", "TimeZone"),
];

/// Settings that cannot be changed.
const READ_ONLY: &[&str] = &[
    "integer_datetimes",
    "max_connections",
    "server_encoding",
    "server_version",
    "server_version_num",
];

/// Settings that are durations in milliseconds.
const DURATIONS: &[&str] = &[
    "idle_in_transaction_session_timeout",
    "idle_session_timeout",
    "lock_timeout",
    "statement_timeout",
];

/// Most settings that a session may add, and the longest value in bytes.
const MAXIMUM_SETTINGS: usize = 256;
const MAXIMUM_VALUE_BYTES: usize = 4_096;

/// The settings of one session.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    startup: BTreeMap<String, String>,
    session: BTreeMap<String, String>,
    local: BTreeMap<String, String>,
    before_transaction: Option<BTreeMap<String, String>>,
}

impl Settings {
    /// Settings given at start-up. Unknown names without a namespace are left out.
    #[must_use]
    pub fn new(given: BTreeMap<String, String>) -> Self {
        let mut settings = Self::default();
        for (name, value) in given {
            let name = name.to_lowercase();
            if check(&name, &value).is_ok() && settings.startup.len() < MAXIMUM_SETTINGS {
                settings.startup.insert(name, value);
            }
        }
        settings
    }

    /// The value in force.
    ///
    /// # Errors
    /// [`SqlError::UndefinedSetting`] when there is none of this name.
    pub fn get(&self, name: &str) -> Result<&str, SqlError> {
        let name = name.to_lowercase();
        let own = self.local.get(&name);
        let own = own.or_else(|| self.session.get(&name));
        let own = own.or_else(|| self.startup.get(&name));
        own.map(String::as_str)
            .or_else(|| default_of(&name))
            .ok_or(SqlError::UndefinedSetting { name })
    }

    /// A timeout setting; `None` when it is zero, which means no limit.
    #[must_use]
    pub fn timeout(&self, name: &str) -> Option<Duration> {
        let milliseconds = milliseconds(self.get(name).ok()?)?;
        (milliseconds > 0).then(|| Duration::from_millis(milliseconds))
    }

    /// Changes a setting, for the session or (`local`) for the transaction.
    ///
    /// # Errors
    /// [`SqlError::UndefinedSetting`], [`SqlError::ReadOnlySetting`],
    /// [`SqlError::InvalidSetting`] or [`SqlError::LimitExceeded`].
    pub fn set(&mut self, name: &str, value: &str, local: bool) -> Result<(), SqlError> {
        let name = name.to_lowercase();
        check(&name, value)?;
        let level = if local {
            &mut self.local
        } else {
            self.local.remove(&name);
            &mut self.session
        };
        if level.len() >= MAXIMUM_SETTINGS && !level.contains_key(&name) {
            return Err(SqlError::LimitExceeded { what: "settings" });
        }
        level.insert(name, value.to_owned());
        Ok(())
    }

    /// Returns a setting to its value at start-up.
    pub fn reset(&mut self, name: &str) {
        let name = name.to_lowercase();
        self.local.remove(&name);
        self.session.remove(&name);
    }

    /// Returns all settings to their values at start-up.
    pub fn reset_all(&mut self) {
        self.local.clear();
        self.session.clear();
    }

    /// Notes that a transaction begins.
    pub fn begin(&mut self) {
        self.before_transaction = Some(self.session.clone());
    }

    /// Ends the transaction: local settings end, and a rollback takes all changes back.
    pub fn end(&mut self, committed: bool) {
        self.local.clear();
        let before = self.before_transaction.take();
        if let Some(before) = before.filter(|_| !committed) {
            self.session = before;
        }
    }

    /// The settings that the server reports to clients.
    #[must_use]
    pub fn reported(&self) -> BTreeMap<String, String> {
        let values = REPORTED.iter().filter_map(|(name, reported)| {
            let value = self.get(name).ok()?;
            Some(((*reported).to_owned(), value.to_owned()))
        });
        values.collect()
    }
}

fn default_of(name: &str) -> Option<&'static str> {
    let mut defaults = DEFAULTS.iter();
    let (_, value) = defaults.find(|(known, _)| *known == name)?;
    Some(value)
}

fn check(name: &str, value: &str) -> Result<(), SqlError> {
    if default_of(name).is_none() && !name.contains('.') {
        return Err(SqlError::UndefinedSetting {
            name: name.to_owned(),
        });
    }
    if READ_ONLY.contains(&name) {
        return Err(SqlError::ReadOnlySetting {
            name: name.to_owned(),
        });
    }
    let invalid = DURATIONS.contains(&name) && milliseconds(value).is_none();
    if invalid || value.len() > MAXIMUM_VALUE_BYTES {
        return Err(SqlError::InvalidSetting {
            name: name.to_owned(),
            value: value.chars().take(64).collect(),
        });
    }
    Ok(())
}

/// Reads a duration: a number of milliseconds, or one with the unit `ms`, `s` or `min`.
fn milliseconds(value: &str) -> Option<u64> {
    let value = value.trim();
    let digits = value.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let number: u64 = digits.trim().parse().ok()?;
    match value[digits.len()..].trim() {
        "" | "ms" => Some(number),
        "s" => number.checked_mul(1_000),
        "min" => number.checked_mul(60_000),
        _ => None,
    }
}
