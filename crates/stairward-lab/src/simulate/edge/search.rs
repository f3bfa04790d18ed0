//! The search for a group's primary while requests wait for one.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{BackendId, Freshness, GroupId, Term, Time};

use crate::simulate::calls::Asker;
use crate::simulate::outbox::{Outbox, ProxyTimer};
use crate::simulate::policy::Policy;
use crate::simulate::proxy::ProxyState;

/// Pause between two rounds of questions.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// How often the baseline policy looks for the primary.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// One group's search.
#[derive(Debug, Default)]
pub(super) struct Search {
    is_running: bool,
    /// What each member said in this round.
    answers: BTreeMap<BackendId, (Freshness, bool)>,
    last_health_check: Option<u64>,
}

impl Search {
    /// Whether the baseline's health check runs at this moment: at its first question in a second.
    pub(super) fn is_health_check_due(&mut self, now: Time) -> bool {
        let interval = HEALTH_CHECK_INTERVAL.as_micros() as u64;
        let check = now.0 / interval;
        let is_due = self.last_health_check != Some(check);
        self.last_health_check = Some(check);
        is_due
    }

    /// The newest term in which a member says that it is primary, if nobody knows a later one.
    fn newest_primary(&self) -> Option<(Term, BackendId)> {
        let newest = self
            .answers
            .values()
            .map(|(freshness, _)| freshness.term)
            .max()?;
        let found = self
            .answers
            .iter()
            .find(|(_, (freshness, is_primary))| *is_primary && freshness.term == newest);
        found.map(|(backend, _)| (newest, backend.clone()))
    }
}

impl ProxyState {
    /// Looks for a group's primary as long as requests wait for one. At most one search runs.
    pub(super) fn search_primary(&mut self, group: &GroupId, out: &mut Outbox<'_>) {
        let Some(known) = self.edge.groups.get_mut(group) else {
            return;
        };
        if !std::mem::replace(&mut known.search.is_running, true) {
            self.search_round(group, out);
        }
    }

    /// Asks every member once more, unless nobody waits any more.
    pub(in crate::simulate) fn search_round(&mut self, group: &GroupId, out: &mut Outbox<'_>) {
        let Some(known) = self.edge.groups.get_mut(group) else {
            return;
        };
        if known.routing.hold.is_empty() {
            known.search.is_running = false;
            return;
        }
        known.search.answers.clear();
        let pause = match self.policy {
            Policy::Stairward => SEARCH_PAUSE,
            Policy::Baseline => HEALTH_CHECK_INTERVAL,
        };
        out.wake(out.now + pause, ProxyTimer::Search(group.clone()));
        let settings = std::sync::Arc::clone(&self.control.settings);
        if let Some(settings) = settings.groups.get(group) {
            for backend in settings.backends.keys() {
                self.ask_backend(backend, Asker::Search(group.clone()), out);
            }
        }
    }

    /// A member has answered. A newer primary counts at once; the one already known only if a
    /// majority knows of no later term, since it may be cut off.
    pub(in crate::simulate) fn search_answered(
        &mut self,
        group: &GroupId,
        backend: &BackendId,
        freshness: Freshness,
        is_primary: bool,
        out: &mut Outbox<'_>,
    ) {
        let Some(known) = self.edge.groups.get_mut(group) else {
            return;
        };
        known
            .search
            .answers
            .insert(backend.clone(), (freshness, is_primary));
        let answered = known.search.answers.len();
        let members = known.routing.view.backends().len();
        let Some((term, primary)) = known.search.newest_primary() else {
            return;
        };
        let known_term = known.routing.view.primary().map(|known| known.term);
        if known_term.is_none_or(|known| term > known) {
            self.learn_primary(group, term, &primary, out);
        } else if known_term == Some(term) && answered * 2 > members {
            known.routing.view.confirm_primary(term, primary);
            self.wake_held(group, out);
        }
    }
}
