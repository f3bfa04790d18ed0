//! Execution of one statement within its connection's transaction.

use sqlparser::ast::{
    Statement as Tree, TransactionAccessMode, TransactionIsolationLevel, TransactionMode,
};

use crate::ConnectionNumber;
use crate::sql::{Answer, Modified, SqlError, identifier};

use super::connection::{Current, Isolation};
use super::event::Completion;
use super::member::{Context, Member};
use super::transactions::TransactionOptions;

/// What became of an attempt to execute a statement.
#[derive(Debug)]
pub enum Execution {
    /// It ended.
    Done(Result<Answer, SqlError>),
    /// It must wait for the transaction of this connection.
    Blocked(ConnectionNumber),
}

impl Execution {
    const fn failed(error: SqlError) -> Self {
        Self::Done(Err(error))
    }
}

impl Member {
    /// Executes the current statement of a connection.
    pub fn execute(&mut self, number: ConnectionNumber, context: &mut Context<'_>) -> Execution {
        let Some(connection) = self.connections.get(&number) else {
            return Execution::failed(SqlError::Terminated);
        };
        let Some(current) = connection.current.clone() else {
            return Execution::failed(SqlError::Terminated);
        };
        let reported_before = connection.settings.reported();
        let execution = self.execute_tree(number, &current, context);
        let Execution::Done(result) = execution else {
            return execution;
        };
        match result {
            Ok(mut answer) => {
                answer.reported_settings = self.changed_settings(number, &reported_before);
                Execution::Done(Ok(answer))
            }
            Err(error) => Execution::Done(self.fail_statement(number, error, context)),
        }
    }

    fn changed_settings(
        &self,
        number: ConnectionNumber,
        before: &std::collections::BTreeMap<String, String>,
    ) -> Vec<(String, String)> {
        let Some(connection) = self.connections.get(&number) else {
            return Vec::new();
        };
        let settings = connection.settings.reported().into_iter();
        settings
            .filter(|(name, value)| before.get(name) != Some(value))
            .collect()
    }

    /// Ends the current statement with an error: an implicit transaction is rolled back, an
    /// explicit one has failed.
    pub fn fail_statement(
        &mut self,
        number: ConnectionNumber,
        error: SqlError,
        context: &mut Context<'_>,
    ) -> Result<Answer, SqlError> {
        let transaction = self.transaction(number).map(|open| open.number);
        let result = Err(error);
        self.observe_statement(number, transaction, &result, context);
        self.fail_transaction(number, context);
        result
    }

    /// Marks an explicit transaction as failed; rolls an implicit one back.
    pub fn fail_transaction(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        match self.transaction_mut(number) {
            Some(transaction) if transaction.explicit => transaction.failed = true,
            Some(_) => self.roll_back(number, context),
            None => {}
        }
    }

    fn execute_tree(
        &mut self,
        number: ConnectionNumber,
        current: &Current,
        context: &mut Context<'_>,
    ) -> Execution {
        let Some(tree) = current.statement.tree.clone() else {
            return Execution::Done(Ok(Answer::default()));
        };
        let failed = self.transaction(number).is_some_and(|open| open.failed);
        if failed && !current.statement.ends_transaction() {
            return Execution::failed(SqlError::FailedTransaction);
        }
        match tree.as_ref() {
            Tree::StartTransaction { modes, .. } => self.execute_begin(number, modes, context),
            Tree::Commit { .. } => self.execute_commit(number, context),
            Tree::Rollback {
                savepoint: None, ..
            } => self.execute_rollback(number, context),
            _ => self.execute_in_transaction(number, current, &tree, context),
        }
    }

    fn execute_begin(
        &mut self,
        number: ConnectionNumber,
        modes: &[TransactionMode],
        context: &mut Context<'_>,
    ) -> Execution {
        let options = self.transaction_options(number, true, modes);
        if self.switching_over() && !options.read_only && self.transaction(number).is_none() {
            return Execution::failed(SqlError::SwitchoverUnderWay);
        }
        match self.transaction_mut(number) {
            Some(open) => open.explicit = true,
            None => self.begin(number, options, context),
        }
        self.succeed(number, Answer::command("BEGIN"), context)
    }

    fn execute_commit(&mut self, number: ConnectionNumber, context: &mut Context<'_>) -> Execution {
        let failed = self.transaction(number).is_some_and(|open| open.failed);
        if failed {
            return self.execute_rollback(number, context);
        }
        let execution = self.succeed(number, Answer::command("COMMIT"), context);
        match self.commit(number, context) {
            Ok(()) => execution,
            Err(error) => Execution::failed(error),
        }
    }

    fn execute_rollback(
        &mut self,
        number: ConnectionNumber,
        context: &mut Context<'_>,
    ) -> Execution {
        let execution = self.succeed(number, Answer::command("ROLLBACK"), context);
        self.roll_back(number, context);
        execution
    }

