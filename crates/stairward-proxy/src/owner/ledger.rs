//! Idempotency keys: a request with a key runs at most once, in one transaction with a row in a
//! ledger table.
//!
//! The key is the table's primary key, so a second transaction with the same key waits for the
//! first to end and then finds its row. The database enforces this regardless of which proxies the
//! requests came through.

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

/// Time limit of each ledger statement when the request has no deadline. The first one may wait for
/// another request with the same key to end.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of expired rows deleted by one statement.
const EXPIRY_BATCH_ROWS: usize = 100;

/// SQLSTATE `undefined_table`.
const UNDEFINED_TABLE: &str = "42P01";

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS stairward_ledger (\
    request_key text PRIMARY KEY, outcome text NOT NULL, created_at bigint NOT NULL)";

/// How a keyed request ended.
pub(super) enum KeyedOutcome {
    /// The batch and its ledger row were committed; the responses are still buffered.
    Committed,
    /// An earlier request with this key was committed.
    AlreadyRun {
        /// The recorded command tag.
        command_tag: String,
    },
    /// The batch failed and was rolled back; its error response is still buffered.
    RolledBack,
    /// The ledger could not be used; nothing of the batch was sent.
    LedgerFailed,
    /// The connection was lost after `COMMIT` was sent, before its response arrived.
    CommitUnknown,
    /// Relaying ended before `COMMIT` was sent.
    Ended(RelayEnd),
}

/// Runs the batch unless a request with the same key was committed before.
pub(super) async fn run_keyed(relay: &mut Relay, key: &str, batch: &Batch) -> KeyedOutcome {
    if key.len() > MAXIMUM_KEY_BYTES || key.contains('\0') {
        return KeyedOutcome::LedgerFailed;
    }
    let key = quote(key);
    let deadline = relay.deadline;
    match with_deadline(deadline, reserve(&mut relay.grant.connection, &key)).await {
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
    relay.holds_all_completions = true;
    if !relay.accept(batch) {
        return KeyedOutcome::Ended(RelayEnd::InvalidMessage);
    }
    match relay.run().await {
        Ok(WireTransactionStatus::InTransaction) => commit(relay, key).await,
        Ok(WireTransactionStatus::Failed) => roll_back(relay).await,
        // The batch itself committed or rolled back the transaction, including the ledger row.
        Ok(WireTransactionStatus::Idle) if relay.summary.acknowledges_commit() => {
            KeyedOutcome::Committed
        }
        Ok(WireTransactionStatus::Idle) => KeyedOutcome::RolledBack,
        Err(end) => KeyedOutcome::Ended(end),
    }
}

async fn commit(relay: &mut Relay, key: &str) -> KeyedOutcome {
    let tag = quote(&relay.summary.last_tag);
    let record = format!("UPDATE stairward_ledger SET outcome = {tag} WHERE request_key = {key}");
    let deadline = relay.deadline;
    let connection = &mut relay.grant.connection;
    let recorded = with_deadline(deadline, query_in_transaction(connection, &record)).await;
    if recorded.is_err() {
        return backend_lost_before_commit(relay);
    }
    match with_deadline(deadline, connection.query("COMMIT")).await {
        Ok(_) => {
            relay.in_transaction = false;
            KeyedOutcome::Committed
        }
        // The back end reported that the commit failed.
        Err(BackendError::Server { .. }) => backend_lost_before_commit(relay),
        Err(_) => KeyedOutcome::CommitUnknown,
    }
}

/// Ends with the transaction open: `COMMIT` was not sent, or the back end rejected it.
fn backend_lost_before_commit(relay: &mut Relay) -> KeyedOutcome {
    relay.begin_batch();
    relay.in_transaction = true;
    KeyedOutcome::Ended(RelayEnd::BackendLost)
}

async fn roll_back(relay: &mut Relay) -> KeyedOutcome {
    let deadline = relay.deadline;
    match with_deadline(deadline, relay.grant.connection.query("ROLLBACK")).await {
        Ok(_) => {
            relay.in_transaction = false;
            KeyedOutcome::RolledBack
        }
        Err(_) => backend_lost_before_commit(relay),
    }
}

enum Reservation {
    /// The row was inserted and the transaction is open.
    New,
    /// The row already existed; no transaction is open.
    Duplicate { command_tag: String },
}

async fn reserve(
    connection: &mut BackendConnection,
    key: &str,
) -> Result<Reservation, BackendError> {
    match try_reserve(connection, key).await {
        Err(BackendError::Server { sqlstate, .. }) if sqlstate == UNDEFINED_TABLE => {
            connection.query("ROLLBACK").await?;
            // Another session may create the table concurrently; the next attempt shows the result.
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

/// Deletes up to [`EXPIRY_BATCH_ROWS`] rows older than `retention`. Returns whether more may
/// remain.
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

/// Encodes a `CommandComplete` with a recorded command tag.
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

async fn with_deadline<T>(
    deadline: Option<Instant>,
    work: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let deadline = deadline.unwrap_or_else(|| Instant::now() + STATEMENT_TIMEOUT);
    tokio::time::timeout_at(deadline, work)
        .await
        .unwrap_or(Err(BackendError::Timeout))
}

/// Quotes text as an SQL string literal.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn seconds_since_epoch() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}
