//! Opening a connection to a back end: TCP, TLS, startup and authentication.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::response::{MESSAGE_TYPE_BYTE_ERROR_RESPONSE, SslResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, MESSAGE_TYPE_BYTE_AUTHENTICATION,
    MESSAGE_TYPE_BYTE_BACKEND_KEY_DATA, Password, SASLInitialResponse, SASLResponse, SslRequest,
    Startup,
};
use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use rustls_pki_types::ServerName;
use snafu::OptionExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use super::connection::{BackendConnection, CancelKey, Transport, decode_context, server_error};
use super::error::{AuthenticationSnafu, BackendError, ProtocolSnafu, TimeoutSnafu};
use super::wire::RawMessage;

/// Time limit from the TCP connect to the first `ReadyForQuery`.
pub(super) const LOGIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection and authentication parameters of one back end.
#[derive(Clone)]
pub(super) struct Login {
    /// Where it listens.
    pub address: SocketAddr,
    /// The database user.
    pub user: String,
    /// The database: the group's name.
    pub database: String,
    /// The session's `application_name`, shown in `pg_stat_activity`.
    pub application_name: String,
    /// The session's `idle_session_timeout`.
    pub idle_session_timeout: Duration,
    /// The password, if configured.
    pub password: Option<String>,
    /// The TLS configuration, if back ends require TLS.
    pub tls: Option<Arc<rustls::ClientConfig>>,
}

impl Login {
    /// Opens and authenticates a connection within [`LOGIN_TIMEOUT`].
    pub(super) async fn open(&self) -> Result<BackendConnection, BackendError> {
        tokio::time::timeout(LOGIN_TIMEOUT, self.open_unbounded())
            .await
            .ok()
            .context(TimeoutSnafu)?
    }

    async fn open_unbounded(&self) -> Result<BackendConnection, BackendError> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        let transport: Box<dyn Transport> = match &self.tls {
            Some(config) => Box::new(self.start_tls(socket, config).await?),
            None => Box::new(socket),
        };
        let mut connection = BackendConnection::new(transport);
        connection.send(&self.startup_message()?).await?;
        self.authenticate(&mut connection).await?;
        self.finish_startup(&mut connection).await?;
        Ok(connection)
    }

    async fn start_tls(
        &self,
        mut socket: TcpStream,
        config: &Arc<rustls::ClientConfig>,
    ) -> Result<tokio_rustls::client::TlsStream<TcpStream>, BackendError> {
        let mut request = BytesMut::new();
        SslRequest::new().encode(&mut request)?;
        socket.write_all(&request).await?;
        if socket.read_u8().await? != SslResponse::BYTE_ACCEPT {
            return Err(BackendError::TlsRefused);
        }
        let name = ServerName::from(self.address.ip());
        let connector = TlsConnector::from(Arc::clone(config));
        Ok(connector.connect(name, socket).await?)
    }

    fn startup_message(&self) -> Result<BytesMut, BackendError> {
        let mut startup = Startup::new();
        let idle_session_timeout = self.idle_session_timeout.as_millis().to_string();
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.database.as_str()),
            ("application_name", self.application_name.as_str()),
            ("client_encoding", "UTF8"),
            ("idle_session_timeout", idle_session_timeout.as_str()),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        let mut buffer = BytesMut::new();
        startup.encode(&mut buffer)?;
        Ok(buffer)
    }

    async fn authenticate(&self, connection: &mut BackendConnection) -> Result<(), BackendError> {
        loop {
            match next_authentication(connection).await? {
                Authentication::Ok => return Ok(()),
                Authentication::CleartextPassword => {
                    send_password(connection, self.password()?.to_owned()).await?;
                }
                Authentication::MD5Password(salt) => {
                    let salt = salt.try_into().ok().context(ProtocolSnafu)?;
                    let password = self.password()?.as_bytes();
                    let hash = md5_hash(self.user.as_bytes(), password, salt);
                    send_password(connection, hash).await?;
                }
                Authentication::SASL(mechanisms) => {
                    self.authenticate_scram(connection, &mechanisms).await?;
                }
                _ => {
                    return AuthenticationSnafu {
                        method: "unsupported method",
                    }
                    .fail();
                }
            }
        }
    }

    fn password(&self) -> Result<&str, BackendError> {
        self.password.as_deref().context(AuthenticationSnafu {
            method: "a password is required but none is configured",
        })
    }

    async fn authenticate_scram(
        &self,
        connection: &mut BackendConnection,
        mechanisms: &[String],
    ) -> Result<(), BackendError> {
        if !mechanisms.iter().any(|name| name == SCRAM_SHA_256) {
            return AuthenticationSnafu {
                method: "SASL without SCRAM-SHA-256",
            }
            .fail();
        }
        let password = self.password()?.as_bytes();
        let mut scram = ScramSha256::new(password, ChannelBinding::unsupported());
        let first = Some(Bytes::copy_from_slice(scram.message()));
        let first = SASLInitialResponse::new(SCRAM_SHA_256.to_owned(), first);
        send_message(connection, &first).await?;
        let Authentication::SASLContinue(challenge) = next_authentication(connection).await? else {
            return ProtocolSnafu.fail();
        };
        scram.update(&challenge)?;
        let proof = SASLResponse::new(Bytes::copy_from_slice(scram.message()));
        send_message(connection, &proof).await?;
        let Authentication::SASLFinal(verifier) = next_authentication(connection).await? else {
            return ProtocolSnafu.fail();
        };
        scram.finish(&verifier)?;
        Ok(())
    }

    async fn finish_startup(&self, connection: &mut BackendConnection) -> Result<(), BackendError> {
        loop {
            let message = connection.next().await?;
            if message.ready_status().is_some() {
                return Ok(());
            }
            match message.type_byte() {
                MESSAGE_TYPE_BYTE_BACKEND_KEY_DATA => {
                    let key = decode::<BackendKeyData>(&message)?;
                    connection.cancel_key = Some(Arc::new(CancelKey {
                        address: self.address,
                        process: key.pid,
                        secret: key.secret_key,
                    }));
                }
                MESSAGE_TYPE_BYTE_ERROR_RESPONSE => return Err(server_error(&message)?),
                _ => {}
            }
        }
    }
}

async fn next_authentication(
    connection: &mut BackendConnection,
) -> Result<Authentication, BackendError> {
    let message = connection.next().await?;
    match message.type_byte() {
        MESSAGE_TYPE_BYTE_AUTHENTICATION => decode(&message),
        MESSAGE_TYPE_BYTE_ERROR_RESPONSE => Err(server_error(&message)?),
        _ => ProtocolSnafu.fail(),
    }
}

async fn send_password(
    connection: &mut BackendConnection,
    password: String,
) -> Result<(), BackendError> {
    send_message(connection, &Password::new(password)).await
}

async fn send_message(
    connection: &mut BackendConnection,
    message: &impl Message,
) -> Result<(), BackendError> {
    let mut buffer = BytesMut::new();
    message.encode(&mut buffer)?;
    connection.send(&buffer).await
}

fn decode<M: Message>(message: &RawMessage) -> Result<M, BackendError> {
    let mut bytes = BytesMut::from(message.bytes.as_ref());
    M::decode(&mut bytes, &decode_context())?.context(ProtocolSnafu)
}
