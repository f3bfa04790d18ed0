//! Functions and system relations of a member.

use std::collections::BTreeMap;
use std::sync::Arc;

use stairward_types::{LogPosition, Term, Time};

use crate::ConnectionNumber;
use crate::sql::{Column, Environment, Relation, Row, SqlError, Value, ValueType};

use super::connection::Connection;
use super::locks::{AdvisoryKey, Locks};
use super::member::{Context, Member};

/// What a statement asks to be done once it has been evaluated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SideEffect {
    /// End another connection (`pg_terminate_backend`).
    Terminate(ConnectionNumber),
    /// Cancel another connection's statement (`pg_cancel_backend`).
    Cancel(ConnectionNumber),
    /// Change a setting (`set_config`).
    Set {
        /// The setting.
        name: String,
        /// Its new value.
        value: String,
        /// Whether only for the transaction.
        local: bool,
    },
}

/// The environment of one statement at a member.
#[derive(Debug)]
pub struct MemberEnvironment<'a> {
    number: ConnectionNumber,
    now: Time,
    database: &'a str,
    connections: &'a BTreeMap<ConnectionNumber, Connection>,
    locks: &'a mut Locks,
    in_recovery: bool,
    term: Term,
    applied: LogPosition,
    received: LogPosition,
    side_effects: Vec<SideEffect>,
}

