//! State of one database group shared by all sessions of an edge: routing state, the search for a
//! primary, and the freshness confirmed by a majority.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use stairward_protocol::call::CallRequest;
use stairward_routing::{GroupRouting, HoldLimits, RoutingLimits, ZoneDistance};
use stairward_settings::{BackendSettings, GroupSettings};
use stairward_types::{Freshness, GroupId, Revision};
use tokio::sync::watch;

use super::majority::{MajorityRounds, MemberReply};
use crate::cluster::{Cluster, Identity, KnownPrimary};
use crate::peer::PeerNetwork;

/// Interval between two searches for a primary while requests wait for one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(25);
/// How long one search waits for replies from the members.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Rate at which held requests are released to a new primary.
const RELEASES_PER_SECOND: u32 = 2_000;

/// A database group as seen by this edge.
pub(super) struct Group {
    pub(super) id: GroupId,
    cluster: Cluster,
    network: PeerNetwork,
    state: Mutex<State>,
    /// Incremented whenever a new primary is found or the known one is confirmed.
    primary_updates: watch::Sender<u64>,
    searching: AtomicBool,
    rounds: MajorityRounds,
}

#[derive(Default)]
struct State {
    revision: Option<Revision>,
    routing: GroupRouting,
}

impl Group {
    pub(super) fn new(id: GroupId, cluster: Cluster, network: PeerNetwork) -> Self {
        Self {
            id,
            cluster,
            network,
            state: Mutex::default(),
            primary_updates: watch::Sender::new(0),
            searching: AtomicBool::new(false),
            rounds: MajorityRounds::default(),
        }
    }

    /// The current settings; `None` if the group has been removed.
    fn settings(&self) -> Option<GroupSettings> {
        self.with_settings(GroupSettings::clone)
    }

    /// Reads the current settings; `None` if the group has been removed.
    pub(super) fn with_settings<R>(&self, read: impl FnOnce(&GroupSettings) -> R) -> Option<R> {
        self.cluster.settings().groups.get(&self.id).map(read)
    }

