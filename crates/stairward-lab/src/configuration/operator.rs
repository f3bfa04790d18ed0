//! The store, the operators and the faults of a simulated fleet.

use rand::RngExt as _;
use stairward_membership::configuration::{Event, Readiness, StoreAnswer};
use stairward_settings::{Edit, EditError};
use stairward_types::{Duration, Revision, Time};

use super::fleet::{Fleet, node_id};
use super::node::Node;
use super::schedule::Action;
use super::store::{Admission, StoreCondition, WaitingRead};
use crate::simulated_network::NodeIndex;

/// One-way latency to the store from its own region and from the other.
const STORE_LATENCY: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(20)];
/// How long the store holds a read.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Messages between an operator's node and the store before an edit is written: a read and its
/// answer, and the write.
const EDIT_MESSAGES: u32 = 3;
/// How long a node waits for the reply to an edit before it asks again.
const EDIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause of an operator whose edit was refused.
const OPERATOR_PAUSE: Duration = Duration::from_millis(500);
/// How long a restarting process is away.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Longest time in which the others notice that a node has come back.
const RETURN_TIME: Duration = Duration::from_secs(1);

impl Fleet {
    pub(super) fn read_store(&mut self, index: NodeIndex, after: Revision, wait: Duration) {
        let deadline = self.read_deadline(wait);
        let node = &mut self.nodes[index];
        node.read_deadline = Some(deadline);
        let read = WaitingRead {
            node: index,
            life: node.life,
        };
        let at = self.network.now() + self.store_latency(index);
        self.schedule(at, Action::ReadArrives { read, after });
    }

    pub(super) fn read_arrives(&mut self, read: WaitingRead, after: Revision) {
        if !self.reaches_store(read.node) {
            return;
        }
        let now = self.network.now();
        let newest = self.library.newest().revision();
        match self.store.read(now, read, after, newest) {
            Admission::Answer(revision) => self.answer_read(read, StoreAnswer::Read(revision)),
            Admission::TooMany => self.answer_read(read, StoreAnswer::TooManyReaders),
            Admission::Hold => self.schedule(now + READ_WAIT, Action::ReadWaitOver { read }),
            Admission::Silence => {}
        }
    }

    pub(super) fn read_wait_over(&mut self, read: WaitingRead) {
        if self.store.release(read) {
            let newest = self.library.newest().revision();
            self.answer_read(read, StoreAnswer::Read(newest));
        }
    }

    fn answer_read(&mut self, read: WaitingRead, answer: StoreAnswer) {
        let at = self.network.now() + self.store_latency(read.node);
        self.schedule(at, Action::ReadAnswered { read, answer });
    }

    pub(super) fn read_answered(&mut self, read: WaitingRead, answer: StoreAnswer) {
        let node = &mut self.nodes[read.node];
        let is_lost = node.life != read.life
            || self.network.is_down(read.node)
            || !self.reaches_store(read.node);
        if is_lost || self.nodes[read.node].read_deadline.take().is_none() {
            return;
        }
        if let StoreAnswer::Read(revision) = answer
            && revision > self.nodes[read.node].in_force
        {
            let applied = self.put_in_force(read.node, revision);
            self.handle(read.node, applied);
        }
        self.handle(read.node, Event::StoreAnswered(answer));
    }

    pub(super) fn edit_begins(&mut self, more: u32) {
        match self.choose_operators_node() {
            Some(node) => self.send_edit(node, more),
            None => self.edit_later(more),
        }
    }

    fn edit_later(&mut self, more: u32) {
        let again = self.network.now() + OPERATOR_PAUSE;
        self.schedule(again, Action::EditBegins { more });
    }

    fn send_edit(&mut self, node: NodeIndex, more: u32) {
        let based_on = self.nodes[node].in_force;
        let edit = self.trees.edit(based_on, &mut self.rng);
        let at = self.network.now() + self.store_latency(node) * EDIT_MESSAGES;
        self.schedule(at, Action::EditArrives { node, edit, more });
    }

    pub(super) fn edit_arrives(&mut self, node: NodeIndex, edit: Edit, more: u32) {
        if !self.reaches_store(node) || self.store.condition != StoreCondition::Up {
            self.refused_edits += 1;
            self.edit_later(more);
            return;
        }
        let revision = match self.library.edit(&edit) {
            Ok(revision) => {
                self.note_accepted(revision);
                revision
            }
            Err(EditError::AlreadyApplied { revision }) => revision,
            Err(_) => {
                self.refused_edits += 1;
                self.edit_later(more);
                return;
            }
        };
        self.reply_to_edit(node, edit, revision, more);
        for read in self.store.release_all() {
            let newest = self.library.newest().revision();
            self.answer_read(read, StoreAnswer::Read(newest));
        }
    }

