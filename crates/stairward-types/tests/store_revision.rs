//! Store revisions are ordered across restores of the store.

use stairward_testing::check;
use stairward_types::StoreRevision;

#[test]
fn a_reassigned_revision_of_a_later_era_is_greater() {
    assert!(StoreRevision::new(1, 5) > StoreRevision::new(0, 900));
    assert_ne!(StoreRevision::new(1, 5), StoreRevision::new(0, 5));
}

#[test]
fn without_an_era_the_number_is_the_revision() {
    assert_eq!(StoreRevision::new(0, 77).number(), 77);
}

#[test]
fn store_revisions_are_ordered_by_era_then_revision() {
    let inputs = check!().with_type::<(u16, u32, u16, u32)>();
    inputs.for_each(|(era, revision, other_era, other)| {
        let one = StoreRevision::new(u64::from(*era), u64::from(*revision));
        let two = StoreRevision::new(u64::from(*other_era), u64::from(*other));
        assert_eq!(one.cmp(&two), (era, revision).cmp(&(other_era, other)));
        assert_eq!(StoreRevision::from_number(one.number()), one);
        assert_eq!(one.era(), u64::from(*era));
        assert_eq!(one.revision(), u64::from(*revision));
    });
}
