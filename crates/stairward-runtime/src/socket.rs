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
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::unsent::{UnsentConnections, UnsentGuard};

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
/// A closing connection is given up when its peer has read nothing for this long.
const STALL_LIMIT: Duration = Duration::from_secs(4);
/// How long a closing connection may take to write its queued bytes, however steadily its peer reads.
const CLOSING_LIMIT: Duration = Duration::from_secs(30);

/// The writing half of a connection.
#[derive(Debug)]
pub(crate) struct Outgoing {
    stream: OwnedWriteHalf,
    pending: RefCell<BytesMut>,
    is_flushing: Cell<bool>,
    /// Whether bytes could not be written, so that no more may follow.
    has_failed: Cell<bool>,
    reader: RefCell<Option<AbortHandle>>,
    /// When this side closed the connection.
    closed_at: Cell<Option<Instant>>,
    closed: Notify,
    /// Where unsent bytes are counted, if a planned stop waits for them.
    unsent: Option<Rc<UnsentConnections>>,
    /// Counts the connection while it is closing.
    closing: RefCell<Option<UnsentGuard>>,
}

impl Outgoing {
    /// Splits a stream and sets the socket options common to all connections.
    pub fn split(stream: TcpStream) -> (OwnedReadHalf, Rc<Self>) {
        Self::split_counted(stream, None)
    }

    /// Splits a stream whose answers a planned stop must deliver.
    pub fn split_answering(
        stream: TcpStream,
        unsent: &Rc<UnsentConnections>,
    ) -> (OwnedReadHalf, Rc<Self>) {
        Self::split_counted(stream, Some(Rc::clone(unsent)))
    }

    fn split_counted(
        stream: TcpStream,
        unsent: Option<Rc<UnsentConnections>>,
    ) -> (OwnedReadHalf, Rc<Self>) {
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
            has_failed: Cell::new(false),
            reader: RefCell::new(None),
            closed_at: Cell::new(None),
            closed: Notify::new(),
            unsent,
            closing: RefCell::new(None),
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
        if self.has_failed.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
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
        let counted = self.unsent.as_ref().map(UnsentConnections::begin_writing);
        tokio::task::spawn_local(async move {
            if let Err(error) = outgoing.flush().await {
                outgoing.abandon(&error);
            }
            outgoing.is_flushing.set(false);
            drop((counted, outgoing.closing.take()));
        });
    }

    async fn flush(&self) -> io::Result<()> {
        let mut progress_at = Instant::now();
        while !self.pending.borrow().is_empty() {
            tokio::select! {
                ready = self.stream.writable() => ready?,
                () = self.closing_limit_reached(progress_at) => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            let mut pending = self.pending.borrow_mut();
            match self.stream.try_write(&pending) {
                Ok(sent) => {
                    pending.advance(sent);
                    progress_at = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits until the connection has been closing for too long without its peer reading, or altogether. An open
    /// connection may rest for as long as its peer likes.
    async fn closing_limit_reached(&self, progress_at: Instant) {
        let closed_at = loop {
            match self.closed_at.get() {
                Some(closed_at) => break closed_at,
                None => self.closed.notified().await,
            }
        };
        let stalled_at = closed_at.max(progress_at) + STALL_LIMIT;
        tokio::time::sleep_until(stalled_at.min(closed_at + CLOSING_LIMIT)).await;
    }

    /// Gives up the queued bytes.
    fn abandon(&self, error: &io::Error) {
        self.has_failed.set(true);
        let unsent = std::mem::take(&mut *self.pending.borrow_mut()).len();
        if let Some(connections) = &self.unsent {
            connections.record_undelivered(unsent, self.closed_at.get().is_some(), error);
        }
    }

    /// Closes the connection after writing the queued bytes.
    pub fn close(self: &Rc<Self>) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.abort();
        }
        if self.closed_at.get().is_none() && self.is_flushing.get() {
            self.closed_at.set(Some(Instant::now()));
            self.closed.notify_one();
            self.count_while_closing();
        }
    }

    fn count_while_closing(self: &Rc<Self>) {
        let Some(connections) = &self.unsent else {
            return;
        };
        *self.closing.borrow_mut() = Some(connections.begin_closing());
    }
}
