//! The owner side of a simulated proxy: drives the real lease, pool and fence decisions.

mod batch;
mod claim;
mod commit;
mod control_connection;
mod stream;
mod work;

use std::collections::BTreeMap;

use stairward_pool::{ConnectionShares, OwnerRole};
use stairward_routing::Observation;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, BackendRole, Freshness, GroupId, NodeId, Term, Time};

use super::calls::{Asker, BackendQuestion, CallPurpose};
use super::database::DatabaseReply;
use super::message::{CallReply, CallRequest, EdgeMessage, OwnerMessage, PeerMessage, StreamKey};
use super::outbox::Outbox;
use super::proxy::ProxyState;

pub(super) use claim::{Claim, ClaimRequest, ClaimSettings};

/// A role at a back end.
pub(super) type ClaimKey = (BackendId, OwnerRole);

/// The roles at back ends that a proxy holds or wants.
#[derive(Debug, Default)]
pub(super) struct Owner {
    claims: BTreeMap<ClaimKey, Claim>,
    connections: BTreeMap<ConnectionNumber, ClaimKey>,
    streams: BTreeMap<StreamKey, ClaimKey>,
}

impl Owner {
    /// Whether no role is held any more and nothing is under way.
    pub(super) fn is_released(&self) -> bool {
        self.claims.values().all(Claim::is_released)
    }
}

impl ProxyState {
    /// Compares the roles held with those that the view and the settings give this proxy.
    pub(super) fn review_claims(&mut self, out: &mut Outbox<'_>) {
        let settings = std::sync::Arc::clone(&self.control.settings);
        for group in settings.groups.values() {
            for backend in group.backends.values() {
                let ranking = self.control.ranking(&backend.backend);
                let shares = ConnectionShares::divide(backend.connection_limit);
                for role in OwnerRole::ALL {
                    let ranked = ranking.and_then(|ranking| match role {
                        OwnerRole::Owner => Some(ranking.owner),
                        OwnerRole::Standby => ranking.standby,
                    });
                    let wanted = ranked == Some(self.identity.node)
                        && shares.of(role) > 0
                        && !self.is_stopping();
                    let key = (backend.backend.clone(), role);
                    if wanted && !self.owner.claims.contains_key(&key) {
                        let settings = ClaimSettings::new(group, backend, role, self.broken);
                        let claim = Claim::new(settings);
                        self.owner.claims.insert(key.clone(), claim);
                    }
                    self.with_claim(&key, out, |claim, out| claim.want(wanted, out));
                }
            }
        }
    }

    /// Puts changed settings in force at the back ends held.
    pub(super) fn settings_changed_for_claims(&mut self, out: &mut Outbox<'_>) {
        let settings = std::sync::Arc::clone(&self.control.settings);
        for group in settings.groups.values() {
            for backend in group.backends.values() {
                for role in OwnerRole::ALL {
                    let key = (backend.backend.clone(), role);
                    let changed = ClaimSettings::new(group, backend, role, self.broken);
                    self.with_claim(&key, out, |claim, out| claim.change_settings(changed, out));
                }
            }
        }
        self.review_claims(out);
    }

    /// Tells the pools whether the settings are too old to take work by them.
    pub(super) fn check_trust(&mut self, out: &mut Outbox<'_>) {
        let too_old = out.now >= self.control.trusted_until(out.now);
        for key in self.claim_keys() {
            self.with_claim(&key, out, |claim, out| claim.settings_too_old(too_old, out));
        }
    }

    /// A group has a newer term.
    pub(super) fn newest_term_for_claims(
        &mut self,
        group: &GroupId,
        term: Term,
        out: &mut Outbox<'_>,
    ) {
        for key in self.claim_keys() {
            self.with_claim(&key, out, |claim, out| claim.newest_term(group, term, out));
        }
    }

    /// Time has passed for a role.
    pub(super) fn wake_claim(&mut self, key: &ClaimKey, out: &mut Outbox<'_>) {
        self.with_claim(key, out, |claim, out| claim.woken(out));
    }

    /// A stream message arrives from an edge.
    pub(super) fn stream_message(
        &mut self,
        stream: StreamKey,
        message: EdgeMessage,
        out: &mut Outbox<'_>,
    ) {
        if let EdgeMessage::Open(open) = message {
            // A stream number is used once; a duplicate says nothing new.
            if self.seen_streams.insert(stream) {
                self.open_stream(stream, *open, out);
            }
            return;
        }
        let Some(key) = self.owner.streams.get(&stream).cloned() else {
            // A late message of an ended stream matches nothing.
            return;
        };
        self.with_claim(&key, out, |claim, out| match message {
            EdgeMessage::Batch(batch) => claim.next_batch(stream, batch, out),
            EdgeMessage::Abandon => claim.abandon(stream, out),
            EdgeMessage::Open(_) => {}
        });
    }

    fn open_stream(
        &mut self,
        stream: StreamKey,
        open: super::message::OpenStream,
        out: &mut Outbox<'_>,
    ) {
        let too_old = out.now >= self.control.trusted_until(out.now);
        let key = OwnerRole::ALL
            .map(|role| (open.backend.clone(), role))
            .into_iter()
            .find(|key| {
                let claim = self.owner.claims.get(key);
                claim.is_some_and(|claim| !claim.is_released())
            });
        let Some(key) = key else {
            let refusal = OwnerMessage::Refused {
                code: stairward_types::ResultCode::NotOwner,
                retry_after: None,
                observation: None,
            };
            out.peer(stream.edge, PeerMessage::ToEdge(stream, refusal));
            return;
        };
        self.owner.streams.insert(stream, key.clone());
        self.with_claim(&key, out, |claim, out| {
            claim.settings_too_old(too_old, out);
            claim.open_stream(stream, open, out);
        });
    }

