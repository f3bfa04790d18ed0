//! Searches for a group's new primary when the current one may have failed: polls all other members
//! until one is primary in a newer term or the old primary responds again.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_types::{BackendId, BackendRole, Freshness, Term};

use super::backend::Backend;
use super::context::OwnerContext;
use super::status::BackendStatus;
use crate::cluster::KnownPrimary;

/// Pause between two polling rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit of one query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of rounds. The regular probes by the members' owners continue afterwards.
const MAXIMUM_ROUNDS: u32 = 1_500;

/// Starts a search if the back end was the group's last known primary. Must be called before
/// `PoolEvent::ProbeFailed`, which clears the pool's state.
pub(super) fn start_primary_search(backend: &Arc<Backend>) {
    let Some(last) = backend.state() else {
        return;
    };
    if last.role == BackendRole::Primary {
        tokio::spawn(search(Arc::clone(backend), last.freshness.term));
    }
}

async fn search(backend: Arc<Backend>, lost_term: Term) {
    let members = backend.context.other_members(&backend.identity);
    for _ in 0..MAXIMUM_ROUNDS {
        let queries = members
            .iter()
            .map(|member| query_member(&backend.context, member, ANSWER_TIMEOUT));
        let answers = join_all(queries).await;
        for (member, answer) in members.iter().zip(answers) {
            if let Some(status) = answer {
                record_primary(&backend, member, status);
            }
        }
        let is_back = backend.state().is_some();
        if is_back || newest_term(&backend) > lost_term || backend.ended.is_cancelled() {
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

fn record_primary(backend: &Backend, member: &BackendId, status: BackendStatus) {
    if status.is_primary() {
        let primary = KnownPrimary {
            term: status.freshness.term,
            backend: member.clone(),
        };
        let cluster = &backend.context.cluster;
        cluster.learn_primary(&backend.identity.group, primary);
    }
}

fn newest_term(backend: &Backend) -> Term {
    let primaries = backend.context.cluster.primaries();
    let known = primaries.get(&backend.identity.group);
    known.map(|primary| primary.term).unwrap_or_default()
}

/// Queries a member's current status through its owner, or through its standby if that fails.
pub(super) async fn query_member(
    context: &OwnerContext,
    member: &BackendId,
    timeout: Duration,
) -> Option<BackendStatus> {
    let owners = context.cluster.owners(member)?;
    let nodes = std::iter::once(owners.owner).chain(owners.standby);
    for node in nodes {
        let request = CallRequest::QueryBackend {
            backend: member.as_str().into(),
        };
        let reply = context.network.call(node, request, timeout).await;
        if let Ok(CallReply::Backend {
            freshness,
            is_primary,
            received,
        }) = reply
        {
            let role = if is_primary == 1 {
                BackendRole::Primary
            } else {
                BackendRole::Replica
            };
            return Some(BackendStatus {
                freshness: Freshness::from(freshness),
                received: Freshness::from(received),
                role,
            });
        }
    }
    None
}
