//! The lease: whether this node may hold connections of a back end, in one role.
//!
//! The back end is the arbiter. The holder keeps one control connection to it, on which it holds a
//! session-level advisory lock (`pg_try_advisory_lock`) for its role. The back end ends that session,
//! and so releases the lock, when the connection breaks or was idle for `idle_session_timeout`. The
//! holder measures its lease from *before* it sent the last answered probe and subtracts a margin, so
//! the lease ends on its own monotonic clock before the back end can release the lock for idleness.
//! Clocks are never compared; they only have to run at about the same rate.
//!
//! A successor that acquires the lock first terminates the sessions that earlier holders of the role
//! left at the back end, and only then opens its own connections.

use std::time::Duration;

use stairward_types::Time;

/// Timing of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The back end's `idle_session_timeout` on the control connection.
    pub duration: Duration,
    /// How much earlier the holder stops using it. Covers different clock rates and the time between
    /// a check and the use that it permits.
    pub margin: Duration,
    /// Delay between attempts to acquire a lock that another session holds.
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

/// Input of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Whether this node should hold the role, according to its membership view.
    Wanted(bool),
    /// The lock was acquired. `sent_at` is the time before the request was sent.
    LockAcquired {
        /// On the holder's clock.
        sent_at: Time,
    },
    /// The lock was not acquired: another session holds it, or the back end is unreachable.
    LockNotAcquired,
    /// All sessions of earlier holders have ended at the back end.
    StaleSessionsEnded,
    /// A probe on the control connection was answered. `sent_at` is the time before it was sent.
    Renewed {
        /// On the holder's clock.
        sent_at: Time,
    },
    /// The control connection is lost, and the lock with it.
    ControlConnectionLost,
    /// All connections of the role except the control connection are closed.
    ConnectionsClosed,
    /// The previous holder reports that it has released the lock.
    ReleasedByPredecessor,
    /// Time has passed; see [`Lease::next_wake`].
    Tick,
}

/// Action for the caller of a lease to execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Open the control connection and try to acquire the lock. On failure, close it again.
    AcquireLock,
    /// Terminate the sessions that earlier holders of the role left at the back end.
    EndStaleSessions,
    /// Allow connections to be opened and used.
    StartUse,
    /// Open no connection and start no work until [`LeaseEffect::StartUse`].
    StopUse,
    /// Let running work finish, close all connections, then report [`LeaseEvent::ConnectionsClosed`].
    CloseConnections,
    /// Close the control connection, which releases the lock, and notify the successor.
    ReleaseLock,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not wanted and not held.
    Absent,
    /// Wanted; the next attempt is due at this time.
    Waiting { attempt_at: Time },
    /// An attempt to acquire the lock is in progress.
    Attempting,
    /// Locked; sessions of earlier holders are being terminated.
    EndingStaleSessions { valid_until: Time },
    /// Locked and in use.
    Held { valid_until: Time },
    /// Expired without renewal, while the control connection may still exist.
    Expired,
    /// Locked but no longer wanted; connections are being closed.
    Closing,
}

/// State machine for one node's lease on one role at one back end.
#[derive(Debug, Clone)]
pub struct Lease {
    settings: LeaseSettings,
    state: State,
    wanted: bool,
}

