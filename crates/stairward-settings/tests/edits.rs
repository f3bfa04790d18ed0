//! Edits, conflicts, change ids, the retained history, and updates between nodes.

use stairward_settings::{
    Change, Edit, EditError, MAXIMUM_CHANGES, MAXIMUM_HISTORY_CHANGES, MAXIMUM_HISTORY_EDITS,
    SettingsDocument, SettingsOption, SettingsPath, SettingsTree, SettingsUpdate, UpdateError,
    Value,
};
use stairward_types::{ChangeId, ResultCode, Revision};

const GROUP: &str = "region/south/service/reader/group/reader-1";

fn path(text: &str) -> SettingsPath {
    text.parse().expect("a valid path")
}

fn backend(name: &str) -> SettingsPath {
    path(&format!("{GROUP}/backend/{name}"))
}

fn set(path: &SettingsPath, option: SettingsOption, value: impl Into<Value>) -> Change {
    Change::Set {
        path: path.clone(),
        option,
        value: value.into(),
    }
}

fn first_document() -> SettingsDocument {
    let mut tree = SettingsTree::new();
    for (number, name) in (1..).zip(["a", "b", "c"]) {
        let place = backend(name);
        let address = format!("10.0.0.{number}:5432");
        tree.set(&place, SettingsOption::Address, address)
            .expect("a valid value");
        tree.set(&place, SettingsOption::Zone, "south-a")
            .expect("a valid value");
    }
    SettingsDocument::initial(tree).expect("a valid tree")
}

fn edit(change_id: u64, based_on: u64, changes: Vec<Change>) -> Edit {
    Edit {
        change_id: ChangeId(change_id),
        based_on: Revision(based_on),
        changes,
    }
}

/// An edit that sets the root's slots, based on a document's revision.
fn slots_edit(document: &SettingsDocument, change_id: u64, slots: u64) -> Edit {
    let change = set(&SettingsPath::Root, SettingsOption::Slots, slots);
    edit(change_id, document.revision().0, vec![change])
}

/// The document after a number of further edits, whose change ids are derived from the revision.
fn advance(document: &SettingsDocument, edits: u64) -> SettingsDocument {
    (0..edits).fold(document.clone(), |document, _| {
        let change_id = 1_000 + document.revision().0;
        let slots = 1 + document.revision().0 % 40;
        let next = document.apply(&slots_edit(&document, change_id, slots));
        next.expect("a valid edit")
    })
}

#[test]
fn an_edit_increments_the_revision() {
    let first = first_document();
    let second = first
        .apply(&slots_edit(&first, 1, 9))
        .expect("a valid edit");
    assert_eq!(second.revision(), Revision(2));
    let resolved = second.resolve().expect("a valid tree");
    assert_eq!(resolved.revision, Revision(2));
    let slots: Vec<_> = resolved
        .groups
        .values()
        .flat_map(|group| group.backends.values())
        .map(|backend| backend.slots)
        .collect();
    assert_eq!(slots, [9, 9, 9]);
}

#[test]
fn a_second_edit_on_the_same_revision_conflicts_and_lists_the_first() {
    let first = first_document();
    let accepted = slots_edit(&first, 1, 9);
    let conflicting = slots_edit(&first, 2, 8);
    let second = first.apply(&accepted).expect("a valid edit");
    let refused = second.apply(&conflicting).expect_err("a conflict");
    assert_eq!(refused.code(), Some(ResultCode::EditConflict));
    let EditError::Conflict {
        newest,
        changed_since: Some(changed),
        ..
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(newest, Revision(2));
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].edit, accepted);
}

#[test]
fn an_edit_based_on_a_future_revision_is_refused() {
    let first = first_document();
    let ahead = edit(1, 7, Vec::new());
    let refused = first.apply(&ahead).expect_err("a conflict");
    assert_eq!(refused.code(), Some(ResultCode::EditConflict));
}

