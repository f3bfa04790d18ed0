//! Connection startup: encryption negotiation, startup packet and authentication.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::{Buf, BytesMut};
use pgwire::messages::startup::{Authentication, Startup};
use pgwire::messages::{DecodeContext, Message};
use snafu::{OptionExt, ResultExt, Snafu};
use stairward_types::{GroupId, ResultCode};
use tokio_rustls::TlsAcceptor;
use tokio_util::either::Either;

use super::authentication::{self, Passwords};
use super::cancel::CancelKey;
use super::client::{Client, ClientError, ClientSocket};
use super::error::EdgeError;
use super::parameters::{StartupParameters, parse_startup_parameters};
use super::reply;

const CANCEL_CODE: u32 = 80_877_102;
const TLS_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;
const PROTOCOL_MAJOR: u16 = 3;
/// Maximum size of a message in the authentication exchange.
const MAXIMUM_PASSWORD_BYTES: usize = 4 * 1024;
/// Maximum number of encryption requests before the startup packet.
const MAXIMUM_NEGOTIATIONS: usize = 3;

/// Why a session couldn't be started.
#[derive(Debug, Snafu)]
pub(super) enum StartupError {
    /// The connection failed, so no error can be sent.
    #[snafu(display("{source}"), context(false))]
    Client { source: ClientError },
    /// The session was refused with an error that is sent to the client.
    #[snafu(display("{}", error.message()))]
    Refused { error: EdgeError },
    /// The TLS handshake failed.
    #[snafu(display("the TLS handshake failed"))]
    Tls { source: std::io::Error },
}

impl From<EdgeError> for StartupError {
    fn from(error: EdgeError) -> Self {
        Self::Refused { error }
    }
}

/// The request of a new connection.
pub(super) enum Incoming {
    /// Start of a session.
    Session(StartupParameters),
    /// A cancel request. The connection is closed without a response.
    Cancel(CancelKey),
}

/// Negotiates encryption and reads the startup packet. A refused client stays in `client`, so
/// that the error can be sent; a failed TLS handshake leaves `None`.
pub(super) async fn read_initial_request(
    client: &mut Option<Client>,
    tls: Option<Arc<rustls::ServerConfig>>,
) -> Result<Incoming, StartupError> {
    for _ in 0..=MAXIMUM_NEGOTIATIONS {
        let connection = client.as_mut().context(ClosedSnafu)?;
        let packet = connection.startup_packet().await?;
        match (&packet[4..8]).get_u32() {
            TLS_CODE => negotiate_tls(client, tls.clone()).await?,
            GSS_CODE => decline_encryption(connection).await?,
            CANCEL_CODE => return Ok(Incoming::Cancel(parse_cancel_request(&packet)?)),
            _ => return Ok(Incoming::Session(parse_startup(connection, packet)?)),
        }
    }
    Err(protocol_violation("encryption was negotiated too often").into())
}

#[derive(Debug, Snafu)]
#[snafu(display("the connection is closed"))]
struct Closed;

impl From<Closed> for StartupError {
    fn from(_: Closed) -> Self {
        Self::Client {
            source: ClientError::Closed,
        }
    }
}

fn protocol_violation(explanation: &str) -> EdgeError {
    EdgeError::with_explanation(ResultCode::ProtocolViolation, explanation)
}

async fn decline_encryption(client: &mut Client) -> Result<(), ClientError> {
    client.output.extend_from_slice(b"N");
    client.flush().await
}

async fn negotiate_tls(
    client_slot: &mut Option<Client>,
    tls: Option<Arc<rustls::ServerConfig>>,
) -> Result<(), StartupError> {
    let mut client = client_slot.take().context(ClosedSnafu)?;
    let Some(tls) = tls else {
        decline_encryption(&mut client).await?;
        *client_slot = Some(client);
        return Ok(());
    };
    client.output.extend_from_slice(b"S");
    client.flush().await?;
    let socket = match client.into_socket()? {
        Either::Left(socket) => socket,
        encrypted @ Either::Right(_) => {
            *client_slot = Some(Client::new(encrypted));
            return Err(protocol_violation("the connection is encrypted already").into());
        }
    };
    let encrypted = TlsAcceptor::from(tls)
        .accept(socket)
        .await
        .context(TlsSnafu)?;
    let socket: ClientSocket = Either::Right(Box::new(encrypted));
    *client_slot = Some(Client::new(socket));
    Ok(())
}

