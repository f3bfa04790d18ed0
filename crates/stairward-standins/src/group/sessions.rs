//! Opening and closing of client connections, and their idle timeouts.

use std::collections::BTreeMap;

use crate::sql::{SqlError, Statement, ValueType, View, describe};
use crate::{ConnectionNumber, Observation};

use super::agenda::Timer;
use super::connection::{Connection, Phase};
use super::event::{ClientRequest, Completion, Reply, RequestNumber, TransactionStatus};
use super::member::{Context, Member};
use super::settings::Settings;

impl Member {
    /// Handles a client's request.
    pub fn handle_client(&mut self, request: ClientRequest, context: &mut Context<'_>) {
        match request {
            ClientRequest::Open {
                connection,
                user,
                settings,
            } => self.open(connection, user, settings, context),
            ClientRequest::Run {
                connection,
                request,
                statement,
                parameters,
                completion,
            } => self.run(
                connection, request, statement, parameters, completion, context,
            ),
            ClientRequest::Describe {
                connection,
                request,
                statement,
                declared,
            } => self.describe(connection, request, &statement, &declared, context),
            ClientRequest::Sync {
                connection,
                request,
            } => self.sync(connection, request, context),
            ClientRequest::Fail {
                connection,
                request,
            } => self.fail(connection, request, context),
            ClientRequest::Cancel { connection } => {
                self.cancel(connection, SqlError::Cancelled, context);
            }
            ClientRequest::Close { connection } => self.close(connection, context),
        }
    }

    fn open(
        &mut self,
        connection: ConnectionNumber,
        user: String,
        settings: BTreeMap<String, String>,
        context: &mut Context<'_>,
    ) {
        if self.connections.len() >= self.config.connection_limit {
            let refusal = Reply::Refused(SqlError::TooManyConnections);
            return self.reply(connection, refusal, context);
        }
        let opened = Connection {
            user,
            settings: Settings::new(settings),
            open: false,
            closing: false,
            loses_reply: false,
            transaction: None,
            current: None,
            deadline: None,
            timer_at: None,
        };
        self.connections.insert(connection, opened);
        let ready = context.now + self.config.connection_opening_time;
        self.set_timer(ready, Timer::Opened(connection), context);
    }

    /// Lets a connection's client in.
    pub fn finish_opening(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.open = true;
        let settings = connection.settings.reported();
        let application_name = connection.settings.get("application_name");
        let application_name = application_name.unwrap_or_default().to_owned();
        let observation = Observation::ConnectionOpened {
            connection: number,
            application_name,
        };
        self.observe(observation, context);
        self.reply(number, Reply::Opened { settings }, context);
        self.watch_idle(number, context);
    }

    fn describe(
        &mut self,
        number: ConnectionNumber,
        request: RequestNumber,
        statement: &Statement,
        declared: &[Option<ValueType>],
        context: &mut Context<'_>,
    ) {
        if !self.connections.contains_key(&number) {
            return;
        }
        let base = self.statement_base(number);
        let overlay = self.overlay(number);
        let view = View {
            base: &base,
            overlay: &overlay,
        };
        let mut environment = self.environment(number, context.now);
        let result = describe(statement, declared, view, &mut environment);
        self.reply(number, Reply::Described { request, result }, context);
    }

    fn sync(
        &mut self,
        number: ConnectionNumber,
        request: RequestNumber,
        context: &mut Context<'_>,
    ) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        let implicit = connection
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.explicit);
        let result = if implicit {
            self.commit(number, context)
        } else {
            Ok(())
        };
        let loses_reply = self.connections.get(&number);
        if loses_reply.is_some_and(|connection| connection.loses_reply) {
            return self.break_connection(number, context);
        }
        let status = self.status(number);
        let reply = Reply::Synced {
            request,
            result,
            status,
        };
        self.reply(number, reply, context);
    }

    fn fail(
        &mut self,
        number: ConnectionNumber,
        request: RequestNumber,
        context: &mut Context<'_>,
    ) {
        self.fail_transaction(number, context);
        let reply = Reply::Synced {
            request,
            result: Ok(()),
            status: self.status(number),
        };
        self.reply(number, reply, context);
    }

    /// The transaction status of a connection.
    #[must_use]
    pub fn status(&self, number: ConnectionNumber) -> TransactionStatus {
        let connection = self.connections.get(&number);
        connection.map_or(TransactionStatus::Idle, Connection::status)
    }

    fn run(
        &mut self,
        number: ConnectionNumber,
        request: RequestNumber,
        statement: Statement,
        parameters: Vec<crate::sql::Value>,
        completion: Completion,
        context: &mut Context<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.current.is_some() || !connection.open {
            let error = SqlError::ProtocolViolation {
                message: "the connection is busy".to_owned(),
            };
            let status = connection.status();
            let reply = Reply::Ran {
                request,
                result: Err(error),
                status,
            };
            return self.reply(number, reply, context);
        }
        connection.current = Some(super::connection::Current {
            request,
            statement,
            parameters,
            completion,
            phase: Phase::Queued,
        });
        let timeout = connection.settings.timeout("statement_timeout");
        self.set_deadline(number, timeout, context);
        self.slot_queue.push_back(number);
        self.fill_slots(context);
    }

    /// Sets the idle timeout that applies to a connection without a statement.
    pub fn watch_idle(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        let name = match connection.status() {
            TransactionStatus::Idle => "idle_session_timeout",
            _ => "idle_in_transaction_session_timeout",
        };
        let timeout = connection.settings.timeout(name);
        self.set_deadline(number, timeout, context);
    }

    /// The client has closed the connection. A statement that occupies a slot is finished first.
    fn close(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let current = connection.current.as_ref();
        if current.is_some_and(|current| current.phase == Phase::Running) {
            connection.closing = true;
        } else {
            self.remove_connection(number, context);
        }
    }

    /// Ends a connection from the server's side.
    pub fn terminate(
        &mut self,
        number: ConnectionNumber,
        error: SqlError,
        context: &mut Context<'_>,
    ) {
        self.remove_connection(number, context);
        self.reply(number, Reply::Terminated(error), context);
    }

    /// Disconnects all clients, as a restart of the server does.
    pub fn terminate_all_connections(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<ConnectionNumber> = self.connections.keys().copied().collect();
        for number in numbers {
            self.terminate(number, SqlError::Terminated, context);
        }
    }

    /// Loses all connections, as a crash of the server does.
    pub fn reset_all_connections(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<ConnectionNumber> = self.connections.keys().copied().collect();
        for number in numbers {
            self.break_connection(number, context);
        }
    }

    /// Loses one connection without a message.
    pub fn break_connection(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        self.remove_connection(number, context);
        self.reply(number, Reply::Reset, context);
    }

    /// Forgets a connection: rolls its transaction back and frees its locks and its slot.
    pub fn remove_connection(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        self.roll_back(number, context);
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.locks.stop_waiting(number);
        self.locks.unlock_all_advisory(number);
        self.slot_queue.retain(|queued| *queued != number);
        let current = connection.current.as_ref();
        if current.is_some_and(|current| current.phase == Phase::Running) {
            self.busy_slots -= 1;
        }
        if connection.open {
            let observation = Observation::ConnectionClosed { connection: number };
            self.observe(observation, context);
        }
        self.fill_slots(context);
    }
}
