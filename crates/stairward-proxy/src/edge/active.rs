//! A stream to an owner that a session holds, and the batch that runs on it.

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

/// Bytes of answers written to the caller before the owner is granted as many more.
const CREDIT_GRANT_BYTES: u32 = INITIAL_WINDOW_BYTES / 4;

/// A change of the statements prepared on the connection, once the back end confirms it.
pub(super) enum PendingChange {
    /// The caller's own `Parse` or `Close`.
    Client(PreparedChange),
    /// A `Parse` that the edge added, of a statement that the session has.
    Replayed { name: String },
}

/// A batch under way: one that ends in `Sync`, or the parts of one that hasn't come to it yet.
pub(super) struct RunningBatch {
    /// The batch, or its latest part.
    pub(super) batch: Batch,
    pub(super) filter: ResponseFilter,
    pub(super) changes: Vec<PendingChange>,
    /// Whether running it may have committed writes.
    pub(super) may_commit: bool,
    /// Whether its answer has begun to come.
    pub(super) response_started: bool,
}

/// A stream and what is known of the connection at its other end.
pub(super) struct ActiveStream {
    pub(super) stream: EdgeStream,
    pub(super) access: AccessClass,
    pub(super) running: Option<Box<RunningBatch>>,
    sequence: u32,
    /// Statements prepared on the connection.
    prepared: BTreeSet<String>,
    /// Bytes of answers taken since the last grant.
    uncredited_bytes: u32,
}

/// A batch made ready for an owner.
pub(super) struct OutgoingBatch {
    pub(super) wire: WireBatch,
    pub(super) running: RunningBatch,
}

/// Adds to a batch the `Parse` messages of statements that the connection lacks.
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
    /// A stream whose first batch has been sent.
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

    /// Whether the connection has, or will have, a prepared statement of this name.
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

    /// Sends a further batch. Returns false when the connection to the owner is lost.
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

    /// Counts bytes of answers that the caller has been given, and grants the owner as many more.
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

    /// Brings the statements known to be on the connection, and those of the session, up to date
    /// with what the back end has confirmed.
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
                    // What doesn't fit is unknown when it is next used, which the caller is told.
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
    /// Takes over the next part of a batch whose earlier parts were sent.
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

/// A back end's state as reported along with a message; `None` when the owner doesn't know it.
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
