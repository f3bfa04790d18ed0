//! A back end as far as ownership concerns it: advisory locks, sessions and their limit.

use std::collections::BTreeMap;

use stairward_pool::OwnerRole;
use stairward_types::{Duration, Time};

use crate::simulated_network::NodeIndex;

/// A control session that holds the lock of a role.
#[derive(Debug, Clone, Copy)]
struct Lock {
    session: u64,
    node: NodeIndex,
    last_asked: Time,
}

/// One back end.
#[derive(Debug)]
pub(super) struct SimulatedBackend {
    limit: u32,
    locks: BTreeMap<OwnerRole, Lock>,
    /// Control sessions that have not got a lock and are not closed yet.
    contenders: u32,
    working: BTreeMap<(OwnerRole, NodeIndex), u32>,
    /// Most sessions at once.
    pub(super) most: u32,
    /// How often a session was opened beyond the limit.
    pub(super) exceeded: u64,
}

impl SimulatedBackend {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            locks: BTreeMap::new(),
            contenders: 0,
            working: BTreeMap::new(),
            most: 0,
            exceeded: 0,
        }
    }

    /// A control session is opened and asks for the lock. A session that does not get it stays until
    /// [`SimulatedBackend::close_contender`].
    pub(super) fn try_lock(
        &mut self,
        role: OwnerRole,
        node: NodeIndex,
        session: u64,
        now: Time,
    ) -> bool {
        let is_free = !self.locks.contains_key(&role);
        if is_free {
            let lock = Lock {
                session,
                node,
                last_asked: now,
            };
            self.locks.insert(role, lock);
        } else {
            self.contenders += 1;
        }
        self.count();
        is_free
    }

    pub(super) fn close_contender(&mut self) {
        self.contenders -= 1;
    }

    /// Something is asked on a control session. False when the session has ended.
    pub(super) fn ask(&mut self, role: OwnerRole, session: u64, now: Time) -> bool {
        let Some(lock) = self.locks.get_mut(&role) else {
            return false;
        };
        let is_holder = lock.session == session;
        if is_holder {
            lock.last_asked = now;
        }
        is_holder
    }

    /// Ends a control session that was silent for `timeout`. Otherwise says when that may be due.
    pub(super) fn end_silent(
        &mut self,
        role: OwnerRole,
        session: u64,
        timeout: Duration,
        now: Time,
    ) -> Option<Time> {
        let lock = self.locks.get(&role)?;
        if lock.session != session {
            return None;
        }
        let due = lock.last_asked + timeout;
        if due <= now {
            self.locks.remove(&role);
            return None;
        }
        Some(due)
    }

    /// The holder closes its control session.
    pub(super) fn unlock(&mut self, role: OwnerRole, session: u64) {
        if self.locks.get(&role).is_some_and(|l| l.session == session) {
            self.locks.remove(&role);
        }
    }

    /// Ends the sessions of a role that belong to other nodes than the holder of its lock; says whose
    /// and how many.
    pub(super) fn end_leftovers(&mut self, role: OwnerRole) -> Vec<(NodeIndex, u32)> {
        let holder = self.locks.get(&role).map(|lock| lock.node);
        let leftovers: Vec<_> = self
            .working
            .iter()
            .filter(|((of_role, node), _)| *of_role == role && Some(*node) != holder)
            .map(|((_, node), count)| (*node, *count))
            .collect();
        for (node, _) in &leftovers {
            self.working.remove(&(role, *node));
        }
        leftovers
    }

    /// A working session is opened.
    pub(super) fn open(&mut self, role: OwnerRole, node: NodeIndex) {
        *self.working.entry((role, node)).or_default() += 1;
        self.count();
    }

    /// A node closes all its working sessions of a role.
    pub(super) fn close_all(&mut self, role: OwnerRole, node: NodeIndex) {
        self.working.remove(&(role, node));
    }

    fn total(&self) -> u32 {
        let controls = u32::try_from(self.locks.len()).unwrap_or(u32::MAX);
        controls + self.contenders + self.working.values().sum::<u32>()
    }

    fn count(&mut self) {
        let total = self.total();
        self.most = self.most.max(total);
        self.exceeded += u64::from(total > self.limit);
    }
}
