//! Planned change of primary.
//!
//! The primary refuses new writes, lets open transactions end, waits until the target holds the
//! whole log and a quiet time has passed since the last commit, and then tells the target to stand
//! for election (leadership transfer, Ongaro's thesis, section 3.10).

use std::time::Duration;

use stairward_types::{Term, Time};

use super::agenda::Timer;
use super::consensus::Role;
use super::member::{Context, Member};
use super::message::Message;

/// How often the primary checks whether it can hand over.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A planned change of primary under way.
#[derive(Debug, Clone, Copy)]
pub struct Switchover {
    /// Place of the member that is to be primary.
    target: usize,
    /// When it began.
    began: Time,
    /// When it is given up, or forced if only open transactions hold it up.
    deadline: Time,
    /// Whether the target has been told to stand for election.
    handed_over: bool,
}

impl Member {
    /// Whether new writes are refused since a switchover is under way.
    #[must_use]
    pub const fn switching_over(&self) -> bool {
        matches!(&self.role, Role::Leader(leadership) if leadership.switchover.is_some())
    }

    /// Begins a switchover, unless one is under way.
    pub fn begin_switchover(&mut self, target: usize, context: &mut Context<'_>) {
        let switchover = Switchover {
            target,
            began: context.now,
            deadline: context.now + self.group.switchover_timeout,
            handed_over: false,
        };
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.switchover.is_none() {
            leadership.switchover = Some(switchover);
            self.set_timer(context.now, Timer::Switchover(self.term), context);
        }
    }

    /// Hands over when everything is ready; gives up when the target does not catch up.
    pub fn continue_switchover(&mut self, term: Term, context: &mut Context<'_>) {
        let last = self.log.last();
        let transactions_open = self.has_open_writes();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(switchover) = &mut leadership.switchover else {
            return;
        };
        if term != self.term {
            return;
        }
        let overdue = context.now >= switchover.deadline;
        let progress = leadership.replicas.get(&switchover.target);
        let caught_up = progress.and_then(|progress| progress.matched) == Some(last);
        let quiet_since = leadership.last_commit.max(switchover.began);
        let quiet = context.now.since(quiet_since) >= self.group.switchover_quiet_time;
        let ready = caught_up && quiet && (overdue || !transactions_open);
        if ready && !switchover.handed_over {
            switchover.handed_over = true;
            let message = Message::TimeoutNow { term: self.term };
            context.outgoing.push((switchover.target, message));
        }
        if context.now >= switchover.deadline + self.group.election.timeout {
            leadership.switchover = None;
            return;
        }
        let next = context.now + CHECK_INTERVAL;
        self.set_timer(next, Timer::Switchover(term), context);
    }
}
