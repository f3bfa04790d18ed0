//! What a node does with its claims.

use rand::RngExt as _;
use stairward_pool::lease::{LeaseEffect, LeaseEvent};
use stairward_pool::{OwnerRole, should_hold};
use stairward_types::{Duration, Time};

use super::claim::{Claim, ClaimIndex};
use super::event::{BackendEvent, Event};
use super::fleet::Fleet;
use crate::simulated_network::NodeIndex;

/// Time to open a connection at a back end.
const OPENING_TIME: Duration = Duration::from_millis(10);
/// Connections a claim opens at once.
const OPENING_LIMIT: u32 = 4;
/// How often a holder asks its back end.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time work in flight takes to end at a planned hand-over.
const LONGEST_WORK_MILLIS: u64 = 50;

impl Fleet {
    /// Something happens at a node that is neither paused nor gone.
    pub(super) fn at_node(&mut self, event: Event) {
        match event {
            Event::Wake(claim) => self.tell(claim, LeaseEvent::Tick),
            Event::AttemptAnswered {
                claim,
                session,
                sent_at,
                locked,
            } => {
                self.attempt_answered(claim, session, sent_at, locked);
            }
            Event::LeftoversEnded(claim) => self.tell(claim, LeaseEvent::StaleSessionsEnded),
            Event::SendProbe { claim, session } => self.send_probe(claim, session),
            Event::ProbeAnswered {
                claim,
                session,
                sent_at,
            } => {
                self.probe_answered(claim, session, sent_at);
            }
            Event::SendOpening(claim) => {
                // The check came before; a node paused since then does not look again.
                self.send(claim, OPENING_TIME, BackendEvent::Open);
            }
            Event::OpeningFinished(claim) => {
                self.claims[claim].opening -= 1;
                self.close_or_open(claim);
            }
            Event::SessionsEnded { claim, count } => {
                let state = &mut self.claims[claim];
                state.counted = state.counted.saturating_sub(count).max(state.opening);
                self.open_more(claim);
            }
            Event::WorkEnded(claim) => {
                self.close_all(claim);
                self.tell(claim, LeaseEvent::ConnectionsClosed);
            }
            Event::HandedOver(claim) => self.tell(claim, LeaseEvent::ReleasedByPredecessor),
            Event::Learnt {
                node,
                other,
                failed,
            } => {
                self.views.learn(node, other, failed);
                self.want(node);
            }
            Event::RolesChanged(node) => self.want(node),
            Event::Resumes(node) => self.resume(node),
            Event::AtBackend(..) | Event::Fails(_) | Event::Pauses(..) => {}
        }
    }

    /// Puts the node's claims in line with its view and with what it holds.
    pub(super) fn want(&mut self, node: NodeIndex) {
        for claim in self.claims_by_node[node].clone() {
            let Claim { backend, role, .. } = self.claims[claim];
            let ranked = self.views.wanted(node, backend);
            let holds_owner = self.holds(node, backend, OwnerRole::Owner);
            let holds_standby = self.holds(node, backend, OwnerRole::Standby);
            let wanted = should_hold(role, ranked, holds_owner, holds_standby);
            self.tell(claim, LeaseEvent::Wanted(wanted));
        }
    }

    fn holds(&self, node: NodeIndex, backend: usize, role: OwnerRole) -> bool {
        let mut claims = self.claims_by_node[node].iter().map(|c| &self.claims[*c]);
        claims.any(|claim| claim.backend == backend && claim.role == role && claim.in_use)
    }

    /// Tells a claim's lease something.
    pub(super) fn tell(&mut self, claim: ClaimIndex, event: LeaseEvent) {
        let now = self.agenda.now();
        let effects = self.claims[claim].lease.handle(now, event);
        for effect in effects {
            self.carry_out(claim, effect, event);
        }
        if let Some(due) = self.claims[claim].lease.next_wake() {
            self.agenda.at(due, Event::Wake(claim));
        }
    }

