//! How the proxy asks a back end for its term, position and role.

use stairward_types::{BackendRole, Freshness, LogPosition, Term};

use super::connection::{BackendConnection, TextRow};
use super::error::{BackendError, StatusSnafu};
use snafu::OptionExt;

/// Asks for role, term and positions with PostgreSQL's own functions.
///
/// The first position is what reads can see: the replayed one on a replica, the written one on a
/// primary. The second is what the member holds on its disk, which is what elections go by: the
/// received one on a replica. The timeline is PostgreSQL's term.
const STATUS_QUERY: &str = "SELECT pg_is_in_recovery(), timeline_id, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END \
    FROM pg_control_checkpoint()";

/// What a back end says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendStatus {
    /// Its term and applied position: what reads see.
    pub freshness: Freshness,
    /// Its term and received position: what it holds on its disk. Never before the applied one.
    pub received: Freshness,
    /// The role it believes to have.
    pub role: BackendRole,
}

impl BackendStatus {
    /// Whether it believes to be the primary.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.role == BackendRole::Primary
    }
}

/// Asks the back end at the other end of an idle connection.
pub(super) async fn ask_status(
    connection: &mut BackendConnection,
) -> Result<BackendStatus, BackendError> {
    let rows = connection.query(STATUS_QUERY).await?;
    parse_status(&rows)
}

fn parse_status(rows: &[TextRow]) -> Result<BackendStatus, BackendError> {
    let [row] = rows else {
        return StatusSnafu {
            reason: "one row was expected",
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

/// The received position. A replica that streams from nobody reports none, and one that restores
/// from an archive an old one: what it has applied it holds in any case.
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
