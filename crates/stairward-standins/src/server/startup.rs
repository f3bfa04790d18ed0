//! The start of a connection: encryption refused, parameters, cancel requests.

use std::collections::BTreeMap;

use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{NegotiateProtocolVersion, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};

use super::wire::{Wire, WireError};

/// What a client wants of a new connection.
#[derive(Debug)]
pub enum Opening {
    /// A session.
    Session(StartupParameters),
    /// To cancel the statement of another connection.
    Cancel(CancelRequest),
    /// Nothing; it has gone or broken the protocol.
    Nothing,
}

/// What a client has said at start-up.
#[derive(Debug, Default)]
pub struct StartupParameters {
    /// The user's name.
    pub user: String,
    /// The database's name; the user's name when not given.
    pub database: String,
    /// Settings, also those from the `options` parameter.
    pub settings: BTreeMap<String, String>,
}

/// Reads the messages up to the start-up or cancel request.
///
/// # Errors
/// [`WireError`] when the socket fails or a message is malformed.
pub async fn read_opening(wire: &mut Wire) -> Result<Opening, WireError> {
    loop {
        let Some(message) = wire.read().await? else {
            return Ok(Opening::Nothing);
        };
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                wire.queue(&PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                wire.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                wire.queue(&PgWireBackendMessage::GssEncResponse(
                    GssEncResponse::Refuse,
                ))?;
                wire.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                wire.expect_startup();
            }
            PgWireFrontendMessage::CancelRequest(request) => return Ok(Opening::Cancel(request)),
            PgWireFrontendMessage::Startup(startup) => {
                wire.expect_messages();
                negotiate(wire, &startup)?;
                return Ok(Opening::Session(parameters(startup)));
            }
            _ => return Ok(Opening::Nothing),
        }
    }
}

/// Tells a client that asks for a later minor version, or for protocol extensions, that this
/// server has none.
fn negotiate(wire: &mut Wire, startup: &Startup) -> Result<(), WireError> {
    let names = startup.parameters.keys();
    let unknown: Vec<String> = names
        .filter(|name| name.starts_with("_pq_."))
        .cloned()
        .collect();
    if startup.protocol_number_minor == 0 && unknown.is_empty() {
        return Ok(());
    }
    wire.queue(&PgWireBackendMessage::NegotiateProtocolVersion(
        NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, unknown),
    ))
}

fn parameters(startup: Startup) -> StartupParameters {
    let mut parameters = StartupParameters::default();
    for (name, value) in startup.parameters {
        match name.as_str() {
            "user" => parameters.user = value,
            "database" => parameters.database = value,
            "options" => parameters.settings.extend(options(&value)),
            "replication" => {}
            _ if name.starts_with("_pq_.") => {}
            _ => {
                parameters.settings.insert(name, value);
            }
        }
    }
    if parameters.database.is_empty() {
        parameters.database = parameters.user.clone();
    }
    parameters
}

/// Settings in an `options` parameter: `-c name=value`, `-cname=value` or `--name=value`, with
/// spaces in values escaped by backslashes.
fn options(text: &str) -> Vec<(String, String)> {
    let words = split_words(text);
    let mut settings = Vec::new();
    let mut words = words.iter();
    while let Some(word) = words.next() {
        let assignment = match word.as_str() {
            "-c" => words.next().map(String::as_str),
            other => other
                .strip_prefix("--")
                .or_else(|| other.strip_prefix("-c")),
        };
        if let Some((name, value)) = assignment.and_then(|text| text.split_once('=')) {
            settings.push((name.replace('-', "_"), value.to_owned()));
        }
    }
    settings
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut letters = text.chars();
    while let Some(letter) = letters.next() {
        match letter {
            '\\' => word.extend(letters.next()),
            ' ' => words.extend((!word.is_empty()).then(|| std::mem::take(&mut word))),
            _ => word.push(letter),
        }
    }
    words.extend((!word.is_empty()).then_some(word));
    words
}
