//! What all sessions of one database group share at an edge: routing hints, the search for a
//! primary, and the position confirmed by a majority.

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

use super::majority::{MajorityRounds, MemberAnswer};
use crate::cluster::{Cluster, Identity, KnownPrimary};
use crate::peer::PeerNetwork;

/// Pause between two searches for a primary while requests wait for one.
const SEARCH_PAUSE: Duration = Duration::from_millis(25);
/// How long one search waits for the members' answers.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Requests released to a new primary per second.
const RELEASES_PER_SECOND: u32 = 2_000;

/// One database group as this edge sees it.
pub(super) struct Group {
    pub(super) id: GroupId,
    cluster: Cluster,
    network: PeerNetwork,
    state: Mutex<State>,
    /// Counts the times a primary was learnt or found alive.
    primary_learnt: watch::Sender<u64>,
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
            primary_learnt: watch::Sender::new(0),
            searching: AtomicBool::new(false),
            rounds: MajorityRounds::default(),
        }
    }

    /// The settings in force; `None` once the group has been removed from them.
    fn settings(&self) -> Option<GroupSettings> {
        self.with_settings(GroupSettings::clone)
    }

    /// Reads the settings in force; `None` once the group has been removed from them.
    pub(super) fn with_settings<R>(&self, read: impl FnOnce(&GroupSettings) -> R) -> Option<R> {
        self.cluster.settings().groups.get(&self.id).map(read)
    }

    /// Runs a decision on the group's routing state, brought up to date first.
    pub(super) fn with_routing<R>(&self, decide: impl FnOnce(&mut GroupRouting) -> R) -> R {
        let mut state = self.lock();
        self.refresh(&mut state);
        decide(&mut state.routing)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over changed settings and newly learnt primaries.
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

    /// Follows the times a primary is learnt.
    pub(super) fn watch_primary(&self) -> watch::Receiver<u64> {
        self.primary_learnt.subscribe()
    }

    /// Wakes the requests that wait for a primary.
    pub(super) fn wake_held(&self) {
        self.primary_learnt.send_modify(|count| *count += 1);
    }

    /// Looks for a primary as long as requests wait for one. At most one search runs.
    pub(super) fn search_primary(self: &Arc<Self>) {
        if self.searching.swap(true, Ordering::SeqCst) {
            return;
        }
        let group = Arc::clone(self);
        tokio::spawn(async move {
            while group.with_routing(|routing| !routing.hold.is_empty()) {
                if group.search_once().await {
                    group.wake_held();
                }
                tokio::time::sleep(SEARCH_PAUSE).await;
            }
            group.searching.store(false, Ordering::SeqCst);
            // A request may have begun to wait between the last look and now.
            if group.with_routing(|routing| !routing.hold.is_empty()) {
                group.search_primary();
            }
        });
    }

    /// Asks every member once, and stops as soon as the answers show a primary.
    async fn search_once(&self) -> bool {
        let Some(settings) = self.settings() else {
            return false;
        };
        let mut questions: FuturesUnordered<_> = settings
            .backends
            .keys()
            .map(|backend| self.ask_member(backend, SEARCH_TIMEOUT))
            .collect();
        let mut answers = Vec::new();
        while let Some(answer) = questions.next().await {
            answers.extend(answer);
            if self.take_primary(&answers, settings.backends.len()) {
                return true;
            }
        }
        false
    }

    /// Takes over the primary that the answers show, if they do. A newer one counts at once; the one
    /// already known only if a majority knows of no later term, since it may be cut off.
    fn take_primary(&self, answers: &[MemberAnswer], members: usize) -> bool {
        let newest = answers.iter().map(|answer| answer.freshness.term).max();
        let primary = answers
            .iter()
            .find(|answer| answer.is_primary && Some(answer.freshness.term) == newest);
        let Some(primary) = primary else {
            return false;
        };
        let known = KnownPrimary {
            term: primary.freshness.term,
            backend: primary.backend.clone(),
        };
        let is_newer = self.cluster.learn_primary(&self.id, known.clone());
        let is_found = is_newer || answers.len() * 2 > members;
        if is_found {
            self.with_routing(|routing| {
                routing.view.confirm_primary(known.term, known.backend);
            });
        }
        is_found
    }

    /// Asks a back end's owner, or else its standby, for its state, now.
    async fn ask_member(
        &self,
        backend: &stairward_types::BackendId,
        timeout: Duration,
    ) -> Option<MemberAnswer> {
        let owners = self.cluster.owners(backend)?;
        for node in [Some(owners.owner), owners.standby].into_iter().flatten() {
            let request = CallRequest::QueryBackend {
                backend: backend.as_str().into(),
            };
            let reply = self.network.call(node, request, timeout).await;
            if let Some(answer) = MemberAnswer::read(backend, reply) {
                self.observe(&answer);
                return Some(answer);
            }
        }
        None
    }

    fn observe(&self, answer: &MemberAnswer) {
        let now = self.cluster.clock.now();
        self.with_routing(|routing| {
            let observation = answer.observation(&routing.view);
            routing.view.observe(now, &answer.backend, observation);
        });
    }

    /// The least freshness that covers every write acknowledged before this call; `None` when no
    /// majority answers in time.
    pub(super) async fn confirmed_freshness(&self, timeout: Duration) -> Option<Freshness> {
        let settings = self.settings()?;
        let members = settings.backends.len();
        self.rounds
            .run(members, || {
                settings
                    .backends
                    .keys()
                    .map(|backend| self.ask_member(backend, timeout))
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
