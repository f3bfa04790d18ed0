//! A caller's connection to a proxy, through `tokio-postgres`.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Config, Connection, NoTls, SimpleQueryMessage, Socket};

/// Name of the parameter in which a proxy reports the session token.
pub const SESSION_TOKEN_PARAMETER: &str = "stairward.session_token";
/// How long one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the proxy may take to end a connection that the caller closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Who a caller logs in as.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// The user's name.
    pub user: String,
    /// The password, where the proxies ask for one.
    pub password: Option<String>,
}

impl Default for Credentials {
    fn default() -> Self {
        Self {
            user: "app".to_owned(),
            password: None,
        }
    }
}

/// One open connection.
#[derive(Debug)]
pub struct CallerConnection {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    driver: JoinHandle<()>,
}

impl CallerConnection {
    /// Connects to a proxy, presenting a session token if there is one.
    ///
    /// # Errors
    /// What the client library reports.
    pub async fn open(
        address: SocketAddr,
        database: &str,
        credentials: &Credentials,
        token: Option<&str>,
    ) -> Result<Self, tokio_postgres::Error> {
        let (client, connection) = configure(address, database, credentials, token)
            .connect(NoTls)
            .await?;
        let token = Arc::new(Mutex::new(None));
        let driver = tokio::spawn(drive(connection, Arc::clone(&token)));
        Ok(Self {
            client,
            token,
            driver,
        })
    }

    /// Runs one statement by the simple query protocol.
    ///
    /// # Errors
    /// What the client library reports.
    pub async fn run(
        &self,
        statement: &str,
    ) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
        self.client.simple_query(statement).await
    }

    /// Whether the proxy has ended the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Ends the connection and gives the newest session token that the proxy reported.
    pub async fn close(self) -> Option<String> {
        drop(self.client);
        // The driver may still hold an unread token until the last message has been handled.
        let mut driver = self.driver;
        if tokio::time::timeout(CLOSE_TIMEOUT, &mut driver)
            .await
            .is_err()
        {
            driver.abort();
        }
        self.token
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}

fn configure(
    address: SocketAddr,
    database: &str,
    credentials: &Credentials,
    token: Option<&str>,
) -> Config {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .dbname(database)
        .user(&credentials.user)
        .application_name("stairward-lab")
        .connect_timeout(CONNECT_TIMEOUT);
    if let Some(password) = &credentials.password {
        config.password(password);
    }
    if let Some(token) = token {
        config.options(format!("-c {SESSION_TOKEN_PARAMETER}={token}"));
    }
    config
}

/// Moves the connection's bytes until it ends, and keeps the newest session token.
async fn drive(mut connection: Connection<Socket, NoTlsStream>, token: Arc<Mutex<Option<String>>>) {
    poll_fn(|context| poll_connection(&mut connection, &token, context)).await;
}

fn poll_connection(
    connection: &mut Connection<Socket, NoTlsStream>,
    token: &Mutex<Option<String>>,
    context: &mut Context<'_>,
) -> Poll<()> {
    loop {
        let polled = connection.poll_message(context);
        store_token(connection, token);
        match polled {
            Poll::Ready(Some(Ok(_notice))) => {}
            Poll::Ready(None | Some(Err(_))) => return Poll::Ready(()),
            Poll::Pending => return Poll::Pending,
        }
    }
}

fn store_token(connection: &Connection<Socket, NoTlsStream>, token: &Mutex<Option<String>>) {
    let Some(newest) = connection.parameter(SESSION_TOKEN_PARAMETER) else {
        return;
    };
    let mut stored = token.lock().unwrap_or_else(PoisonError::into_inner);
    if stored.as_deref() != Some(newest) {
        *stored = Some(newest.to_owned());
    }
}
