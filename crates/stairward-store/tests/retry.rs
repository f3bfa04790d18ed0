//! Retry delays grow and are bounded.

use std::time::Duration;

use stairward_store::RetryPolicy;
use stairward_testing::check;

const POLICY: RetryPolicy = RetryPolicy {
    attempts: 3,
    first_delay: Duration::from_millis(100),
    longest_delay: Duration::from_millis(350),
};

#[test]
fn delays_double_up_to_the_longest() {
    let longest: Vec<_> = (1..=4)
        .map(|failed| POLICY.delay(failed, 1.0).as_millis())
        .collect();
    assert_eq!(longest, [100, 200, 350, 350]);
    let shortest: Vec<_> = (1..=4)
        .map(|failed| POLICY.delay(failed, 0.0).as_millis())
        .collect();
    assert_eq!(shortest, [50, 100, 175, 175]);
}

#[test]
fn attempts_are_limited() {
    assert!(POLICY.allows_another(2));
    assert!(!POLICY.allows_another(3));
}

#[test]
fn no_delay_is_longer_than_the_longest() {
    check!()
        .with_type::<(u32, u16)>()
        .for_each(|(failed, jitter)| {
            let jitter = f64::from(*jitter) / f64::from(u16::MAX);
            let delay = POLICY.delay(*failed, jitter);
            assert!(delay <= POLICY.longest_delay);
            assert!(delay >= POLICY.first_delay / 2);
        });
}
