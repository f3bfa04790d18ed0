//! Queueing, admission and refusal of requests.

use std::time::Duration;

use stairward_types::{ResultCode, Time};

use super::check::Admission;
use super::{BackendPool, ConnectionRequest, Lent, PoolEffect, RequestId};

/// Minimum retry delay returned with a refusal.
const MINIMUM_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Maximum retry delay returned with a refusal.
const MAXIMUM_RETRY_DELAY: Duration = Duration::from_secs(1);

impl BackendPool {
    pub(super) fn request(&mut self, now: Time, request: ConnectionRequest) {
        match self.conditions.check(&request) {
            Admission::Allowed => self.enqueue(now, request),
            Admission::NotYetFresh => self.wait_for_freshness(now, request),
            Admission::Refused(code) => self.refuse(request.request, code, None),
        }
    }

    pub(super) fn withdraw(&mut self, request: RequestId) {
        if self.waiting_for_freshness.remove(&request).is_none() {
            self.queue.remove(request);
        }
    }

    /// Refuses expired requests and queues those that the back end is now fresh enough for.
    pub(super) fn expire_requests(&mut self, now: Time) {
        self.recheck_waiting_for_freshness(now);
        while let Some(request) = self.queue.remove_expired(now) {
            self.refuse(request.request, ResultCode::DeadlineBeforeSend, None);
        }
        self.refuse_inadmissible();
    }

    /// Lends idle connections to queued requests while slots are free.
    pub(super) fn admit_waiting(&mut self, now: Time) {
        while self.connections.idle() > 0 && self.slots.is_free() {
            let Some(request) = self.queue.pop() else {
                return;
            };
            // The back end's state may have changed while the request waited.
            match self.conditions.check(&request) {
                Admission::Allowed => self.admit(now, request.request),
                Admission::NotYetFresh => {
                    self.refuse(request.request, ResultCode::NotFreshEnough, None);
                }
                Admission::Refused(code) => self.refuse(request.request, code, None),
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        self.effects.push(PoolEffect::Refuse {
            request,
            code,
            retry_after,
        });
    }

    fn admit(&mut self, now: Time, request: RequestId) {
        let Some(connection) = self.connections.lend(request) else {
            return;
        };
        self.slots.take(now, request);
        let lent = Lent {
            connection,
            is_ending: false,
        };
        self.lent.insert(request, lent);
        self.effects.push(PoolEffect::Admit {
            request,
            connection,
        });
    }

    fn enqueue(&mut self, now: Time, request: ConnectionRequest) {
        if request.deadline <= now {
            self.refuse(request.request, ResultCode::DeadlineBeforeSend, None);
            return;
        }
        let ahead = self.queue.ahead_of(&request.service, request.weight);
        let expected_wait = self.slots.expected_wait(ahead);
        // Work that would start after its deadline would only delay other work.
        if now + expected_wait > request.deadline {
            self.refuse_overloaded(request.request, expected_wait);
            return;
        }
        if self.waiting() >= self.settings.queue_limit {
            let evicted = self.queue.evict_for(&request.service, request.weight);
            let Some(evicted) = evicted else {
                self.refuse_overloaded(request.request, expected_wait);
                return;
            };
            self.refuse_overloaded(evicted.request, expected_wait);
        }
        self.queue.push(request);
    }

    fn refuse_overloaded(&mut self, request: RequestId, expected_wait: Duration) {
        let retry_after = expected_wait.clamp(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY);
        self.refuse(request, ResultCode::Overloaded, Some(retry_after));
    }

    fn wait_for_freshness(&mut self, now: Time, request: ConnectionRequest) {
        let wait_ends = request.deadline.min(now + request.freshness_wait);
        if wait_ends <= now || self.waiting() >= self.settings.queue_limit {
            self.refuse(request.request, ResultCode::NotFreshEnough, None);
            return;
        }
        self.waiting_for_freshness
            .insert(request.request, (wait_ends, request));
    }

    fn recheck_waiting_for_freshness(&mut self, now: Time) {
        let waiting = std::mem::take(&mut self.waiting_for_freshness);
        for (number, (wait_ends, request)) in waiting {
            match self.conditions.check(&request) {
                Admission::Allowed => self.enqueue(now, request),
                Admission::Refused(code) => self.refuse(number, code, None),
                Admission::NotYetFresh if wait_ends <= now => {
                    self.refuse(number, ResultCode::NotFreshEnough, None);
                }
                Admission::NotYetFresh => {
                    self.waiting_for_freshness
                        .insert(number, (wait_ends, request));
                }
            }
        }
    }

    /// Refuses all queued requests when the back end accepts no work at all.
    fn refuse_inadmissible(&mut self) {
        if self.queue.is_empty() || self.conditions.takes_work() {
            return;
        }
        for request in self.queue.remove_all() {
            if let Admission::Refused(code) = self.conditions.check(&request) {
                self.refuse(request.request, code, None);
            }
        }
    }
}
