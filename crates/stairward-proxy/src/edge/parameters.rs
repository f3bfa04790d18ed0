//! Parameters of a startup packet, and the parameters reported to clients.

use std::collections::BTreeMap;

use bytes::BytesMut;
use stairward_session::{Hints, quote_literal};
use stairward_types::ResultCode;

use super::error::EdgeError;
use super::reply;

/// Prefix of the names of all hints.
const HINT_PREFIX: &str = "stairward.";
/// The PostgreSQL version reported to clients.
const SERVER_VERSION: &str = "16.4";

/// The parameters that a client sends at startup.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct StartupParameters {
    pub(super) user: String,
    pub(super) database: String,
    pub(super) application_name: String,
    /// Session parameters to set on each backend connection, as SQL literals.
    pub(super) settings: BTreeMap<String, String>,
    pub(super) hints: Hints,
}

/// Parses the parameters of a startup packet.
///
/// # Errors
/// [`EdgeError`] if the user is missing, a hint is invalid, or a feature isn't supported.
pub(super) fn parse_startup_parameters(
    parameters: BTreeMap<String, String>,
) -> Result<StartupParameters, EdgeError> {
    let mut parsed = StartupParameters::default();
    let mut options = Vec::new();
    for (name, value) in parameters {
        match name.as_str() {
            "user" => parsed.user = value,
            "database" => parsed.database = value,
            "options" => options = split_options(&value)?,
            "replication" if is_off(&value) => {}
            "replication" => {
                return Err(EdgeError::with_explanation(
                    ResultCode::FeatureRefused,
                    "replication connections",
                ));
            }
            _ => parsed.set(&name, &value)?,
        }
    }
    for (name, value) in options {
        parsed.set(&name, &value)?;
    }
    if parsed.user.is_empty() {
        return Err(EdgeError::with_explanation(
            ResultCode::ProtocolViolation,
            "no user name was given",
        ));
    }
    if parsed.database.is_empty() {
        parsed.database.clone_from(&parsed.user);
    }
    Ok(parsed)
}

fn is_off(value: &str) -> bool {
    matches!(value, "false" | "off" | "no" | "0")
}

impl StartupParameters {
    fn set(&mut self, name: &str, value: &str) -> Result<(), EdgeError> {
        let name = name.to_ascii_lowercase();
        if name.starts_with(HINT_PREFIX) {
            return self
                .hints
                .set(&name, value)
                .map_err(|error| EdgeError::with_explanation(ResultCode::InvalidHint, error));
        }
        if name == "application_name" {
            value.clone_into(&mut self.application_name);
            return Ok(());
        }
        if name == "client_encoding" {
            return check_encoding(value);
        }
        if !is_backend_default(&name, value) {
            self.settings.insert(name, quote_literal(value));
        }
        Ok(())
    }
}

/// Only UTF-8 is supported, because text is forwarded without conversion.
fn check_encoding(value: &str) -> Result<(), EdgeError> {
    let normalized: String = value
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .map(|character| character.to_ascii_lowercase())
        .collect();
    match normalized.as_str() {
        "utf8" | "unicode" => Ok(()),
        _ => Err(EdgeError::with_explanation(
            ResultCode::FeatureRefused,
            format!("client encoding {value}; use UTF8"),
        )),
    }
}

/// Whether the value of a parameter that drivers always send is the backends' default, so that it
/// need not be set on each connection.
fn is_backend_default(name: &str, value: &str) -> bool {
    match name {
        "datestyle" => value.to_ascii_uppercase().starts_with("ISO"),
        "intervalstyle" => value.eq_ignore_ascii_case("postgres"),
        "timezone" => matches!(value, "UTC" | "Etc/UTC" | "GMT"),
        // Since PostgreSQL 12, all values above 0 have the same effect, and 1 is the default.
        "extra_float_digits" => value.parse::<i32>().is_ok_and(|digits| digits > 0),
        "standard_conforming_strings" => value.eq_ignore_ascii_case("on"),
        _ => false,
    }
}

/// Parses `-c name=value` and `--name=value`. A backslash escapes a space within a value.
fn split_options(text: &str) -> Result<Vec<(String, String)>, EdgeError> {
    let malformed =
        || EdgeError::with_explanation(ResultCode::ProtocolViolation, "the options are malformed");
    let mut settings = Vec::new();
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let setting = if word == "-c" {
            words.next().ok_or_else(malformed)?
        } else if let Some(setting) = word.strip_prefix("--") {
            setting.to_owned()
        } else if let Some(setting) = word.strip_prefix("-c") {
            setting.to_owned()
        } else {
            return Err(malformed());
        };
        let (name, value) = setting.split_once('=').ok_or_else(malformed)?;
        settings.push((name.replace('-', "_"), value.to_owned()));
    }
    Ok(settings)
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            space if space.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            other => word.push(other),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}

/// Sends the parameter status messages that drivers expect after authentication.
pub(super) fn send_parameter_status(output: &mut BytesMut, parameters: &StartupParameters) {
    let reported = [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("application_name", &parameters.application_name),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("is_superuser", "off"),
        ("session_authorization", &parameters.user),
        ("default_transaction_read_only", "off"),
        ("in_hot_standby", "off"),
    ];
    for (name, value) in reported {
        reply::parameter_status(output, name, value);
    }
}
