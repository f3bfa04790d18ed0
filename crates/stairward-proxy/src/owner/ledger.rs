//! Requests that carry a key run at most once: in one transaction with a row in a ledger table.
//!
//! The row's key is unique, so a second transaction with the same key waits for the first one's end
//! and then finds the row. The database decides, whichever proxies the requests came through.

use std::time::{Duration, SystemTime};

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::response::{CommandComplete, READY_STATUS_TRANSACTION_BLOCK};
use stairward_protocol::stream::{Batch, WireTransactionStatus};
use tokio::time::Instant;

use super::connection::{BackendConnection, TextRow, encode_query};
use super::error::BackendError;
use super::relay::{Relay, RelayEnd};

/// Longest request key accepted, in bytes.
const MAXIMUM_KEY_BYTES: usize = 200;

/// How long the statements around the batch may take each when the request has no deadline. The first
/// may wait for another request with the same key to end.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Rows deleted by one statement when old ones expire.
const EXPIRY_BATCH_ROWS: usize = 100;

/// SQLSTATE of a table that does not exist.
const UNDEFINED_TABLE: &str = "42P01";

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS stairward_ledger (\
    request_key text PRIMARY KEY, outcome text NOT NULL, created_at bigint NOT NULL)";

/// How a keyed request ended.
pub(super) enum KeyedOutcome {
    /// The batch and its ledger row were committed; the answers are held.
    Committed,
    /// A request with this key had been committed before.
    AlreadyRun {
        /// The command tag that was recorded.
        command_tag: String,
    },
    /// The batch failed by itself and was rolled back; its error is held.
    RolledBack,
    /// The ledger could not be used; nothing of the batch was sent.
    LedgerFailed,
    /// The connection was lost while the commit was under way.
    CommitUnknown,
    /// Relaying ended before the commit was begun.
    Ended(RelayEnd),
}

/// Runs the batch once for its key.
pub(super) async fn run_keyed(relay: &mut Relay, key: &str, batch: &Batch) -> KeyedOutcome {
    if key.len() > MAXIMUM_KEY_BYTES || key.contains('\0') {
        return KeyedOutcome::LedgerFailed;
    }
    let key = quote(key);
    let deadline = relay.deadline;
    match in_time(deadline, reserve(&mut relay.grant.connection, &key)).await {
        Ok(Reservation::New) => run_reserved(relay, &key, batch).await,
        Ok(Reservation::Duplicate { command_tag }) => {
            relay.sequence = batch.sequence;
            KeyedOutcome::AlreadyRun { command_tag }
        }
        Err(error) => {
            tracing::debug!(%error, "a request key could not be recorded");
            KeyedOutcome::LedgerFailed
        }
    }
}

async fn run_reserved(relay: &mut Relay, key: &str, batch: &Batch) -> KeyedOutcome {
    relay.begin_batch();
    relay.in_transaction = true;
    relay.holds_all_ends = true;
    if !relay.accept(batch) {
        return KeyedOutcome::Ended(RelayEnd::OutOfTurn);
    }
    match relay.run().await {
        Ok(WireTransactionStatus::InTransaction) => commit(relay, key).await,
        Ok(WireTransactionStatus::Failed) => roll_back(relay).await,
        // The batch ended the transaction by itself, and the ledger row with it.
        Ok(WireTransactionStatus::Idle) if relay.evidence.acknowledges_commit() => {
            KeyedOutcome::Committed
        }
        Ok(WireTransactionStatus::Idle) => KeyedOutcome::RolledBack,
        Err(end) => KeyedOutcome::Ended(end),
    }
}

async fn commit(relay: &mut Relay, key: &str) -> KeyedOutcome {
    let tag = quote(&relay.evidence.last_tag);
    let record = format!("UPDATE stairward_ledger SET outcome = {tag} WHERE request_key = {key}");
    let deadline = relay.deadline;
    let connection = &mut relay.grant.connection;
    let recorded = in_time(deadline, query_in_transaction(connection, &record)).await;
    if recorded.is_err() {
        return lost_before_commit(relay);
    }
    match in_time(deadline, connection.query("COMMIT")).await {
        Ok(_) => {
            relay.in_transaction = false;
            KeyedOutcome::Committed
        }
        // The back end itself says that the commit failed.
        Err(BackendError::Server { .. }) => lost_before_commit(relay),
        Err(_) => KeyedOutcome::CommitUnknown,
    }
}

