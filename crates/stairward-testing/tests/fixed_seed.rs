//! The engine generates the same inputs for the same seed, others for another seed, and reports failures.

use std::cell::RefCell;
use std::panic::AssertUnwindSafe;

use stairward_testing::FixedSeedEngine;

const ITERATIONS: u64 = 50;

fn inputs(seed: u64) -> Vec<(u64, Vec<u8>)> {
    let seen = AssertUnwindSafe(RefCell::new(Vec::new()));
    bolero::TestTarget::new(FixedSeedEngine::new(seed, ITERATIONS))
        .with_type::<(u64, Vec<u8>)>()
        .for_each(|input| {
            let seen = &seen;
            seen.borrow_mut().push(input.clone());
        });
    seen.0.into_inner()
}

#[test]
fn the_same_seed_gives_the_same_inputs_and_another_gives_others() {
    let first = inputs(1);
    assert_eq!(first.len() as u64, ITERATIONS);
    assert_eq!(first, inputs(1));
    assert_ne!(first, inputs(2));
}

#[test]
#[should_panic(expected = "Test Failure")]
fn a_failing_property_fails_the_test() {
    stairward_testing::check!()
        .with_type::<u8>()
        .for_each(|number| assert!(*number < 200));
}
