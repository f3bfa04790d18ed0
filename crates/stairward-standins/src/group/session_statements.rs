//! `SET`, `RESET`, `SHOW` and `DISCARD`.

use std::sync::Arc;

use sqlparser::ast::{
    ContextModifier, DiscardObject, Expr, Ident, Reset, Set, TransactionAccessMode, TransactionMode,
};

use crate::ConnectionNumber;
use crate::sql::{
    Answer, Column, Scope, SqlError, Value, ValueType, evaluate, identifier, object_name,
};

use super::execution::{Outcome, isolation};
use super::member::{Context, Member};

impl Member {
    /// `SET`.
    pub fn set(
        &mut self,
        number: ConnectionNumber,
        set: &Set,
        context: &mut Context<'_>,
    ) -> Result<Outcome, SqlError> {
        match set {
            Set::SingleAssignment {
                scope,
                variable,
                values,
                ..
            } => {
                let local = *scope == Some(ContextModifier::Local);
                let value = self.setting_value(number, values, context)?;
                self.change_setting(number, &object_name(variable), value.as_deref(), local)?;
            }
            Set::SetTimeZone { local, value } => {
                let values = std::slice::from_ref(value);
                let value = self.setting_value(number, values, context)?;
                self.change_setting(number, "timezone", value.as_deref(), *local)?;
            }
            Set::SetNames { charset_name, .. } => {
                let value = identifier(charset_name);
                self.change_setting(number, "client_encoding", Some(&value), false)?;
            }
            Set::SetTransaction { modes, session, .. } => {
                self.set_transaction(number, modes, *session)?;
            }
            other => {
                return Err(SqlError::Unsupported {
                    feature: other.to_string(),
                });
            }
        }
        Ok(Outcome::command("SET"))
    }

    /// The text of a value to set; `None` stands for `DEFAULT`.
    fn setting_value(
        &mut self,
        number: ConnectionNumber,
        values: &[Expr],
        context: &Context<'_>,
    ) -> Result<Option<String>, SqlError> {
        let mut texts = Vec::new();
        for value in values {
            let text = match value {
                Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default") => {
                    return Ok(None);
                }
                Expr::Identifier(name) => identifier(name),
                other => {
                    let mut environment = self.environment(number, context.now);
                    match evaluate(other, Scope::constant(&[]), &mut environment)? {
                        Value::Boolean(true) => "on".to_owned(),
                        Value::Boolean(false) => "off".to_owned(),
                        value => value.to_string(),
                    }
                }
            };
            texts.push(text);
        }
        Ok(Some(texts.join(", ")))
    }

    fn change_setting(
        &mut self,
        number: ConnectionNumber,
        name: &str,
        value: Option<&str>,
        local: bool,
    ) -> Result<(), SqlError> {
        let Some(connection) = self.connections.get_mut(&number) else {
            return Ok(());
        };
        match value {
            Some(value) => connection.settings.set(name, value, local),
            None => {
                connection.settings.reset(name);
                Ok(())
            }
        }
    }

    fn set_transaction(
        &mut self,
        number: ConnectionNumber,
        modes: &[TransactionMode],
        session: bool,
    ) -> Result<(), SqlError> {
        for mode in modes {
            if session {
                let (name, value) = match mode {
                    TransactionMode::AccessMode(TransactionAccessMode::ReadOnly) => {
                        ("default_transaction_read_only", "on".to_owned())
                    }
                    TransactionMode::AccessMode(TransactionAccessMode::ReadWrite) => {
                        ("default_transaction_read_only", "off".to_owned())
                    }
                    TransactionMode::IsolationLevel(level) => (
                        "default_transaction_isolation",
                        level.to_string().to_lowercase(),
                    ),
                };
                self.change_setting(number, name, Some(&value), false)?;
            } else if let Some(open) = self.transaction_mut(number) {
                match mode {
                    TransactionMode::AccessMode(mode) => {
                        open.read_only = *mode == TransactionAccessMode::ReadOnly;
                    }
                    TransactionMode::IsolationLevel(level) => open.isolation = isolation(*level),
                }
            }
        }
        Ok(())
    }

    /// `RESET`.
    pub fn reset(&mut self, number: ConnectionNumber, reset: &Reset) -> Result<Outcome, SqlError> {
        if let Some(connection) = self.connections.get_mut(&number) {
            match reset {
                Reset::ALL => connection.settings.reset_all(),
                Reset::ConfigurationParameter(name) => {
                    connection.settings.reset(&object_name(name));
                }
                Reset::SessionAuthorization => {}
            }
        }
        Ok(Outcome::command("RESET"))
    }

    /// `SHOW`.
    pub fn show(&self, number: ConnectionNumber, variable: &[Ident]) -> Result<Outcome, SqlError> {
        let names: Vec<String> = variable.iter().map(identifier).collect();
        let name = match names.join(".").as_str() {
            "transaction.isolation.level" => "transaction_isolation".to_owned(),
            "time.zone" => "timezone".to_owned(),
            other => other.to_owned(),
        };
        let value = Value::text(self.shown_value(number, &name)?);
        let columns = vec![Column::new(name, ValueType::Text)];
        let mut answer = Answer::rows(columns, vec![Arc::from([value])]);
        answer.tag = "SHOW".to_owned();
        Ok(Outcome::Answered(answer))
    }

    /// The value that `SHOW` gives: a setting, or a property of the transaction.
    fn shown_value(&self, number: ConnectionNumber, name: &str) -> Result<String, SqlError> {
        let open = self.transaction(number);
        let on_or_off = |truth: bool| if truth { "on" } else { "off" }.to_owned();
        match name {
            "in_hot_standby" => Ok(on_or_off(!self.leads())),
            "transaction_read_only" => {
                let read_only = open.is_some_and(|open| open.read_only);
                Ok(on_or_off(!self.leads() || read_only))
            }
            _ => {
                let connection = self.connections.get(&number);
                let connection = connection.ok_or(SqlError::Terminated)?;
                Ok(connection.settings.get(name)?.to_owned())
            }
        }
    }

    /// `DISCARD`.
    pub fn discard(
        &mut self,
        number: ConnectionNumber,
        object: &DiscardObject,
    ) -> Result<Outcome, SqlError> {
        let in_block = self.transaction(number).is_some_and(|open| open.explicit);
        if *object != DiscardObject::ALL {
            return Ok(Outcome::command("DISCARD"));
        }
        if in_block {
            return Err(SqlError::Unsupported {
                feature: "DISCARD ALL inside a transaction block".to_owned(),
            });
        }
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.settings.reset_all();
        }
        self.locks.unlock_all_advisory(number);
        Ok(Outcome::command("DISCARD ALL"))
    }
}
