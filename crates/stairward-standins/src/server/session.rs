//! One client's connection from its start to its end.

use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use snafu::Snafu;
use sqlparser::ast::{DiscardObject, Statement as Tree};
use stairward_types::BackendId;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::ConnectionNumber;
use crate::group::{
    ClientRequest, Completion, Reply, RequestNumber, TransactionStatus, process_number,
};
use crate::sql::{Answer, SqlError, Statement, Value, identifier};

use super::driver::DriverHandle;
use super::prepared::PreparedStatements;
use super::startup::{Opening, StartupParameters, read_opening};
use super::wire::{Wire, WireError};

/// Why a session ended.
#[derive(Debug, Snafu)]
pub enum SessionEnd {
    /// The client has gone.
    #[snafu(display("the client has gone"))]
    ClientGone,
    /// The server ends the session with a message.
    #[snafu(display("{error}"))]
    Terminated {
        /// The message.
        error: SqlError,
    },
    /// The server has stopped.
    #[snafu(display("the server has stopped"))]
    Reset,
    /// The socket or a message failed.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// What failed.
        source: WireError,
    },
}

/// A client's session.
pub struct Session {
    /// The socket.
    pub wire: Wire,
    /// Prepared statements and portals.
    pub prepared: PreparedStatements,
    /// The transaction's status after the last reply.
    pub status: TransactionStatus,
    /// Whether messages are skipped until Sync, after an error.
    pub skipping: bool,
    link: Link,
}

/// The session's connection within the group. Closes it when dropped, however the session ends.
struct Link {
    member: BackendId,
    number: ConnectionNumber,
    driver: DriverHandle,
    replies: mpsc::Receiver<Reply>,
    last_request: u64,
}

impl Drop for Link {
    fn drop(&mut self) {
        let close = ClientRequest::Close {
            connection: self.number,
        };
        self.driver.request(&self.member, close);
    }
}

/// Serves a new connection to its end.
pub async fn serve_connection(
    stream: TcpStream,
    member: BackendId,
    database: String,
    driver: DriverHandle,
) {
    let mut wire = Wire::new(stream);
    let parameters = match read_opening(&mut wire).await {
        Ok(Opening::Session(parameters)) => parameters,
        Ok(Opening::Cancel(request)) => {
            if let SecretKey::I32(secret) = request.secret_key {
                cancel(&driver, &member, request.pid, secret);
            }
            return;
        }
        Ok(Opening::Nothing) | Err(_) => return,
    };
    if parameters.database != database {
        let error = SqlError::UndefinedDatabase {
            name: parameters.database,
        };
        return refuse(&mut wire, &error).await;
    }
    let Some(mut session) = Session::open(wire, member, driver, parameters).await else {
        return;
    };
    let end = session.serve().await;
    if let Err(SessionEnd::Terminated { error }) = end {
        refuse(&mut session.wire, &error).await;
    }
}

/// Sends a last message. The client may have gone already.
async fn refuse(wire: &mut Wire, error: &SqlError) {
    if wire.queue_error("FATAL", error).is_ok() {
        drop(wire.flush().await);
    }
}

/// The key that a cancel request must show. It follows from the connection number, which is enough for a
/// server that only tests use.
const fn secret_key(connection: ConnectionNumber) -> i32 {
    let mixed = connection.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    mixed as i32
}

fn cancel(driver: &DriverHandle, member: &BackendId, process: i32, secret: i32) {
    let Ok(number) = u64::try_from(process) else {
        return;
    };
    let connection = ConnectionNumber(number);
    if secret_key(connection) == secret {
        driver.request(member, ClientRequest::Cancel { connection });
    }
}

impl Session {
    async fn open(
        mut wire: Wire,
        member: BackendId,
        driver: DriverHandle,
        parameters: StartupParameters,
    ) -> Option<Self> {
        let (number, mut replies) = driver.open(&member, parameters.user, parameters.settings);
        let opened = replies.recv().await;
        let link = Link {
            member,
            number,
            driver,
            replies,
            last_request: 0,
        };
        let settings = match opened {
            Some(Reply::Opened { settings }) => settings,
            Some(Reply::Refused(error) | Reply::Terminated(error)) => {
                refuse(&mut wire, &error).await;
                return None;
            }
            _ => return None,
        };
        let mut session = Self {
            wire,
            prepared: PreparedStatements::default(),
            status: TransactionStatus::Idle,
            skipping: false,
            link,
        };
        session.greet(settings).await.ok()?;
        Some(session)
    }

    async fn greet(
        &mut self,
        settings: std::collections::BTreeMap<String, String>,
    ) -> Result<(), WireError> {
        let number = self.link.number;
        let key = SecretKey::I32(secret_key(number));
        self.wire
            .queue(&PgWireBackendMessage::Authentication(Authentication::Ok))?;
        for (name, value) in settings {
            self.wire.queue_setting(name, value)?;
        }
        let key = BackendKeyData::new(process_number(number), key);
        self.wire
            .queue(&PgWireBackendMessage::BackendKeyData(key))?;
        self.wire.queue_ready(TransactionStatus::Idle)?;
        self.wire.flush().await
    }

