//! Connections to back ends: opening, reading and decoding replies.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{ConnectionId, Event, OpenFailure, OpenTarget};
use stairward_types::{Freshness, LogEvent};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use crate::node::Node;
use crate::socket::Outgoing;
use crate::traffic::OpeningKind;
use crate::wire::{Wire, WireError, log_unencodable};

/// Timeout for a back end to accept a connection and report that it is ready.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Buffer space reserved before each read.
const READ_SIZE: usize = 4 * 1024;

/// A connection that is ready for commands.
pub(crate) struct OpenedConnection {
    pub reading: OwnedReadHalf,
    pub outgoing: Rc<Outgoing>,
    pub buffer: BytesMut,
    pub position: Option<Freshness>,
}

/// Opens a connection to a back end and waits until it is ready.
pub(crate) async fn open_connection<W: Wire>(
    target: &OpenTarget,
) -> Result<OpenedConnection, OpenFailure> {
    let opening = open_without_limit::<W>(target);
    match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
        Ok(opened) => opened,
        Err(_) => Err(OpenFailure::TimedOut),
    }
}

async fn open_without_limit<W: Wire>(target: &OpenTarget) -> Result<OpenedConnection, OpenFailure> {
    let stream = TcpStream::connect(target.address)
        .await
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => OpenFailure::Refused,
            std::io::ErrorKind::TimedOut => OpenFailure::TimedOut,
            _ => OpenFailure::Other,
        })?;
    let (mut reading, outgoing) = Outgoing::split(stream);
    let mut request = BytesMut::new();
    W::encode_open(target, &mut request).map_err(|error| {
        log_unencodable(error);
        OpenFailure::Other
    })?;
    outgoing.send(&request).map_err(|_| OpenFailure::Other)?;
    let mut buffer = BytesMut::new();
    let mut decoder = W::ReplyDecoder::default();
    loop {
        match W::decode_opened(&mut decoder, &mut buffer) {
            Ok(Some(Ok(position))) => {
                return Ok(OpenedConnection {
                    reading,
                    outgoing,
                    buffer,
                    position,
                });
            }
            Ok(Some(Err(failure))) => return Err(failure),
            Ok(None) => {}
            Err(error) => {
                log_violation(target, error);
                return Err(OpenFailure::Other);
            }
        }
        match reading.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return Err(OpenFailure::Other),
            Ok(_) => {}
        }
    }
}

fn log_violation(target: &OpenTarget, error: WireError) {
    let event = LogEvent::BackendProtocolViolated.number();
    tracing::warn!(event, backend = target.backend.as_str(), %error);
}

impl<W: Wire> Node<W> {
    pub(crate) fn open(self: &Rc<Self>, connection: ConnectionId, target: OpenTarget) {
        self.traffic.opened(OpeningKind::Backend);
        tokio::task::spawn_local(Rc::clone(self).open_and_read(connection, target));
    }

    async fn open_and_read(self: Rc<Self>, connection: ConnectionId, target: OpenTarget) {
        let opened = match open_connection::<W>(&target).await {
            Ok(opened) => opened,
            Err(failure) => {
                return self.handle(Event::OpenFailed {
                    connection,
                    failure,
                });
            }
        };
        let outgoing = Rc::clone(&opened.outgoing);
        self.connections
            .borrow_mut()
            .insert(connection, opened.outgoing);
        let node = Rc::clone(&self);
        let reading = tokio::task::spawn_local(async move {
            node.read_replies(connection, target, opened.reading, opened.buffer)
                .await;
            node.connection_ended(connection);
        });
        outgoing.set_reader(reading.abort_handle());
        self.handle(Event::ConnectionOpened {
            connection,
            position: opened.position,
        });
    }

    async fn read_replies(
        self: &Rc<Self>,
        connection: ConnectionId,
        target: OpenTarget,
        mut reading: OwnedReadHalf,
        mut buffer: BytesMut,
    ) {
        let mut decoder = W::ReplyDecoder::default();
        loop {
            match W::decode_reply(&mut decoder, &mut buffer) {
                Ok(Some(reply)) => {
                    self.handle(Event::Reply { connection, reply });
                    continue;
                }
                Ok(None) => {}
                Err(error) => return log_violation(&target, error),
            }
            buffer.reserve(READ_SIZE);
            match reading.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}
