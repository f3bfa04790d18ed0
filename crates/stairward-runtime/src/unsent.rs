//! Connections whose last bytes have not been written yet. A planned stop waits for them, and those that are closing
//! still count as connections.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::log::DecisionLog;

/// The connections of a node with unsent bytes.
#[derive(Debug)]
pub(crate) struct UnsentConnections {
    writing: Cell<usize>,
    closing: Cell<usize>,
    /// Connections that have ended with unsent bytes.
    undelivered: Cell<u64>,
    changed: Notify,
    log: Rc<DecisionLog>,
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct UnsentGuard {
    connections: Rc<UnsentConnections>,
    counter: fn(&UnsentConnections) -> &Cell<usize>,
}

impl UnsentConnections {
    /// No connections. Undelivered bytes are logged to `log`.
    pub fn new(log: Rc<DecisionLog>) -> Self {
        Self {
            writing: Cell::new(0),
            closing: Cell::new(0),
            undelivered: Cell::new(0),
            changed: Notify::new(),
            log,
        }
    }

    fn count(self: &Rc<Self>, counter: fn(&Self) -> &Cell<usize>) -> UnsentGuard {
        let count = counter(self);
        count.set(count.get() + 1);
        UnsentGuard {
            connections: Rc::clone(self),
            counter,
        }
    }

    /// Counts a connection with unsent bytes.
    pub fn begin_writing(self: &Rc<Self>) -> UnsentGuard {
        self.count(|connections| &connections.writing)
    }

    /// Counts a connection that is closed once its bytes are written.
    pub fn begin_closing(self: &Rc<Self>) -> UnsentGuard {
        self.count(|connections| &connections.closing)
    }

    /// The number of connections that are closed once their bytes are written.
    pub fn closing(&self) -> usize {
        self.closing.get()
    }

    /// Records that a connection has ended with this number of unsent bytes.
    pub fn record_undelivered(&self, bytes: usize, is_closing: bool, error: &io::Error) {
        self.undelivered.set(self.undelivered.get() + 1);
        self.log.undelivered(bytes, is_closing, error);
    }

    /// The connections that have ended with unsent bytes, and those that have some now.
    pub fn undelivered(&self) -> u64 {
        let writing = u64::try_from(self.writing.get()).unwrap_or(u64::MAX);
        self.undelivered.get().saturating_add(writing)
    }

    /// Waits until no connection has unsent bytes.
    pub async fn written(&self) {
        while self.writing.get() > 0 {
            self.changed.notified().await;
        }
    }
}

impl Drop for UnsentGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.connections);
        count.set(count.get().saturating_sub(1));
        self.connections.changed.notify_one();
    }
}
