//! Collects a client's protocol messages into batches that are sent to a backend together.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use stairward_session::{
    Hints, PreparedStatement, PreparedStatements, SessionChange, StatementClass, hints_in_comments,
};
use stairward_types::{AccessClass, ResultCode};

use super::error::EdgeError;
use super::frontend::{Frame, FrontendMessage, Target};

/// Maximum size of a batch. It must fit into one frame of the protocol between nodes.
const MAXIMUM_BATCH_BYTES: usize = 12 * 1024 * 1024;

/// The protocol by which a batch was sent, and whether the batch is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchKind {
    /// One `Query` message.
    Simple,
    /// Extended-protocol messages up to `Sync`.
    Extended,
    /// Extended-protocol messages up to `Flush`; more messages of the same batch follow.
    Partial,
}

/// A change to the session's prepared statements, applied once the backend confirms it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PreparedChange {
    Parsed {
        name: String,
        statement: PreparedStatement,
    },
    /// `Close` of a prepared statement, or of a portal if `name` is `None`.
    Closed { name: Option<String> },
}

/// Messages that are sent to a backend together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) kind: BatchKind,
    /// The messages as received, headers included.
    pub(super) frames: Vec<Bytes>,
    /// The combined class of the statements that run in the batch.
    pub(super) class: StatementClass,
    /// Whether the batch executes statements, rather than only preparing or describing them.
    pub(super) executes: bool,
    /// Hints given in SQL comments.
    pub(super) hints: Hints,
    /// Changes to prepared statements, in order.
    pub(super) prepared_changes: Vec<PreparedChange>,
    /// Prepared statements that the batch uses without parsing them itself.
    pub(super) referenced_statements: BTreeSet<String>,
    /// The SQL text of a simple query; empty in the extended protocol.
    pub(super) text: String,
    /// The error with which the batch is refused, if it must not run.
    pub(super) error: Option<EdgeError>,
}

impl Batch {
    fn new(kind: BatchKind) -> Self {
        Self {
            kind,
            frames: Vec::new(),
            class: StatementClass::empty(),
            executes: false,
            hints: Hints::default(),
            prepared_changes: Vec::new(),
            referenced_statements: BTreeSet::new(),
            text: String::new(),
            error: None,
        }
    }

    /// Creates a batch from one `Query` message.
    pub(super) fn simple(frame: Frame, text: &str, class: Arc<StatementClass>) -> Self {
        let mut batch = Self::new(BatchKind::Simple);
        batch.executes = true;
        text.clone_into(&mut batch.text);
        batch.add_statement(text, &class);
        batch.frames.push(frame.bytes);
        batch
    }

    /// Total size of the messages in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.frames.iter().map(Bytes::len).sum()
    }

    /// All messages concatenated.
    pub(super) fn message_bytes(&self) -> Vec<u8> {
        self.frames.concat()
    }

    /// The access that the backend must allow. A partial batch that executes statements needs write
    /// access, because the rest of it may write.
    pub(super) fn access(&self) -> AccessClass {
        if self.kind == BatchKind::Partial && self.executes {
            return AccessClass::Write;
        }
        self.class.access
    }

    /// Whether the batch leaves session state on the backend connection.
    pub(super) fn alters_session(&self) -> bool {
        let names_statement = self.prepared_changes.iter().any(|change| match change {
            PreparedChange::Parsed { name, .. } => !name.is_empty(),
            PreparedChange::Closed { .. } => false,
        });
        self.class.alters_session || names_statement
    }

    fn add_statement(&mut self, text: &str, class: &StatementClass) {
        self.class.append(class.clone());
        if let Some(feature) = class.refused {
            self.refuse(EdgeError::with_explanation(
                ResultCode::FeatureRefused,
                feature,
            ));
        }
        match hints_in_comments(text) {
            Ok(hints) => self.hints = hints.or(&self.hints),
            Err(error) => self.refuse(EdgeError::with_explanation(ResultCode::InvalidHint, error)),
        }
        self.check_hint_changes(class);
    }

    /// Validates hints changed by `SET`, so that a bad one is refused before anything is sent.
    fn check_hint_changes(&mut self, class: &StatementClass) {
        for change in &class.changes {
            if let Err(error) = super::hint_changes::validate(change) {
                self.refuse(error);
            }
        }
    }

    /// Marks the batch as refused. If called again, the first error is kept.
    pub(super) fn refuse(&mut self, error: EdgeError) {
        self.error.get_or_insert(error);
    }
}

