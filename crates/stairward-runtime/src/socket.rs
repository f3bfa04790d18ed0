//! The writing half of a connection: bytes are written immediately if possible, and otherwise queued in a bounded
//! buffer until the peer reads.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::AbortHandle;

/// Maximum bytes queued for a peer that does not read.
const PENDING_LIMIT: usize = 4 * 1024 * 1024;
/// A connection is closed when sent bytes stay unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection is probed after this time: a peer that vanished causes neither an end of stream nor an error, and
/// its connection would stay open forever.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(5);
/// Interval between probes, and how many unanswered ones close the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;
/// How long a closing connection may take to write its queued bytes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The writing half of a connection.
#[derive(Debug)]
pub(crate) struct Outgoing {
    stream: OwnedWriteHalf,
    pending: RefCell<BytesMut>,
    is_flushing: Cell<bool>,
    reader: RefCell<Option<AbortHandle>>,
}

impl Outgoing {
    /// Splits a stream and sets the socket options common to all connections.
    pub fn split(stream: TcpStream) -> (OwnedReadHalf, Rc<Self>) {
        // Errors are ignored: without these options the connection works, but reacts later.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_AFTER)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let (reading, writing) = stream.into_split();
        let outgoing = Self {
            stream: writing,
            pending: RefCell::new(BytesMut::new()),
            is_flushing: Cell::new(false),
            reader: RefCell::new(None),
        };
        (reading, Rc::new(outgoing))
    }

    /// Sets the reading task, which is aborted when this side closes the connection.
    pub fn set_reader(&self, reader: AbortHandle) {
        *self.reader.borrow_mut() = Some(reader);
    }

    /// Writes bytes, or queues them until the peer reads.
    ///
    /// # Errors
    /// When the connection has failed or the queue is full.
    pub fn send(self: &Rc<Self>, bytes: &[u8]) -> io::Result<()> {
        let mut pending = self.pending.borrow_mut();
        if !pending.is_empty() {
            pending.extend_from_slice(bytes);
            return Self::check_pending(pending.len());
        }
        let sent = match self.stream.try_write(bytes) {
            Ok(sent) => sent,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(error) => return Err(error),
        };
        if sent < bytes.len() {
            pending.extend_from_slice(&bytes[sent..]);
            Self::check_pending(pending.len())?;
            drop(pending);
            self.start_flushing();
        }
        Ok(())
    }

    fn check_pending(pending: usize) -> io::Result<()> {
        if pending > PENDING_LIMIT {
            return Err(io::Error::other("write queue full: the peer does not read"));
        }
        Ok(())
    }

    fn start_flushing(self: &Rc<Self>) {
        if self.is_flushing.replace(true) {
            return;
        }
        let outgoing = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _ = outgoing.flush().await;
            outgoing.is_flushing.set(false);
        });
    }

    async fn flush(&self) -> io::Result<()> {
        while !self.pending.borrow().is_empty() {
            self.stream.writable().await?;
            let mut pending = self.pending.borrow_mut();
            match self.stream.try_write(&pending) {
                Ok(sent) => pending.advance(sent),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Closes the connection after writing the queued bytes.
    pub fn close(self: &Rc<Self>) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.abort();
        }
        if self.pending.borrow().is_empty() {
            return;
        }
        let outgoing = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, outgoing.flush()).await;
        });
    }
}
