//! What happens at set times of a run.

use std::collections::BTreeMap;

use stairward_membership::configuration::StoreAnswer;
use stairward_settings::Edit;
use stairward_types::{Revision, Time};

use super::store::{StoreCondition, WaitingRead};
use crate::simulated_network::NodeIndex;

/// Something that happens at a set time.
#[derive(Debug, Clone)]
pub(super) enum Action {
    /// A read reaches the store.
    ReadArrives { read: WaitingRead, after: Revision },
    /// The store has held a read long enough.
    ReadWaitOver { read: WaitingRead },
    /// The store's answer reaches the reader.
    ReadAnswered {
        read: WaitingRead,
        answer: StoreAnswer,
    },
    /// An operator begins an edit, and makes `more` right after it.
    EditBegins { more: u32 },
    /// An edit reaches the store, sent through a node.
    EditArrives {
        node: NodeIndex,
        edit: Edit,
        more: u32,
    },
    /// The store's reply reaches the node.
    EditAccepted {
        node: NodeIndex,
        life: u32,
        revision: Revision,
        more: u32,
    },
    /// A node's view takes all changes up to a moment into account.
    ViewChanges { node: NodeIndex, as_of: Time },
    /// The store's condition changes.
    StoreBecomes(StoreCondition),
    /// The regions lose each other, or meet again.
    RegionsApart(bool),
    /// This many nodes fail at once.
    NodesFail(usize),
    /// A node stops without notice, and starts again.
    NodeRestarts,
    /// A stopped node starts.
    NodeStarts { node: NodeIndex },
    /// Traffic counts from now on.
    MeasureTraffic,
    /// The run is over.
    End,
}

/// Actions by the tag under which the network's clock knows them.
#[derive(Debug, Default)]
pub(super) struct Actions {
    next_tag: u64,
    actions: BTreeMap<u64, Action>,
}

impl Actions {
    /// Stores an action; returns its tag.
    pub(super) fn add(&mut self, action: Action) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.actions.insert(tag, action);
        tag
    }

    /// Takes out the action with this tag.
    pub(super) fn take(&mut self, tag: u64) -> Option<Action> {
        self.actions.remove(&tag)
    }
}