    /// A database answers on one of this proxy's connections.
    pub(super) fn database_reply(
        &mut self,
        connection: ConnectionNumber,
        reply: DatabaseReply,
        out: &mut Outbox<'_>,
    ) {
        let Some(key) = self.owner.connections.get(&connection).cloned() else {
            return;
        };
        self.with_claim(&key, out, |claim, out| {
            claim.database_reply(connection, reply, out);
        });
    }

    /// An edge is gone: its streams are abandoned.
    pub(super) fn edge_lost(&mut self, edge: NodeId, out: &mut Outbox<'_>) {
        let streams: Vec<(StreamKey, ClaimKey)> = self
            .owner
            .streams
            .iter()
            .filter(|(stream, _)| stream.edge == edge)
            .map(|(stream, key)| (*stream, key.clone()))
            .collect();
        for (stream, key) in streams {
            self.with_claim(&key, out, |claim, out| claim.abandon(stream, out));
        }
    }

    /// A node asks for a back end's state.
    pub(super) fn backend_asked(
        &mut self,
        from: NodeId,
        call: u64,
        backend: &BackendId,
        out: &mut Outbox<'_>,
    ) {
        for role in OwnerRole::ALL {
            let key = (backend.clone(), role);
            let claim = self.owner.claims.get(&key);
            if claim.is_some_and(Claim::can_ask) {
                self.with_claim(&key, out, |claim, out| claim.ask(from, call, out));
                return;
            }
        }
        out.peer(from, PeerMessage::Reply(call, CallReply::Refused));
    }

    /// A role was handed over to this proxy.
    pub(super) fn role_handed_over(&mut self, key: &ClaimKey, out: &mut Outbox<'_>) {
        self.with_claim(key, out, Claim::handed_over);
    }

    /// A member has answered, or not, a fence's question.
    pub(super) fn fence_answered(
        &mut self,
        key: &ClaimKey,
        question: stairward_pool::fence::QuestionId,
        answer: Option<(Freshness, bool)>,
        out: &mut Outbox<'_>,
    ) {
        self.with_claim(key, out, |claim, out| {
            claim.fence_answered(question, answer, out);
        });
    }

    fn claim_keys(&self) -> Vec<ClaimKey> {
        self.owner.claims.keys().cloned().collect()
    }

    /// Runs something on a claim, then does what the claim wants of the proxy.
    fn with_claim(
        &mut self,
        key: &ClaimKey,
        out: &mut Outbox<'_>,
        act: impl FnOnce(&mut Claim, &mut Outbox<'_>),
    ) {
        let Some(claim) = self.owner.claims.get_mut(key) else {
            return;
        };
        claim.before(out);
        act(claim, out);
        claim.after(out);
        for request in claim.take_requests() {
            self.claim_request(key, request, out);
        }
    }

    fn claim_request(&mut self, key: &ClaimKey, request: ClaimRequest, out: &mut Outbox<'_>) {
        match request {
            ClaimRequest::Connected(connection) => {
                self.owner.connections.insert(connection, key.clone());
            }
            ClaimRequest::Disconnected(connection) => {
                self.owner.connections.remove(&connection);
            }
            ClaimRequest::StreamEnded(stream) => {
                self.owner.streams.remove(&stream);
            }
            ClaimRequest::AskMember(question, member) => {
                self.ask_backend(&member, Asker::Fence(key.clone(), question), out);
            }
            ClaimRequest::Observed(group, observation) => {
                if observation.role == BackendRole::Primary {
                    self.learn_primary(&group, observation.freshness.term, &key.0, out);
                }
                self.observe_backend(&group, &key.0, observation, out);
            }
            ClaimRequest::HandOver => {
                let ranking = self.control.ranking(&key.0);
                let successor = ranking.and_then(|ranking| match key.1 {
                    OwnerRole::Owner => Some(ranking.owner),
                    OwnerRole::Standby => ranking.standby,
                });
                if let Some(successor) = successor {
                    let request = CallRequest::HandOver(key.0.clone(), key.1);
                    self.calls
                        .ask(successor, request, CallPurpose::HandOver, out);
                }
            }
        }
    }

    /// Asks the owner of a back end, and if that fails its standby, for the back end's state now.
    pub(super) fn ask_backend(&mut self, backend: &BackendId, asker: Asker, out: &mut Outbox<'_>) {
        self.ask_holder(
            BackendQuestion {
                backend: backend.clone(),
                by_standby: false,
                asker,
            },
            out,
        );
    }

    /// Sends a question about a back end to the role that it names.
    pub(super) fn ask_holder(&mut self, question: BackendQuestion, out: &mut Outbox<'_>) {
        let ranking = self.control.ranking(&question.backend);
        let node = ranking.and_then(|ranking| {
            if question.by_standby {
                ranking.standby
            } else {
                Some(ranking.owner)
            }
        });
        match node {
            Some(node) => {
                let request = CallRequest::AskBackend(question.backend.clone());
                self.calls
                    .ask(node, request, CallPurpose::Backend(question), out);
            }
            None => self.backend_unanswered(question, out),
        }
    }
}

/// The earliest of moments, some of which may be missing.
fn earliest(moments: impl IntoIterator<Item = Option<Time>>) -> Time {
    moments.into_iter().flatten().min().unwrap_or(Time::NEVER)
}

/// An observation of a back end as the edge takes it.
fn observation(freshness: Freshness, is_primary: bool, waiting: usize) -> Observation {
    Observation {
        freshness,
        role: if is_primary {
            BackendRole::Primary
        } else {
            BackendRole::Replica
        },
        waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
    }
}