fn parse_cancel_request(packet: &[u8]) -> Result<CancelKey, EdgeError> {
    // Length, code, process number and a secret of four bytes, the size sent in `BackendKeyData`.
    let Ok(body) = <[u8; 8]>::try_from(&packet[8..]) else {
        return Err(protocol_violation("the cancel request is malformed"));
    };
    Ok(CancelKey {
        process: (&body[..4]).get_u32(),
        secret: (&body[4..]).get_u32(),
    })
}

fn parse_startup(
    client: &mut Client,
    mut packet: BytesMut,
) -> Result<StartupParameters, EdgeError> {
    let major = (&packet[4..6]).get_u16();
    let minor = (&packet[6..8]).get_u16();
    if major != PROTOCOL_MAJOR {
        return Err(protocol_violation(
            "only version 3 of the protocol is spoken",
        ));
    }
    if std::str::from_utf8(&packet[8..]).is_err() {
        return Err(EdgeError::new(ResultCode::InvalidEncoding));
    }
    if packet.last() != Some(&0) {
        return Err(protocol_violation(
            "the start-up packet does not end in a zero byte",
        ));
    }
    let startup = Startup::decode(&mut packet, &DecodeContext::default())
        .ok()
        .flatten()
        .ok_or_else(|| protocol_violation("the start-up packet is malformed"))?;
    let (protocol_options, parameters): (BTreeMap<_, _>, BTreeMap<_, _>) = startup
        .parameters
        .into_iter()
        .partition(|(name, _)| name.starts_with("_pq_."));
    if minor > 0 || !protocol_options.is_empty() {
        reply::negotiate_protocol_version(
            &mut client.output,
            protocol_options.into_keys().collect(),
        );
    }
    parse_startup_parameters(parameters)
}

/// Authenticates the client with its password; accepts any client if `passwords` is `None`.
pub(super) async fn authenticate(
    client: &mut Client,
    user: &str,
    passwords: Option<&Passwords>,
) -> Result<(), StartupError> {
    if let Some(passwords) = passwords {
        sasl_exchange(client, user, passwords).await?;
    }
    reply::authentication(&mut client.output, Authentication::Ok);
    Ok(())
}

async fn sasl_exchange(
    client: &mut Client,
    user: &str,
    passwords: &Passwords,
) -> Result<(), StartupError> {
    let authentication_failed = |_| EdgeError::new(ResultCode::AuthenticationFailed);
    let mechanisms = vec![authentication::MECHANISM.to_owned()];
    reply::authentication(&mut client.output, Authentication::SASL(mechanisms));
    let initial = password_message(client).await?;
    let (server_first, exchange) = passwords
        .begin(user, initial.body())
        .map_err(authentication_failed)?;
    let message = Authentication::SASLContinue(server_first.into());
    reply::authentication(&mut client.output, message);
    let response = password_message(client).await?;
    let server_final =
        authentication::finish(&exchange, response.body()).map_err(authentication_failed)?;
    let message = Authentication::SASLFinal(server_final.into());
    reply::authentication(&mut client.output, message);
    Ok(())
}

async fn password_message(client: &mut Client) -> Result<super::frontend::Frame, StartupError> {
    client.flush().await?;
    let frame = client.frame(MAXIMUM_PASSWORD_BYTES).await?;
    if frame.tag() != b'p' {
        return Err(protocol_violation("a password message was expected").into());
    }
    Ok(frame)
}

/// The group named by the database parameter of the session.
pub(super) fn requested_group(
    settings: &stairward_settings::ResolvedSettings,
    database: &str,
) -> Result<GroupId, EdgeError> {
    if settings.groups.is_empty() {
        return Err(EdgeError::new(ResultCode::NotReady));
    }
    GroupId::new(database)
        .ok()
        .filter(|group| settings.groups.contains_key(group))
        .ok_or_else(|| EdgeError::with_explanation(ResultCode::UnknownDatabase, database))
}
