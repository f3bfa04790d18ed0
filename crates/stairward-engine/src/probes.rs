//! Learning the leader's position: an empty transaction at the leader, which only the leader accepts,
//! proves a position and takes no slot.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{ServiceName, Time};

use crate::connection::User;
use crate::engine::Engine;
use crate::event::BackendCommand;

/// The part of the allowed staleness after which a proof is renewed ahead of need, in percent.
const RENEWAL_AGE_PERCENT: u32 = 40;
/// A probe without an answer for this long is given up.
const PROBE_PATIENCE: Duration = Duration::from_millis(400);

impl Engine {
    /// Begins a probe of the leader's position when the newest proof grows old for this staleness.
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
        let is_fresh = group.proof.is_some_and(|proof| {
            now.since(proof.asked_at) < renewal_age && proof.freshness.term >= group.newest_term
        });
        let is_probing = group
            .probing_since
            .is_some_and(|since| now.since(since) < PROBE_PATIENCE);
        if !is_fresh && !is_probing {
            self.begin_probe(now, service);
        }
    }

    fn begin_probe(&mut self, now: Time, service: &ServiceName) {
        let Some(leader) = self.leader(now, service) else {
            return;
        };
        let Some(connection) = self.connection_to(now, &leader, &BTreeMap::new()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(service) {
            group.probing_since = Some(now);
        }
        self.use_connection(connection, User::Probe);
        let begin = BackendCommand::Begin {
            read_only: false,
            floor: None,
        };
        self.send(now, connection, begin);
    }

    /// A probe has ended, with or without a proof.
    pub(crate) fn probe_ended(&mut self, service: &ServiceName) {
        if let Some(group) = self.groups.get_mut(service) {
            group.probing_since = None;
        }
        self.changed.insert(service.clone());
    }
}
