//! Probes of the leader's position. A probe is an empty transaction that only a leader accepts; its reply
//! proves a position without occupying a slot.

use std::time::Duration;

use stairward_types::{Freshness, ServiceName, Time};

use crate::choice::ConnectionRequest;
use crate::connection::User;
use crate::engine::Engine;
use crate::event::{BackendCommand, Effect};
use crate::proofs::Proof;

/// Percentage of the allowed staleness after which a proof is renewed in advance.
const RENEWAL_AGE_PERCENT: u32 = 40;
/// A probe without a reply is abandoned after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// If a probe has no reply after this time, the node queries its peers too.
const PEER_QUERY_DELAY: Duration = Duration::from_millis(150);
/// Minimum interval between queries to peers.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl Engine {
    /// Starts a probe of the leader's position if the newest proof is too old for this staleness.
    pub(crate) fn keep_proof_fresh(
        &mut self,
        now: Time,
        service: &ServiceName,
        staleness: Duration,
    ) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let renewal_age = staleness * RENEWAL_AGE_PERCENT / 100;
        let is_fresh = group.proofs.newest().is_some_and(|proof| {
            now.since(proof.asked_at) < renewal_age && proof.freshness.term >= group.newest_term
        });
        if is_fresh {
            return;
        }
        let probing_for = group.probing_since.map(|since| now.since(since));
        let is_probing = probing_for.is_some_and(|elapsed| elapsed < PROBE_TIMEOUT);
        let is_slow = probing_for.is_some_and(|elapsed| elapsed >= PEER_QUERY_DELAY);
        let has_begun = is_probing || self.begin_probe(now, service);
        if !has_begun || is_slow {
            self.ask_peers(now, service);
        }
    }

    /// Queries peers for the leader's position because this node can't query the leader itself.
    fn ask_peers(&mut self, now: Time, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let was_asked = group
            .asked_peers_at
            .is_some_and(|at| now.since(at) < PEER_QUERY_INTERVAL);
        if !was_asked {
            group.asked_peers_at = Some(now);
            let service = service.clone();
            self.effects.push(Effect::QueryPosition { service });
        }
    }

    /// Applies a peer's answer. The peer answered after the query was sent, so the position was requested
    /// from the leader at most `age` before `asked_at`. No two clocks are compared.
    pub(crate) fn apply_peer_position(
        &mut self,
        service: &ServiceName,
        freshness: Freshness,
        asked_at: Time,
        age: Duration,
    ) {
        if age > asked_at.since(Time::ZERO) {
            // The information predates the start of this node's clock and can't be dated.
            return;
        }
        if let Some(group) = self.groups.get_mut(service) {
            group.record_proof(Proof {
                freshness,
                asked_at: asked_at - age,
            });
            self.changed.insert(service.clone());
        }
    }

    /// The newest proved position of a service's leader, and the time since it was requested.
    #[must_use]
    pub fn proved_position(
        &self,
        now: Time,
        service: &ServiceName,
    ) -> Option<(Freshness, Duration)> {
        let proof = self.groups.get(service)?.proofs.newest()?;
        Some((proof.freshness, now.since(proof.asked_at)))
    }

    /// Starts a probe; returns whether a leader and a connection were available.
    fn begin_probe(&mut self, now: Time, service: &ServiceName) -> bool {
        let Some(leader) = self.leader(now, service) else {
            return false;
        };
        self.renew_leadership_confirmation(now, service, &leader);
        if self.is_leadership_revoked(now, service, &leader) {
            return false;
        }
        let Some(connection) =
            self.connection_to(now, &leader, &ConnectionRequest::for_internal_query())
        else {
            return false;
        };
        if let Some(group) = self.groups.get_mut(service) {
            group.probing_since = Some(now);
        }
        self.assign_connection(connection, User::Probe);
        let begin = BackendCommand::Begin {
            read_only: false,
            floor: None,
        };
        self.send(now, connection, begin);
        true
    }

    /// A probe has ended, with or without a proof.
    pub(crate) fn probe_ended(&mut self, service: &ServiceName) {
        if let Some(group) = self.groups.get_mut(service) {
            group.probing_since = None;
        }
        self.changed.insert(service.clone());
    }
}
