//! Settings reach all nodes over real sockets despite lost replies, concurrent edits, restarts and
//! an unavailable store.

mod configuration_support;

use configuration_support::{TestFleet, wait_until, weight_edit};
use stairward_membership::configuration::SourceStatus;
use stairward_settings::EditError;
use stairward_standins::platform::StoreFault;
use stairward_store::EditFailure;
use stairward_types::{ChangeId, ResultCode, Revision};

const FIRST: Revision = Revision(1);
const SECOND: Revision = Revision(2);

#[tokio::test]
async fn an_edit_through_one_node_reaches_all() {
    let fleet = TestFleet::start(4).await;
    fleet.wait_until_all_at(FIRST).await;
    let edit = weight_edit(1, FIRST, 7);
    let outcome = fleet.nodes[3].configuration.edit(&edit).await;
    assert_eq!(outcome.expect("accepted").revision, SECOND);
    assert_eq!(fleet.nodes[3].cluster.settings().revision, SECOND);
    fleet.wait_until_all_at(SECOND).await;
    let services = &fleet.nodes[0].cluster.settings().services;
    assert!(services.values().all(|service| service.weight == 7));
}

#[tokio::test]
async fn two_of_four_nodes_read_the_store() {
    let fleet = TestFleet::start(4).await;
    let watchers = || {
        let statuses = fleet.nodes.iter().map(|node| node.configuration.status());
        statuses.filter(|status| status.is_watcher).count()
    };
    wait_until(|| watchers() == 2).await;
}

#[tokio::test]
async fn of_two_concurrent_edits_one_succeeds_and_the_other_gets_the_newer_revision() {
    let fleet = TestFleet::start(3).await;
    let (one, two) = (weight_edit(1, FIRST, 5), weight_edit(2, FIRST, 6));
    let (first, second) = tokio::join!(
        fleet.nodes[0].configuration.edit(&one),
        fleet.nodes[1].configuration.edit(&two)
    );
    let (accepted, conflict) = match (first, second) {
        (Ok(accepted), Err(conflict)) | (Err(conflict), Ok(accepted)) => (accepted, conflict),
        (first, second) => panic!("exactly one edit must succeed: {first:?} {second:?}"),
    };
    assert_eq!(accepted.revision, SECOND);
    assert_eq!(conflict.code(), ResultCode::EditConflict);
    let EditFailure::Refused {
        source:
            EditError::Conflict {
                newest,
                changed_since,
                ..
            },
    } = conflict
    else {
        panic!("{conflict}");
    };
    assert_eq!(newest, SECOND);
    assert_eq!(changed_since.map(|edits| edits.len()), Some(1));
    fleet.wait_until_all_at(SECOND).await;
}

#[tokio::test]
async fn an_edit_whose_reply_is_lost_takes_effect_once() {
    let fleet = TestFleet::start(3).await;
    fleet.store.inject(StoreFault::LoseNextReply);
    let edit = weight_edit(9, FIRST, 5);
    let outcome = fleet.nodes[0].configuration.edit(&edit).await;
    assert_eq!(outcome.expect("accepted").revision, SECOND);
    let repeated = fleet.nodes[1].configuration.edit(&edit).await;
    assert_eq!(repeated.expect("known").revision, SECOND);
    fleet.wait_until_all_at(SECOND).await;
    let document = fleet.nodes[2].configuration.document().expect("settings");
    let own = document
        .history()
        .filter(|applied| applied.edit.change_id == ChangeId(9));
    assert_eq!(own.count(), 1);
}

#[tokio::test]
async fn a_store_that_is_down_stops_edits_and_nothing_else() {
    let mut fleet = TestFleet::start(3).await;
    let edit = weight_edit(1, FIRST, 5);
    fleet.nodes[0].configuration.edit(&edit).await.expect("up");
    fleet.wait_until_all_at(SECOND).await;
    fleet.store.inject(StoreFault::Down);
    for node in &fleet.nodes {
        wait_until(|| node.configuration.status().source == SourceStatus::StoreUnreachable).await;
        assert!(node.cluster.settings_trusted_until() > node.cluster.clock.now());
    }
    let edit = weight_edit(2, SECOND, 6);
    let refused = fleet.nodes[0].configuration.edit(&edit);
    let refused = refused.await.expect_err("the store is down");
    assert_eq!(refused.code(), ResultCode::StoreUnavailable);

    fleet.restart(2).await;
    fleet.nodes[2].wait_until_ready().await;
    assert_eq!(fleet.nodes[2].cluster.settings().revision, SECOND);

    fleet.store.inject(StoreFault::Heal);
    for node in &fleet.nodes {
        wait_until(|| node.configuration.status().source == SourceStatus::Current).await;
    }
    let edit = weight_edit(3, SECOND, 8);
    fleet.nodes[1].configuration.edit(&edit).await.expect("up");
    fleet.wait_until_all_at(Revision(3)).await;
}

#[tokio::test]
async fn a_restarted_node_does_not_apply_older_settings_than_before() {
    let mut fleet = TestFleet::start(3).await;
    for revision in 1..6 {
        let edit = weight_edit(revision, Revision(revision), revision + 1);
        let index = usize::try_from(revision % 3).expect("small");
        let node = &fleet.nodes[index];
        wait_until(|| node.cluster.settings().revision == Revision(revision)).await;
        let outcome = node.configuration.edit(&edit).await.expect("accepted");
        fleet.restart(index).await;
        fleet.nodes[index].wait_until_ready().await;
        assert!(fleet.nodes[index].cluster.settings().revision >= outcome.revision);
    }
}

#[tokio::test]
async fn without_settings_no_node_is_ready() {
    let fleet = TestFleet::start_without_settings(2).await;
    wait_until(|| {
        fleet
            .nodes
            .iter()
            .any(|node| node.configuration.status().is_watcher)
    })
    .await;
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| !node.configuration.is_ready())
    );
    let whole_tree = stairward_settings::Edit {
        change_id: ChangeId(1),
        based_on: Revision(0),
        changes: stairward_settings::SettingsTree::new().changes_to(&configuration_support::tree()),
    };
    let outcome = fleet.nodes[0].configuration.edit(&whole_tree).await;
    assert_eq!(outcome.expect("accepted").revision, FIRST);
    for node in &fleet.nodes {
        node.wait_until_ready().await;
    }
}
