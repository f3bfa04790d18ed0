//! Edits of the settings in the store: lost replies, concurrent edits, and a store that is down.

mod support;

use std::collections::BTreeSet;

use futures::future::join_all;
use stairward_settings::{Edit, EditError, SettingsDocument, SettingsTree};
use stairward_standins::platform::{PlatformStandin, StoreFault};
use stairward_store::{EditFailure, PlatformClient, create_settings, edit_settings, read_settings};
use stairward_types::{ChangeId, ResultCode, Revision};
use support::{client, start_store, tree, weight_edit};

const FIRST: Revision = Revision(1);

async fn store_with_settings() -> (PlatformStandin, PlatformClient) {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    let created = create_settings(&client, tree()).await;
    assert_eq!(created.expect("created").revision(), FIRST);
    (store, client)
}

async fn stored(client: &PlatformClient) -> SettingsDocument {
    let held = read_settings(client).await.expect("the store answers");
    held.expect("settings").value
}

#[tokio::test]
async fn an_edit_is_written_and_read_back() {
    let (_store, client) = store_with_settings().await;
    let outcome = edit_settings(&client, &weight_edit(1, FIRST, 5)).await;
    let outcome = outcome.expect("accepted");
    assert_eq!(outcome.revision, Revision(2));
    assert_eq!(stored(&client).await, outcome.document);
}

#[tokio::test]
async fn settings_are_created_only_once() {
    let (store, client) = store_with_settings().await;
    let again = create_settings(&client, tree()).await;
    let refused = again.expect_err("they exist");
    assert!(
        matches!(refused, EditFailure::SettingsExist { .. }),
        "{refused}"
    );
    assert_eq!(refused.code(), ResultCode::EditConflict);
    drop(store);

    let store = start_store().await;
    let client = support::client(vec![store.address()]);
    store.inject(StoreFault::LoseNextReply);
    let created = create_settings(&client, tree()).await;
    assert_eq!(created.expect("created").revision(), FIRST);
}

#[tokio::test]
async fn an_edit_based_on_revision_0_creates_the_first_settings() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    let ahead = edit_settings(&client, &weight_edit(1, FIRST, 5)).await;
    let refused = ahead.expect_err("there is no revision 1");
    assert_eq!(refused.code(), ResultCode::EditConflict);
    let whole_tree = Edit {
        change_id: ChangeId(1),
        based_on: Revision(0),
        changes: SettingsTree::new().changes_to(&tree()),
    };
    store.inject(StoreFault::LoseNextReply);
    let outcome = edit_settings(&client, &whole_tree).await.expect("accepted");
    assert_eq!(outcome.revision, FIRST);
    assert_eq!(stored(&client).await.tree(), &tree());
}

#[tokio::test]
async fn after_a_lost_reply_the_change_id_shows_that_the_edit_took_effect() {
    let (store, client) = store_with_settings().await;
    let edit = weight_edit(1, FIRST, 5);
    store.inject(StoreFault::LoseNextReply);
    let outcome = edit_settings(&client, &edit).await.expect("accepted");
    assert_eq!(outcome.revision, Revision(2));
    let sent_again = edit_settings(&client, &edit).await.expect("known");
    assert_eq!(sent_again.revision, Revision(2));
    assert_eq!(stored(&client).await.revision(), Revision(2));
}

#[tokio::test]
async fn of_concurrent_edits_exactly_one_succeeds_and_the_conflicts_contain_it() {
    let (_store, client) = store_with_settings().await;
    let edits: Vec<_> = (1..=8)
        .map(|number| weight_edit(number, FIRST, number))
        .collect();
    let outcomes = join_all(edits.iter().map(|edit| edit_settings(&client, edit))).await;
    let winners: Vec<_> = outcomes.iter().flatten().collect();
    assert_eq!(winners.len(), 1);
    let winning_edit = stored(&client).await.history().last().cloned();
    for refused in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
        assert_eq!(refused.code(), ResultCode::EditConflict);
        let EditFailure::Refused {
            source:
                EditError::Conflict {
                    newest,
                    changed_since: Some(changed),
                    ..
                },
        } = refused
        else {
            panic!("{refused:?}");
        };
        assert_eq!(*newest, Revision(2));
        assert_eq!(changed.last(), winning_edit.as_ref());
    }
}

#[tokio::test]
async fn an_edit_to_a_store_that_is_down_changes_nothing() {
    let (store, client) = store_with_settings().await;
    store.inject(StoreFault::Down);
    let failed = edit_settings(&client, &weight_edit(1, FIRST, 5)).await;
    let failed = failed.expect_err("the store is down");
    assert!(matches!(failed, EditFailure::NotRead { .. }), "{failed}");
    store.inject(StoreFault::Heal);
    assert_eq!(stored(&client).await.revision(), FIRST);
}

#[tokio::test]
async fn an_edit_based_before_the_stored_history_has_an_unknown_outcome() {
    let (_store, client) = store_with_settings().await;
    let old_edit = weight_edit(1, FIRST, 5);
    let edits = stairward_settings::MAXIMUM_HISTORY_EDITS as u64 + 1;
    let mut document = stored(&client).await;
    for change_id in 2..edits + 2 {
        let edit = weight_edit(change_id, document.revision(), change_id);
        document = document.apply(&edit).expect("a valid edit");
    }
    let name = stairward_settings::SETTINGS_OBJECT;
    client
        .put_if_version(name, 1, &document)
        .await
        .expect("written");
    let outcome = edit_settings(&client, &old_edit).await;
    let failure = outcome.expect_err("a conflict");
    assert!(matches!(failure, EditFailure::Unknown { .. }), "{failure}");
    assert_eq!(failure.code(), ResultCode::StoreUnavailable);
}

/// Makes edits one after another as one operator, and rebases each on the new revision after a conflict.
async fn make_edits(store: &PlatformStandin, client: &PlatformClient, change_ids: &[u64]) {
    for change_id in change_ids {
        loop {
            let based_on = stored(client).await.revision();
            store.inject(StoreFault::LoseNextReply);
            let edit = weight_edit(*change_id, based_on, *change_id);
            match edit_settings(client, &edit).await {
                Ok(_) => break,
                Err(EditFailure::Refused {
                    source: EditError::Conflict { .. },
                }) => {}
                Err(failure) => panic!("{failure}"),
            }
        }
    }
}

#[tokio::test]
async fn concurrent_edits_take_effect_exactly_once_despite_lost_replies() {
    let (store, client) = store_with_settings().await;
    let change_ids: Vec<u64> = (1..=20).collect();
    let operators = change_ids.chunks(5);
    join_all(operators.map(|ids| make_edits(&store, &client, ids))).await;
    let document = stored(&client).await;
    let applied: Vec<_> = document
        .history()
        .map(|applied| applied.edit.change_id)
        .collect();
    let distinct: BTreeSet<_> = applied.iter().copied().collect();
    assert_eq!(applied.len(), change_ids.len());
    assert_eq!(distinct, change_ids.iter().copied().map(ChangeId).collect());
    assert_eq!(document.revision(), Revision(1 + change_ids.len() as u64));
}
