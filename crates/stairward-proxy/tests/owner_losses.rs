//! The result an owner reports when a back end is lost at each stage of a request.

mod owner_support;

use std::time::Duration;

use owner_support::{Outcome, PRIMARY, REPLICA, Site, backend, batch, open, outcome, with_timeout};
use stairward_protocol::stream::{EdgeMessage, OwnerMessage, WireAccess};
use stairward_standins::group::Fault;
use stairward_types::ResultCode;

const ADDED_LATENCY: Duration = Duration::from_millis(300);

impl Site {
    fn slow_down(&self, name: &str) {
        let member = backend(name);
        self.databases.inject(Fault::Slow {
            member,
            added: ADDED_LATENCY,
        });
    }

    fn stop(&self, name: &str) {
        let member = backend(name);
        self.databases.inject(Fault::Stop { member });
    }

    fn cut_off(&self, name: &str) {
        let member = backend(name);
        self.databases.inject(Fault::CutOff { member });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_before_its_first_byte_did_not_run() {
    with_timeout(async {
        let site = Site::with_table().await;
        site.stop(REPLICA);
        let node = &site.nodes[0];
        // Until the loss is detected, a request may still be sent on the failing connection.
        loop {
            match node.read(REPLICA, "SELECT 1").await {
                Outcome::Refused(code) => {
                    assert_eq!(code, ResultCode::BackendUnavailable);
                    break;
                }
                Outcome::Unknown { code, .. } => {
                    assert_eq!(code, ResultCode::BackendLostAfterSend);
                }
                Outcome::Done { .. } => {}
                other => panic!("{other:?}"),
            }
        }
        site.databases.inject(Fault::Heal {
            member: backend(REPLICA),
        });
        node.wait_until_served(REPLICA).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_that_was_sent_has_an_unknown_outcome() {
    with_timeout(async {
        let site = Site::with_table().await;
        site.slow_down(REPLICA);
        let node = &site.nodes[0];
        let mut stream = node
            .stream(open(REPLICA, WireAccess::Read, "SELECT id FROM books"))
            .await;
        let admitted = stream.receive().await;
        assert!(
            matches!(admitted, Some(OwnerMessage::Admitted(_))),
            "{admitted:?}"
        );
        tokio::time::sleep(ADDED_LATENCY / 3).await;
        site.stop(REPLICA);
        let lost = outcome(&mut stream).await;
        assert_eq!(lost.code(), ResultCode::BackendLostAfterSend);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_transaction_is_lost_with_its_back_end() {
    with_timeout(async {
        let site = Site::with_table().await;
        let sql = "BEGIN; INSERT INTO books VALUES (1, 'x')";
        let mut stream = site.nodes[0]
            .stream(open(PRIMARY, WireAccess::Write, sql))
            .await;
        outcome(&mut stream).await.answer();
        site.stop(PRIMARY);
        assert_eq!(outcome(&mut stream).await, Outcome::TransactionLost);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_is_lost_while_a_statement_runs_that_cannot_commit_it() {
    with_timeout(async {
        let site = Site::with_table().await;
        let mut stream = site.nodes[0]
            .stream(open(PRIMARY, WireAccess::Write, "BEGIN"))
            .await;
        outcome(&mut stream).await.answer();
        site.slow_down(PRIMARY);
        let insert = batch(2, "INSERT INTO books VALUES (1, 'x')");
        stream.send(EdgeMessage::Batch(insert));
        tokio::time::sleep(ADDED_LATENCY / 3).await;
        site.stop(PRIMARY);
        assert_eq!(outcome(&mut stream).await, Outcome::TransactionLost);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_was_sent_has_an_unknown_outcome() {
    with_timeout(async {
        let site = Site::with_table().await;
        let sql = "BEGIN; INSERT INTO books VALUES (1, 'x')";
        let mut stream = site.nodes[0]
            .stream(open(PRIMARY, WireAccess::Write, sql))
            .await;
        outcome(&mut stream).await.answer();
        site.slow_down(PRIMARY);
        stream.send(EdgeMessage::Batch(batch(2, "COMMIT")));
        tokio::time::sleep(ADDED_LATENCY / 3).await;
        site.stop(PRIMARY);
        let lost = outcome(&mut stream).await;
        assert_eq!(lost.code(), ResultCode::BackendLostAfterSend);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_cut_off_from_its_group_gets_no_write_acknowledged() {
    with_timeout(async {
        let site = Site::with_table().await;
        site.cut_off(PRIMARY);
        let node = &site.nodes[0];
        let mut outcomes = Vec::new();
        for id in 0..20 {
            let insert = format!("INSERT INTO books VALUES ({id}, 'x')");
            let written = node.write(&insert).await;
            match &written {
                Outcome::Unknown { answer, code } => {
                    assert_eq!(*code, ResultCode::FenceNotProved);
                    assert!(!answer.contains("INSERT 0"), "{answer:?}");
                }
                Outcome::Refused(code) => assert_eq!(*code, ResultCode::PrimaryReplaced),
                other => panic!("{other:?}"),
            }
            outcomes.push(written);
        }
        let last = outcomes.last().unwrap();
        assert_eq!(*last, Outcome::Refused(ResultCode::PrimaryReplaced));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_primary_is_found_soon_after_the_old_one_stops() {
    with_timeout(async {
        let site = Site::with_table().await;
        let cluster = &site.nodes[0].cluster;
        let mut primaries = cluster.watch_primaries();
        primaries.mark_unchanged();
        site.stop(PRIMARY);
        primaries.changed().await.unwrap();
        let known = primaries.borrow().values().next().cloned().unwrap();
        assert_ne!(known.backend, backend(PRIMARY));
        let insert = "INSERT INTO books VALUES (1, 'x')";
        let mut write = open(known.backend.as_str(), WireAccess::Write, insert);
        write.expected_term = known.term.0;
        loop {
            match site.nodes[0].run(write.clone()).await {
                // The owner's pool may not have probed the new primary yet.
                Outcome::Refused(ResultCode::PrimaryReplaced) => {}
                written => {
                    assert!(written.answer().contains("INSERT 0 1"));
                    break;
                }
            }
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_passes_while_the_statement_runs_leaves_its_outcome_unknown() {
    with_timeout(async {
        let site = Site::with_table().await;
        site.slow_down(REPLICA);
        let mut read = open(REPLICA, WireAccess::Read, "SELECT id FROM books");
        read.deadline_milliseconds = 100;
        let passed = site.nodes[0].run(read).await;
        assert_eq!(passed.code(), ResultCode::DeadlineAfterSend);
    })
    .await;
}