    async fn serve(&mut self) -> Result<(), SessionEnd> {
        loop {
            let message = tokio::select! {
                message = self.wire.read() => message,
                reply = self.link.replies.recv() => return Err(ending(reply)),
            };
            match message {
                Ok(Some(message)) => self.handle(message).await?,
                Ok(None) => return Err(SessionEnd::ClientGone),
                Err(WireError::Socket { .. }) => return Err(SessionEnd::ClientGone),
                Err(error) => {
                    let error = SqlError::ProtocolViolation {
                        message: error.to_string(),
                    };
                    return Err(SessionEnd::Terminated { error });
                }
            }
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionEnd> {
        if self.skipping && message.is_extended_query() {
            return match message {
                PgWireFrontendMessage::Sync(_) => self.sync().await,
                _ => Ok(()),
            };
        }
        match message {
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query).await,
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind).await,
            PgWireFrontendMessage::Describe(describe) => self.describe(describe).await,
            PgWireFrontendMessage::Execute(execute) => self.execute(execute).await,
            PgWireFrontendMessage::Close(close) => self.close(close),
            PgWireFrontendMessage::Flush(_) => Ok(self.wire.flush().await?),
            PgWireFrontendMessage::Sync(_) => self.sync().await,
            PgWireFrontendMessage::Terminate(_) => Err(SessionEnd::ClientGone),
            other => {
                let error = SqlError::ProtocolViolation {
                    message: format!("unexpected message {other:?}")
                        .chars()
                        .take(80)
                        .collect(),
                };
                Err(SessionEnd::Terminated { error })
            }
        }
    }

    /// Asks the group something and waits for the reply or the end of the session.
    pub async fn ask(
        &mut self,
        build: impl FnOnce(ConnectionNumber, RequestNumber) -> ClientRequest,
    ) -> Result<Reply, SessionEnd> {
        self.link.last_request += 1;
        let request = build(self.link.number, RequestNumber(self.link.last_request));
        self.link.driver.request(&self.link.member, request);
        tokio::select! {
            reply = self.link.replies.recv() => match reply {
                Some(reply @ (Reply::Ran { .. } | Reply::Described { .. } | Reply::Synced { .. })) => {
                    Ok(reply)
                }
                other => Err(ending(other)),
            },
            () = self.wire.closed_by_client() => Err(SessionEnd::ClientGone),
        }
    }

    /// Runs a statement.
    pub async fn run(
        &mut self,
        statement: Statement,
        parameters: Vec<Value>,
        completion: Completion,
    ) -> Result<Result<Answer, SqlError>, SessionEnd> {
        let tree = statement.tree.clone();
        let reply = self
            .ask(|connection, request| ClientRequest::Run {
                connection,
                request,
                statement,
                parameters,
                completion,
            })
            .await?;
        let Reply::Ran { result, status, .. } = reply else {
            return Err(SessionEnd::Reset);
        };
        self.status = status;
        if result.is_ok() {
            self.forget_discarded(tree.as_deref());
        }
        Ok(result)
    }

    fn forget_discarded(&mut self, tree: Option<&Tree>) {
        match tree {
            Some(Tree::Discard {
                object_type: DiscardObject::ALL,
            }) => self.prepared.close_statements(),
            Some(Tree::Deallocate { name, .. }) => {
                let name = identifier(name);
                if name == "all" {
                    self.prepared.close_statements();
                } else {
                    self.prepared.close_statement(&name);
                }
            }
            _ => {}
        }
    }

    /// Tells the group that the server has refused something on this connection.
    pub async fn fail_transaction(&mut self) -> Result<(), SessionEnd> {
        let reply = self
            .ask(|connection, request| ClientRequest::Fail {
                connection,
                request,
            })
            .await?;
        if let Reply::Synced { status, .. } = reply {
            self.status = status;
        }
        Ok(())
    }

    /// Adds the last messages of a statement's answer: changed settings and the command tag.
    pub fn queue_completion(&mut self, answer: &Answer) -> Result<(), WireError> {
        for (name, value) in &answer.reported_settings {
            self.wire.queue_setting(name.clone(), value.clone())?;
        }
        let message = if answer.tag.is_empty() {
            PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new())
        } else {
            PgWireBackendMessage::CommandComplete(CommandComplete::new(answer.tag.clone()))
        };
        self.wire.queue(&message)
    }
}

fn ending(reply: Option<Reply>) -> SessionEnd {
    match reply {
        Some(Reply::Terminated(error)) => SessionEnd::Terminated { error },
        _ => SessionEnd::Reset,
    }
}
