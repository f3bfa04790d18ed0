//! The platform's store of a run: the settings document, readers that wait, and faults.

use std::sync::Arc;

use stairward_settings::{Change, Edit, EditError, SettingsDocument};
use stairward_types::{AdminState, BackendId, ChangeId, Revision, Time};

use super::message::{StoreAnswered, StoreRead};

/// A reader of the store: a life of a proxy's process, and its number for the read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Reader {
    /// The proxy's place in the run.
    pub proxy: usize,
    /// Which life of its process.
    pub life: u64,
    /// The read.
    pub read: u64,
}

/// A read that waits for something newer.
#[derive(Debug)]
struct WaitingRead {
    reader: Reader,
    until: Time,
}

/// An operator's wish, carried through conflicts and lost replies until the store has taken it.
#[derive(Debug, Clone)]
pub(super) struct OperatorTask {
    /// The changes.
    pub changes: Vec<Change>,
    /// The mark that the changes put on a back end, if any.
    pub mark: Option<(BackendId, AdminState)>,
    /// The revision the operator has looked at; none before the first look.
    pub based_on: Option<Revision>,
    /// Told to the store, so that a lost reply can be settled.
    pub change_id: ChangeId,
}

/// What became of an operator's edit.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum EditResult {
    /// It took effect now.
    Accepted(Revision),
    /// It had taken effect before.
    AcceptedBefore,
    /// The settings had changed; the operator must look again.
    Conflict,
    /// It can never take effect.
    Invalid,
}

/// The store.
#[derive(Debug)]
pub(super) struct Store {
    document: Arc<SettingsDocument>,
    waiting: Vec<WaitingRead>,
    /// Whether it answers nobody.
    pub is_down: bool,
    /// Whether it answers late.
    pub is_slow: bool,
    /// Whether replies to edits are lost.
    pub loses_replies: bool,
}

impl Store {
    /// A store that holds a document.
    pub(super) fn new(document: SettingsDocument) -> Self {
        Self {
            document: Arc::new(document),
            waiting: Vec::new(),
            is_down: false,
            is_slow: false,
            loses_replies: false,
        }
    }

    /// Whether any fault has struck it.
    pub(super) const fn has_fault(&self) -> bool {
        self.is_down || self.is_slow || self.loses_replies
    }

    /// The newest revision.
    pub(super) fn revision(&self) -> Revision {
        self.document.revision()
    }

    /// The newest document.
    pub(super) const fn document(&self) -> &Arc<SettingsDocument> {
        &self.document
    }

    fn answer_newer_than(&self, after: u64) -> StoreAnswered {
        let version = self.document.revision().0;
        StoreAnswered {
            newer: (version > after).then(|| (version, Arc::clone(&self.document))),
        }
    }

    /// Takes a read. Answers at once when there is something newer; otherwise the read waits, and
    /// the moment is returned at which [`Self::end_waiting`] is due.
    pub(super) fn read(
        &mut self,
        now: Time,
        reader: Reader,
        request: &StoreRead,
    ) -> Result<StoreAnswered, Time> {
        let answer = self.answer_newer_than(request.after);
        if answer.newer.is_some() {
            return Ok(answer);
        }
        let until = now + request.wait;
        self.waiting.push(WaitingRead { reader, until });
        Err(until)
    }

    /// Ends the reads whose time is over.
    pub(super) fn end_waiting(&mut self, now: Time) -> Vec<Reader> {
        let over = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        over.map(|waiting| waiting.reader).collect()
    }

    /// Takes an edit.
    pub(super) fn edit(&mut self, task: &OperatorTask, based_on: Revision) -> EditResult {
        let edit = Edit {
            change_id: task.change_id,
            based_on,
            changes: task.changes.clone(),
        };
        match self.document.apply(&edit) {
            Ok(newer) => {
                self.document = Arc::new(newer);
                EditResult::Accepted(self.document.revision())
            }
            Err(EditError::AlreadyApplied { .. }) => EditResult::AcceptedBefore,
            Err(EditError::Conflict { .. }) => EditResult::Conflict,
            Err(_) => EditResult::Invalid,
        }
    }

    /// The readers that wait, and the answer for all of them, after an edit.
    pub(super) fn wake_readers(&mut self) -> (Vec<Reader>, StoreAnswered) {
        let waiting = std::mem::take(&mut self.waiting);
        let readers = waiting.iter().map(|waiting| waiting.reader).collect();
        (readers, self.answer_newer_than(0))
    }
}
