//! Requests with a request key run at most once.

mod owner_support;

use owner_support::{Outcome, PRIMARY, Site, open, with_timeout};
use stairward_protocol::stream::{Open, WireAccess};
use stairward_types::ResultCode;

fn open_with_key(key: &str, sql: &str) -> Open {
    let mut open = open(PRIMARY, WireAccess::Write, sql);
    open.request_key = key.into();
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_request_key_runs_once_and_returns_the_first_outcome() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let first = node
            .run(open_with_key(
                "it's a key",
                "INSERT INTO books VALUES (1, 'x')",
            ))
            .await;
        assert_eq!(first.code(), ResultCode::Answered);
        assert!(first.answer().contains("INSERT 0 1"));
        let second = node
            .run(open_with_key(
                "it's a key",
                "INSERT INTO books VALUES (2, 'y')",
            ))
            .await;
        assert_eq!(second.code(), ResultCode::AlreadyRun);
        assert!(second.answer().contains("INSERT 0 1"));
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_duplicates_run_once() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let attempts = (0..8).map(|id| {
            let sql = format!("INSERT INTO books VALUES ({id}, 'x')");
            node.run(open_with_key("same", &sql))
        });
        let outcomes = futures::future::join_all(attempts).await;
        let ran = outcomes
            .iter()
            .filter(|outcome| outcome.code() == ResultCode::Answered);
        let repeated = outcomes
            .iter()
            .filter(|outcome| outcome.code() == ResultCode::AlreadyRun);
        assert_eq!((ran.count(), repeated.count()), (1, 7), "{outcomes:?}");
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_leaves_its_key_reusable() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let failed = node
            .run(open_with_key("k", "INSERT INTO nowhere VALUES (1)"))
            .await;
        assert!(failed.answer().contains("42P01"), "{failed:?}");
        let ran = node
            .run(open_with_key("k", "INSERT INTO books VALUES (1, 'x')"))
            .await;
        assert_eq!(ran.code(), ResultCode::Answered);
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_request_leaves_its_key_unused_or_committed() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        for id in 0..20 {
            let key = format!("key {id}");
            let sql = format!("INSERT INTO books VALUES ({id}, 'x')");
            drop(node.stream(open_with_key(&key, &sql)).await);
            match node.run(open_with_key(&key, &sql)).await {
                Outcome::Done { .. } => {}
                other => panic!("{other:?}"),
            }
            assert_eq!(node.rows().await, id + 1);
        }
    })
    .await;
}
