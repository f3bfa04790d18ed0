//! While lost objects are being rewritten after a restore of the store, its older content does not
//! revert what a node knew.

use std::collections::BTreeMap;

use stairward_membership::feed::{RestoredView, StoreObject};
use stairward_types::StoreRevision;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    at: StoreRevision,
    state: &'static str,
}

impl StoreObject for Entry {
    fn revision(&self) -> StoreRevision {
        self.at
    }

    fn has_same_content(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

fn entries(era: u64, entries: &[(&str, u64, &'static str)]) -> BTreeMap<String, Entry> {
    let entry = |revision, state| Entry {
        at: StoreRevision::new(era, revision),
        state,
    };
    let entries = entries.iter();
    entries
        .map(|(name, revision, state)| ((*name).to_owned(), entry(*revision, *state)))
        .collect()
}

fn states(entries: &BTreeMap<String, Entry>) -> Vec<(&str, &str)> {
    let states = entries
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.state));
    states.collect()
}

/// The view after a listing of a restored store, on a node that knew `known` and the deletion of
/// `deleted`.
fn view_after_restore(
    known: &[(&str, u64, &'static str)],
    deleted: &[&str],
    listed: &[(&str, u64, &'static str)],
) -> (RestoredView<Entry>, BTreeMap<String, Entry>) {
    let listed = entries(1, listed);
    let mut view = RestoredView::default();
    let deleted = deleted.iter().map(|name| (*name).to_owned());
    let known = entries(0, known);
    assert!(!view.apply_listing(Some(0), BTreeMap::new(), Vec::new(), &known));
    assert!(view.apply_listing(Some(1), known, deleted, &listed));
    (view, listed)
}

#[test]
fn a_restore_does_not_revert_a_leaving_back_end() {
    let (mut view, listed) =
        view_after_restore(&[("db", 80, "draining")], &[], &[("db", 20, "ready")]);
    assert_eq!(
        states(&view.effective_objects(&listed)),
        [("db", "draining")]
    );
    view.mark_written("db");
    assert_eq!(states(&view.effective_objects(&listed)), [("db", "ready")]);
}

#[test]
fn a_restore_does_not_bring_back_a_removed_back_end() {
    let (mut view, listed) = view_after_restore(&[], &["db"], &[("db", 20, "ready")]);
    assert!(view.effective_objects(&listed).is_empty());
    assert_eq!(view.clear_retained().len(), 1);
    assert_eq!(states(&view.effective_objects(&listed)), [("db", "ready")]);
}

#[test]
fn a_lost_evacuation_is_retained_until_the_restore_settles() {
    let (mut view, listed) = view_after_restore(&[("zone", 80, "evacuated")], &[], &[]);
    assert_eq!(
        states(&view.effective_objects(&listed)),
        [("zone", "evacuated")]
    );
    view.clear_retained();
    assert!(view.matches_store());
    assert!(view.effective_objects(&listed).is_empty());
}

#[test]
fn rewritten_objects_take_effect_at_once() {
    let (view, _) = view_after_restore(&[("db", 80, "ready")], &[], &[("db", 80, "draining")]);
    assert!(view.matches_store(), "the same revision with other content");
    let (view, _) = view_after_restore(&[("db", 80, "ready")], &[], &[("db", 81, "draining")]);
    assert!(view.matches_store());
    let (view, _) = view_after_restore(&[], &[], &[("new", 5, "ready")]);
    assert!(view.matches_store(), "never seen before");
}

#[test]
fn a_second_restore_does_not_revert_retained_objects() {
    let (mut view, listed) =
        view_after_restore(&[("db", 80, "draining")], &[], &[("db", 20, "ready")]);
    let again = entries(2, &[("db", 20, "ready")]);
    assert!(view.apply_listing(Some(2), listed, Vec::new(), &again));
    assert_eq!(
        states(&view.effective_objects(&again)),
        [("db", "draining")]
    );
}

#[test]
fn a_second_restore_does_not_bring_back_removed_objects() {
    let (mut view, listed) = view_after_restore(&[], &["db"], &[("db", 20, "ready")]);
    let again = entries(2, &[("db", 20, "ready")]);
    assert!(view.apply_listing(Some(2), listed, Vec::new(), &again));
    assert!(view.effective_objects(&again).is_empty());
}