    /// Runs `decide` on the group's routing state after updating it.
    pub(super) fn with_routing<R>(&self, decide: impl FnOnce(&mut GroupRouting) -> R) -> R {
        let mut state = self.lock();
        self.refresh(&mut state);
        decide(&mut state.routing)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changed settings and newly found primaries.
    fn refresh(&self, state: &mut State) {
        let settings = self.cluster.settings();
        if state.revision != Some(settings.revision)
            && let Some(group) = settings.groups.get(&self.id)
        {
            state.revision = Some(settings.revision);
            apply_settings(&mut state.routing, group, &self.cluster.identity);
        }
        if let Some(known) = self.cluster.primaries().get(&self.id) {
            let is_newer = state
                .routing
                .view
                .primary()
                .is_none_or(|current| known.term > current.term);
            if is_newer {
                let view = &mut state.routing.view;
                view.confirm_primary(known.term, known.backend.clone());
            }
        }
    }

    /// Subscribes to notifications that a primary was found or confirmed.
    pub(super) fn subscribe_primary(&self) -> watch::Receiver<u64> {
        self.primary_updates.subscribe()
    }

    /// Wakes the requests that wait for a primary.
    pub(super) fn notify_waiting(&self) {
        self.primary_updates.send_modify(|count| *count += 1);
    }

    /// Searches for a primary while requests wait for one. At most one search runs at a time.
    pub(super) fn start_primary_search(self: &Arc<Self>) {
        if self.searching.swap(true, Ordering::SeqCst) {
            return;
        }
        let group = Arc::clone(self);
        tokio::spawn(async move {
            while group.with_routing(|routing| !routing.hold.is_empty()) {
                if group.search_round().await {
                    group.notify_waiting();
                }
                tokio::time::sleep(SEARCH_INTERVAL).await;
            }
            group.searching.store(false, Ordering::SeqCst);
            // A request may have been queued between the last check and the store.
            if group.with_routing(|routing| !routing.hold.is_empty()) {
                group.start_primary_search();
            }
        });
    }

    /// Queries every member once, and stops as soon as the replies identify a primary.
    async fn search_round(&self) -> bool {
        let Some(settings) = self.settings() else {
            return false;
        };
        let mut queries: FuturesUnordered<_> = settings
            .backends
            .keys()
            .map(|backend| self.query_member(backend, SEARCH_TIMEOUT))
            .collect();
        let mut replies = Vec::new();
        while let Some(reply) = queries.next().await {
            replies.extend(reply);
            if self.adopt_primary(&replies, settings.backends.len()) {
                return true;
            }
        }
        false
    }

    /// Adopts the primary that the replies identify, if any. A primary of a newer term is adopted
    /// at once. The known primary is confirmed only if a majority reports no later term, because it
    /// may be partitioned from the others.
    fn adopt_primary(&self, replies: &[MemberReply], members: usize) -> bool {
        let newest = replies.iter().map(|reply| reply.freshness.term).max();
        let primary = replies
            .iter()
            .find(|reply| reply.is_primary && Some(reply.freshness.term) == newest);
        let Some(primary) = primary else {
            return false;
        };
        let known = KnownPrimary {
            term: primary.freshness.term,
            backend: primary.backend.clone(),
        };
        let is_newer = self.cluster.learn_primary(&self.id, known.clone());
        let is_confirmed = is_newer || replies.len() * 2 > members;
        if is_confirmed {
            self.with_routing(|routing| {
                routing.view.confirm_primary(known.term, known.backend);
            });
        }
        is_confirmed
    }

    /// Queries the current state of a backend at its owner, or at the standby if the owner doesn't
    /// reply.
    async fn query_member(
        &self,
        backend: &stairward_types::BackendId,
        timeout: Duration,
    ) -> Option<MemberReply> {
        let owners = self.cluster.owners(backend)?;
        for node in [Some(owners.owner), owners.standby].into_iter().flatten() {
            let request = CallRequest::QueryBackend {
                backend: backend.as_str().into(),
            };
            let call_result = self.network.call(node, request, timeout).await;
            if let Some(reply) = MemberReply::read(backend, call_result) {
                self.record_observation(&reply);
                return Some(reply);
            }
        }
        None
    }

    fn record_observation(&self, reply: &MemberReply) {
        let now = self.cluster.clock.now();
        self.with_routing(|routing| {
            let observation = reply.observation(&routing.view);
            routing.view.observe(now, &reply.backend, observation);
        });
    }

    /// The minimum freshness that covers every write acknowledged before this call; `None` if no
    /// majority replies in time.
    pub(super) async fn confirmed_freshness(&self, timeout: Duration) -> Option<Freshness> {
        let settings = self.settings()?;
        let members = settings.backends.len();
        self.rounds
            .run(members, || {
                settings
                    .backends
                    .keys()
                    .map(|backend| self.query_member(backend, timeout))
                    .collect()
            })
            .await
    }
}

fn apply_settings(routing: &mut GroupRouting, group: &GroupSettings, identity: &Identity) {
    routing.set_limits(RoutingLimits {
        hold: HoldLimits {
            requests: group.hold_queue_requests,
            bytes: group.hold_queue_bytes,
            time: group.hold_queue_time,
            release_interval: Duration::from_secs(1) / RELEASES_PER_SECOND,
        },
        retry_budget_permille: group.retry_budget_permille,
        freshness_wait: group.freshness_wait,
    });
    routing
        .view
        .set_backends(group.backends.values().map(|backend| {
            (
                backend.backend.clone(),
                backend.admin_state,
                distance(backend, identity),
            )
        }));
}

fn distance(backend: &BackendSettings, identity: &Identity) -> ZoneDistance {
    if backend.region != identity.region {
        ZoneDistance::Remote
    } else if backend.zone != identity.zone {
        ZoneDistance::SameRegion
    } else {
        ZoneDistance::SameZone
    }
}
