//! Determines how far a group's log has been received by a majority of its members.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairward_protocol::call::CallReply;
use stairward_routing::{GroupView, Observation};
use stairward_types::{BackendId, BackendRole, Freshness};
use tokio::sync::Mutex;

use crate::peer::PeerError;

/// A member's reply to a state query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MemberReply {
    pub(super) backend: BackendId,
    /// Term and applied position: the state visible to reads on this member.
    pub(super) freshness: Freshness,
    /// Term and received position: the state that counts towards a majority.
    pub(super) received: Freshness,
    pub(super) is_primary: bool,
}

impl MemberReply {
    pub(super) fn read(
        backend: &BackendId,
        call_result: Result<CallReply, PeerError>,
    ) -> Option<Self> {
        match call_result {
            Ok(CallReply::Backend {
                freshness,
                is_primary,
                received,
            }) => Some(Self {
                backend: backend.clone(),
                freshness: freshness.into(),
                received: received.into(),
                is_primary: is_primary != 0,
            }),
            _ => None,
        }
    }

    /// Converts the reply to a routing observation. The reply doesn't contain the member's load, so
    /// the last known value is kept.
    pub(super) fn observation(&self, view: &GroupView) -> Observation {
        let last = view
            .backends()
            .get(&self.backend)
            .and_then(|state| state.last_observation);
        let role = if self.is_primary {
            BackendRole::Primary
        } else {
            BackendRole::Replica
        };
        Observation {
            freshness: self.freshness,
            role,
            waiting: last.map_or(0, |last| last.waiting),
        }
    }
}

#[derive(Default)]
struct LastRound {
    /// The number of the round, starting at 1.
    number: u64,
    result: Option<Freshness>,
}

/// Rounds of queries to a group's members, one at a time.
///
/// All waiting sessions share one round, provided that it started after they asked: only then does
/// it cover every write acknowledged before.
#[derive(Default)]
pub(super) struct MajorityRounds {
    /// Number of rounds started so far.
    started: AtomicU64,
    last: Mutex<LastRound>,
}

impl MajorityRounds {
    /// The latest freshness among the replies of a majority that was queried after this call;
    /// `None` without a majority.
    ///
    /// Any majority gives a correct result: a write acknowledged at a position has been received by
    /// a majority, so at least one of the members that reply has received it, or follows a later
    /// term whose log includes it. Applied positions would not be sufficient, because a write is
    /// acknowledged before the replicas apply it.
    pub(super) async fn run<F>(
        &self,
        members: usize,
        queries: impl FnOnce() -> FuturesUnordered<F>,
    ) -> Option<Freshness>
    where
        F: Future<Output = Option<MemberReply>>,
    {
        let started_before = self.started.load(Ordering::SeqCst);
        let mut last = self.last.lock().await;
        if last.number > started_before {
            return last.result;
        }
        last.number = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        last.result = combine_majority(members, queries()).await;
        last.result
    }
}

async fn combine_majority<F>(members: usize, mut replies: FuturesUnordered<F>) -> Option<Freshness>
where
    F: Future<Output = Option<MemberReply>>,
{
    let quorum = members / 2 + 1;
    let mut count = 0;
    let mut combined = Freshness::default();
    while let Some(reply) = replies.next().await {
        let Some(reply) = reply else { continue };
        combined = combined.join(reply.received);
        count += 1;
        if count >= quorum {
            return Some(combined);
        }
    }
    None
}
