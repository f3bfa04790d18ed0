//! While what a restored store lost is written again, its older word takes back nothing that a node knew.

use std::collections::BTreeMap;

use stairward_membership::feed::{RestoredView, StoreObject};
use stairward_types::StoreRevision;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    at: StoreRevision,
    word: &'static str,
}

impl StoreObject for Entry {
    fn revision(&self) -> StoreRevision {
        self.at
    }

    fn has_same_content(&self, other: &Self) -> bool {
        self.word == other.word
    }
}

fn entries(era: u64, entries: &[(&str, u64, &'static str)]) -> BTreeMap<String, Entry> {
    let entry = |revision, word| Entry {
        at: StoreRevision::new(era, revision),
        word,
    };
    let entries = entries.iter();
    entries
        .map(|(name, revision, word)| ((*name).to_owned(), entry(*revision, *word)))
        .collect()
}

fn words(entries: &BTreeMap<String, Entry>) -> Vec<(&str, &str)> {
    let words = entries
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.word));
    words.collect()
}

/// What is seen of a listing of a restored store by who knew something and that something had gone.
fn seen(
    known: &[(&str, u64, &'static str)],
    gone: &[&str],
    listed: &[(&str, u64, &'static str)],
) -> (RestoredView<Entry>, BTreeMap<String, Entry>) {
    let listed = entries(1, listed);
    let mut view = RestoredView::default();
    let gone = gone.iter().map(|name| (*name).to_owned());
    let known = entries(0, known);
    assert!(!view.apply_listing(Some(0), BTreeMap::new(), Vec::new(), &known));
    assert!(view.apply_listing(Some(1), known, gone, &listed));
    (view, listed)
}

#[test]
fn a_back_end_that_leaves_does_not_read_as_staying() {
    let (mut view, listed) = seen(&[("db", 80, "draining")], &[], &[("db", 20, "ready")]);
    assert_eq!(
        words(&view.effective_objects(&listed)),
        [("db", "draining")]
    );
    view.mark_written("db");
    assert_eq!(words(&view.effective_objects(&listed)), [("db", "ready")]);
}

#[test]
fn a_back_end_that_has_ended_is_not_there_again() {
    let (mut view, listed) = seen(&[], &["db"], &[("db", 20, "ready")]);
    assert!(view.effective_objects(&listed).is_empty());
    assert_eq!(view.clear_retained().len(), 1);
    assert_eq!(words(&view.effective_objects(&listed)), [("db", "ready")]);
}

#[test]
fn an_evacuation_that_the_copy_lacks_is_kept_until_nobody_writes_it_again() {
    let (mut view, listed) = seen(&[("zone", 80, "evacuated")], &[], &[]);
    assert_eq!(
        words(&view.effective_objects(&listed)),
        [("zone", "evacuated")]
    );
    view.clear_retained();
    assert!(view.matches_store());
    assert!(view.effective_objects(&listed).is_empty());
}

#[test]
fn what_was_written_again_counts_at_once() {
    let (view, _) = seen(&[("db", 80, "ready")], &[], &[("db", 80, "draining")]);
    assert!(view.matches_store(), "the same revision with another word");
    let (view, _) = seen(&[("db", 80, "ready")], &[], &[("db", 81, "draining")]);
    assert!(view.matches_store());
    let (view, _) = seen(&[], &[], &[("new", 5, "ready")]);
    assert!(view.matches_store(), "never seen before");
}

#[test]
fn what_a_second_restore_brings_takes_back_nothing_either() {
    let (mut view, listed) = seen(&[("db", 80, "draining")], &[], &[("db", 20, "ready")]);
    let again = entries(2, &[("db", 20, "ready")]);
    assert!(view.apply_listing(Some(2), listed, Vec::new(), &again));
    assert_eq!(words(&view.effective_objects(&again)), [("db", "draining")]);
}

#[test]
fn a_second_restore_brings_back_nothing_that_has_ended() {
    let (mut view, listed) = seen(&[], &["db"], &[("db", 20, "ready")]);
    let again = entries(2, &[("db", 20, "ready")]);
    assert!(view.apply_listing(Some(2), listed, Vec::new(), &again));
    assert!(view.effective_objects(&again).is_empty());
}
