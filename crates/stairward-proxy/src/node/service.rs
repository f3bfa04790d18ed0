//! Dispatches the streams and calls of peers to the parts of the node that handle them.

use std::sync::Arc;

use stairward_protocol::call::{CallReply, CallRequest};
use stairward_types::{BackendId, GroupId, NodeId, ResultCode, Term};

use crate::cluster::{Cluster, KnownPrimary};
use crate::control::configuration::ConfigurationHandle;
use crate::control::membership::MembershipHandle;
use crate::edge::EdgeService;
use crate::owner::OwnerService;
use crate::peer::{CallFuture, OwnerStream, PeerService};

/// The [`PeerService`] of a node, for its peers and for the node itself.
pub(super) struct NodeService {
    pub(super) cluster: Cluster,
    pub(super) edge: Arc<EdgeService>,
    pub(super) owner: Arc<OwnerService>,
    pub(super) membership: MembershipHandle,
    pub(super) configuration: ConfigurationHandle,
}

impl PeerService for NodeService {
    fn accept_stream(&self, stream: OwnerStream) {
        self.owner.accept_stream(stream);
    }

    fn answer_call(&self, from: NodeId, request: CallRequest) -> CallFuture {
        match request {
            CallRequest::QueryBackend { backend } => {
                let owner = Arc::clone(&self.owner);
                Box::pin(async move {
                    match BackendId::new(backend.as_str()) {
                        Ok(backend) => owner.probe_backend(&backend).await,
                        Err(_) => refusal(ResultCode::ProtocolViolation),
                    }
                })
            }
            CallRequest::HandOver { backend } => {
                if let Ok(backend) = BackendId::new(backend.as_str()) {
                    self.owner.handle_handover(&backend);
                }
                Box::pin(std::future::ready(CallReply::Done))
            }
            CallRequest::ExchangeSettings(exchange) => {
                let configuration = self.configuration.clone();
                Box::pin(async move { configuration.handle_exchange(from, exchange).await })
            }
            CallRequest::AnnounceTerm {
                group,
                term,
                primary,
            } => {
                let reply = self.learn_term(group.as_str(), Term(term), primary.as_str());
                Box::pin(std::future::ready(reply))
            }
            request => {
                let reply = self
                    .edge
                    .answer_call(&request)
                    .unwrap_or_else(|| refusal(ResultCode::ProtocolViolation));
                Box::pin(std::future::ready(reply))
            }
        }
    }

    fn peer_connection_lost(&self, peer: NodeId) {
        self.membership.report_connection_lost(peer);
    }
}

impl NodeService {
    fn learn_term(&self, group: &str, term: Term, primary: &str) -> CallReply {
        match (GroupId::new(group), BackendId::new(primary)) {
            (Ok(group), Ok(backend)) => {
                self.cluster
                    .learn_primary(&group, KnownPrimary { term, backend });
                CallReply::Done
            }
            _ => refusal(ResultCode::ProtocolViolation),
        }
    }
}

fn refusal(code: ResultCode) -> CallReply {
    CallReply::Refused {
        code: code.number(),
    }
}
