//! Cancel requests: finds the session that a cancel key belongs to.
//!
//! The process number in a session's key data contains the low bits of its node's number, so that
//! any proxy can forward a cancel request to the right node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use stairward_types::NodeId;
use tokio::sync::watch;

/// Bits of the process number that identify the session within its node.
const SESSION_BITS: u32 = 19;
const SESSION_MASK: u32 = (1 << SESSION_BITS) - 1;
/// Bits of the node number included in the process number; the sign bit stays clear.
const NODE_MASK: u64 = 0xFFF;

/// The key that a client must present to cancel a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CancelKey {
    pub(super) process: u32,
    pub(super) secret: u32,
}

struct RegisteredSession {
    secret: u32,
    cancel_requests: watch::Sender<u64>,
}

#[derive(Default)]
struct RegistryState {
    last_session: u32,
    sessions: HashMap<u32, RegisteredSession>,
}

/// The sessions of this node that can be cancelled.
pub(super) struct CancelRegistry {
    node_bits: u32,
    state: Mutex<RegistryState>,
}

/// A session's entry in the registry; removed on drop.
pub(super) struct Registration {
    pub(super) key: CancelKey,
    /// Changes with each cancel request for the session.
    pub(super) cancel_requests: watch::Receiver<u64>,
    registry: Arc<CancelRegistry>,
}

/// Whether a process number may have been assigned by this node. Nodes whose numbers share their
/// low bits can't be told apart.
pub(super) fn may_belong_to(process: u32, node: NodeId) -> bool {
    u64::from(process >> SESSION_BITS) == node.0 & NODE_MASK
}

impl CancelRegistry {
    pub(super) fn new(node: NodeId) -> Self {
        let node_bits = u32::try_from(node.0 & NODE_MASK).unwrap_or_default();
        Self {
            node_bits: node_bits << SESSION_BITS,
            state: Mutex::default(),
        }
    }

    /// Registers a session. `secret` must be random, since it authenticates cancel requests.
    pub(super) fn register(self: &Arc<Self>, secret: u32) -> Registration {
        let (sender, cancel_requests) = watch::channel(0);
        let mut state = self.lock();
        let process = loop {
            state.last_session = (state.last_session + 1) & SESSION_MASK;
            let process = self.node_bits | state.last_session;
            if !state.sessions.contains_key(&process) {
                break process;
            }
        };
        let session = RegisteredSession {
            secret,
            cancel_requests: sender,
        };
        state.sessions.insert(process, session);
        Registration {
            key: CancelKey { process, secret },
            cancel_requests,
            registry: Arc::clone(self),
        }
    }

    /// Cancels the statement that the session with this key is running, if any. Returns whether
    /// such a session exists.
    pub(super) fn cancel(&self, key: CancelKey) -> bool {
        let state = self.lock();
        let Some(session) = state.sessions.get(&key.process) else {
            return false;
        };
        let matches = session.secret == key.secret;
        if matches {
            session.cancel_requests.send_modify(|count| *count += 1);
        }
        matches
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.lock().sessions.remove(&self.key.process);
    }
}