    fn reply_to_edit(&mut self, node: NodeIndex, edit: Edit, revision: Revision, more: u32) {
        let now = self.network.now();
        if self.options.lose_edit_replies && self.rng.random_bool(0.5) {
            self.lost_replies += 1;
            let again = now + EDIT_TIMEOUT;
            self.schedule(again, Action::EditArrives { node, edit, more });
            return;
        }
        let life = self.nodes[node].life;
        let action = Action::EditAccepted {
            node,
            life,
            revision,
            more,
        };
        self.schedule(now + self.store_latency(node), action);
    }

    pub(super) fn edit_accepted(
        &mut self,
        node: NodeIndex,
        life: u32,
        revision: Revision,
        more: u32,
    ) {
        if self.network.is_down(node) || self.nodes[node].life != life {
            return;
        }
        if revision > self.nodes[node].in_force {
            let applied = self.put_in_force(node, revision);
            self.handle(node, applied);
        }
        if more > 0 {
            self.send_edit(node, more - 1);
        }
    }

    fn note_accepted(&mut self, revision: Revision) {
        let now = self.network.now();
        let lives = self.lives();
        let reachable_from = (0..self.nodes.len())
            .map(|node| {
                if self.reaches_store(node) {
                    now
                } else {
                    self.apart_until
                }
            })
            .collect();
        self.observations
            .accepted(now, revision, lives, reachable_from);
    }

    /// By node: the life it is in; none while it is down.
    pub(super) fn lives(&self) -> Vec<Option<u32>> {
        self.nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (!self.network.is_down(index)).then_some(node.life))
            .collect()
    }

    pub(super) fn regions_apart(&mut self, apart: bool) {
        let now = self.network.now();
        self.apart_since = apart.then_some(now);
        for index in 0..self.nodes.len() {
            let is_far = !self.network.topology().is_in_first_region(index);
            self.network.set_side(index, u8::from(apart && is_far));
            let delay = if apart {
                self.detection_time()
            } else {
                self.return_time()
            };
            let action = Action::ViewChanges {
                node: index,
                as_of: now,
            };
            self.schedule(now + delay, action);
        }
    }

    pub(super) fn nodes_fail(&mut self, count: usize) {
        let now = self.network.now();
        for _ in 0..count {
            if let Some(node) = self.choose_live_node() {
                self.take_down(node);
            }
        }
        self.announce_failure(now);
    }

    pub(super) fn node_restarts(&mut self) {
        let now = self.network.now();
        let Some(node) = self.choose_live_node() else {
            return;
        };
        self.take_down(node);
        self.announce_failure(now);
        self.schedule(now + RESTART_TIME, Action::NodeStarts { node });
    }

    pub(super) fn node_starts(&mut self, index: NodeIndex) {
        let now = self.network.now();
        let region = self.network.topology().place(index).region.clone();
        let life = self.nodes[index].life + 1;
        let seed = self.options.seed;
        self.nodes[index] = Node::start(now, node_id(index), region, life, seed);
        self.network.bring_up(index);
        self.down_since[index] = None;
        self.start_clock(index);
        for other in 0..self.nodes.len() {
            let delay = self.return_time();
            let action = Action::ViewChanges {
                node: other,
                as_of: now,
            };
            self.schedule(now + delay, action);
        }
    }

    fn take_down(&mut self, node: NodeIndex) {
        self.network.take_down(node);
        self.down_since[node] = Some(self.network.now());
    }

    fn announce_failure(&mut self, as_of: Time) {
        for index in 0..self.nodes.len() {
            let delay = self.detection_time();
            let action = Action::ViewChanges { node: index, as_of };
            self.schedule(as_of + delay, action);
        }
    }

    fn return_time(&mut self) -> Duration {
        RETURN_TIME.mul_f64(self.rng.random_range(0.1..1.0))
    }

    fn choose_live_node(&mut self) -> Option<NodeIndex> {
        let live: Vec<NodeIndex> = (0..self.nodes.len())
            .filter(|index| !self.network.is_down(*index))
            .collect();
        self.choose(&live)
    }

    fn choose_operators_node(&mut self) -> Option<NodeIndex> {
        let usable: Vec<NodeIndex> = (0..self.nodes.len())
            .filter(|index| !self.network.is_down(*index) && self.reaches_store(*index))
            .filter(|index| self.nodes[*index].spreader.readiness() == Readiness::Ready)
            .collect();
        self.choose(&usable)
    }

    fn choose(&mut self, nodes: &[NodeIndex]) -> Option<NodeIndex> {
        if nodes.is_empty() {
            return None;
        }
        Some(nodes[self.rng.random_range(0..nodes.len())])
    }

    fn reaches_store(&self, node: NodeIndex) -> bool {
        self.apart_since.is_none() || self.network.topology().is_in_first_region(node)
    }

    fn store_latency(&self, node: NodeIndex) -> Duration {
        let is_near = self.network.topology().is_in_first_region(node);
        STORE_LATENCY[usize::from(!is_near)]
    }
}
