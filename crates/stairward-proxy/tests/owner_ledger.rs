//! Requests with a key run at most once.

mod owner_support;

use owner_support::{Outcome, PRIMARY, Site, guarded, open};
use stairward_protocol::stream::{Open, WireAccess};
use stairward_types::ResultCode;

fn keyed(key: &str, sql: &str) -> Open {
    let mut open = open(PRIMARY, WireAccess::Write, sql);
    open.request_key = key.into();
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_runs_once_and_is_told_the_first_outcome() {
    guarded(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let first = node
            .run(keyed("it's a key", "INSERT INTO books VALUES (1, 'x')"))
            .await;
        assert_eq!(first.code(), ResultCode::Answered);
        assert!(first.answer().contains("INSERT 0 1"));
        let second = node
            .run(keyed("it's a key", "INSERT INTO books VALUES (2, 'y')"))
            .await;
        assert_eq!(second.code(), ResultCode::AlreadyRun);
        assert!(second.answer().contains("INSERT 0 1"));
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_duplicates_run_once() {
    guarded(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let attempts = (0..8).map(|id| {
            let sql = format!("INSERT INTO books VALUES ({id}, 'x')");
            node.run(keyed("same", &sql))
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
async fn a_failed_request_does_not_use_its_key_up() {
    guarded(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let failed = node.run(keyed("k", "INSERT INTO nowhere VALUES (1)")).await;
        assert!(failed.answer().contains("42P01"), "{failed:?}");
        let ran = node
            .run(keyed("k", "INSERT INTO books VALUES (1, 'x')"))
            .await;
        assert_eq!(ran.code(), ResultCode::Answered);
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_request_leaves_its_key_free_or_done() {
    guarded(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        for id in 0..20 {
            let key = format!("key {id}");
            let sql = format!("INSERT INTO books VALUES ({id}, 'x')");
            drop(node.stream(keyed(&key, &sql)).await);
            match node.run(keyed(&key, &sql)).await {
                Outcome::Done { .. } => {}
                other => panic!("{other:?}"),
            }
            assert_eq!(node.rows().await, id + 1);
        }
    })
    .await;
}
