//! Moments of the store's life are ordered across its copies.

use stairward_testing::check;
use stairward_types::StoreRevision;

#[test]
fn a_revision_that_is_given_out_again_by_a_later_copy_is_later() {
    assert!(StoreRevision::new(1, 5) > StoreRevision::new(0, 900));
    assert_ne!(StoreRevision::new(1, 5), StoreRevision::new(0, 5));
}

#[test]
fn without_an_era_the_number_is_the_revision() {
    assert_eq!(StoreRevision::new(0, 77).number(), 77);
}

#[test]
fn the_order_is_that_of_era_and_revision() {
    let moments = check!().with_type::<(u16, u32, u16, u32)>();
    moments.for_each(|(era, revision, other_era, other)| {
        let one = StoreRevision::new(u64::from(*era), u64::from(*revision));
        let two = StoreRevision::new(u64::from(*other_era), u64::from(*other));
        assert_eq!(one.cmp(&two), (era, revision).cmp(&(other_era, other)));
        assert_eq!(StoreRevision::from_number(one.number()), one);
        assert_eq!(one.era(), u64::from(*era));
        assert_eq!(one.revision(), u64::from(*revision));
    });
}
