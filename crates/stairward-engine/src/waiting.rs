//! Requests that wait for a back end, a connection or a position proof.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_types::{ResultCode, ServiceName, TenantName, Time};

use crate::choice::{Choice, Opening};
use crate::engine::{Engine, WaitingKey};
use crate::identifiers::SessionId;
use crate::session::{Request, Stage, WaitReason};

impl Engine {
    /// Retries the waiting requests of each service whose state has changed.
    pub(crate) fn serve_waiting(&mut self, now: Time) {
        for _ in 0..MAX_ROUNDS {
            let changed = std::mem::take(&mut self.changed);
            if changed.is_empty() {
                return;
            }
            for service in changed {
                self.serve_waiting_of(now, &service);
            }
        }
    }

    fn serve_waiting_of(&mut self, now: Time, service: &ServiceName) {
        let Some(waiting) = self.waiting.get(service) else {
            return;
        };
        let keys: Vec<WaitingKey> = waiting.iter().copied().collect();
        // A tenant's idle connections serve its own requests first. Only then may they be closed to make room
        // for others.
        let has_tenant = |key: &WaitingKey| {
            let session = self.sessions.get(&key.session);
            session.is_some_and(|session| session.identity.tenant().is_some())
        };
        if keys.iter().any(has_tenant) {
            self.serve_in_order(now, &keys, Opening::Forbidden);
        }
        self.serve_in_order(now, &keys, Opening::Allowed);
    }

    fn serve_in_order(&mut self, now: Time, keys: &[WaitingKey], opening: Opening) {
        // If one request finds no connection, neither do later ones of the same kind.
        let mut unservable: BTreeSet<(bool, u8, Option<TenantName>)> = BTreeSet::new();
        for key in keys {
            let Some(session) = self.sessions.get(&key.session) else {
                continue;
            };
            let Some(request) = self.waiting_request(key.session) else {
                continue;
            };
            let tenant = session.identity.tenant().cloned();
            let kind = (request.kind.requires_leader(), key.priority, tenant);
            if unservable.contains(&kind) {
                continue;
            }
            self.attempt_with(now, key.session, opening);
            if self
                .waiting_request(key.session)
                .is_some_and(|request| request.wait_reason == WaitReason::NoConnection)
            {
                unservable.insert(kind);
            }
        }
    }

    fn waiting_request(&self, session: SessionId) -> Option<&Request> {
        let request = self.sessions.get(&session)?.request.as_ref()?;
        (request.stage == Stage::Waiting).then_some(request)
    }

    /// Sends a waiting request if a back end and a connection are available.
    pub(crate) fn attempt(&mut self, now: Time, id: SessionId) {
        self.attempt_with(now, id, Opening::Allowed);
    }

    fn attempt_with(&mut self, now: Time, id: SessionId, opening: Opening) {
        // The session is removed temporarily because the selection borrows the rest of the engine.
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        let choice = match &session.request {
            Some(request) if request.stage == Stage::Waiting => {
                Some(self.choose(now, request, &session, opening))
            }
            _ => None,
        };
        self.sessions.insert(id, session);
        match choice {
            Some(Choice::Use(connection, floor)) => {
                self.leave_queue(id);
                self.prepare(now, id, connection, floor);
            }
            Some(Choice::Wait(reason)) => self.enter_queue(now, id, reason),
            Some(Choice::Exhausted) => self.no_backend_left(now, id),
            Some(Choice::Refuse(code, retry_after)) => {
                self.leave_queue(id);
                self.refuse_unless_sent(now, id, code, retry_after);
            }
            None => {}
        }
    }

    /// No back end is left to try; one that was tried may still reply.
    fn no_backend_left(&mut self, now: Time, id: SessionId) {
        let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) else {
            return;
        };
        match request.unanswered.first() {
            Some(connection) => request.stage = Stage::Sent(*connection),
            None => self.refuse_unsent(now, id),
        }
    }

    /// Refuses a request that can't be served, unless a back end it was sent to may still reply.
    fn refuse_unless_sent(
        &mut self,
        now: Time,
        id: SessionId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) else {
            return;
        };
        match request.unanswered.first() {
            Some(connection) => request.stage = Stage::Sent(*connection),
            None => self.refuse(now, id, code, retry_after),
        }
    }

    fn enter_queue(&mut self, now: Time, id: SessionId, reason: WaitReason) {
        let limit = self.options.waiting_limit;
        let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) else {
            return;
        };
        request.wait_reason = reason;
        let key = WaitingKey::of(id, request);
        let is_over = now >= request.hold_ends;
        let queue = self
            .waiting
            .entry(request.route.service.clone())
            .or_default();
        let is_full = queue.len() >= limit && !queue.contains(&key);
        if is_over || is_full {
            self.no_backend_left(now, id);
        } else {
            queue.insert(key);
        }
    }

    pub(crate) fn leave_queue(&mut self, id: SessionId) {
        let Some(request) = self.sessions.get(&id).and_then(|s| s.request.as_ref()) else {
            return;
        };
        let key = WaitingKey::of(id, request);
        if let Some(queue) = self.waiting.get_mut(&request.route.service) {
            queue.remove(&key);
        }
    }
}

/// Maximum rounds over waiting requests within one event; further changes are served in the next event.
const MAX_ROUNDS: usize = 4;
