//! The stream to an owner that a session holds, and the batch running on it.

use std::collections::BTreeSet;

use stairward_protocol::stream::{
    BackendHint, Batch as WireBatch, EdgeMessage, INITIAL_WINDOW_BYTES,
};
use stairward_routing::Observation;
use stairward_session::PreparedStatements;
use stairward_types::{AccessClass, BackendRole};

use super::batch::{Batch, BatchKind, PreparedChange};
use super::response_filter::ResponseFilter;
use crate::peer::EdgeStream;

/// Response bytes forwarded to the client before the owner is granted the same amount of
/// flow-control credit.
const CREDIT_GRANT_BYTES: u32 = INITIAL_WINDOW_BYTES / 4;

/// A change to the statements prepared on the backend connection, applied once the backend confirms
/// it.
pub(super) enum PendingChange {
    /// A `Parse` or `Close` sent by the client.
    Client(PreparedChange),
    /// A `Parse` added by the edge for a statement that the session prepared on another connection.
    Replayed { name: String },
}

/// A batch in progress: either complete up to its `Sync`, or the parts sent so far.
pub(super) struct RunningBatch {
    /// The batch, or the part of it sent last.
    pub(super) batch: Batch,
    pub(super) filter: ResponseFilter,
    /// Changes to prepared statements, in the order of their responses.
    pub(super) changes: Vec<PendingChange>,
    /// Whether the batch may commit writes.
    pub(super) may_commit: bool,
    /// Whether any of the response has arrived.
    pub(super) response_started: bool,
}

/// A stream to an owner and the known state of the backend connection behind it.
pub(super) struct ActiveStream {
    pub(super) stream: EdgeStream,
    pub(super) access: AccessClass,
    pub(super) running: Option<Box<RunningBatch>>,
    sequence: u32,
    /// Names of the statements prepared on the backend connection.
    prepared: BTreeSet<String>,
    /// Response bytes forwarded since credit was last granted.
    uncredited_bytes: u32,
}

/// A batch encoded for the owner, and the state needed to process its response.
pub(super) struct OutgoingBatch {
    /// The batch as sent to the owner.
    pub(super) wire: WireBatch,
    pub(super) running: RunningBatch,
}

/// Encodes a batch for the owner, preceded by `Parse` messages for the statements that the backend
/// connection lacks.
pub(super) fn build_outgoing(
    batch: Batch,
    is_on_connection: impl Fn(&str) -> bool,
    session: &PreparedStatements,
    may_commit: bool,
) -> OutgoingBatch {
    let mut filter = ResponseFilter::default();
    let mut changes = Vec::new();
    let mut messages = Vec::new();
    for name in batch
        .referenced_statements
        .iter()
        .filter(|name| !is_on_connection(name))
    {
        if let Some(statement) = session.get(name) {
            messages.extend_from_slice(&statement.message);
            filter.expect_parse(true);
            let name = name.clone();
            changes.push(PendingChange::Replayed { name });
        }
    }
    for change in &batch.prepared_changes {
        if matches!(change, PreparedChange::Parsed { .. }) {
            filter.expect_parse(false);
        }
        changes.push(PendingChange::Client(change.clone()));
    }
    messages.extend(batch.message_bytes());
    let injects_named = changes
        .iter()
        .any(|change| matches!(change, PendingChange::Replayed { name } if !name.is_empty()));
    let wire = WireBatch {
        sequence: 1,
        complete: u8::from(batch.kind != BatchKind::Partial),
        alters_session: u8::from(batch.alters_session() || injects_named),
        messages: messages.into(),
    };
    let running = RunningBatch {
        batch,
        filter,
        changes,
        may_commit,
        response_started: false,
    };
    OutgoingBatch { wire, running }
}

