//! The lease: whether this node may hold connections of a back end, in one role.
//!
//! The back end itself is the arbiter. The holder keeps one control connection to it, on which it
//! has taken a session-level advisory lock (`pg_try_advisory_lock`) for its role. The back end ends
//! that session, and so frees the lock, when the connection breaks or when nothing was asked on it
//! for `idle_session_timeout`. The holder counts its lease from *before* it sent the last answered
//! probe, so by its own monotonic clock the lease ends, a margin earlier, before the back end can
//! free the lock for silence. No two clocks are compared; they only must run at about the same rate.
//!
//! A successor that gets the lock first ends the sessions that earlier holders of the role left
//! behind, and only then opens connections of its own.

use std::time::Duration;

use stairward_types::Time;

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The back end's `idle_session_timeout` on the control connection.
    pub duration: Duration,
    /// How much earlier the holder stops: covers clocks that run at different rates and the time
    /// between a check and the use it allows.
    pub margin: Duration,
    /// Pause between attempts to get a lock that another session holds.
    pub retry_interval: Duration,
}

impl Default for LeaseSettings {
    /// 2 s, 400 ms and 250 ms.
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(2),
            margin: Duration::from_millis(400),
            retry_interval: Duration::from_millis(250),
        }
    }
}

/// What a lease hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Whether this node should hold the role, by its membership view.
    Wanted(bool),
    /// The attempt got the lock. `sent_at` is the moment before it was asked for.
    LockAcquired {
        /// By the holder's clock.
        sent_at: Time,
    },
    /// The attempt failed: another session holds the lock, or the back end cannot be reached.
    LockNotAcquired,
    /// No session of an earlier holder is left at the back end.
    StaleSessionsEnded,
    /// A probe on the control connection was answered. `sent_at` is the moment before it was sent.
    Renewed {
        /// By the holder's clock.
        sent_at: Time,
    },
    /// The control connection is lost, and the lock with it.
    ControlConnectionLost,
    /// This node holds no connection of the role any more, besides the control connection.
    ConnectionsClosed,
    /// The earlier holder says that it has let go.
    ReleasedByPredecessor,
    /// Time has passed; see [`Lease::next_wake`].
    Tick,
}

/// What a lease wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Open the control connection and try to take the lock. When that fails, close it again.
    AcquireLock,
    /// End the sessions that earlier holders of the role left at the back end.
    EndStaleSessions,
    /// Connections may be opened and used from now on.
    StartUse,
    /// No connection may be opened and no new work be begun until [`LeaseEffect::StartUse`].
    StopUse,
    /// Let what is in flight end, close every connection, then say [`LeaseEvent::ConnectionsClosed`].
    CloseConnections,
    /// Close the control connection, which frees the lock, and tell the successor.
    ReleaseLock,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not wanted, nothing held.
    Absent,
    /// Wanted; the next attempt is due at this moment.
    Waiting { attempt_at: Time },
    /// An attempt is under way.
    Attempting,
    /// Locked, and the leftovers of earlier holders are being ended.
    Clearing { valid_until: Time },
    /// Locked and in use.
    Held { valid_until: Time },
    /// Not renewed in time, but the control connection is not known to be lost.
    Lapsed,
    /// Locked, no longer wanted, work ending.
    GivingUp,
}

/// One node's claim on one role at one back end.
#[derive(Debug, Clone)]
pub struct Lease {
    settings: LeaseSettings,
    state: State,
    wanted: bool,
}

