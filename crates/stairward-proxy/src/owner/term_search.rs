//! Finding a group's newest primary after its present one may have been lost: every other member
//! is asked, again and again, until one leads a newer term or the old one answers again.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_types::{BackendId, BackendRole, Freshness, Term};

use super::backend::Backend;
use super::context::OwnerContext;
use super::status::BackendStatus;
use crate::cluster::KnownPrimary;

/// Pause between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// How long one answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Rounds after which the search is given up; the regular probes of the members' owners go on.
const MAXIMUM_ROUNDS: u32 = 1_500;

/// Starts a search when the back end was the group's primary as far as is known. To be called
/// before the pool forgets its state.
pub(super) fn primary_may_be_lost(backend: &Arc<Backend>) {
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
        let questions = members
            .iter()
            .map(|member| ask_member(&backend.context, member, ANSWER_TIMEOUT));
        let answers = join_all(questions).await;
        for (member, answer) in members.iter().zip(answers) {
            if let Some(status) = answer {
                learn(&backend, member, status);
            }
        }
        let is_back = backend.state().is_some();
        if is_back || newest_term(&backend) > lost_term || backend.ended.is_cancelled() {
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

fn learn(backend: &Backend, member: &BackendId, status: BackendStatus) {
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

/// Has a member asked, now, by its owner, or by its standby when the owner cannot.
pub(super) async fn ask_member(
    context: &OwnerContext,
    member: &BackendId,
    timeout: Duration,
) -> Option<BackendStatus> {
    let owners = context.cluster.owners(member)?;
    let askers = std::iter::once(owners.owner).chain(owners.standby);
    for node in askers {
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
