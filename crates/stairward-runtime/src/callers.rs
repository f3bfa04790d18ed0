//! Client connections: accepting, reading and decoding.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{Event, SessionId};
use stairward_types::{GroupId, LogEvent, ResultCode};
use tokio::io::AsyncReadExt as _;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;
use crate::socket::Outgoing;
use crate::traffic::OpeningKind;
use crate::wire::{CallerMessage, Wire, log_unencodable};

/// Buffer space reserved before each read.
const READ_SIZE: usize = 2 * 1024;
/// A new connection must send its connect message within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl<W: Wire> Node<W> {
    /// Accepts client connections, at most `limit` at once. Never returns.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener, limit: usize) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open_connections() < limit => self.start_session(stream),
                Ok(_) => tracing::warn!(
                    event = LogEvent::SessionRefused.number(),
                    code = ResultCode::TooManyClients.number(),
                    "connection limit reached; refusing a client"
                ),
                Err(error) => {
                    tracing::warn!(event = LogEvent::ListenerFailed.number(), %error);
                    Self::pause(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Client connections, including those that are closing but not yet written to the end.
    fn open_connections(&self) -> usize {
        self.sessions.borrow().len() + self.unsent.closing()
    }

    fn start_session(self: &Rc<Self>, stream: TcpStream) {
        let session = self.next_session();
        self.traffic.opened(OpeningKind::Client);
        let (reading, outgoing) = Outgoing::split_answering(stream, &self.unsent);
        self.sessions
            .borrow_mut()
            .insert(session, Rc::clone(&outgoing));
        let task = tokio::task::spawn_local(Rc::clone(self).serve_session(session, reading));
        outgoing.set_reader(task.abort_handle());
    }

    async fn serve_session(self: Rc<Self>, session: SessionId, reading: OwnedReadHalf) {
        let mut reader = CallerReader::<W> {
            session,
            reading,
            buffer: BytesMut::new(),
            decoder: W::CallerDecoder::default(),
        };
        let first = tokio::time::timeout(CONNECT_TIMEOUT, reader.next()).await;
        if let Ok(Some(CallerMessage::Connect { database, key })) = first {
            match GroupId::new(database) {
                Ok(database) => {
                    self.handle(Event::SessionOpened {
                        session,
                        database,
                        key,
                    });
                    self.serve_statements(session, &mut reader).await;
                }
                Err(_) => self.refuse(session, ResultCode::UnknownDatabase),
            }
        } else {
            self.refuse(session, ResultCode::ProtocolViolation);
        }
        self.session_ended(session);
    }

    fn refuse(&self, session: SessionId, code: ResultCode) {
        let outgoing = self.sessions.borrow().get(&session).cloned();
        if let Some(outgoing) = outgoing {
            let mut bytes = BytesMut::new();
            if let Err(error) = W::encode_refusal(code, &mut bytes) {
                return log_unencodable(error);
            }
            // The connection is closed in any case.
            let _ = outgoing.send(&bytes);
        }
    }

    async fn serve_statements(self: &Rc<Self>, session: SessionId, reader: &mut CallerReader<W>) {
        loop {
            let event = match reader.next().await {
                Some(CallerMessage::Statement(statement)) => {
                    Event::Statement { session, statement }
                }
                Some(CallerMessage::BadStatement) => {
                    self.log.invalid_statement(session);
                    Event::InvalidStatement { session }
                }
                Some(CallerMessage::Connect { .. } | CallerMessage::Terminate) | None => return,
            };
            self.handle(event);
        }
    }
}

struct CallerReader<W: Wire> {
    session: SessionId,
    reading: OwnedReadHalf,
    buffer: BytesMut,
    decoder: W::CallerDecoder,
}

impl<W: Wire> CallerReader<W> {
    /// The next message; none at the end of the connection or after a protocol violation.
    async fn next(&mut self) -> Option<CallerMessage> {
        loop {
            match W::decode_caller(&mut self.decoder, &mut self.buffer) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(error) => {
                    let event = LogEvent::ProtocolViolated;
                    let (number, name) = (event.number(), event.name());
                    tracing::warn!(event = number, name, session = self.session.0, %error);
                    return None;
                }
            }
            if self.buffer.is_empty() {
                // Frees the buffer of an idle session, to keep many idle sessions cheap.
                self.buffer = BytesMut::new();
                self.reading.readable().await.ok()?;
            }
            self.buffer.reserve(READ_SIZE);
            let read = self.reading.read_buf(&mut self.buffer).await.ok()?;
            if read == 0 {
                return None;
            }
        }
    }
}
