//! The way of a statement: queue, slot, lock wait, end.

use std::time::Duration;

use crate::sql::{Answer, SqlError};
use crate::{ConnectionNumber, Observation, StatementOutcome, TransactionNumber};

use super::agenda::Timer;
use super::connection::Phase;
use super::event::{Reply, RequestNumber};
use super::execution::Execution;
use super::member::{Context, Member};

impl Member {
    /// Gives free slots to waiting statements.
    pub fn fill_slots(&mut self, context: &mut Context<'_>) {
        while self.busy_slots < self.config.slots
            && let Some(number) = self.slot_queue.pop_front()
        {
            self.start_statement(number, context);
        }
    }

    fn start_statement(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let duration = self.config.statement_time + self.slowness;
        let Some(current) = self.current_mut(number) else {
            return;
        };
        current.phase = Phase::Running;
        let sleep = Duration::try_from_secs_f64(current.statement.sleep_seconds());
        let timer = Timer::StatementEnds(number, current.request);
        self.busy_slots += 1;
        let ends = context.now + duration + sleep.unwrap_or(Duration::MAX);
        self.set_timer(ends, timer, context);
    }

    fn current_mut(&mut self, number: ConnectionNumber) -> Option<&mut super::connection::Current> {
        self.connections.get_mut(&number)?.current.as_mut()
    }

    /// A statement has occupied its slot for its time: it takes effect now.
    pub fn statement_ends(
        &mut self,
        number: ConnectionNumber,
        request: RequestNumber,
        context: &mut Context<'_>,
    ) {
        let Some(current) = self.current_mut(number) else {
            return;
        };
        if current.request != request || current.phase != Phase::Running {
            return;
        }
        current.phase = Phase::Executing;
        self.busy_slots -= 1;
        self.execute_current(number, context);
        self.fill_slots(context);
    }

    fn execute_current(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        match self.execute(number, context) {
            Execution::Done(result) => self.finish_statement(number, result, context),
            Execution::Blocked(holder) if self.locks.wait(number, holder) => {
                if let Some(current) = self.current_mut(number) {
                    current.phase = Phase::WaitingForLock;
                }
            }
            Execution::Blocked(_) => {
                let failure = self.fail_statement(number, SqlError::DeadlockDetected, context);
                self.finish_statement(number, failure, context);
            }
        }
    }

    /// Lets those try again who waited for a connection's locks.
    pub fn retry_waiting(&mut self, freed: Vec<ConnectionNumber>, context: &mut Context<'_>) {
        for number in freed {
            if let Some(current) = self.current_mut(number)
                && current.phase == Phase::WaitingForLock
            {
                current.phase = Phase::Queued;
                self.slot_queue.push_back(number);
            }
        }
        self.fill_slots(context);
    }

    /// Answers a statement, unless the connection ended with it.
    fn finish_statement(
        &mut self,
        number: ConnectionNumber,
        result: Result<Answer, SqlError>,
        context: &mut Context<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(current) = connection.current.take() else {
            return;
        };
        if connection.closing {
            return self.remove_connection(number, context);
        }
        if connection.loses_reply {
            return self.break_connection(number, context);
        }
        let reply = Reply::Ran {
            request: current.request,
            result,
            status: connection.status(),
        };
        self.reply(number, reply, context);
        self.watch_idle(number, context);
    }

    /// Ends a statement before it takes effect.
    pub fn cancel(&mut self, number: ConnectionNumber, error: SqlError, context: &mut Context<'_>) {
        let Some(current) = self.current_mut(number) else {
            return;
        };
        if current.phase == Phase::Running {
            self.busy_slots -= 1;
        }
        self.slot_queue.retain(|queued| *queued != number);
        self.locks.stop_waiting(number);
        let failure = self.fail_statement(number, error, context);
        self.finish_statement(number, failure, context);
        self.fill_slots(context);
    }

    /// Reports the end of the current statement.
    pub fn observe_statement(
        &self,
        number: ConnectionNumber,
        transaction: Option<TransactionNumber>,
        result: &Result<Answer, SqlError>,
        context: &mut Context<'_>,
    ) {
        let connection = self.connections.get(&number);
        let current = connection.and_then(|connection| connection.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let outcome = match result {
            Ok(answer) => StatementOutcome::Succeeded {
                rows: answer.affected,
            },
            Err(error) => StatementOutcome::Failed {
                sqlstate: error.sqlstate(),
            },
        };
        let observation = Observation::StatementRan {
            connection: number,
            transaction,
            sql: current.statement.text.to_string(),
            outcome,
            freshness: self.store.applied,
        };
        self.observe(observation, context);
    }
}
