//! Admission of operations under their tenant's limit: an operation runs, waits for a grant or is refused at
//! once.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use stairward_limits::{
    Admission, Effect as LimitEffect, Event as LimitEvent, GrantRequest, GrantResponse,
};
use stairward_types::{NodeId, ResultCode, TenantName, Time};

use crate::engine::{Engine, WaitingKey};
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::session::{Request, RequestKind, Stage};
use crate::timers::Timer;

impl Engine {
    /// Dispatches a new request once its tenant's limit allows it. Statements of an open transaction belong
    /// to an admitted operation, and forwarded ones were admitted at their client's node.
    pub(crate) fn admit(&mut self, now: Time, id: SessionId) {
        let Some(tenant) = self.limited_tenant(id) else {
            return self.dispatch(now, id);
        };
        match self.limits.admit(now, &tenant) {
            Admission::Admitted => self.dispatch(now, id),
            Admission::Denied(retry_after) => self.refuse_over_limit(now, id, retry_after),
            Admission::Waiting => self.wait_for_admission(id, tenant),
        }
    }

    fn limited_tenant(&self, id: SessionId) -> Option<TenantName> {
        let session = self.sessions.get(&id)?;
        let request = session.request.as_ref()?;
        let is_counted = !session.is_forwarded
            && !matches!(
                request.kind,
                RequestKind::InTransaction { .. } | RequestKind::Commit
            );
        let tenant = session.identity.tenant().filter(|_| is_counted)?;
        self.limits.is_limited(tenant).then(|| tenant.clone())
    }

    fn wait_for_admission(&mut self, id: SessionId, tenant: TenantName) {
        let request = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut());
        let Some(request) = request else {
            return;
        };
        request.stage = Stage::Admission;
        let key = WaitingKey::of(id, request);
        self.admissions.entry(tenant).or_default().insert(key);
    }

    fn refuse_over_limit(&mut self, now: Time, id: SessionId, retry_after: Duration) {
        self.refuse(now, id, ResultCode::LimitReached, Some(retry_after));
    }

    /// A request has waited for admission until the end of its hold time.
    pub(crate) fn admission_wait_expired(&mut self, now: Time, id: SessionId) {
        if self.wait_for_first_grants(now, id) {
            return;
        }
        if let Some(tenant) = self.limited_tenant(id) {
            let retry_after = self.limits.next_retry(now, &tenant);
            self.refuse_over_limit(now, id, retry_after);
        }
    }

    /// A node that has just started gets no grants at first. Waiting requests are kept until then if their
    /// deadline allows.
    fn wait_for_first_grants(&mut self, now: Time, id: SessionId) -> bool {
        let Some(first_grants) = self.limits.first_grants_at(now) else {
            return false;
        };
        let request = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut());
        let Some(request) = request.filter(|request| first_grants < request.deadline) else {
            return false;
        };
        request.hold_ends = first_grants;
        let number = request.number;
        self.timers.set(first_grants, Timer::HoldEnds(id, number));
        true
    }

    /// Removes a request that ends or proceeds from the admission queue.
    pub(crate) fn leave_admission(
        &mut self,
        id: SessionId,
        tenant: Option<&TenantName>,
        request: &Request,
    ) {
        let Some(tenant) = tenant.filter(|_| request.stage == Stage::Admission) else {
            return;
        };
        let key = WaitingKey::of(id, request);
        let Some(queue) = self.admissions.get_mut(tenant) else {
            return;
        };
        if queue.remove(&key) {
            self.limits.give_up(tenant);
        }
        if queue.is_empty() {
            self.admissions.remove(tenant);
        }
    }

    /// Passes an event to the limiter and applies its effects.
    pub(crate) fn handle_limit_event(&mut self, now: Time, event: LimitEvent) {
        self.limits.handle(now, event);
        self.apply_limit_effects(now);
    }

    /// Applies the pending effects of the limiter.
    pub(crate) fn apply_limit_effects(&mut self, now: Time) {
        let mut effects = VecDeque::from(self.limits.take_effects());
        while let Some(effect) = effects.pop_front() {
            match effect {
                LimitEffect::RequestGrant(node, ask) => {
                    self.effects.push(Effect::RequestLimitGrant(node, ask))
                }
                LimitEffect::RecordFleetSize(nodes) => {
                    self.effects.push(Effect::RecordFleetSize(nodes))
                }
                LimitEffect::CoordinatorChanged { shard, silent, now } => {
                    self.effects
                        .push(Effect::CoordinatorChanged { shard, silent, now });
                }
                LimitEffect::Available(tenant) => self.admit_waiting(now, &tenant),
                LimitEffect::Denied(tenant, retry_after) => {
                    self.refuse_waiting(now, &tenant, retry_after);
                }
            }
            effects.extend(self.limits.take_effects());
        }
    }

    /// Dispatches a tenant's waiting requests, highest priority first, as far as grants allow.
    pub(crate) fn admit_waiting(&mut self, now: Time, tenant: &TenantName) {
        while let Some(first) = self
            .admissions
            .get(tenant)
            .and_then(BTreeSet::first)
            .copied()
        {
            if !self.limits.admit_waiting(now, tenant) {
                return;
            }
            if let Some(queue) = self.admissions.get_mut(tenant) {
                queue.remove(&first);
                if queue.is_empty() {
                    self.admissions.remove(tenant);
                }
            }
            let id = first.session;
            let request = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut());
            if let Some(request) = request {
                request.stage = Stage::Waiting;
                self.dispatch(now, id);
            }
        }
    }

    /// No grant will be available for `retry_after`; requests that can't wait that long are refused at once.
    fn refuse_waiting(&mut self, now: Time, tenant: &TenantName, retry_after: Duration) {
        let queue = self.admissions.get(tenant);
        let waiting: Vec<SessionId> = queue.into_iter().flatten().map(|key| key.session).collect();
        for id in waiting {
            let request = self.sessions.get(&id).and_then(|s| s.request.as_ref());
            if request.is_some_and(|request| now + retry_after >= request.hold_ends) {
                self.admission_wait_expired(now, id);
            }
        }
    }

    /// Answers another node's request for a grant, as coordinator.
    pub fn answer_limit(&mut self, now: Time, node: NodeId, ask: &GrantRequest) -> GrantResponse {
        self.limits.answer(now, node, ask)
    }
}