#[test]
fn a_repeated_change_id_reports_the_applied_edit() {
    let first = first_document();
    let sent_twice = slots_edit(&first, 1, 9);
    let later = advance(&first.apply(&sent_twice).expect("a valid edit"), 3);
    let repeated = later.apply(&sent_twice).expect_err("already applied");
    let revision = Revision(2);
    assert_eq!(repeated, EditError::AlreadyApplied { revision });
    let other = slots_edit(&later, 1, 9);
    let refused = later.apply(&other).expect_err("a used change id");
    assert!(matches!(refused, EditError::ChangeIdReused { .. }));
}

#[test]
fn an_edit_that_is_invalid_after_an_accepted_one_is_refused() {
    let first = first_document();
    let leave = |name: &str| set(&backend(name), SettingsOption::AdminState, "leaving");
    let a_leaves = first
        .apply(&edit(1, 1, vec![leave("a")]))
        .expect("a valid edit");
    assert!(first.apply(&edit(2, 1, vec![leave("b")])).is_ok());
    let both = a_leaves
        .apply(&edit(2, 2, vec![leave("b")]))
        .expect_err("no active majority");
    assert_eq!(both.code(), Some(ResultCode::InvalidSettings));
    let EditError::Invalid { problems } = both else {
        panic!("{both:?}");
    };
    assert_eq!(problems[0].path, GROUP);
}

#[test]
fn an_edit_with_one_invalid_change_is_refused_as_a_whole() {
    let first = first_document();
    let unset = Change::Unset {
        path: backend("a"),
        option: SettingsOption::Slots,
    };
    let missing = Change::Remove {
        path: path("region/west"),
    };
    let valid = set(&SettingsPath::Root, SettingsOption::Slots, 9);
    let wrong_type = set(&SettingsPath::Root, SettingsOption::Slots, "many");
    for invalid in [unset, missing, wrong_type] {
        let changes = vec![valid.clone(), invalid];
        let refused = first
            .apply(&edit(1, 1, changes))
            .expect_err("an invalid change");
        assert_eq!(refused.code(), Some(ResultCode::InvalidSettings));
    }
}

#[test]
fn a_member_can_be_replaced_in_several_edits() {
    let mut document = first_document();
    let new = backend("d");
    let steps = [
        vec![
            set(&new, SettingsOption::Address, "10.0.0.4:5432"),
            set(&new, SettingsOption::Zone, "south-b"),
            set(&new, SettingsOption::AdminState, "joining"),
        ],
        vec![Change::Unset {
            path: new.clone(),
            option: SettingsOption::AdminState,
        }],
        vec![set(&backend("a"), SettingsOption::AdminState, "leaving")],
        vec![Change::Remove { path: backend("a") }],
    ];
    for (change_id, changes) in (1..).zip(steps) {
        let next = edit(change_id, document.revision().0, changes);
        document = document.apply(&next).expect("a valid step");
    }
    let resolved = document.resolve().expect("a valid tree");
    let names: Vec<&str> = resolved
        .groups
        .values()
        .flat_map(|group| group.backends.keys())
        .map(|backend| backend.as_str())
        .collect();
    assert_eq!(names, ["b", "c", "d"]);
}

#[test]
fn changes_round_trip_through_their_json_form() {
    let forms = [
        r#"{"path":"root","option":"slots","value":3}"#,
        r#"{"path":"root","option":"slots","value":null}"#,
        r#"{"path":"region/south","remove":true}"#,
        r#"{"path":"region/west","add":true}"#,
    ];
    let expected = [
        set(&SettingsPath::Root, SettingsOption::Slots, 3),
        Change::Unset {
            path: SettingsPath::Root,
            option: SettingsOption::Slots,
        },
        Change::Remove {
            path: path("region/south"),
        },
        Change::Add {
            path: path("region/west"),
        },
    ];
    for (form, expected) in forms.iter().zip(expected) {
        let change: Change = serde_json::from_str(form).expect("a change");
        assert_eq!(change, expected);
        let written = serde_json::to_string(&change).expect("JSON");
        let read: Change = serde_json::from_str(&written).expect("a change");
        assert_eq!(read, expected);
    }
    let ambiguous = [
        r#"{"path":"root"}"#,
        r#"{"path":"root","option":"slots","remove":true}"#,
        r#"{"path":"root","add":true,"remove":true}"#,
        r#"{"path":"root","option":"slots","value":3,"vaule":4}"#,
        r#"{"path":"root","option":"slot","value":3}"#,
        r#"{"path":"roots","option":"slots","value":3}"#,
    ];
    for form in ambiguous {
        assert!(serde_json::from_str::<Change>(form).is_err(), "{form}");
    }
}