    fn succeed(
        &self,
        number: ConnectionNumber,
        answer: Answer,
        context: &mut Context<'_>,
    ) -> Execution {
        let transaction = self.transaction(number).map(|open| open.number);
        let result = Ok(answer);
        self.observe_statement(number, transaction, &result, context);
        Execution::Done(result)
    }

    /// Options of a transaction from the session's defaults and the statement's modes.
    fn transaction_options(
        &self,
        number: ConnectionNumber,
        explicit: bool,
        modes: &[TransactionMode],
    ) -> TransactionOptions {
        let connection = self.connections.get(&number);
        let setting = |name| {
            let value = connection.and_then(|connection| connection.settings.get(name).ok());
            value.unwrap_or_default()
        };
        let mut options = TransactionOptions {
            explicit,
            read_only: matches!(setting("default_transaction_read_only"), "on" | "true"),
            isolation: isolation_named(setting("default_transaction_isolation")),
        };
        for mode in modes {
            match mode {
                TransactionMode::AccessMode(mode) => {
                    options.read_only = *mode == TransactionAccessMode::ReadOnly;
                }
                TransactionMode::IsolationLevel(level) => options.isolation = isolation(*level),
            }
        }
        options
    }

    fn execute_in_transaction(
        &mut self,
        number: ConnectionNumber,
        current: &Current,
        tree: &Tree,
        context: &mut Context<'_>,
    ) -> Execution {
        if self.transaction(number).is_none() {
            let options = self.transaction_options(number, false, &[]);
            self.begin(number, options, context);
        }
        let outcome = self.dispatch(number, current, tree, context);
        let applied = match outcome {
            Ok(Outcome::Answered(answer)) => Ok(Applied::Answered(answer)),
            Ok(Outcome::Modified(modified)) => self.modify(number, modified),
            Err(error) => Err(error),
        };
        let answer = match applied {
            Ok(Applied::Answered(answer)) => answer,
            Ok(Applied::Blocked(holder)) => return Execution::Blocked(holder),
            Err(error) => return Execution::failed(error),
        };
        let execution = self.succeed(number, answer, context);
        let implicit = self.transaction(number).is_some_and(|open| !open.explicit);
        if implicit && current.completion == Completion::Commit {
            match self.commit(number, context) {
                Ok(()) => execution,
                Err(error) => Execution::failed(error),
            }
        } else {
            execution
        }
    }

    fn dispatch(
        &mut self,
        number: ConnectionNumber,
        current: &Current,
        tree: &Tree,
        context: &mut Context<'_>,
    ) -> Result<Outcome, SqlError> {
        match tree {
            Tree::Query(_) | Tree::Insert(_) | Tree::Update(_) | Tree::Delete(_) => {
                self.data_statement(number, current, tree, context)
            }
            Tree::CreateTable(create) => self.create(number, create, context),
            Tree::Savepoint { name } => {
                self.savepoint(number, identifier(name))?;
                Ok(Outcome::command("SAVEPOINT"))
            }
            Tree::ReleaseSavepoint { name } => {
                self.release_savepoint(number, &identifier(name))?;
                Ok(Outcome::command("RELEASE"))
            }
            Tree::Rollback {
                savepoint: Some(name),
                ..
            } => {
                self.roll_back_to(number, &identifier(name))?;
                Ok(Outcome::command("ROLLBACK"))
            }
            Tree::Set(set) => self.set(number, set, context),
            Tree::Reset(reset) => self.reset(number, &reset.reset),
            Tree::ShowVariable { variable } => self.show(number, variable),
            Tree::Discard { object_type } => self.discard(number, object_type),
            Tree::Deallocate { .. } => Ok(Outcome::command("DEALLOCATE")),
            other => Err(SqlError::Unsupported {
                feature: format!("statement {other}"),
            }),
        }
    }
}

/// What a statement comes to before locks are taken.
pub enum Outcome {
    /// An answer that needs no locks.
    Answered(Answer),
    /// Changes, with the locks they need.
    Modified(Modified),
}

/// What becomes of changes when their locks are asked for.
pub enum Applied {
    /// The locks are held and the changes recorded.
    Answered(Answer),
    /// This connection holds a lock that is needed.
    Blocked(ConnectionNumber),
}

impl Outcome {
    /// The answer of a statement that returns no rows.
    pub fn command(tag: &str) -> Self {
        Self::Answered(Answer::command(tag))
    }
}

/// The isolation level that PostgreSQL's level stands for here.
pub const fn isolation(level: TransactionIsolationLevel) -> Isolation {
    match level {
        TransactionIsolationLevel::ReadUncommitted | TransactionIsolationLevel::ReadCommitted => {
            Isolation::ReadCommitted
        }
        TransactionIsolationLevel::RepeatableRead
        | TransactionIsolationLevel::Serializable
        | TransactionIsolationLevel::Snapshot => Isolation::Snapshot,
    }
}

fn isolation_named(name: &str) -> Isolation {
    match name {
        "repeatable read" | "serializable" => Isolation::Snapshot,
        _ => Isolation::ReadCommitted,
    }
}
