//! What a back end does with what arrives from a claim.

use stairward_pool::OwnerRole;
use stairward_pool::lease::LeaseSettings;
use stairward_types::{Duration, Time};

use super::claim::{Claim, ClaimIndex};
use super::event::{BackendEvent, Event};
use super::fleet::Fleet;
use super::report::OwnershipWeakness;
use crate::simulated_network::NodeIndex;

/// Time between a node's check of its lease and the connection it allows.
const CHECK_TO_USE: Duration = Duration::from_micros(20);

impl Fleet {
    /// Something arrives at a claim's back end.
    pub(super) fn at_backend(&mut self, claim: ClaimIndex, what: BackendEvent) {
        let now = self.agenda.now();
        let Claim {
            node,
            backend: index,
            role,
            ..
        } = self.claims[claim];
        let back = self.latency(claim);
        let backend = &mut self.backends[index];
        match what {
            BackendEvent::Attempt { session, sent_at } => {
                let locked = backend.try_lock(role, node, session, now);
                if locked {
                    self.watch_silence(claim, session, now);
                }
                let answer = Event::AttemptAnswered {
                    claim,
                    session,
                    sent_at,
                    locked,
                };
                self.agenda.after(back, answer);
            }
            BackendEvent::CloseContender => backend.close_contender(),
            BackendEvent::EndLeftovers => {
                if self.weakness != Some(OwnershipWeakness::KeepsLeftovers) {
                    for (other, count) in backend.end_leftovers(role) {
                        self.sessions_ended(other, index, role, count);
                    }
                }
                self.agenda.after(back, Event::LeftoversEnded(claim));
            }
            BackendEvent::Probe { session, sent_at } => {
                let sent_at = backend.ask(role, session, now).then_some(sent_at);
                let answer = Event::ProbeAnswered {
                    claim,
                    session,
                    sent_at,
                };
                self.agenda.after(back, answer);
            }
            BackendEvent::Check { session } => {
                let event = if backend.ask(role, session, now) {
                    Event::SendOpening(claim)
                } else {
                    self.claims[claim].counted = self.claims[claim].counted.saturating_sub(1);
                    Event::OpeningFinished(claim)
                };
                self.agenda.after(back + CHECK_TO_USE, event);
            }
            BackendEvent::EndSilent { session } => self.end_silent(claim, session),
            BackendEvent::Open => {
                backend.open(role, node);
                self.agenda.after(back, Event::OpeningFinished(claim));
            }
            BackendEvent::CloseAll => backend.close_all(role, node),
            BackendEvent::Unlock { session } => backend.unlock(role, session),
        }
    }

    fn end_silent(&mut self, claim: ClaimIndex, session: u64) {
        let now = self.agenda.now();
        let Claim { backend, role, .. } = self.claims[claim];
        let timeout = LeaseSettings::default().duration;
        let due = self.backends[backend].end_silent(role, session, timeout, now);
        if let Some(due) = due {
            let event = BackendEvent::EndSilent { session };
            self.agenda.at(due, Event::AtBackend(claim, event));
        }
    }

    fn watch_silence(&mut self, claim: ClaimIndex, session: u64, now: Time) {
        let due = now + LeaseSettings::default().duration;
        let event = BackendEvent::EndSilent { session };
        self.agenda.at(due, Event::AtBackend(claim, event));
    }

    fn sessions_ended(&mut self, node: NodeIndex, backend: usize, role: OwnerRole, count: u32) {
        let of_node = self.claims_by_node[node].iter().copied();
        let mut matching = of_node.filter(|claim| {
            let claim = &self.claims[*claim];
            claim.backend == backend && claim.role == role
        });
        if let Some(claim) = matching.next() {
            let delay = self.latency(claim);
            self.agenda
                .after(delay, Event::SessionsEnded { claim, count });
        }
    }
}