impl Member {
    /// The environment of a connection's statement.
    pub fn environment(&mut self, number: ConnectionNumber, now: Time) -> MemberEnvironment<'_> {
        let in_recovery = !self.leads();
        let reported = self.reported();
        let received = self.received();
        MemberEnvironment {
            number,
            now,
            database: &self.group.database,
            connections: &self.connections,
            locks: &mut self.locks,
            in_recovery,
            term: reported.term,
            applied: reported.position,
            received,
            side_effects: Vec::new(),
        }
    }

    /// Does what a statement has asked for.
    pub fn carry_out(
        &mut self,
        number: ConnectionNumber,
        side_effects: Vec<SideEffect>,
        context: &mut Context<'_>,
    ) -> Result<(), SqlError> {
        for side_effect in side_effects {
            match side_effect {
                SideEffect::Terminate(target) => {
                    self.terminate(target, SqlError::Terminated, context);
                }
                SideEffect::Cancel(target) if target == number => {}
                SideEffect::Cancel(target) => self.cancel(target, SqlError::Cancelled, context),
                SideEffect::Set { name, value, local } => {
                    if let Some(connection) = self.connections.get_mut(&number) {
                        connection.settings.set(&name, &value, local)?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// The process number that clients see for a connection.
#[must_use]
pub fn process_number(connection: ConnectionNumber) -> i32 {
    i32::try_from(connection.0 & 0x7FFF_FFFF).unwrap_or(i32::MAX)
}

impl<'a> MemberEnvironment<'a> {
    /// What the statement has asked to be done.
    #[must_use]
    pub fn into_side_effects(self) -> Vec<SideEffect> {
        self.side_effects
    }

    fn connection(&self) -> Option<&'a Connection> {
        self.connections.get(&self.number)
    }

    fn setting(&self, arguments: &[Value]) -> Result<Value, SqlError> {
        let name = arguments.first().map(ToString::to_string);
        let name = name.unwrap_or_default();
        let missing_allowed = arguments.get(1).is_some_and(Value::is_true);
        let found = match self.connection() {
            Some(connection) => connection.settings.get(&name),
            None => Err(SqlError::UndefinedSetting { name }),
        };
        match found {
            Ok(value) => Ok(Value::text(value)),
            Err(_) if missing_allowed => Ok(Value::Null),
            Err(error) => Err(error),
        }
    }

    fn set_config(&mut self, arguments: &[Value]) -> Result<Value, SqlError> {
        let [name, value, local] = arguments else {
            return Err(undefined("set_config"));
        };
        self.side_effects.push(SideEffect::Set {
            name: name.to_string(),
            value: value.to_string(),
            local: local.is_true(),
        });
        Ok(value.clone())
    }

    fn target(&self, arguments: &[Value]) -> Option<ConnectionNumber> {
        let wanted = match arguments {
            [Value::Integer(number)] => i32::try_from(*number).ok()?,
            _ => return None,
        };
        let mut numbers = self.connections.keys();
        numbers
            .find(|number| process_number(**number) == wanted)
            .copied()
    }

    /// Notes what to do to the connection that the arguments name. Returns whether there is one.
    fn signal(
        &mut self,
        arguments: &[Value],
        side_effect: impl FnOnce(ConnectionNumber) -> SideEffect,
    ) -> Value {
        let target = self.target(arguments);
        self.side_effects.extend(target.map(side_effect));
        Value::Boolean(target.is_some())
    }

    fn current_position(&self) -> Result<Value, SqlError> {
        if self.in_recovery {
            return Err(SqlError::Unsupported {
                feature: "pg_current_wal_lsn() during recovery".to_owned(),
            });
        }
        Ok(position(self.applied))
    }

    fn activity(&self) -> Relation {
        let columns = vec![
            Column::new("pid", ValueType::Int4),
            Column::new("application_name", ValueType::Text),
            Column::new("usename", ValueType::Text),
            Column::new("datname", ValueType::Text),
            Column::new("state", ValueType::Text),
            Column::new("backend_type", ValueType::Text),
        ];
        let connections = self.connections.iter();
        let rows = connections.map(|(number, connection)| self.activity_row(*number, connection));
        Relation {
            columns,
            rows: rows.collect(),
        }
    }

    fn activity_row(&self, number: ConnectionNumber, connection: &Connection) -> Row {
        let application_name = connection.settings.get("application_name");
        let state = match (&connection.current, &connection.transaction) {
            (Some(_), _) => "active",
            (None, Some(_)) => "idle in transaction",
            (None, None) => "idle",
        };
        Arc::from([
            Value::Integer(process_number(number).into()),
            Value::text(application_name.unwrap_or_default()),
            Value::text(connection.user.as_str()),
            Value::text(self.database),
            Value::text(state),
            Value::text("client backend"),
        ])
    }

    fn control_checkpoint(&self) -> Relation {
        Relation {
            columns: vec![
                Column::new("timeline_id", ValueType::Int4),
                Column::new("redo_lsn", ValueType::LogPosition),
            ],
            rows: vec![Arc::from([
                Value::Integer(i64::try_from(self.term.0).unwrap_or(i64::MAX)),
                position(self.applied),
            ])],
        }
    }
}

fn undefined(name: &str) -> SqlError {
    SqlError::UndefinedFunction {
        name: name.to_owned(),
    }
}

fn position(position: LogPosition) -> Value {
    Value::text(position.to_string())
}

fn advisory_key(arguments: &[Value]) -> Result<AdvisoryKey, SqlError> {
    match arguments {
        [Value::Integer(first), Value::Integer(second)] => Ok(AdvisoryKey::Pair(*first, *second)),
        [Value::Integer(key)] => Ok(AdvisoryKey::Single(*key)),
        _ => Err(undefined("advisory lock function")),
    }
}

impl Environment for MemberEnvironment<'_> {
    fn call(&mut self, name: &str, arguments: &[Value]) -> Result<Option<Value>, SqlError> {
        let value = match name {
            "pg_is_in_recovery" => Value::Boolean(self.in_recovery),
            "pg_current_wal_lsn" | "pg_current_wal_insert_lsn" | "pg_current_wal_flush_lsn" => {
                self.current_position()?
            }
            "pg_last_wal_replay_lsn" => position(self.applied),
            "pg_last_wal_receive_lsn" => position(self.received),
            "version" => Value::text("PostgreSQL 17.0 (stairward stand-in)"),
            "current_database" | "current_catalog" => Value::text(self.database),
            "current_schema" => Value::text("public"),
            "current_user" | "session_user" | "user" => {
                let user = self.connection().map(|connection| connection.user.as_str());
                Value::text(user.unwrap_or_default())
            }
            "current_setting" => self.setting(arguments)?,
            "set_config" => self.set_config(arguments)?,
            "pg_backend_pid" => Value::Integer(process_number(self.number).into()),
            "pg_sleep" => Value::text(""),
            "pg_try_advisory_lock" => {
                let key = advisory_key(arguments)?;
                Value::Boolean(self.locks.try_advisory(key, self.number))
            }
            "pg_advisory_unlock" => {
                let key = advisory_key(arguments)?;
                Value::Boolean(self.locks.unlock_advisory(key, self.number))
            }
            "pg_advisory_unlock_all" => {
                self.locks.unlock_all_advisory(self.number);
                Value::text("")
            }
            "pg_terminate_backend" => self.signal(arguments, SideEffect::Terminate),
            "pg_cancel_backend" => self.signal(arguments, SideEffect::Cancel),
            "stairward_clock_seconds" => {
                Value::Integer(i64::try_from(self.now.0 / 1_000_000).unwrap_or(i64::MAX))
            }
            _ => return Ok(None),
        };
        Ok(Some(value))
    }

    fn function_type(&self, name: &str) -> Option<ValueType> {
        match name {
            "pg_is_in_recovery"
            | "pg_try_advisory_lock"
            | "pg_advisory_unlock"
            | "pg_terminate_backend"
            | "pg_cancel_backend" => Some(ValueType::Boolean),
            "pg_current_wal_lsn"
            | "pg_current_wal_insert_lsn"
            | "pg_current_wal_flush_lsn"
            | "pg_last_wal_replay_lsn"
            | "pg_last_wal_receive_lsn" => Some(ValueType::LogPosition),
            "pg_backend_pid" => Some(ValueType::Int4),
            "stairward_clock_seconds" => Some(ValueType::Int8),
            _ => None,
        }
    }

    fn relation(&self, name: &str) -> Option<Relation> {
        match name {
            "pg_stat_activity" => Some(self.activity()),
            "pg_control_checkpoint" => Some(self.control_checkpoint()),
            _ => None,
        }
    }
}
