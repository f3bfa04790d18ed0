//! Begin, commit and rollback.

use crate::sql::{Overlay, SqlError};
use crate::{ConnectionNumber, Observation, TransactionNumber};

use super::connection::{Isolation, Savepoint, Transaction};
use super::member::{Context, Member};

/// Most savepoints in one transaction.
const MAXIMUM_SAVEPOINTS: usize = 256;

/// How a transaction is begun.
#[derive(Debug, Clone, Copy)]
pub struct TransactionOptions {
    /// Whether `BEGIN` opens it.
    pub explicit: bool,
    /// Whether it may not write.
    pub read_only: bool,
    /// Its isolation level.
    pub isolation: Isolation,
}

impl Member {
    /// Begins a transaction on a connection that has none.
    pub fn begin(
        &mut self,
        number: ConnectionNumber,
        options: TransactionOptions,
        context: &mut Context<'_>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        self.transactions_begun += 1;
        let transaction = TransactionNumber(self.transactions_begun);
        connection.settings.begin();
        connection.transaction = Some(Transaction {
            number: transaction,
            explicit: options.explicit,
            read_only: options.read_only,
            isolation: options.isolation,
            failed: false,
            overlay: Overlay::default(),
            snapshot: None,
            savepoints: Vec::new(),
        });
        let observation = Observation::TransactionBegun {
            connection: number,
            transaction,
            explicit: options.explicit,
        };
        self.observe(observation, context);
    }

    /// The transaction of a connection.
    #[must_use]
    pub fn transaction(&self, number: ConnectionNumber) -> Option<&Transaction> {
        self.connections.get(&number)?.transaction.as_ref()
    }

    /// The transaction of a connection, to change it.
    pub fn transaction_mut(&mut self, number: ConnectionNumber) -> Option<&mut Transaction> {
        self.connections.get_mut(&number)?.transaction.as_mut()
    }

    /// Whether any transaction has uncommitted changes.
    #[must_use]
    pub fn has_open_writes(&self) -> bool {
        self.connections.values().any(|connection| {
            let transaction = connection.transaction.as_ref();
            transaction.is_some_and(|transaction| !transaction.overlay.is_empty())
        })
    }

    /// The uncommitted changes of a connection's transaction.
    #[must_use]
    pub fn overlay(&self, number: ConnectionNumber) -> Overlay {
        let transaction = self.transaction(number);
        let overlay = transaction.map(|transaction| transaction.overlay.clone());
        overlay.unwrap_or_default()
    }

    /// Commits a connection's transaction; a failed one is rolled back.
    ///
    /// # Errors
    /// [`SqlError::FailedTransaction`] when it was rolled back instead.
    pub fn commit(
        &mut self,
        number: ConnectionNumber,
        context: &mut Context<'_>,
    ) -> Result<(), SqlError> {
        let failed = self.transaction(number).is_some_and(|open| open.failed);
        if failed {
            self.roll_back(number, context);
            return Err(SqlError::FailedTransaction);
        }
        let Some(connection) = self.connections.get_mut(&number) else {
            return Ok(());
        };
        let Some(transaction) = connection.transaction.take() else {
            return Ok(());
        };
        connection.settings.end(true);
        let changes = transaction.overlay.changes(&self.store.tables);
        let wrote = !changes.is_empty();
        let freshness = if wrote {
            self.commit_changes(changes, context)
        } else {
            self.store.applied
        };
        let observation = Observation::TransactionCommitted {
            connection: number,
            transaction: transaction.number,
            wrote,
            freshness,
        };
        self.observe(observation, context);
        if wrote && std::mem::take(&mut self.lose_next_reply) {
            self.mark_reply_lost(number);
        }
        self.release_locks(number, context);
        Ok(())
    }

    fn mark_reply_lost(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.loses_reply = true;
        }
    }

    /// Rolls a connection's transaction back, if it has one.
    pub fn roll_back(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(transaction) = connection.transaction.take() else {
            return;
        };
        connection.settings.end(false);
        let observation = Observation::TransactionRolledBack {
            connection: number,
            transaction: transaction.number,
        };
        self.observe(observation, context);
        self.release_locks(number, context);
    }

    fn release_locks(&mut self, number: ConnectionNumber, context: &mut Context<'_>) {
        let freed = self.locks.release(number);
        self.retry_waiting(freed, context);
    }

    /// Sets a savepoint.
    ///
    /// # Errors
    /// [`SqlError::NoTransaction`] outside a transaction block, [`SqlError::LimitExceeded`] when
    /// there are too many.
    pub fn savepoint(&mut self, number: ConnectionNumber, name: String) -> Result<(), SqlError> {
        let transaction = self.block_mut(number)?;
        if transaction.savepoints.len() >= MAXIMUM_SAVEPOINTS {
            return Err(SqlError::LimitExceeded { what: "savepoints" });
        }
        let overlay = transaction.overlay.clone();
        transaction.savepoints.push(Savepoint { name, overlay });
        Ok(())
    }

    /// Goes back to a savepoint, which stays. Row locks taken since are kept until the end.
    ///
    /// # Errors
    /// [`SqlError::NoTransaction`] or [`SqlError::UndefinedSavepoint`].
    pub fn roll_back_to(&mut self, number: ConnectionNumber, name: &str) -> Result<(), SqlError> {
        let transaction = self.block_mut(number)?;
        let place = find_savepoint(transaction, name)?;
        transaction.savepoints.truncate(place + 1);
        transaction.overlay = transaction.savepoints[place].overlay.clone();
        transaction.failed = false;
        Ok(())
    }

    /// Forgets a savepoint and those after it; the changes stay.
    ///
    /// # Errors
    /// [`SqlError::NoTransaction`] or [`SqlError::UndefinedSavepoint`].
    pub fn release_savepoint(
        &mut self,
        number: ConnectionNumber,
        name: &str,
    ) -> Result<(), SqlError> {
        let transaction = self.block_mut(number)?;
        let place = find_savepoint(transaction, name)?;
        transaction.savepoints.truncate(place);
        Ok(())
    }

    fn block_mut(&mut self, number: ConnectionNumber) -> Result<&mut Transaction, SqlError> {
        let transaction = self.transaction_mut(number);
        transaction
            .filter(|transaction| transaction.explicit)
            .ok_or(SqlError::NoTransaction)
    }
}

fn find_savepoint(transaction: &Transaction, name: &str) -> Result<usize, SqlError> {
    let mut savepoints = transaction.savepoints.iter();
    savepoints
        .rposition(|savepoint| savepoint.name == name)
        .ok_or_else(|| SqlError::UndefinedSavepoint {
            name: name.to_owned(),
        })
}
