//! Streams at an owner whose back ends are healthy.

mod owner_support;

use std::time::Duration;

use owner_support::{
    DATABASE, OTHER_REPLICA, Outcome, PRIMARY, REPLICA, Site, backend, batch, open, outcome,
    with_timeout,
};
use stairward_protocol::stream::{EdgeMessage, OwnerMessage, WireAccess, WireTransactionStatus};
use stairward_standins::group::Fault;
use stairward_types::{AdminState, Freshness, GroupId, LogPosition, ResultCode, Term, Time};

#[tokio::test(flavor = "multi_thread")]
async fn a_read_at_the_freshness_of_a_write_sees_the_write() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let written = node.write("INSERT INTO books VALUES (1, 'x')").await;
        let Outcome::Done {
            answer,
            status,
            code,
            freshness,
        } = written
        else {
            panic!("{written:?}");
        };
        assert!(answer.contains("INSERT 0 1"));
        assert_eq!(status, WireTransactionStatus::Idle);
        assert_eq!(code, ResultCode::Answered);
        let mut read = open(REPLICA, WireAccess::Read, "SELECT title FROM books");
        read.floor = Some(freshness).into();
        read.freshness_wait_milliseconds = 5_000;
        assert!(node.run(read).await.answer().contains('x'));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_keeps_its_connection_and_a_repeated_batch_is_refused() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let mut stream = node.stream(open(PRIMARY, WireAccess::Write, "BEGIN")).await;
        let begin_outcome = outcome(&mut stream).await;
        assert!(begin_outcome.answer().contains("BEGIN"));
        stream.send(EdgeMessage::Batch(batch(
            2,
            "INSERT INTO books VALUES (1, 'x')",
        )));
        let Outcome::Done { status, .. } = outcome(&mut stream).await else {
            panic!("the transaction must stay open");
        };
        assert_eq!(status, WireTransactionStatus::InTransaction);
        stream.send(EdgeMessage::Batch(batch(2, "COMMIT")));
        let refused = outcome(&mut stream).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::StaleTransaction));
        assert_eq!(node.rows().await, 0);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_transaction_is_rolled_back() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let sql = "BEGIN; INSERT INTO books VALUES (1, 'x')";
        let mut stream = node.stream(open(PRIMARY, WireAccess::Write, sql)).await;
        outcome(&mut stream).await.answer();
        drop(stream);
        // The rollback must have released the row's lock.
        let written = node.write("INSERT INTO books VALUES (1, 'y')").await;
        assert!(written.answer().contains("INSERT 0 1"));
        assert_eq!(node.rows().await, 1);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn session_state_does_not_reach_the_next_stream() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        for _ in 0..30 {
            let mut set = open(REPLICA, WireAccess::Read, "SET search_path = 'left_behind'");
            set.batch.alters_session = 1;
            node.run(set).await.answer();
            let shown = node.read(REPLICA, "SHOW search_path").await;
            assert!(!shown.answer().contains("left_behind"), "{shown:?}");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn session_setup_runs_first_and_its_responses_are_discarded() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let mut read = open(REPLICA, WireAccess::Read, "SHOW application_name");
        read.session_setup = owner_support::query("SET application_name = 'caller'").into();
        let shown = node.run(read.clone()).await;
        assert!(shown.answer().contains("caller") && !shown.answer().contains("SET"));
        read.session_setup = owner_support::query("SET no_such_setting = 1").into();
        let refused = node.run(read).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::SessionSetupFailed));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_a_back_end_may_not_do_is_refused() {
    with_timeout(async {
        let mut site = Site::with_table().await;
        let insert = "INSERT INTO books VALUES (1, 'x')";
        let node = &site.nodes[0];
        let at_replica = node.run(open(REPLICA, WireAccess::Write, insert)).await;
        assert_eq!(at_replica, Outcome::Refused(ResultCode::PrimaryReplaced));
        let mut later_term = open(PRIMARY, WireAccess::Write, insert);
        later_term.expected_term = 9;
        let refused = node.run(later_term).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::PrimaryReplaced));
        let unknown = node.read("nowhere", "SELECT 1").await;
        assert_eq!(unknown, Outcome::Refused(ResultCode::NotOwner));

        site.nodes[0]
            .owner
            .set_configuration_age(Duration::from_secs(60));
        let too_old = site.nodes[0].read(REPLICA, "SELECT 1").await;
        assert_eq!(too_old, Outcome::Refused(ResultCode::ConfigurationTooOld));
        site.nodes[0].owner.set_configuration_age(Duration::ZERO);

        site.change_settings(|group| {
            let settings = group.backends.get_mut(&backend(REPLICA)).unwrap();
            settings.admin_state = AdminState::Leaving;
            let settings = group.backends.get_mut(&backend(OTHER_REPLICA)).unwrap();
            settings.admin_state = AdminState::Joining;
        });
        let refused = |name| site.nodes[0].read(name, "SELECT 1");
        while refused(REPLICA).await != Outcome::Refused(ResultCode::BackendLeaving) {}
        while refused(OTHER_REPLICA).await != Outcome::Refused(ResultCode::BackendUnavailable) {}
        assert_eq!(site.nodes[0].rows().await, 0);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_on_a_leaving_back_end_ends_at_the_leave_timeout() {
    with_timeout(async {
        let mut site = Site::with_table().await;
        let sql = "BEGIN; SELECT id FROM books";
        let mut stream = site.nodes[0]
            .stream(open(REPLICA, WireAccess::Read, sql))
            .await;
        outcome(&mut stream).await.answer();
        site.change_settings(|group| {
            let settings = group.backends.get_mut(&backend(REPLICA)).unwrap();
            settings.admin_state = AdminState::Leaving;
        });
        assert_eq!(outcome(&mut stream).await, Outcome::TransactionLost);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_replica_is_waited_for_and_then_refused() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let lag = Duration::from_millis(300);
        let member = backend(REPLICA);
        site.databases.inject(Fault::Lag { member, lag });
        let written = node.write("INSERT INTO books VALUES (1, 'x')").await;
        let Outcome::Done { freshness, .. } = written else {
            panic!("{written:?}");
        };
        let mut read = open(REPLICA, WireAccess::Read, "SELECT title FROM books");
        read.floor = Some(freshness).into();
        let refused = node.run(read.clone()).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::NotFreshEnough));
        read.freshness_wait_milliseconds = 5_000;
        assert!(node.run(read.clone()).await.answer().contains('x'));
        read.floor = Some(Freshness::new(Term(1), LogPosition(u64::MAX))).into();
        read.freshness_wait_milliseconds = 20;
        let refused = node.run(read).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::NotFreshEnough));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_stop_when_the_credit_is_used_up() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let title = "x".repeat(10_000);
        for id in 0..100 {
            let insert = format!("INSERT INTO books VALUES ({id}, '{title}')");
            node.write(&insert).await.answer();
        }
        let sql = "SELECT title FROM books";
        let mut stream = node.stream(open(PRIMARY, WireAccess::Read, sql)).await;
        let window = stairward_protocol::stream::INITIAL_WINDOW_BYTES as usize;
        let mut received = 0;
        while received < window {
            if let Some(OwnerMessage::Answer { messages }) = stream.receive().await {
                received += messages.bytes.len();
            }
        }
        let more = tokio::time::timeout(Duration::from_millis(100), stream.receive()).await;
        assert!(
            more.is_err(),
            "received more than the granted credit: {more:?}"
        );
        let bytes = 100 * 20_000;
        stream.send(EdgeMessage::Credit { bytes });
        assert!(outcome(&mut stream).await.answer().contains("SELECT 100"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_owner_records_the_newest_primary() {
    with_timeout(async {
        let site = Site::with_table().await;
        let primaries = site.nodes[0].cluster.primaries();
        let known = &primaries[&GroupId::new(DATABASE).unwrap()];
        assert_eq!(known.backend, backend(PRIMARY));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_is_reacquired_when_its_address_changes() {
    with_timeout(async {
        let mut site = Site::with_table().await;
        let moved = *site
            .databases
            .addresses()
            .get(&backend(OTHER_REPLICA))
            .unwrap();
        site.change_settings(|group| {
            group.backends.remove(&backend(OTHER_REPLICA));
            let settings = group.backends.get_mut(&backend(REPLICA)).unwrap();
            settings.address = moved;
        });
        // The server at the old address is stopped; only the one at the new address can respond.
        let member = backend(REPLICA);
        site.databases.inject(Fault::Stop { member });
        site.nodes[0].wait_until_served(REPLICA).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn untrusted_settings_stop_new_work_immediately() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        // The owner service is not notified; it must check the time limit in the cluster state
        // itself.
        node.cluster.set_settings_trusted_until(Time::ZERO);
        let refused = node.read(REPLICA, "SELECT 1").await;
        assert_eq!(refused, Outcome::Refused(ResultCode::ConfigurationTooOld));
        let refused = node.write("INSERT INTO books VALUES (1, 'x')").await;
        assert_eq!(refused, Outcome::Refused(ResultCode::ConfigurationTooOld));
        node.cluster.set_settings_trusted_until(Time::NEVER);
        assert_eq!(node.rows().await, 0);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_become_untrusted_refuse_a_waiting_request() {
    with_timeout(async {
        let site = Site::with_table().await;
        let node = &site.nodes[0];
        let lag = Duration::from_secs(2);
        let member = backend(REPLICA);
        site.databases.inject(Fault::Lag { member, lag });
        let written = node.write("INSERT INTO books VALUES (1, 'x')").await;
        let Outcome::Done { freshness, .. } = written else {
            panic!("{written:?}");
        };
        let mut read = open(REPLICA, WireAccess::Read, "SELECT title FROM books");
        read.floor = Some(freshness).into();
        read.freshness_wait_milliseconds = 9_000;
        let mut stream = node.stream(read).await;
        while node.owner.status().backends[&backend(REPLICA)].queued == 0 {
            tokio::task::yield_now().await;
        }
        node.cluster.set_settings_trusted_until(Time::ZERO);
        let refused = outcome(&mut stream).await;
        assert_eq!(refused, Outcome::Refused(ResultCode::ConfigurationTooOld));
    })
    .await;
}
