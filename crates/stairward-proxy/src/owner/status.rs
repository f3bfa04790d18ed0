//! The status query for a back end's term, log positions and role.

use stairward_types::{BackendRole, Freshness, LogPosition, Term};

use super::connection::{BackendConnection, TextRow};
use super::error::{BackendError, StatusSnafu};
use snafu::OptionExt;

/// Selects role, term and log positions with PostgreSQL's built-in functions.
///
/// The first position is what reads can see: the replay position on a replica, the write position
/// on a primary. The second is what the member has on disk, which decides elections: the receive
/// position on a replica. The timeline ID serves as the term.
const STATUS_QUERY: &str = "SELECT pg_is_in_recovery(), timeline_id, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END \
    FROM pg_control_checkpoint()";

/// The status a back end reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendStatus {
    /// Its term and applied position, which reads can see.
    pub freshness: Freshness,
    /// Its term and received position, which is on disk. Never before the applied position.
    pub received: Freshness,
    /// The role it reports.
    pub role: BackendRole,
}

impl BackendStatus {
    /// Whether it reports itself as primary.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.role == BackendRole::Primary
    }
}

/// Queries the status of a back end on an idle connection.
pub(super) async fn query_status(
    connection: &mut BackendConnection,
) -> Result<BackendStatus, BackendError> {
    let rows = connection.query(STATUS_QUERY).await?;
    parse_status(&rows)
}

fn parse_status(rows: &[TextRow]) -> Result<BackendStatus, BackendError> {
    let [row] = rows else {
        return StatusSnafu {
            reason: "expected exactly one row",
        }
        .fail();
    };
    let role = match column(row, 0)? {
        "t" => BackendRole::Replica,
        "f" => BackendRole::Primary,
        _ => {
            return StatusSnafu {
                reason: "the role is not a boolean",
            }
            .fail();
        }
    };
    let term = column(row, 1)?.parse().ok().context(StatusSnafu {
        reason: "the timeline is not a number",
    })?;
    let applied = parse_position(column(row, 2)?)?;
    let received = received_position(row, applied)?;
    Ok(BackendStatus {
        freshness: Freshness::new(Term(term), applied),
        received: Freshness::new(Term(term), received),
        role,
    })
}

/// The received position. A replica without streaming replication reports none, and one that
/// restores from an archive reports an old one, so the applied position is the lower bound.
fn received_position(row: &TextRow, applied: LogPosition) -> Result<LogPosition, BackendError> {
    match row.get(3).and_then(Option::as_deref) {
        Some(text) => Ok(parse_position(text)?.max(applied)),
        None => Ok(applied),
    }
}

fn parse_position(text: &str) -> Result<LogPosition, BackendError> {
    text.parse().ok().context(StatusSnafu {
        reason: "the position is not a pg_lsn",
    })
}

fn column(row: &TextRow, place: usize) -> Result<&str, BackendError> {
    row.get(place)
        .and_then(Option::as_deref)
        .context(StatusSnafu {
            reason: "a value is missing",
        })
}