impl Lease {
    /// Creates a lease that is neither wanted nor held.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            state: State::Absent,
            wanted: false,
        }
    }

    /// Whether connections may be opened and work started at this time. Must be checked before each use,
    /// since the process may have been paused.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        matches!(self.state, State::Held { valid_until } if now < valid_until)
    }

    /// Whether the lock is believed to be held, whether or not connections may be used.
    #[must_use]
    pub fn is_locked(&self) -> bool {
        matches!(
            self.state,
            State::EndingStaleSessions { .. }
                | State::Held { .. }
                | State::Expired
                | State::Closing
        )
    }

    /// When the next [`LeaseEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        match self.state {
            State::Waiting { attempt_at } => Some(attempt_at),
            State::Held { valid_until } => Some(valid_until),
            _ => None,
        }
    }

    /// Processes an event and returns the resulting effects, in order.
    pub fn handle(&mut self, now: Time, event: LeaseEvent) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        // Expiry is checked before the event, since the process may have been paused past it.
        self.expire(now, &mut effects);
        match event {
            LeaseEvent::Wanted(wanted) => self.set_wanted(now, wanted, &mut effects),
            LeaseEvent::LockAcquired { sent_at } => self.lock_acquired(sent_at, &mut effects),
            LeaseEvent::LockNotAcquired => self.lock_not_acquired(now),
            LeaseEvent::StaleSessionsEnded => self.stale_sessions_ended(now, &mut effects),
            LeaseEvent::Renewed { sent_at } => self.renewed(now, sent_at, &mut effects),
            LeaseEvent::ControlConnectionLost => self.control_connection_lost(now, &mut effects),
            LeaseEvent::ConnectionsClosed => self.connections_closed(now, &mut effects),
            LeaseEvent::ReleasedByPredecessor => self.released_by_predecessor(now),
            LeaseEvent::Tick => {}
        }
        self.attempt_when_due(now, &mut effects);
        effects
    }

    fn valid_until(&self, sent_at: Time) -> Time {
        sent_at + self.settings.duration.saturating_sub(self.settings.margin)
    }

    fn expire(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if let State::Held { valid_until } = self.state
            && now >= valid_until
        {
            self.state = State::Expired;
            effects.push(LeaseEffect::StopUse);
        }
    }

    fn set_wanted(&mut self, now: Time, wanted: bool, effects: &mut Vec<LeaseEffect>) {
        self.wanted = wanted;
        match (wanted, self.state) {
            (true, State::Absent) => self.state = State::Waiting { attempt_at: now },
            (false, State::Waiting { .. }) => self.state = State::Absent,
            (false, State::Held { .. } | State::EndingStaleSessions { .. } | State::Expired) => {
                self.state = State::Closing;
                effects.push(LeaseEffect::StopUse);
                effects.push(LeaseEffect::CloseConnections);
            }
            _ => {}
        }
    }

    fn lock_acquired(&mut self, sent_at: Time, effects: &mut Vec<LeaseEffect>) {
        if self.state != State::Attempting {
            return;
        }
        if self.wanted {
            let valid_until = self.valid_until(sent_at);
            self.state = State::EndingStaleSessions { valid_until };
            effects.push(LeaseEffect::EndStaleSessions);
        } else {
            self.state = State::Absent;
            effects.push(LeaseEffect::ReleaseLock);
        }
    }

    fn lock_not_acquired(&mut self, now: Time) {
        if self.state == State::Attempting {
            self.schedule_attempt(now + self.settings.retry_interval);
        }
    }

    fn schedule_attempt(&mut self, attempt_at: Time) {
        self.state = if self.wanted {
            State::Waiting { attempt_at }
        } else {
            State::Absent
        };
    }

    fn stale_sessions_ended(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if let State::EndingStaleSessions { valid_until } = self.state {
            if now < valid_until {
                self.state = State::Held { valid_until };
                effects.push(LeaseEffect::StartUse);
            } else {
                self.state = State::Expired;
            }
        }
    }

    fn renewed(&mut self, now: Time, sent_at: Time, effects: &mut Vec<LeaseEffect>) {
        let renewed_until = self.valid_until(sent_at);
        match &mut self.state {
            State::Held { valid_until } | State::EndingStaleSessions { valid_until } => {
                *valid_until = renewed_until.max(*valid_until);
            }
            // The control session still answers, so it never ended and no other session held the lock.
            State::Expired if now < renewed_until => {
                self.state = State::Held {
                    valid_until: renewed_until,
                };
                effects.push(LeaseEffect::StartUse);
            }
            _ => {}
        }
    }

    fn control_connection_lost(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        match self.state {
            State::Held { .. } => {
                effects.push(LeaseEffect::StopUse);
                self.schedule_attempt(now);
            }
            State::EndingStaleSessions { .. } | State::Expired => self.schedule_attempt(now),
            State::Attempting => self.schedule_attempt(now + self.settings.retry_interval),
            State::Closing | State::Absent | State::Waiting { .. } => {}
        }
    }

    fn connections_closed(&mut self, now: Time, effects: &mut Vec<LeaseEffect>) {
        if self.state == State::Closing {
            effects.push(LeaseEffect::ReleaseLock);
            self.schedule_attempt(now + self.settings.retry_interval);
        }
    }

    fn released_by_predecessor(&mut self, now: Time) {
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