/// The transaction was open and no commit was sent, or the back end refused it.
fn lost_before_commit(relay: &mut Relay) -> KeyedOutcome {
    relay.begin_batch();
    relay.in_transaction = true;
    KeyedOutcome::Ended(RelayEnd::BackendLost)
}

async fn roll_back(relay: &mut Relay) -> KeyedOutcome {
    let deadline = relay.deadline;
    match in_time(deadline, relay.grant.connection.query("ROLLBACK")).await {
        Ok(_) => {
            relay.in_transaction = false;
            KeyedOutcome::RolledBack
        }
        Err(_) => lost_before_commit(relay),
    }
}

enum Reservation {
    /// The row is written and the transaction open.
    New,
    /// The row was there; no transaction is open.
    Duplicate { command_tag: String },
}

async fn reserve(
    connection: &mut BackendConnection,
    key: &str,
) -> Result<Reservation, BackendError> {
    match try_reserve(connection, key).await {
        Err(BackendError::Server { sqlstate, .. }) if sqlstate == UNDEFINED_TABLE => {
            connection.query("ROLLBACK").await?;
            // Another session may create it at the same moment; the next attempt tells.
            let _ = connection.query(CREATE_TABLE).await;
            try_reserve(connection, key).await
        }
        other => other,
    }
}

async fn try_reserve(
    connection: &mut BackendConnection,
    key: &str,
) -> Result<Reservation, BackendError> {
    let now = seconds_since_epoch();
    query_in_transaction(connection, "BEGIN").await?;
    let insert = format!(
        "INSERT INTO stairward_ledger (request_key, outcome, created_at) \
         VALUES ({key}, '', {now}) ON CONFLICT (request_key) DO NOTHING RETURNING request_key"
    );
    let inserted = query_in_transaction(connection, &insert).await?;
    if !inserted.is_empty() {
        return Ok(Reservation::New);
    }
    connection.query("ROLLBACK").await?;
    let recorded = format!("SELECT outcome FROM stairward_ledger WHERE request_key = {key}");
    let rows = connection.query(&recorded).await?;
    let command_tag = rows.first().and_then(|row| row.first().cloned().flatten());
    Ok(Reservation::Duplicate {
        command_tag: command_tag.unwrap_or_default(),
    })
}

/// Deletes one batch of rows older than `retention`. Returns whether more may be left.
pub(super) async fn expire(
    connection: &mut BackendConnection,
    retention: Duration,
) -> Result<bool, BackendError> {
    let oldest = seconds_since_epoch().saturating_sub(retention.as_secs());
    let find = format!(
        "SELECT request_key FROM stairward_ledger WHERE created_at < {oldest} \
         LIMIT {EXPIRY_BATCH_ROWS}"
    );
    let rows = match connection.query(&find).await {
        Err(BackendError::Server { sqlstate, .. }) if sqlstate == UNDEFINED_TABLE => {
            return Ok(false);
        }
        rows => rows?,
    };
    let keys: Vec<String> = rows
        .iter()
        .filter_map(|row| row.first()?.as_deref().map(quote))
        .collect();
    if keys.is_empty() {
        return Ok(false);
    }
    let keys = keys.join(", ");
    let delete = format!("DELETE FROM stairward_ledger WHERE request_key IN ({keys})");
    connection.query(&delete).await?;
    Ok(rows.len() == EXPIRY_BATCH_ROWS)
}

/// The `CommandComplete` that repeats a recorded outcome.
pub(super) fn command_complete(tag: &str) -> Result<BytesMut, BackendError> {
    let mut buffer = BytesMut::new();
    CommandComplete::new(tag.to_owned()).encode(&mut buffer)?;
    Ok(buffer)
}

async fn query_in_transaction(
    connection: &mut BackendConnection,
    sql: &str,
) -> Result<Vec<TextRow>, BackendError> {
    connection.send(&encode_query(sql)?).await?;
    connection.read_rows(READY_STATUS_TRANSACTION_BLOCK).await
}

async fn in_time<T>(
    deadline: Option<Instant>,
    work: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let deadline = deadline.unwrap_or_else(|| Instant::now() + STATEMENT_TIMEOUT);
    tokio::time::timeout_at(deadline, work)
        .await
        .unwrap_or(Err(BackendError::Timeout))
}

/// An SQL string literal.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn seconds_since_epoch() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}
