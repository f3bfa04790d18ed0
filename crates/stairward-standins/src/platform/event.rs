//! What goes into the store and what comes out.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use super::machine::Machine;

/// What goes into the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEvent {
    /// A client asks something. The driver chooses a number that no other open request has.
    Request {
        /// The request's number.
        number: u64,
        /// What is asked.
        request: StoreRequest,
    },
    /// A client has gone without waiting for the answer. What it asked may still take effect.
    Abandoned {
        /// The request's number.
        number: u64,
    },
    /// A fault begins or ends.
    Fault(StoreFault),
    /// The moment of [`super::ObjectStore::wake_at`] has come.
    Wake,
}

/// What a client asks of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// The names and versions of all objects.
    List,
    /// An object.
    Get {
        /// Its name.
        name: String,
    },
    /// An object once its version is above one.
    Watch {
        /// Its name.
        name: String,
        /// The version that the client knows.
        after: u64,
        /// How long to wait.
        timeout: Duration,
    },
    /// To write an object if it is at a version; 0 if it must not exist.
    Put {
        /// Its name.
        name: String,
        /// The version it must be at.
        if_version: u64,
        /// Its new value.
        value: Value,
    },
    /// The list of machines.
    Machines,
    /// To replace the list of machines.
    SetMachines {
        /// The new list.
        machines: Vec<Machine>,
    },
}

impl StoreRequest {
    /// Whether it reads, and so counts towards the limit on readers.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(
            self,
            Self::List | Self::Get { .. } | Self::Watch { .. } | Self::Machines
        )
    }
}

/// A fault of the store. [`StoreFault::Heal`] ends all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Every request is refused with 503.
    Down,
    /// No request is answered until the fault ends; then the connections are closed.
    Silent,
    /// Requests take effect late, by this much.
    Slow(Duration),
    /// The next write takes effect, but its connection is closed without a reply.
    LoseNextReply,
    /// The list of machines lags by this much from now on.
    MachineLag(Duration),
    /// Ends all faults. The lag of the list of machines returns to the configured one.
    Heal,
}

/// What comes out of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEffect {
    /// A request is answered.
    Answer {
        /// The request's number.
        number: u64,
        /// The answer.
        answer: ObjectAnswer,
    },
    /// A request's connection is closed without an answer.
    Close {
        /// The request's number.
        number: u64,
    },
}

/// An answer of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectAnswer {
    /// The object.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: Value,
    },
    /// There is no such object.
    Missing,
    /// The object's version has not risen within the time.
    Unchanged,
    /// The object was written.
    Written {
        /// Its new version.
        version: u64,
    },
    /// The object is at another version; nothing was written.
    Conflict {
        /// Its version; 0 when it does not exist.
        version: u64,
    },
    /// All objects.
    Listed(Vec<ObjectSummary>),
    /// The list of machines.
    Machines(Vec<Machine>),
    /// The new list of machines was taken.
    MachinesTaken,
    /// Too many readers.
    TooManyReaders {
        /// When to try again.
        retry_after: Duration,
    },
    /// The store is down; nothing was done.
    Unavailable,
    /// The store is full; nothing was done.
    Full,
}

/// An object's name and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectSummary {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u64,
}