impl ActiveStream {
    /// Wraps a stream whose first batch has been sent.
    pub(super) fn opened(stream: EdgeStream, access: AccessClass, running: RunningBatch) -> Self {
        Self {
            stream,
            access,
            running: Some(Box::new(running)),
            sequence: 1,
            prepared: BTreeSet::new(),
            uncredited_bytes: 0,
        }
    }

    /// Whether the statement is prepared on the connection, or will be by the batch in progress.
    pub(super) fn has_prepared(&self, name: &str) -> bool {
        let is_pending = |change: &PendingChange| match change {
            PendingChange::Replayed { name: pending }
            | PendingChange::Client(PreparedChange::Parsed { name: pending, .. }) => {
                pending == name
            }
            PendingChange::Client(PreparedChange::Closed { .. }) => false,
        };
        self.prepared.contains(name)
            || self
                .running
                .as_ref()
                .is_some_and(|running| running.changes.iter().any(is_pending))
    }

    /// Sends another batch. Returns false if the connection to the owner is lost.
    pub(super) fn send(&mut self, mut outgoing: OutgoingBatch) -> bool {
        self.sequence += 1;
        outgoing.wire.sequence = self.sequence;
        let next = outgoing.running;
        match &mut self.running {
            Some(running) => running.append_part(next),
            None => self.running = Some(Box::new(next)),
        }
        self.stream.send(EdgeMessage::Batch(outgoing.wire))
    }

    /// Counts response bytes forwarded to the client, and grants the owner credit for them in steps
    /// of [`CREDIT_GRANT_BYTES`].
    pub(super) fn credit_bytes(&mut self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.uncredited_bytes = self.uncredited_bytes.saturating_add(count);
        if self.uncredited_bytes >= CREDIT_GRANT_BYTES {
            self.stream.send(EdgeMessage::Credit {
                bytes: self.uncredited_bytes,
            });
            self.uncredited_bytes = 0;
        }
    }

    /// Updates the statements of the connection and of the session with the changes that the
    /// backend confirmed.
    pub(super) fn apply_confirmed(
        &mut self,
        running: &RunningBatch,
        session: &mut PreparedStatements,
    ) {
        let mut parse_completes = running.filter.parse_completes;
        let mut close_completes = running.filter.close_completes;
        for change in &running.changes {
            match change {
                PendingChange::Replayed { name } if parse_completes > 0 => {
                    parse_completes -= 1;
                    self.prepared.insert(name.clone());
                }
                PendingChange::Client(PreparedChange::Parsed { name, statement })
                    if parse_completes > 0 =>
                {
                    parse_completes -= 1;
                    self.prepared.insert(name.clone());
                    // A statement beyond the session's limit is dropped. Its next use is refused as
                    // unknown.
                    if session.insert(name, statement.clone()).is_err() {
                        session.remove(name);
                    }
                }
                PendingChange::Client(PreparedChange::Closed { name }) if close_completes > 0 => {
                    close_completes -= 1;
                    if let Some(name) = name {
                        self.prepared.remove(name);
                        session.remove(name);
                    }
                }
                _ => {}
            }
        }
    }
}

impl RunningBatch {
    /// Adds the next part of a batch whose earlier parts have been sent.
    fn append_part(&mut self, next: Self) {
        let mut class = self.batch.class.clone();
        class.append(next.batch.class.clone());
        self.batch = next.batch;
        self.batch.class = class;
        self.filter.merge_expected(next.filter);
        self.changes.extend(next.changes);
        self.may_commit |= next.may_commit;
    }
}

/// Converts the backend state attached to an owner message; `None` if the owner doesn't know it.
pub(super) fn observation(hint: BackendHint) -> Option<Observation> {
    let freshness = stairward_types::Freshness::from(hint.freshness);
    if freshness == stairward_types::Freshness::default() {
        return None;
    }
    let role = if hint.is_primary == 0 {
        BackendRole::Replica
    } else {
        BackendRole::Primary
    };
    Some(Observation {
        freshness,
        role,
        waiting: hint.waiting,
    })
}
