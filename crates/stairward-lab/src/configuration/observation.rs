//! What is measured during a run.

use stairward_types::{Duration, Revision, Time};

use crate::simulated_network::NodeIndex;

/// An accepted edit and when it reached the nodes that were alive.
#[derive(Debug)]
struct AcceptedEdit {
    revision: Revision,
    accepted_at: Time,
    /// By node: the life it was in when the edit was accepted, none if it was down.
    lives: Vec<Option<u32>>,
    /// By node: from when it could have heard of the edit.
    reachable_from: Vec<Time>,
    reached_at: Vec<Option<Time>>,
}

/// The times an edit took to reach nodes.
#[derive(Debug, Default, Clone)]
pub(super) struct SpreadTimes {
    /// Per edit, to the last node that could be reached all the time.
    pub(super) last_node: Vec<Duration>,
    /// Per edit, to the last node that was cut off at first, from the end of the cut.
    pub(super) last_node_after_heal: Vec<Duration>,
    /// Per edit and node, of nodes that could be reached all the time.
    pub(super) each_node: Vec<Duration>,
    /// Pairs of edit and live node that had not met when the run ended.
    pub(super) unreached: usize,
}

/// Collects what is measured.
#[derive(Debug)]
pub(super) struct Observations {
    edits: Vec<AcceptedEdit>,
    /// By place: the highest revision in force while serving, over all lives.
    highest_served: Vec<Revision>,
    /// Times a serving node had a lower revision in force than its place had before.
    pub(super) reverted: u64,
    /// Times that was looked at.
    pub(super) revision_checks: u64,
    /// Longest time after an accepted edit for which a node without it still trusted its settings.
    pub(super) old_settings_trusted: Duration,
    /// Time that serving nodes spent without trusting their settings, of all nodes together.
    pub(super) untrusted: Duration,
    /// Bytes each node has sent, headers included.
    pub(super) sent_bytes: Vec<u64>,
    /// The same when traffic began to count.
    marked_bytes: Vec<u64>,
}

impl Observations {
    pub(super) fn new(nodes: usize) -> Self {
        Self {
            edits: Vec::new(),
            highest_served: vec![Revision(0); nodes],
            reverted: 0,
            revision_checks: 0,
            old_settings_trusted: Duration::ZERO,
            untrusted: Duration::ZERO,
            sent_bytes: vec![0; nodes],
            marked_bytes: vec![0; nodes],
        }
    }

    /// The store has accepted an edit.
    pub(super) fn accepted(
        &mut self,
        now: Time,
        revision: Revision,
        lives: Vec<Option<u32>>,
        reachable_from: Vec<Time>,
    ) {
        self.edits.push(AcceptedEdit {
            revision,
            accepted_at: now,
            reached_at: vec![None; lives.len()],
            lives,
            reachable_from,
        });
    }

    /// How many edits were accepted.
    pub(super) fn accepted_edits(&self) -> usize {
        self.edits.len()
    }

    /// A node has put a revision in force.
    pub(super) fn in_force(&mut self, now: Time, node: NodeIndex, life: u32, revision: Revision) {
        let newly_reached = self
            .edits
            .iter_mut()
            .rev()
            .filter(|edit| edit.revision <= revision)
            .take_while(|edit| edit.reached_at[node].is_none());
        for edit in newly_reached {
            if edit.lives[node] == Some(life) {
                edit.reached_at[node] = Some(now);
            }
        }
    }

    /// A serving node has this revision in force.
    pub(super) fn served(&mut self, node: NodeIndex, revision: Revision) {
        self.revision_checks += 1;
        let highest = &mut self.highest_served[node];
        if revision < *highest {
            self.reverted += 1;
        }
        *highest = (*highest).max(revision);
    }

    /// A node lacks edits and still trusts its settings.
    pub(super) fn trusts_old(&mut self, now: Time, revision: Revision) {
        let first_missing = self.edits.iter().find(|edit| edit.revision > revision);
        if let Some(edit) = first_missing {
            let age = now.since(edit.accepted_at);
            self.old_settings_trusted = self.old_settings_trusted.max(age);
        }
    }

    /// Traffic counts from now on.
    pub(super) fn mark_traffic(&mut self) {
        self.marked_bytes.clone_from(&self.sent_bytes);
    }

    /// Bytes each node has sent since traffic counts.
    pub(super) fn sent_since_mark(&self) -> Vec<u64> {
        let pairs = self.sent_bytes.iter().zip(&self.marked_bytes);
        pairs.map(|(sent, marked)| sent - marked).collect()
    }

    /// Sums up. `final_lives` tells which lives were still going when the run ended.
    pub(super) fn spread(&self, final_lives: &[Option<u32>]) -> SpreadTimes {
        let mut times = SpreadTimes::default();
        for edit in &self.edits {
            edit.add_to(&mut times, final_lives);
        }
        times
    }
}

impl AcceptedEdit {
    fn add_to(&self, times: &mut SpreadTimes, final_lives: &[Option<u32>]) {
        let mut last_node = None;
        let mut last_after_heal = None;
        for (node, life) in self.lives.iter().enumerate() {
            let survived = life.is_some() && *life == final_lives[node];
            let was_cut = self.reachable_from[node] > self.accepted_at;
            match self.reached_at[node] {
                Some(at) if was_cut => {
                    let time = at.since(self.reachable_from[node]);
                    last_after_heal = last_after_heal.max(Some(time));
                }
                Some(at) => {
                    let time = at.since(self.accepted_at);
                    times.each_node.push(time);
                    last_node = last_node.max(Some(time));
                }
                None if survived => times.unreached += 1,
                None => {}
            }
        }
        times.last_node.extend(last_node);
        times.last_node_after_heal.extend(last_after_heal);
    }
}
