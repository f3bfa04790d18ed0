//! For every point at which a request can be interrupted: the outcome reported to the client and
//! the number of attempts.

mod edge_support;

use edge_support::scripted::{Ending, ScriptedSite};
use edge_support::{identity, result_code, with_timeout};
use stairward_proxy::cluster::{Member, MembershipView};
use stairward_types::{NodeId, OutcomeClass, ResultCode};
use tokio::net::TcpListener;

const READ: &str = "SELECT id FROM books";
const WRITE: &str = "INSERT INTO books VALUES (1)";
const REPEATABLE: &str = "INSERT INTO books VALUES (1) /*stairward.repeatable='on'*/";
const KEYED: &str = "INSERT INTO books VALUES (1) /*stairward.request_key='k1'*/";
const BEGIN: &str = "BEGIN";
/// Response size that is certainly forwarded to the client before the connection is lost.
const LONG_RESPONSE_BYTES: usize = 100_000;

/// A statement, how its first stream ends, the reported result code (`None` for success) and the
/// number of attempts.
type Case = (&'static str, Ending, Option<ResultCode>, usize);

async fn check_case(site: &ScriptedSite, (text, ending, expected, attempts): Case) {
    let client = site.connect().await;
    // Makes the session determine its floor first, so that only the tested statement is counted.
    client.batch_execute("SELECT 1").await.unwrap();
    site.script.set(&[ending]);
    let result = client.batch_execute(text).await;
    let reported = result.as_ref().err().and_then(result_code);
    let case = format!("{text} with {ending:?}: {result:?}");
    assert_eq!(reported, expected.map(ResultCode::number), "{case}");
    assert_eq!(result.is_ok(), expected.is_none(), "{case}");
    assert_eq!(site.script.opened().len(), attempts, "{case}");
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
        .expect("the session remains usable");
}

async fn check_cases(cases: &[Case]) {
    with_timeout(async {
        for case in cases {
            // A new edge for each case, since an edge remembers failed backends.
            check_case(&ScriptedSite::start().await, *case).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_is_retried_unless_its_response_has_started() {
    let unknown = Ending::OutcomeUnknown(ResultCode::BackendLostAfterSend);
    check_cases(&[
        (READ, Ending::Respond, None, 1),
        (READ, Ending::Refuse(ResultCode::NotFreshEnough, 0), None, 2),
        (READ, Ending::Refuse(ResultCode::BackendLeaving, 0), None, 2),
        (
            READ,
            Ending::Refuse(ResultCode::BackendUnavailable, 0),
            None,
            2,
        ),
        (READ, Ending::Refuse(ResultCode::Overloaded, 5), None, 2),
        (READ, Ending::DisconnectBeforeAdmission, None, 2),
        (READ, Ending::DisconnectAfterAdmission, None, 2),
        (READ, Ending::DisconnectAfterResponse(1), None, 2),
        (READ, unknown, None, 2),
        (
            READ,
            Ending::DisconnectAfterResponse(LONG_RESPONSE_BYTES),
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_retried_only_if_it_provably_did_not_run() {
    let unproven = ResultCode::FenceNotProved;
    check_cases(&[
        (WRITE, Ending::Respond, None, 1),
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
            Ending::DisconnectBeforeAdmission,
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (
            WRITE,
            Ending::DisconnectAfterAdmission,
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (
            WRITE,
            Ending::DisconnectAfterResponse(1),
            Some(ResultCode::OwnerLostAfterSend),
            1,
        ),
        (WRITE, Ending::OutcomeUnknown(unproven), Some(unproven), 1),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_write_is_retried_until_it_completes() {
    let unproven = Ending::OutcomeUnknown(ResultCode::FenceNotProved);
    check_cases(&[
        (REPEATABLE, Ending::DisconnectBeforeAdmission, None, 2),
        (REPEATABLE, Ending::DisconnectAfterAdmission, None, 2),
        (REPEATABLE, unproven, None, 2),
        (KEYED, Ending::DisconnectAfterAdmission, None, 2),
        (KEYED, unproven, None, 2),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn begin_is_retried_because_nothing_was_committed() {
    check_cases(&[
        (BEGIN, Ending::DisconnectAfterAdmission, None, 2),
        (BEGIN, Ending::LoseTransaction, None, 2),
        (
            BEGIN,
            Ending::OutcomeUnknown(ResultCode::BackendLostAfterSend),
            None,
            2,
        ),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_is_lost_before_commit_and_unknown_at_commit() {
    with_timeout(async {
        let site = ScriptedSite::start().await;
        let lost = ResultCode::TransactionLost;
        for (ending, text, expected) in [
            (Ending::DisconnectAtSecondBatch, WRITE, lost),
            (Ending::UnknownAtSecondBatch, WRITE, lost),
            (Ending::DisconnectAtSecondBatch, "ROLLBACK", lost),
            (
                Ending::DisconnectAtSecondBatch,
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
            let reported = result_code(&error).and_then(ResultCode::from_number);
            assert_eq!(reported, Some(expected), "{text} with {ending:?}");
            if text == WRITE {
                let error = client.batch_execute("SELECT 1").await.unwrap_err();
                let reported = result_code(&error).and_then(ResultCode::from_number);
                assert_eq!(reported, Some(ResultCode::StaleTransaction));
                client.batch_execute("ROLLBACK").await.unwrap();
            }
            client.batch_execute("SELECT 1").await.unwrap();
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_while_no_node_owns_the_backend() {
    with_timeout(async {
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
async fn an_unowned_backend_fails_requests_at_their_deadline() {
    with_timeout(async {
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
async fn a_refusal_reports_its_retry_delay() {
    with_timeout(async {
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
async fn refused_and_unknown_requests_are_counted_separately() {
    with_timeout(async {
        let site = ScriptedSite::start().await;
        let client = site.connect().await;
        site.script.set(&[
            Ending::Refuse(ResultCode::Overloaded, 1),
            Ending::DisconnectAfterAdmission,
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
async fn a_request_key_is_sent_with_one_write_only() {
    with_timeout(async {
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
async fn session_settings_and_floor_are_sent_with_each_request() {
    with_timeout(async {
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
async fn an_unresponsive_owner_does_not_block_requests_past_their_deadline() {
    with_timeout(async {
        let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let owner = identity(2);
        let view = MembershipView {
            members: vec![Member {
                node: owner.node,
                incarnation: owner.incarnation,
                peer_address: unresponsive.local_addr().unwrap(),
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
