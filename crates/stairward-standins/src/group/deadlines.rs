//! Statement and idle timeouts: one deadline and one timer per connection.

use std::time::Duration;

use crate::ConnectionNumber;
use crate::sql::SqlError;

use super::agenda::Timer;
use super::event::TransactionStatus;
use super::member::{Context, Member};

impl Member {
    /// Sets a connection's deadline, or none.
    pub fn set_deadline(
        &mut self,
        number: ConnectionNumber,
        timeout: Option<Duration>,
        context: &mut Context<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.deadline = timeout.map(|timeout| context.now + timeout);
        self.set_deadline_timer(number, context);
    }

    /// Sets the timer, unless it fires early enough already.
    fn set_deadline_timer(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(deadline) = connection.deadline else {
            return;
        };
        if connection.timer_at.is_none_or(|at| at > deadline) {
            connection.timer_at = Some(deadline);
            self.set_timer(deadline, Timer::Deadline(number), context);
        }
    }

    /// Checks a connection's deadline.
    pub fn deadline_timer(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.timer_at.is_none_or(|at| at > context.now) {
            // An earlier timer has taken this one's place.
            return;
        }
        connection.timer_at = None;
        match connection.deadline {
            Some(deadline) if deadline <= context.now => self.deadline_passed(number, context),
            _ => self.set_deadline_timer(number, context),
        }
    }

    fn deadline_passed(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        if connection.current.is_some() {
            return self.cancel(number, SqlError::StatementTimeout, context);
        }
        let error = match connection.status() {
            TransactionStatus::Idle => SqlError::IdleSessionTimeout,
            _ => SqlError::IdleInTransactionTimeout,
        };
        self.terminate(number, error, context);
    }
}