#[test]
fn a_node_that_missed_edits_catches_up_with_edits() {
    let held = first_document();
    let newest = advance(&held, 5);
    let update = newest.update_after(held.revision());
    assert!(!update.is_whole());
    let bytes = update.encode().expect("JSON");
    let read = SettingsUpdate::decode(false, &bytes).expect("an update");
    assert_eq!(read.revision(), Some(newest.revision()));
    assert_eq!(
        held.apply_update(read).expect("applies"),
        Some(newest.clone())
    );
    let halfway = advance(&held, 2);
    let overlapping = newest.update_after(held.revision());
    assert_eq!(
        halfway.apply_update(overlapping).expect("applies"),
        Some(newest)
    );
}

#[test]
fn a_node_behind_the_history_gets_the_whole_document() {
    let held = first_document();
    let newest = advance(&held, MAXIMUM_HISTORY_EDITS as u64 + 1);
    assert_eq!(newest.history().count(), MAXIMUM_HISTORY_EDITS);
    assert_eq!(newest.edits_after(held.revision()), None);
    let update = newest.update_after(held.revision());
    assert!(update.is_whole());
    let bytes = update.encode().expect("JSON");
    let read = SettingsUpdate::decode(true, &bytes).expect("an update");
    assert_eq!(
        held.apply_update(read).expect("applies"),
        Some(newest.clone())
    );
    let one_later = Revision(held.revision().0 + 1);
    let kept = newest.edits_after(one_later).expect("still in the history");
    assert_eq!(kept.len(), MAXIMUM_HISTORY_EDITS);
}

#[test]
fn an_edit_larger_than_the_history_is_dropped_by_the_next() {
    let first = first_document();
    let change = set(&SettingsPath::Root, SettingsOption::Slots, 9);
    let changes = vec![change; MAXIMUM_HISTORY_CHANGES + 1];
    let large = edit(1, first.revision().0, changes);
    let second = first.apply(&large).expect("a valid edit");
    assert!(second.find_change(large.change_id).is_some());
    let third = advance(&second, 1);
    assert_eq!(third.find_change(large.change_id), None);
    assert!(third.update_after(first.revision()).is_whole());
    assert!(!third.update_after(second.revision()).is_whole());
    let changes = vec![set(&SettingsPath::Root, SettingsOption::Slots, 9); MAXIMUM_CHANGES + 1];
    assert!(third.apply(&edit(2, third.revision().0, changes)).is_err());
}

#[test]
fn updates_do_not_lower_the_revision() {
    let old = first_document();
    let new = advance(&old, 3);
    let whole = SettingsUpdate::Whole(Box::new(old.clone()));
    assert_eq!(new.apply_update(whole).expect("is ignored"), None);
    let edits = advance(&old, 2).update_after(old.revision());
    assert_eq!(new.apply_update(edits).expect("is ignored"), None);
}

#[test]
fn updates_with_gaps_or_malformed_bytes_are_refused() {
    let held = first_document();
    let newest = advance(&held, 3);
    let late = newest.update_after(Revision(2));
    let refused = held.apply_update(late).expect_err("a gap");
    assert!(matches!(refused, UpdateError::Gap { .. }), "{refused}");
    assert!(SettingsUpdate::decode(true, b"{}").is_err());
    assert!(SettingsUpdate::decode(false, b"\xff").is_err());
}

#[test]
fn invalid_stored_documents_are_refused() {
    let document = advance(&first_document(), 2);
    let json = serde_json::to_value(&document).expect("JSON");
    let read: SettingsDocument = serde_json::from_value(json.clone()).expect("a document");
    assert_eq!(read, document);
    let mut other_history = json.clone();
    other_history["revision"] = 9.into();
    assert!(serde_json::from_value::<SettingsDocument>(other_history).is_err());
    let mut no_members = json;
    no_members["tree"] = serde_json::json!({ GROUP: {} });
    assert!(serde_json::from_value::<SettingsDocument>(no_members).is_err());
}
