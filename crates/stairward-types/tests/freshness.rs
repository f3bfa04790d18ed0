//! Properties of terms, log positions and names.

use stairward_types::{BackendId, Freshness, LogPosition, Term};

#[test]
fn log_positions_round_trip_through_text() {
    stairward_testing::check!()
        .with_type::<u64>()
        .for_each(|number| {
            let position = LogPosition(*number);
            assert_eq!(
                position.to_string().parse::<LogPosition>().ok(),
                Some(position)
            );
        });
}

#[test]
fn covering_a_join_means_covering_both_parts() {
    stairward_testing::check!()
        .with_type::<[u64; 6]>()
        .for_each(|numbers| {
            let [copy, first, second] = [0, 2, 4]
                .map(|index| Freshness::new(Term(numbers[index]), LogPosition(numbers[index + 1])));
            let covers_both = copy.covers(first) && copy.covers(second);
            assert_eq!(copy.covers(first.join(second)), covers_both);
        });
}

#[test]
fn a_higher_position_of_an_older_term_does_not_cover_a_newer_term() {
    let diverged = Freshness::new(Term(1), LogPosition(900));
    let floor = Freshness::new(Term(2), LogPosition(100));
    assert!(!diverged.covers(floor));
}

#[test]
fn names_that_need_quoting_are_refused() {
    for bad in ["", "-a", "A", "a b", "a/b", &"a".repeat(64)] {
        assert!(BackendId::new(bad).is_err(), "{bad:?}");
    }
    assert!(BackendId::new("reader-core-1.kul-a").is_ok());
}
