//! What a node may admit of a tenant's operations, and how many it will most likely want.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::Time;

/// Over which time the rate of operations is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// For how much of that time operations are asked for ahead of need: a question to another region and back, twice.
const AHEAD_TIME: Duration = Duration::from_millis(250);
/// The most that is asked for ahead at once.
const MOST_AHEAD: f64 = 200.0;

/// A tenant's operations at one node.
#[derive(Debug, Default)]
pub(crate) struct Allowance {
    /// Granted operations, by the end of their life, oldest first.
    granted: VecDeque<(Time, u32)>,
    /// Operations that wait.
    pub waiting: u32,
    /// Nothing is asked for before this, and what comes is refused: there was no room a moment ago.
    pub closed_until: Time,
    /// Nothing is asked for before this, and what comes waits.
    pub quiet_until: Time,
    /// When there is room for the next operation that is refused.
    next_room: Time,
    spacing: Duration,
    demand: f64,
    demand_at: Time,
}

impl Allowance {
    /// An operation came: it is counted in the demand.
    pub fn note_demand(&mut self, now: Time) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    fn demand_now(&self, now: Time) -> f64 {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Whether a coordinator may be asked for more.
    pub fn may_ask(&self, now: Time) -> bool {
        now >= self.closed_until && now >= self.quiet_until
    }

    /// Uses one granted operation.
    pub fn take(&mut self, now: Time) -> bool {
        self.drop_old(now);
        let Some((_, count)) = self.granted.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.granted.pop_front();
        }
        true
    }

    fn drop_old(&mut self, now: Time) {
        while self.granted.front().is_some_and(|(end, _)| *end <= now) {
            self.granted.pop_front();
        }
    }

    /// Operations that may be admitted.
    pub fn available(&mut self, now: Time) -> u32 {
        self.drop_old(now);
        self.granted.iter().map(|(_, count)| *count).sum()
    }

    /// Operations that wait and have no grant yet. A grant that has come is used for one that waits only after its
    /// answer was taken in: asking for that one again would waste what is granted for it.
    pub fn unmet(&mut self, now: Time) -> u32 {
        self.waiting.saturating_sub(self.available(now))
    }

    /// Whether more operations wait than there are grants, counting those whose life may be over: they are dropped with
    /// the next renewal.
    pub fn lacks_grants(&self) -> bool {
        let granted: u32 = self.granted.iter().map(|(_, count)| *count).sum();
        self.waiting > granted
    }

    /// Takes a grant in.
    pub fn grant(&mut self, until: Time, count: u32) {
        if count > 0 {
            self.granted.push_back((until, count));
        }
    }

    /// How many operations to ask for ahead of need.
    pub fn ahead(&mut self, now: Time) -> u32 {
        let rate = self.demand_now(now) / DEMAND_TIME.as_secs_f64();
        let expected = (rate * AHEAD_TIME.as_secs_f64()).floor().min(MOST_AHEAD);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and MOST_AHEAD"
        )]
        let expected = expected as u32;
        expected.saturating_sub(self.available(now))
    }

    /// Whether so few are left of what is expected that more are asked for.
    pub fn runs_low(&mut self, now: Time) -> bool {
        let ahead = self.ahead(now);
        ahead > self.available(now)
    }

    /// There was no room for some that wait.
    pub fn close(&mut self, now: Time, until: Time, first: Duration, spacing: Duration) {
        self.closed_until = until;
        self.next_room = now + first;
        self.spacing = spacing;
    }

    /// When an operation that is refused now should come back: each later than the one before.
    pub fn next_retry(&mut self, now: Time) -> Duration {
        let room = self.next_room.max(now + self.spacing);
        self.next_room = room + self.spacing;
        room.since(now)
    }

    /// Whether nothing is known here that a new one would not know.
    pub fn is_idle(&mut self, now: Time) -> bool {
        self.waiting == 0 && self.available(now) == 0 && self.demand_now(now) < 0.01
    }
}
