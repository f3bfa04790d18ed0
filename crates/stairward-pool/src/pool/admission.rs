//! How requests wait, are admitted and are refused.

use std::time::Duration;

use stairward_types::{ResultCode, Time};

use super::check::Admission;
use super::{BackendPool, ConnectionRequest, Lent, PoolEffect, RequestId};

/// Shortest time after which a refused request is told to ask again.
const SHORTEST_RETRY: Duration = Duration::from_millis(1);

/// Longest time after which a refused request is told to ask again.
const LONGEST_RETRY: Duration = Duration::from_secs(1);

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

    /// Refuses what can no longer be served and moves on what has become fresh enough.
    pub(super) fn expire_requests(&mut self, now: Time) {
        self.sort_waiting_for_freshness(now);
        while let Some(request) = self.queue.remove_expired(now) {
            self.refuse(request.request, ResultCode::DeadlineBeforeSend, None);
        }
        self.refuse_inadmissible();
    }

    /// Lends connections to the requests whose turn it is.
    pub(super) fn admit_waiting(&mut self, now: Time) {
        while self.connections.idle() > 0 && self.slots.is_free() {
            let Some(request) = self.queue.pop() else {
                return;
            };
            // The back end may have changed while the request waited.
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
        let expected_wait = self.slots.time_for(ahead);
        // Work that would end after its caller has given up only takes room from other work.
        if now + expected_wait > request.deadline {
            self.refuse_overloaded(request.request, expected_wait);
            return;
        }
        if self.waiting() >= self.settings.queue_limit {
            let pushed_out = self.queue.push_out_for(&request.service, request.weight);
            let Some(pushed_out) = pushed_out else {
                self.refuse_overloaded(request.request, expected_wait);
                return;
            };
            self.refuse_overloaded(pushed_out.request, expected_wait);
        }
        self.queue.push(request);
    }

    fn refuse_overloaded(&mut self, request: RequestId, expected_wait: Duration) {
        let retry_after = expected_wait.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        self.refuse(request, ResultCode::Overloaded, Some(retry_after));
    }

    fn wait_for_freshness(&mut self, now: Time, request: ConnectionRequest) {
        let patience_ends = request.deadline.min(now + request.freshness_wait);
        if patience_ends <= now || self.waiting() >= self.settings.queue_limit {
            self.refuse(request.request, ResultCode::NotFreshEnough, None);
            return;
        }
        self.waiting_for_freshness
            .insert(request.request, (patience_ends, request));
    }

    fn sort_waiting_for_freshness(&mut self, now: Time) {
        let waiting = std::mem::take(&mut self.waiting_for_freshness);
        for (number, (patience_ends, request)) in waiting {
            match self.conditions.check(&request) {
                Admission::Allowed => self.enqueue(now, request),
                Admission::Refused(code) => self.refuse(number, code, None),
                Admission::NotYetFresh if patience_ends <= now => {
                    self.refuse(number, ResultCode::NotFreshEnough, None);
                }
                Admission::NotYetFresh => {
                    self.waiting_for_freshness
                        .insert(number, (patience_ends, request));
                }
            }
        }
    }

    /// Refuses at once, when the back end as a whole takes no work, what waits for its turn.
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
