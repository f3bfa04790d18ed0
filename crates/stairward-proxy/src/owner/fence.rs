//! Drives the acknowledgement fence of one back end: queries the group's members and reports to
//! streams whether their commits are proved.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairward_pool::AcknowledgementFence;
use stairward_pool::fence::{
    CommitId, FenceEffect, FenceEvent, FenceSettings, MemberAnswer, QuestionId,
};
use stairward_types::{BackendId, Freshness, GroupId, LogEvent, Term, Time};
use tokio::sync::oneshot;

use super::backend::Backend;
use super::context::OwnerContext;
use super::term_search::query_member;

/// Pause before a member whose status was insufficient is queried again. About a replica's usual
/// lag.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Time limit of a proof when the group is no longer in the settings.
const DEFAULT_FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of commits of one back end that wait for their proof.
const WAITING_LIMIT: usize = 4_096;

/// The fence of one back end and the streams that wait for it.
pub(super) struct FenceDriver {
    state: Mutex<State>,
}

struct State {
    fence: AcknowledgementFence,
    settings: FenceSettings,
    waiters: BTreeMap<CommitId, oneshot::Sender<Option<Freshness>>>,
    next_commit: u64,
    timer_due: Option<Time>,
}

impl FenceDriver {
    pub(super) fn new(backend: &BackendId, group: &GroupId, context: &OwnerContext) -> Self {
        let settings = fence_settings(backend, group, context);
        let state = State {
            fence: AcknowledgementFence::new(settings.clone()),
            settings,
            waiters: BTreeMap::new(),
            next_commit: 1,
            timer_due: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits until a commit just reported by the back end is proved. Returns a freshness at or past
    /// the commit; none when the outcome is unknown.
    ///
    /// `term` is the back end's term in the last probe before the commit was sent.
    pub(super) async fn prove(&self, backend: &Arc<Backend>, term: Term) -> Option<Freshness> {
        let (reply, proved) = oneshot::channel();
        {
            let mut state = self.lock();
            self.refresh_settings(&mut state, backend);
            let commit = CommitId(state.next_commit);
            state.next_commit += 1;
            state.waiters.insert(commit, reply);
            let deadline = backend.now() + fence_timeout(backend);
            let event = FenceEvent::Committed {
                commit,
                term,
                deadline,
            };
            Self::apply(&mut state, backend, event);
        }
        let proved = proved.await.unwrap_or(None);
        if proved.is_none() {
            tracing::warn!(
                event = LogEvent::FenceFailed.number(),
                backend = %backend.identity.name,
                term = term.0,
                "the fence could not prove a commit; its outcome is unknown"
            );
        }
        proved
    }

    /// Whether any commit waits for its proof.
    pub(super) fn is_busy(&self) -> bool {
        self.lock().fence.waiting() > 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refresh_settings(&self, state: &mut State, backend: &Arc<Backend>) {
        let identity = &backend.identity;
        let settings = fence_settings(&identity.name, &identity.group, &backend.context);
        if settings != state.settings {
            state.settings = settings.clone();
            Self::apply(state, backend, FenceEvent::SettingsChanged(settings));
        }
    }

    fn handle(&self, backend: &Arc<Backend>, event: FenceEvent) {
        Self::apply(&mut self.lock(), backend, event);
    }

    fn apply(state: &mut State, backend: &Arc<Backend>, event: FenceEvent) {
        for effect in state.fence.handle(backend.now(), event) {
            match effect {
                FenceEffect::Ask { question, member } => {
                    tokio::spawn(query_and_report(Arc::clone(backend), question, member));
                }
                FenceEffect::Proved { commit, freshness } => {
                    notify_waiter(state, commit, Some(freshness));
                }
                FenceEffect::NotProved(commit) => notify_waiter(state, commit, None),
            }
        }
        let due = state.fence.next_wake();
        let is_earlier = due.is_some_and(|due| state.timer_due.is_none_or(|armed| due < armed));
        if let Some(due) = due.filter(|_| is_earlier) {
            state.timer_due = Some(due);
            tokio::spawn(wake_at(Arc::clone(backend), due));
        }
    }
}

fn notify_waiter(state: &mut State, commit: CommitId, proved: Option<Freshness>) {
    if let Some(waiter) = state.waiters.remove(&commit) {
        let _ = waiter.send(proved);
    }
}

async fn query_and_report(backend: Arc<Backend>, question: QuestionId, member: BackendId) {
    let status = if member == backend.identity.name {
        backend.query_status().await.ok()
    } else {
        query_member(&backend.context, &member, fence_timeout(&backend)).await
    };
    let event = match status {
        Some(status) => FenceEvent::Answered {
            question,
            answer: MemberAnswer {
                freshness: status.received,
                is_primary: status.is_primary(),
            },
        },
        None => FenceEvent::Unanswered(question),
    };
    backend.fence.handle(&backend, event);
}

async fn wake_at(backend: Arc<Backend>, due: Time) {
    tokio::time::sleep(due.since(backend.now())).await;
    let mut state = backend.fence.lock();
    if state.timer_due == Some(due) {
        state.timer_due = None;
    }
    FenceDriver::apply(&mut state, &backend, FenceEvent::Tick);
}

fn fence_settings(backend: &BackendId, group: &GroupId, context: &OwnerContext) -> FenceSettings {
    let settings = context.cluster.settings();
    let group = settings.groups.get(group);
    let members = group.map(|group| group.backends.keys().cloned().collect());
    FenceSettings {
        strength: group.map(|group| group.fence).unwrap_or_default(),
        members: members.unwrap_or_default(),
        primary: backend.clone(),
        retry_interval: RETRY_INTERVAL,
        waiting_limit: WAITING_LIMIT,
        injected_fault: None,
    }
}

fn fence_timeout(backend: &Backend) -> Duration {
    let settings = backend.context.cluster.settings();
    let group = settings.groups.get(&backend.identity.group);
    group.map_or(DEFAULT_FENCE_TIMEOUT, |group| group.fence_timeout)
}
