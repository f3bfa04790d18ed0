//! Gathers a caller's messages into batches for a back end.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use stairward_session::{
    Hints, PreparedStatement, PreparedStatements, SessionChange, StatementClass, hints_in_comments,
};
use stairward_types::{AccessClass, ResultCode};

use super::error::EdgeError;
use super::frontend::{Frame, FrontendMessage, Target};

/// Most bytes of one batch; what is sent to an owner must fit a frame between nodes.
const MAXIMUM_BATCH_BYTES: usize = 12 * 1024 * 1024;

/// By which protocol a batch came, and whether more of it follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchKind {
    /// One `Query` message.
    Simple,
    /// Extended messages up to `Sync`.
    Extended,
    /// Extended messages up to `Flush`; the batch goes on.
    Partial,
}

/// A change of the session's prepared statements, in effect once the back end has confirmed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PreparedChange {
    Parsed {
        name: String,
        statement: PreparedStatement,
    },
    /// `Close` of a statement; `None` for that of a portal.
    Closed { name: Option<String> },
}

/// Messages to be run together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Batch {
    pub(super) kind: BatchKind,
    /// The messages as they came.
    pub(super) frames: Vec<Bytes>,
    /// What the statements that run in it need.
    pub(super) class: StatementClass,
    /// Whether it runs anything, rather than only preparing and describing.
    pub(super) executes: bool,
    /// The hints in its comments.
    pub(super) hints: Hints,
    /// Its changes of prepared statements, in order.
    pub(super) prepared_changes: Vec<PreparedChange>,
    /// Statements that it uses and doesn't itself parse.
    pub(super) referenced_statements: BTreeSet<String>,
    /// The text of a simple query.
    pub(super) text: String,
    /// Why it is refused.
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

    /// A batch of one `Query` message.
    pub(super) fn simple(frame: Frame, text: &str, class: Arc<StatementClass>) -> Self {
        let mut batch = Self::new(BatchKind::Simple);
        batch.executes = true;
        text.clone_into(&mut batch.text);
        batch.add_statement(text, &class);
        batch.frames.push(frame.bytes);
        batch
    }

    /// Its size in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.frames.iter().map(Bytes::len).sum()
    }

    /// Its messages in one piece.
    pub(super) fn message_bytes(&self) -> Vec<u8> {
        self.frames.concat()
    }

    /// What the back end must allow: reads go anywhere, unless more may follow that writes.
    pub(super) fn access(&self) -> AccessClass {
        if self.kind == BatchKind::Partial && self.executes {
            return AccessClass::Write;
        }
        self.class.access
    }

    /// Whether it leaves state on the connection.
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

    /// Hints set by `SET` are checked before anything is sent.
    fn check_hint_changes(&mut self, class: &StatementClass) {
        for change in &class.changes {
            if let Err(error) = super::hint_changes::validate(change) {
                self.refuse(error);
            }
        }
    }

    /// Refuses the batch; the first reason stands.
    pub(super) fn refuse(&mut self, error: EdgeError) {
        self.error.get_or_insert(error);
    }
}

/// Gathers the messages of the extended protocol until they are to be sent.
#[derive(Default)]
pub(super) struct BatchBuilder {
    batch: Option<Box<Batch>>,
    bytes: usize,
    /// Statements parsed since the last `Sync` in parts already sent.
    earlier_parses: Vec<(String, PreparedStatement)>,
}

impl BatchBuilder {
    /// Whether nothing has been gathered.
    pub(super) fn is_empty(&self) -> bool {
        self.batch.is_none()
    }

    /// Adds a message. `classify` gives the class of a text.
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

    /// Ends the batch at a `Sync` or `Flush`.
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

/// The statement that a name stands for at this point of the batch.
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

/// Whether the batch does nothing but change one session parameter by a simple query.
pub(super) fn single_session_change(batch: &Batch) -> Option<&SessionChange> {
    let is_single = batch.kind == BatchKind::Simple && batch.class.statements == 1;
    match batch.class.changes.as_slice() {
        [change] if is_single => Some(change),
        _ => None,
    }
}
