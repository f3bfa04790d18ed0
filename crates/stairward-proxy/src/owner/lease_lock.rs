//! The SQL side of a lease: acquiring its advisory lock at the back end, and terminating the
//! sessions of previous holders.

use std::time::Duration;

use stairward_pool::OwnerRole;
use stairward_pool::lease::LeaseSettings;

use super::connection::{BackendConnection, TextRow};
use super::error::{BackendError, TimeoutSnafu};
use super::login::Login;

/// First key of stairward's advisory locks: "stair" on a telephone keypad.
const LOCK_CLASS: i32 = 78_247;

/// Prefix of every session's `application_name`.
const APPLICATION_PREFIX: &str = "stairward/";

/// Time limit for terminating the stale sessions of previous holders.
const STALE_SESSIONS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between checks whether stale sessions have ended.
const STALE_SESSIONS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The `application_name` of a node's sessions in one role.
pub(super) fn application_name(node: u64, incarnation: u64, role: OwnerRole) -> String {
    format!("{APPLICATION_PREFIX}{node}/{incarnation}/{}", role.name())
}

/// The login of a control connection. Its `idle_session_timeout` is the lease duration, so that the
/// back end ends the session, and with it the lock, once the node stops renewing the lease.
pub(super) fn control_login(working: &Login) -> Login {
    let mut login = working.clone();
    login.idle_session_timeout = LeaseSettings::default().duration;
    login
}

/// Tries to acquire the advisory lock of a role, which is held until the session ends.
pub(super) async fn try_lock(
    connection: &mut BackendConnection,
    role: OwnerRole,
) -> Result<bool, BackendError> {
    let sql = format!(
        "SELECT pg_try_advisory_lock({LOCK_CLASS}, {})",
        lock_key(role)
    );
    let rows = connection.query(&sql).await?;
    Ok(rows.first().and_then(first_column) == Some("t"))
}

/// Terminates every session that a previous holder of the role left open, and waits until none
/// remains.
pub(super) async fn terminate_stale_sessions(
    connection: &mut BackendConnection,
    role: OwnerRole,
    own_name: &str,
) -> Result<(), BackendError> {
    let ended = tokio::time::timeout(STALE_SESSIONS_TIMEOUT, async {
        loop {
            let stale_sessions = find_stale_sessions(connection, role, own_name).await?;
            if stale_sessions.is_empty() {
                return Ok(());
            }
            for process in stale_sessions {
                let sql = format!("SELECT pg_terminate_backend({process})");
                connection.query(&sql).await?;
            }
            tokio::time::sleep(STALE_SESSIONS_POLL_INTERVAL).await;
        }
    });
    ended.await.unwrap_or_else(|_| TimeoutSnafu.fail())
}

async fn find_stale_sessions(
    connection: &mut BackendConnection,
    role: OwnerRole,
    own_name: &str,
) -> Result<Vec<i64>, BackendError> {
    let sql = "SELECT pid, application_name FROM pg_stat_activity";
    let sessions = connection.query(sql).await?;
    let stale_sessions = sessions.iter().filter(|session| {
        let name = session.get(1).and_then(Option::as_deref);
        name.is_some_and(|name| name != own_name && belongs_to_role(name, role))
    });
    Ok(stale_sessions
        .filter_map(|session| first_column(session)?.parse().ok())
        .collect())
}

fn belongs_to_role(application_name: &str, role: OwnerRole) -> bool {
    let parts = application_name.strip_prefix(APPLICATION_PREFIX);
    let role_name = parts.and_then(|parts| parts.rsplit('/').next());
    role_name == Some(role.name())
}

const fn lock_key(role: OwnerRole) -> i32 {
    match role {
        OwnerRole::Owner => 1,
        OwnerRole::Standby => 2,
    }
}

fn first_column(row: &TextRow) -> Option<&str> {
    row.first().and_then(Option::as_deref)
}
