//! Every point at which a request can be cut, against the outcome that the caller is told.

mod edge_support;

use edge_support::scripted::{Ending, ScriptedSite};
use edge_support::{guarded, identity, result_code};
use stairward_proxy::cluster::{Member, MembershipView};
use stairward_types::{NodeId, OutcomeClass, ResultCode};
use tokio::net::TcpListener;

const READ: &str = "SELECT id FROM books";
const WRITE: &str = "INSERT INTO books VALUES (1)";
const REPEATABLE: &str = "INSERT INTO books VALUES (1) /*stairward.repeatable='on'*/";
const KEYED: &str = "INSERT INTO books VALUES (1) /*stairward.request_key='k1'*/";
const BEGIN: &str = "BEGIN";
/// Bytes of answer that are certainly passed on to the caller before the loss.
const LONG_ANSWER: usize = 100_000;

/// A statement, how its first stream ends, what the caller is told (none for success), and how
/// often it was sent.
type Case = (&'static str, Ending, Option<ResultCode>, usize);

async fn check(site: &ScriptedSite, (text, ending, expected, sent): Case) {
    let client = site.connect().await;
    // Lets the session learn its floor, so that only the statement itself is counted.
    client.batch_execute("SELECT 1").await.unwrap();
    site.script.set(&[ending]);
    let result = client.batch_execute(text).await;
    let told = result.as_ref().err().and_then(result_code);
    let case = format!("{text} with {ending:?}: {result:?}");
    assert_eq!(told, expected.map(ResultCode::number), "{case}");
    assert_eq!(result.is_ok(), expected.is_none(), "{case}");
    assert_eq!(site.script.opened().len(), sent, "{case}");
    if let (Some(code), Err(error)) = (expected, &result) {
        let error = error.as_db_error().unwrap();
        assert_eq!(error.code().code(), code.sqlstate(), "{case}");
        let class = format!("outcome={}", code.class());
        assert!(error.detail().unwrap().starts_with(&class), "{case}");
    }
    if text == BEGIN && result.is_ok() {
        client.batch_execute("ROLLBACK").await.unwrap();
    }
    client
        .batch_execute("SELECT 2")
        .await
        .expect("the session goes on");
}

async fn check_all(cases: &[Case]) {
    guarded(async {
        for case in cases {
            // Each on a new edge, since an edge remembers which back ends failed.
            check(&ScriptedSite::start().await, *case).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_is_sent_again_unless_its_answer_had_begun() {
    let unknown = Ending::Unknown(ResultCode::BackendLostAfterSend);
    check_all(&[
        (READ, Ending::Answer, None, 1),
        (READ, Ending::Refuse(ResultCode::NotFreshEnough, 0), None, 2),
        (READ, Ending::Refuse(ResultCode::BackendLeaving, 0), None, 2),
        (
            READ,
            Ending::Refuse(ResultCode::BackendUnavailable, 0),
            None,
            2,
        ),
        (READ, Ending::Refuse(ResultCode::Overloaded, 5), None, 2),
        (READ, Ending::LoseBeforeAdmitting, None, 2),
        (READ, Ending::LoseAfterAdmitting, None, 2),
        (READ, Ending::LoseAfterAnswer(1), None, 2),
        (READ, unknown, None, 2),
        (
            READ,
            Ending::LoseAfterAnswer(LONG_ANSWER),
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_sent_again_only_when_it_provably_did_not_run() {
    let unproved = ResultCode::FenceNotProved;
    check_all(&[
        (WRITE, Ending::Answer, None, 1),
        (
            WRITE,
            Ending::Refuse(ResultCode::PrimaryReplaced, 0),
            None,
            2,
        ),
        (
            WRITE,
            Ending::Refuse(ResultCode::BackendLeaving, 0),
            None,
            2,
        ),
        (
            WRITE,
            Ending::Refuse(ResultCode::BackendUnavailable, 0),
            None,
            2,
        ),
        (
            WRITE,
            Ending::Refuse(ResultCode::ConfigurationTooOld, 0),
            None,
            2,
        ),
        (
            WRITE,
            Ending::Refuse(ResultCode::Overloaded, 70),
            Some(ResultCode::Overloaded),
            1,
        ),
        (
            WRITE,
            Ending::Refuse(ResultCode::SessionSetupFailed, 0),
            Some(ResultCode::SessionSetupFailed),
            1,
        ),
        (
            WRITE,
            Ending::LoseBeforeAdmitting,
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (
            WRITE,
            Ending::LoseAfterAdmitting,
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (
            WRITE,
            Ending::LoseAfterAnswer(1),
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (WRITE, Ending::Unknown(unproved), Some(unproved), 1),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_that_may_run_twice_is_sent_until_it_is_answered() {
    let unproved = Ending::Unknown(ResultCode::FenceNotProved);
    check_all(&[
        (REPEATABLE, Ending::LoseBeforeAdmitting, None, 2),
        (REPEATABLE, Ending::LoseAfterAdmitting, None, 2),
        (REPEATABLE, unproved, None, 2),
        (KEYED, Ending::LoseAfterAdmitting, None, 2),
        (KEYED, unproved, None, 2),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_start_of_a_transaction_is_sent_again_since_nothing_is_committed() {
    check_all(&[
        (BEGIN, Ending::LoseAfterAdmitting, None, 2),
        (BEGIN, Ending::LoseTransaction, None, 2),
        (
            BEGIN,
            Ending::Unknown(ResultCode::BackendLostAfterSend),
            None,
            2,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_cut_before_commit_is_lost_and_one_cut_at_commit_is_unknown() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let lost = ResultCode::TransactionLost;
        for (ending, text, expected) in [
            (Ending::LoseAtSecondBatch, WRITE, lost),
            (Ending::UnknownAtSecondBatch, WRITE, lost),
            (Ending::LoseAtSecondBatch, "ROLLBACK", lost),
            (
                Ending::LoseAtSecondBatch,
                "COMMIT",
                ResultCode::OwnerLostAfterSend,
            ),
            (
                Ending::UnknownAtSecondBatch,
                "COMMIT",
                ResultCode::FenceNotProved,
            ),
        ] {
            let client = site.connect().await;
            site.script.set(&[ending]);
            client.batch_execute("BEGIN").await.unwrap();
            let error = client.batch_execute(text).await.unwrap_err();
            let told = result_code(&error).and_then(ResultCode::from_number);
            assert_eq!(told, Some(expected), "{text} with {ending:?}");
            if text == WRITE {
                let error = client.batch_execute("SELECT 1").await.unwrap_err();
                let told = result_code(&error).and_then(ResultCode::from_number);
                assert_eq!(told, Some(ResultCode::StaleTransaction));
                client.batch_execute("ROLLBACK").await.unwrap();
            }
            client.batch_execute("SELECT 1").await.unwrap();
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_while_no_node_owns_the_back_end() {
    guarded(async {
        for text in [READ, WRITE] {
            let site = ScriptedSite::start().await;
            let client = site.connect().await;
            client.batch_execute("SELECT 1").await.unwrap();
            let refusal = Ending::Refuse(ResultCode::NotOwner, 0);
            site.script.set(&[refusal; 9]);
            client.batch_execute(text).await.unwrap();
            assert_eq!(site.script.opened().len(), 10, "{text}");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_node_takes_ends_at_its_deadline() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        client
            .batch_execute("SET stairward.deadline_ms = 300")
            .await
            .unwrap();
        site.script
            .set(&[Ending::Refuse(ResultCode::NotOwner, 0); 1_000]);
        let error = client.batch_execute(WRITE).await.unwrap_err();
        let code = result_code(&error).and_then(ResultCode::from_number);
        assert_eq!(code, Some(ResultCode::DeadlineBeforeSend));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_when_to_come_back() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        site.script
            .set(&[Ending::Refuse(ResultCode::Overloaded, 70)]);
        let error = client.batch_execute(WRITE).await.unwrap_err();
        let error = error.as_db_error().unwrap();
        assert_eq!(error.detail(), Some("outcome=not run; retry_after_ms=70"));
        assert_eq!(error.hint(), Some("Send it again after 70 ms."));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn counters_tell_refused_from_unknown() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        site.script.set(&[
            Ending::Refuse(ResultCode::Overloaded, 1),
            Ending::LoseAfterAdmitting,
        ]);
        client.batch_execute(WRITE).await.unwrap_err();
        client.batch_execute(WRITE).await.unwrap_err();
        client.batch_execute(WRITE).await.unwrap();
        let statistics = site.edge.statistics();
        let counted = (
            statistics.refused,
            statistics.outcomes_unknown,
            statistics.writes,
        );
        assert_eq!(counted, (1, 1, 1));
        assert_eq!(ResultCode::Overloaded.class(), OutcomeClass::NotRun);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_key_reaches_the_owner_and_serves_one_write() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        site.script.set(&[]);
        client
            .batch_execute("SET stairward.request_key = 'k1'")
            .await
            .unwrap();
        client.batch_execute(WRITE).await.unwrap();
        client.batch_execute(WRITE).await.unwrap();
        let keys: Vec<String> = site
            .script
            .opened()
            .into_iter()
            .map(|opened| opened.request_key)
            .collect();
        assert_eq!(keys, ["k1", ""]);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_and_floor_go_along_with_each_request() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        client.batch_execute("SET work_mem = '4MB'").await.unwrap();
        client.batch_execute(WRITE).await.unwrap();
        site.script.set(&[]);
        client.batch_execute(READ).await.unwrap();
        let opened = site.script.opened().remove(0);
        assert_eq!(opened.setup, "SET work_mem TO '4MB';");
        assert_eq!(opened.floor.unwrap().position.0, 101);
        assert!(!opened.writes);
        assert_ne!(opened.backend, "a");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_accepts_connections_and_says_nothing_holds_nobody_up() {
    guarded(async {
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let owner = identity(2);
        let view = MembershipView {
            members: vec![Member {
                node: owner.node,
                incarnation: owner.incarnation,
                peer_address: silent.local_addr().unwrap(),
                region: owner.region,
                zone: owner.zone,
                leaving: false,
            }],
        };
        let site = ScriptedSite::start_with_owner(NodeId(2), view).await;
        let requests = (0..60).map(|_| async {
            let client = site.connect().await;
            client
                .batch_execute("SET stairward.deadline_ms = 300")
                .await
                .unwrap();
            client.batch_execute(WRITE).await.unwrap_err()
        });
        for error in futures::future::join_all(requests).await {
            let code = result_code(&error).and_then(ResultCode::from_number);
            assert_eq!(code, Some(ResultCode::DeadlineBeforeSend));
        }
    })
    .await;
}