/// Collects extended-protocol messages until `Sync` or `Flush`.
#[derive(Default)]
pub(super) struct BatchBuilder {
    batch: Option<Box<Batch>>,
    bytes: usize,
    /// Statements parsed since the last `Sync` in parts that have been sent.
    earlier_parses: Vec<(String, PreparedStatement)>,
}

impl BatchBuilder {
    /// Whether no message has been collected.
    pub(super) fn is_empty(&self) -> bool {
        self.batch.is_none()
    }

    /// Adds a message. `classify` returns the class of a SQL text.
    pub(super) fn add(
        &mut self,
        frame: &Frame,
        message: FrontendMessage<'_>,
        session: &PreparedStatements,
        classify: impl FnOnce(&str) -> Arc<StatementClass>,
    ) {
        let batch = self
            .batch
            .get_or_insert_with(|| Box::new(Batch::new(BatchKind::Extended)));
        self.bytes += frame.bytes.len();
        if self.bytes > MAXIMUM_BATCH_BYTES {
            batch.frames.clear();
            batch.refuse(EdgeError::new(ResultCode::MessageTooLarge));
            return;
        }
        match message {
            FrontendMessage::Parse { name, text } => {
                let statement = PreparedStatement {
                    message: frame.bytes.to_vec(),
                    class: classify(text),
                    text: text.into(),
                };
                batch.prepared_changes.push(PreparedChange::Parsed {
                    name: name.to_owned(),
                    statement,
                });
            }
            FrontendMessage::Bind { statement, .. } => {
                if let Some(statement) =
                    resolve_statement(batch, statement, &self.earlier_parses, session)
                {
                    batch.add_statement(&statement.text, &statement.class);
                }
            }
            FrontendMessage::Describe {
                target: Target::Statement,
                name,
            } => {
                resolve_statement(batch, name, &self.earlier_parses, session);
            }
            FrontendMessage::Close { target, name } => {
                let name = (target == Target::Statement).then(|| name.to_owned());
                batch.prepared_changes.push(PreparedChange::Closed { name });
            }
            FrontendMessage::Execute { .. } => batch.executes = true,
            _ => {}
        }
        batch.frames.push(frame.bytes.clone());
    }

    /// Completes the batch at a `Sync` or `Flush`.
    pub(super) fn finish(&mut self, frame: Frame, kind: BatchKind) -> Batch {
        self.bytes = 0;
        let mut batch = match self.batch.take() {
            Some(batch) => *batch,
            None => Batch::new(kind),
        };
        batch.kind = kind;
        batch.frames.push(frame.bytes);
        if kind == BatchKind::Partial {
            self.record_parses(&batch);
        } else {
            self.earlier_parses.clear();
        }
        batch
    }

    fn record_parses(&mut self, batch: &Batch) {
        for change in &batch.prepared_changes {
            if let PreparedChange::Parsed { name, statement } = change {
                self.earlier_parses.push((name.clone(), statement.clone()));
            }
        }
    }
}

/// Finds the statement that a name refers to at this point of the batch. Refuses the batch if there
/// is none.
fn resolve_statement(
    batch: &mut Batch,
    name: &str,
    earlier_parses: &[(String, PreparedStatement)],
    session: &PreparedStatements,
) -> Option<PreparedStatement> {
    let parsed_in_batch = batch
        .prepared_changes
        .iter()
        .rev()
        .find_map(|change| match change {
            PreparedChange::Parsed {
                name: parsed,
                statement,
            } if parsed == name => Some(statement.clone()),
            _ => None,
        });
    if parsed_in_batch.is_some() {
        return parsed_in_batch;
    }
    let parsed_earlier = earlier_parses
        .iter()
        .rev()
        .find(|(parsed, _)| parsed == name)
        .map(|(_, statement)| statement.clone());
    let resolved = parsed_earlier.or_else(|| session.get(name).cloned());
    if resolved.is_some() {
        batch.referenced_statements.insert(name.to_owned());
    } else {
        let name = name.to_owned();
        batch.refuse(EdgeError::UnknownStatement { name });
    }
    resolved
}

/// The session parameter change made by a simple query, if the query does nothing else.
pub(super) fn single_session_change(batch: &Batch) -> Option<&SessionChange> {
    let is_single = batch.kind == BatchKind::Simple && batch.class.statements == 1;
    match batch.class.changes.as_slice() {
        [change] if is_single => Some(change),
        _ => None,
    }
}
