//! Writes and reads while the replay of every replica lags far behind the primary.

mod edge_support;

use std::time::Duration;

use edge_support::{Site, backend_names, simple_value, with_timeout};
use stairward_standins::group::Fault;

/// Longer than `TEST_TIMEOUT`, so no test can pass by waiting for a replay.
const LAG: Duration = Duration::from_secs(60);

/// Number of sessions that write and then read in a new session. Repeated because the members that
/// answer first vary.
const SESSIONS: i32 = 20;

/// A site whose replicas receive the log immediately but replay it after [`LAG`].
async fn lagging_site() -> Site {
    let site = Site::start().await;
    site.connect_with_table().await;
    for member in backend_names().into_iter().skip(1) {
        site.databases.inject(Fault::Lag { member, lag: LAG });
    }
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_is_acknowledged_before_any_replica_replays_it() {
    with_timeout(async {
        let site = lagging_site().await;
        let client = site.node().connect().await;
        let inserted = client
            .execute("INSERT INTO books (id, title) VALUES (1, 'lag')", &[])
            .await;
        assert_eq!(inserted.unwrap(), 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_session_without_a_token_reads_what_was_written_before() {
    with_timeout(async {
        let site = lagging_site().await;
        for id in 0..SESSIONS {
            let writer = site.node().connect().await;
            let insert = format!("INSERT INTO books (id, title) VALUES ({id}, 'lag')");
            writer.batch_execute(&insert).await.unwrap();
            drop(writer);
            let reader = site.node().connect().await;
            let select = format!("SELECT title FROM books WHERE id = {id}");
            let title = simple_value(&reader, &select).await;
            assert_eq!(title.as_deref(), Some("lag"), "session {id}");
        }
    })
    .await;
}