    fn carry_out(&mut self, claim: ClaimIndex, effect: LeaseEffect, cause: LeaseEvent) {
        let now = self.agenda.now();
        let Claim { backend, role, .. } = self.claims[claim];
        match effect {
            LeaseEffect::AcquireLock => {
                let session = self.next_session;
                self.next_session += 1;
                let attempt = BackendEvent::Attempt {
                    session,
                    sent_at: now,
                };
                self.send(claim, OPENING_TIME, attempt);
            }
            LeaseEffect::EndStaleSessions => {
                self.send(claim, Duration::ZERO, BackendEvent::EndLeftovers);
            }
            LeaseEffect::StartUse => {
                self.claims[claim].in_use = true;
                self.watch.starts(backend, role, claim, now);
                self.open_more(claim);
                let node = self.claims[claim].node;
                self.agenda.after(Duration::ZERO, Event::RolesChanged(node));
            }
            LeaseEffect::StopUse => {
                self.leases_lapsed += u64::from(cause == LeaseEvent::Tick);
                self.claims[claim].in_use = false;
                self.watch.stops(backend, role, claim, now);
                self.close_all(claim);
            }
            LeaseEffect::CloseConnections => {
                let work = self.random.random_range(0..=LONGEST_WORK_MILLIS);
                let work = Duration::from_millis(work);
                self.agenda.after(work, Event::WorkEnded(claim));
            }
            LeaseEffect::ReleaseLock => self.release(claim),
        }
    }

    fn release(&mut self, claim: ClaimIndex) {
        if let Some(session) = self.claims[claim].session.take() {
            self.send(claim, Duration::ZERO, BackendEvent::Unlock { session });
        }
        let Claim {
            backend,
            role,
            node,
            ..
        } = self.claims[claim];
        let same_role = |other: &Claim| other.backend == backend && other.role == role;
        let successors: Vec<ClaimIndex> = (0..self.claims.len())
            .filter(|other| same_role(&self.claims[*other]) && self.claims[*other].node != node)
            .collect();
        for successor in successors {
            let delay = self.latency(claim) * 2;
            self.agenda.after(delay, Event::HandedOver(successor));
        }
    }

    fn attempt_answered(&mut self, claim: ClaimIndex, session: u64, sent_at: Time, locked: bool) {
        if locked {
            self.claims[claim].session = Some(session);
            self.tell(claim, LeaseEvent::LockAcquired { sent_at });
            self.agenda
                .after(PROBE_INTERVAL, Event::SendProbe { claim, session });
        } else {
            self.send(claim, Duration::ZERO, BackendEvent::CloseContender);
            self.tell(claim, LeaseEvent::LockNotAcquired);
        }
    }

    fn send_probe(&mut self, claim: ClaimIndex, session: u64) {
        if self.claims[claim].session == Some(session) {
            let sent_at = self.agenda.now();
            self.send(
                claim,
                Duration::ZERO,
                BackendEvent::Probe { session, sent_at },
            );
        }
    }

    fn probe_answered(&mut self, claim: ClaimIndex, session: u64, sent_at: Option<Time>) {
        if self.claims[claim].session != Some(session) {
            return;
        }
        match sent_at {
            Some(sent_at) => {
                self.tell(claim, LeaseEvent::Renewed { sent_at });
                self.agenda
                    .after(PROBE_INTERVAL, Event::SendProbe { claim, session });
                self.open_more(claim);
            }
            None => {
                self.claims[claim].session = None;
                self.tell(claim, LeaseEvent::ControlConnectionLost);
            }
        }
    }

    /// Opens connections up to the share, each after a question on the control session.
    fn open_more(&mut self, claim: ClaimIndex) {
        let now = self.agenda.now();
        loop {
            let state = &mut self.claims[claim];
            let Some(session) = state.session.filter(|_| state.lease.is_held(now)) else {
                return;
            };
            if state.opening >= OPENING_LIMIT || state.counted >= state.share {
                return;
            }
            state.counted += 1;
            state.opening += 1;
            self.send(claim, Duration::ZERO, BackendEvent::Check { session });
        }
    }

    fn close_or_open(&mut self, claim: ClaimIndex) {
        if self.claims[claim].lease.is_held(self.agenda.now()) {
            self.open_more(claim);
        } else {
            self.late_connections += 1;
            self.close_all(claim);
        }
    }

    fn close_all(&mut self, claim: ClaimIndex) {
        let state = &mut self.claims[claim];
        state.counted = state.opening;
        self.send(claim, Duration::ZERO, BackendEvent::CloseAll);
    }
}