impl Lease {
    /// A lease that is neither wanted nor held.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            state: State::Absent,
            wanted: false,
        }
    }

    /// Whether connections may be opened and work be begun at this moment. To be asked before each
    /// use, since the holder may have been paused.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        matches!(self.state, State::Held { valid_until } if now < valid_until)
    }

    /// Whether the lock is believed to be held, in use or not.
    #[must_use]
    pub fn is_locked(&self) -> bool {
        matches!(
            self.state,
            State::Clearing { .. } | State::Held { .. } | State::Lapsed | State::GivingUp
        )
    }

    /// When [`LeaseEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        match self.state {
            State::Waiting { attempt_at } => Some(attempt_at),
            State::Held { valid_until } => Some(valid_until),
            _ => None,
        }
    }

    /// Hears what happened and says what to do about it.
    pub fn handle(&mut self, now: Time, event: LeaseEvent) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        // A lapse counts from its moment, whatever is heard first after a pause.
        self.lapse(now, &mut effects);
        match event {
            LeaseEvent::Wanted(wanted) => self.want(now, wanted, &mut effects),
            LeaseEvent::LockAcquired { sent_at } => self.locked(sent_at, &mut effects),
            LeaseEvent::LockNotAcquired => self.not_locked(now),
            LeaseEvent::StaleSessionsEnded => self.leftovers_ended(now, &mut effects),
            LeaseEvent::Renewed { sent_at } => self.renewed(now, sent_at, &mut effects),
            LeaseEvent::ControlConnectionLost => self.control_lost(now, &mut effects),
            LeaseEvent::ConnectionsClosed => self.given_up(now, &mut effects),
            LeaseEvent::ReleasedByPredecessor => self.handed_over(now),
            LeaseEvent::Tick => {}
        }
        self.attempt_when_due(now, &mut effects);
        effects
    }

    fn valid_until(&self, sent_at: Time) -> Time {
        sent_at + self.settings.duration.saturating_sub(self.settings.margin)
    }

    fn lapse(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if let State::Held { valid_until } = self.state
            && now >= valid_until
        {
            self.state = State::Lapsed;
            effects.push(LeaseEffect::StopUse);
        }
    }

    fn want(&mut self, now: Time, wanted: bool, effects: &mut Vec<LeaseEffect>) {
        self.wanted = wanted;
        match (wanted, self.state) {
            (true, State::Absent) => self.state = State::Waiting { attempt_at: now },
            (false, State::Waiting { .. }) => self.state = State::Absent,
            (false, State::Held { .. } | State::Clearing { .. } | State::Lapsed) => {
                self.state = State::GivingUp;
                effects.push(LeaseEffect::StopUse);
                effects.push(LeaseEffect::CloseConnections);
            }
            _ => {}
        }
    }

    fn locked(&mut self, sent_at: Time, effects: &mut Vec<LeaseEffect>) {
        if self.state != State::Attempting {
            return;
        }
        if self.wanted {
            let valid_until = self.valid_until(sent_at);
            self.state = State::Clearing { valid_until };
            effects.push(LeaseEffect::EndStaleSessions);
        } else {
            self.state = State::Absent;
            effects.push(LeaseEffect::ReleaseLock);
        }
    }

    fn not_locked(&mut self, now: Time) {
        if self.state == State::Attempting {
            self.wait(now + self.settings.retry_interval);
        }
    }

    fn wait(&mut self, attempt_at: Time) {
        self.state = if self.wanted {
            State::Waiting { attempt_at }
        } else {
            State::Absent
        };
    }

    fn leftovers_ended(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if let State::Clearing { valid_until } = self.state {
            if now < valid_until {
                self.state = State::Held { valid_until };
                effects.push(LeaseEffect::StartUse);
            } else {
                self.state = State::Lapsed;
            }
        }
    }

    fn renewed(&mut self, now: Time, sent_at: Time, effects: &mut Vec<LeaseEffect>) {
        let renewed_until = self.valid_until(sent_at);
        match &mut self.state {
            State::Held { valid_until } | State::Clearing { valid_until } => {
                *valid_until = renewed_until.max(*valid_until);
            }
            // The session answers, so it was never ended and nobody else had the lock meanwhile.
            State::Lapsed if now < renewed_until => {
                self.state = State::Held {
                    valid_until: renewed_until,
                };
                effects.push(LeaseEffect::StartUse);
            }
            _ => {}
        }
    }

    fn control_lost(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        match self.state {
            State::Held { .. } => {
                effects.push(LeaseEffect::StopUse);
                self.wait(now);
            }
            State::Clearing { .. } | State::Lapsed => self.wait(now),
            State::Attempting => self.wait(now + self.settings.retry_interval),
            State::GivingUp | State::Absent | State::Waiting { .. } => {}
        }
    }

    fn given_up(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if self.state == State::GivingUp {
            effects.push(LeaseEffect::ReleaseLock);
            self.wait(now + self.settings.retry_interval);
        }
    }

    fn handed_over(&mut self, now: Time) {
        if let State::Waiting { attempt_at } = &mut self.state {
            *attempt_at = now;
        }
    }

    fn attempt_when_due(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if let State::Waiting { attempt_at } = self.state
            && now >= attempt_at
        {
            self.state = State::Attempting;
            effects.push(LeaseEffect::AcquireLock);
        }
    }
}
