//! The `stairward.*` hints with which callers describe their requests.

use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};

/// Prefix of every hint's name.
pub(crate) const PREFIX: &str = "stairward.";
/// Maximum length of a request key, in bytes.
const MAXIMUM_KEY_BYTES: usize = 200;
/// Maximum deadline and staleness, in milliseconds: one day.
const MAXIMUM_MILLISECONDS: u64 = 24 * 60 * 60 * 1_000;

/// Why a hint was refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum HintError {
    /// No hint has this name.
    #[snafu(display("there is no hint {name:?}"))]
    UnknownName {
        /// The name.
        name: String,
    },
    /// The value is not a boolean.
    #[snafu(display("{name} must be on or off, not {value:?}"))]
    NotBoolean {
        /// The hint.
        name: String,
        /// The value.
        value: String,
    },
    /// The value is not a number of milliseconds.
    #[snafu(display("{name} must be a whole number of milliseconds, not {value:?}"))]
    NotNumber {
        /// The hint.
        name: String,
        /// The value.
        value: String,
        /// The parser's error.
        source: std::num::ParseIntError,
    },
    /// The number is out of range.
    #[snafu(display("{name} must be between {least} and {MAXIMUM_MILLISECONDS} milliseconds"))]
    OutOfRange {
        /// The hint.
        name: String,
        /// The minimum value.
        least: u64,
    },
    /// The request key is empty, too long or not printable.
    #[snafu(display("a request key has 1 to {MAXIMUM_KEY_BYTES} printable ASCII characters"))]
    BadRequestKey,
    /// The hint cannot be set in this place.
    #[snafu(display("{name} can't be given here: {reason}"))]
    WrongPlace {
        /// The hint.
        name: String,
        /// Where it must be set instead.
        reason: &'static str,
    },
}

/// A set of hints; absent ones are `None`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Hints {
    /// A token issued to an earlier connection of the session.
    pub session_token: Option<String>,
    /// Whether a write may safely run more than once.
    pub repeatable: Option<bool>,
    /// Key under which a write runs at most once.
    pub request_key: Option<String>,
    /// How long a request may take.
    pub deadline: Option<Duration>,
    /// Maximum staleness of an answer, in addition to the session's floor.
    pub maximum_staleness: Option<Duration>,
    /// Whether the session only reads.
    pub read_only: Option<bool>,
}

/// Whether a parameter's name has the prefix of hints, whether or not the hint exists.
pub(crate) fn is_hint_name(name: &str) -> bool {
    name.get(..PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(PREFIX))
}

impl Hints {
    /// Sets one hint by its full name.
    ///
    /// # Errors
    /// [`HintError`] for an unknown name or invalid value; nothing is changed then.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), HintError> {
        let lower = name.to_ascii_lowercase();
        match lower.strip_prefix(PREFIX).unwrap_or_default() {
            "session_token" => self.session_token = Some(value.to_owned()),
            "repeatable" => self.repeatable = Some(boolean(name, value)?),
            "request_key" => self.request_key = Some(request_key(value)?),
            "deadline_ms" => self.deadline = Some(milliseconds(name, value, 1)?),
            "maximum_staleness_ms" => {
                self.maximum_staleness = Some(milliseconds(name, value, 0)?);
            }
            "read_only" => self.read_only = Some(boolean(name, value)?),
            _ => return UnknownNameSnafu { name }.fail(),
        }
        Ok(())
    }

    /// Unsets one hint by its full name.
    ///
    /// # Errors
    /// [`HintError::UnknownName`].
    pub fn unset(&mut self, name: &str) -> Result<(), HintError> {
        let lower = name.to_ascii_lowercase();
        match lower.strip_prefix(PREFIX).unwrap_or_default() {
            "session_token" => self.session_token = None,
            "repeatable" => self.repeatable = None,
            "request_key" => self.request_key = None,
            "deadline_ms" => self.deadline = None,
            "maximum_staleness_ms" => self.maximum_staleness = None,
            "read_only" => self.read_only = None,
            _ => return UnknownNameSnafu { name }.fail(),
        }
        Ok(())
    }

    /// These hints, with unset ones taken from `outer`.
    #[must_use]
    pub fn or(self, outer: &Self) -> Self {
        Self {
            session_token: self.session_token.or_else(|| outer.session_token.clone()),
            repeatable: self.repeatable.or(outer.repeatable),
            request_key: self.request_key.or_else(|| outer.request_key.clone()),
            deadline: self.deadline.or(outer.deadline),
            maximum_staleness: self.maximum_staleness.or(outer.maximum_staleness),
            read_only: self.read_only.or(outer.read_only),
        }
    }
}

/// The hints of a session: from start-up options, from `SET`, and from `SET LOCAL` in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionHints {
    startup: Hints,
    session: Hints,
    transaction: Option<Box<Hints>>,
}

impl SessionHints {
    /// Creates session hints from those of the start-up message.
    #[must_use]
    pub fn new(startup: Hints) -> Self {
        Self {
            startup,
            ..Self::default()
        }
    }

    /// `SET` or `SET LOCAL`.
    ///
    /// # Errors
    /// [`HintError`]; nothing is changed then.
    pub fn set(&mut self, name: &str, value: &str, local: bool) -> Result<(), HintError> {
        let is_token = name.eq_ignore_ascii_case("stairward.session_token");
        ensure!(
            !is_token,
            WrongPlaceSnafu {
                name,
                reason: "give it in the start-up options"
            }
        );
        if local {
            self.transaction.get_or_insert_default().set(name, value)
        } else {
            self.session.set(name, value)
        }
    }

    /// `RESET`: restores the value of the start-up message.
    ///
    /// # Errors
    /// [`HintError::UnknownName`].
    pub fn reset(&mut self, name: &str) -> Result<(), HintError> {
        self.session.unset(name)
    }

    /// `RESET ALL`.
    pub fn reset_all(&mut self) {
        self.session = Hints::default();
    }

    /// Discards the hints of `SET LOCAL`.
    pub fn end_transaction(&mut self) {
        self.transaction = None;
    }

    /// Unsets a request key after use, since a key applies to a single request.
    pub fn consume_request_key(&mut self) {
        self.startup.request_key = None;
        self.session.request_key = None;
        if let Some(transaction) = &mut self.transaction {
            transaction.request_key = None;
        }
    }

    /// The effective hints for a statement with hints of its own.
    #[must_use]
    pub fn effective(&self, statement: Hints) -> Hints {
        let hints = match &self.transaction {
            Some(transaction) => statement.or(transaction),
            None => statement,
        };
        hints.or(&self.session).or(&self.startup)
    }
}

fn boolean(name: &str, value: &str) -> Result<bool, HintError> {
    match value.to_ascii_lowercase().as_str() {
        "on" | "true" | "yes" | "1" => Ok(true),
        "off" | "false" | "no" | "0" => Ok(false),
        _ => NotBooleanSnafu { name, value }.fail(),
    }
}

fn milliseconds(name: &str, value: &str, least: u64) -> Result<Duration, HintError> {
    let number: u64 = value.parse().context(NotNumberSnafu { name, value })?;
    ensure!(
        (least..=MAXIMUM_MILLISECONDS).contains(&number),
        OutOfRangeSnafu { name, least }
    );
    Ok(Duration::from_millis(number))
}

fn request_key(value: &str) -> Result<String, HintError> {
    let is_printable = value.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    let fits = (1..=MAXIMUM_KEY_BYTES).contains(&value.len());
    ensure!(is_printable && fits, BadRequestKeySnafu);
    Ok(value.to_owned())
}
