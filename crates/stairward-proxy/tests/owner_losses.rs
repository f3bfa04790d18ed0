//! What an owner says when a back end is lost, at each point of a request's way.

mod owner_support;

use std::time::Duration;

use owner_support::{Outcome, PRIMARY, REPLICA, Site, backend, batch, guarded, open, outcome};
use stairward_protocol::stream::{EdgeMessage, OwnerMessage, WireAccess};
use stairward_standins::group::Fault;
use stairward_types::ResultCode;

const SLOW: Duration = Duration::from_millis(300);

impl Site {
    fn slow_down(&self, name: &str) {
        let member = backend(name);
        self.databases.inject(Fault::Slow {
            member,
            added: SLOW,
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
async fn before_the_first_byte_the_request_did_not_run() {
    guarded(async {
        let site = Site::with_table().await;
        site.stop(REPLICA);
        let node = &site.nodes[0];
        // Until the loss is noticed a request may still be sent into the dying connection.
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
        node.await_served(REPLICA).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_that_was_sent_has_an_unknown_outcome() {
    guarded(async {
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
        tokio::time::sleep(SLOW / 3).await;
        site.stop(REPLICA);
        let lost = outcome(&mut stream).await;
        assert_eq!(lost.code(), ResultCode::BackendLostAfterSend);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_transaction_is_lost() {
    guarded(async {
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
    guarded(async {
        let site = Site::with_table().await;
        let mut stream = site.nodes[0]
            .stream(open(PRIMARY, WireAccess::Write, "BEGIN"))
            .await;
        outcome(&mut stream).await.answer();
        site.slow_down(PRIMARY);
        let insert = batch(2, "INSERT INTO books VALUES (1, 'x')");
        stream.send(EdgeMessage::Batch(insert));
        tokio::time::sleep(SLOW / 3).await;
        site.stop(PRIMARY);
        assert_eq!(outcome(&mut stream).await, Outcome::TransactionLost);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_was_sent_has_an_unknown_outcome() {
    guarded(async {
        let site = Site::with_table().await;
        let sql = "BEGIN; INSERT INTO books VALUES (1, 'x')";
        let mut stream = site.nodes[0]
            .stream(open(PRIMARY, WireAccess::Write, sql))
            .await;
        outcome(&mut stream).await.answer();
        site.slow_down(PRIMARY);
        stream.send(EdgeMessage::Batch(batch(2, "COMMIT")));
        tokio::time::sleep(SLOW / 3).await;
        site.stop(PRIMARY);
        let lost = outcome(&mut stream).await;
        assert_eq!(lost.code(), ResultCode::BackendLostAfterSend);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_cut_off_from_its_group_gets_no_write_acknowledged() {
    guarded(async {
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
    guarded(async {
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
                // Its owner's pool may not have asked it again yet.
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
    guarded(async {
        let site = Site::with_table().await;
        site.slow_down(REPLICA);
        let mut read = open(REPLICA, WireAccess::Read, "SELECT id FROM books");
        read.deadline_milliseconds = 100;
        let passed = site.nodes[0].run(read).await;
        assert_eq!(passed.code(), ResultCode::DeadlineAfterSend);
    })
    .await;
}
