//! Tracks connections and grants of a pool from its effects alone.

use std::collections::{BTreeMap, BTreeSet};

use stairward_pool::pool::{ConnectionId, PoolEffect, RequestId};

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    Opening,
    Idle,
    Resetting,
    Closing,
    Lent(RequestId),
}

/// State derived from the pool's effects.
#[derive(Debug, Default)]
pub struct PoolMirror {
    pub connections: BTreeMap<ConnectionId, Use>,
    pub waiting: BTreeSet<RequestId>,
    pub running: BTreeSet<RequestId>,
    pub slot_wanted: BTreeSet<RequestId>,
    pub admitted: BTreeMap<RequestId, ConnectionId>,
    pub refused: Vec<(RequestId, stairward_types::ResultCode)>,
    pub ending: BTreeSet<RequestId>,
    pub drained: bool,
}

impl PoolMirror {
    /// Applies effects; the error describes a violated invariant.
    pub fn note_all(&mut self, effects: &[PoolEffect]) -> Result<(), String> {
        effects.iter().try_for_each(|effect| self.note(effect))
    }

    fn note(&mut self, effect: &PoolEffect) -> Result<(), String> {
        match *effect {
            PoolEffect::Admit {
                request,
                connection,
            } => {
                self.move_to(connection, Use::Idle, Use::Lent(request))?;
                if !self.waiting.remove(&request) {
                    return Err(format!("{request:?} did not wait"));
                }
                self.admitted.insert(request, connection);
                self.running.insert(request);
            }
            PoolEffect::GrantSlot(request) => {
                if !self.slot_wanted.remove(&request) {
                    return Err(format!("{request:?} wanted no slot"));
                }
                self.running.insert(request);
            }
            PoolEffect::Refuse { request, code, .. } => {
                let waited = self.waiting.remove(&request);
                let stale = code == stairward_types::ResultCode::StaleTransaction;
                if !waited && !stale {
                    return Err(format!("{request:?} was refused and did not wait"));
                }
                self.refused.push((request, code));
            }
            PoolEffect::OpenConnection(connection) => {
                if self.connections.insert(connection, Use::Opening).is_some() {
                    return Err(format!("{connection:?} was opened twice"));
                }
            }
            PoolEffect::ResetConnection(connection) => match self.connections.get(&connection) {
                Some(Use::Idle) | Some(Use::Resetting) => {
                    self.connections.insert(connection, Use::Resetting);
                }
                other => return Err(format!("{connection:?} is reset while {other:?}")),
            },
            PoolEffect::CloseConnection(connection) => {
                self.move_to(connection, Use::Idle, Use::Closing)?;
            }
            PoolEffect::EndStream(request) => {
                self.ending.insert(request);
            }
            PoolEffect::Drained => self.drained = true,
        }
        Ok(())
    }

    fn move_to(&mut self, connection: ConnectionId, from: Use, to: Use) -> Result<(), String> {
        match self.connections.insert(connection, to) {
            Some(state) if state == from => Ok(()),
            other => Err(format!("{connection:?} becomes {to:?} while {other:?}")),
        }
    }

    /// The first connection in a state.
    pub fn in_use(&self, wanted: Use) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        connections
            .find(|(_, state)| **state == wanted)
            .map(|(connection, _)| *connection)
    }
}
