//! The rate and burst of a bucket for a limit that is counted in windows.

use std::time::Duration;

use stairward_limits::{LimitWindow, RateLimit};
use stairward_testing::check;

const GRANT_LIFE: Duration = Duration::from_millis(500);

fn window(excess: f64, slack: f64) -> LimitWindow {
    LimitWindow {
        length: Duration::from_secs(5),
        excess,
        slack,
    }
}

fn limit(rate: u64, burst: u64) -> RateLimit {
    RateLimit {
        rate_thousandths: rate * 1_000,
        burst_thousandths: burst * 1_000,
    }
}

#[test]
fn a_bucket_never_admits_more_in_a_window_than_is_allowed() {
    check!()
        .with_type::<(u16, u16, u8, u8)>()
        .for_each(|(rate, burst, excess, slack)| {
            let limit = limit(u64::from(*rate), u64::from(*burst));
            let window = window(f64::from(*excess) / 100.0, f64::from(*slack));
            let bucket = window.bucket(limit, GRANT_LIFE);
            let admitted = bucket.burst() + bucket.per_second() * (5.0 + 0.5);
            let allowed = window.allowed(limit).max(1.0);
            assert!(admitted <= allowed + 0.01, "{bucket:?} of {limit:?}");
        });
}

#[test]
fn a_steady_demand_up_to_what_windows_allow_is_admitted() {
    // 132 operations in 5 s are a steady 26.4 a second; a bucket with the rate of the limit itself
    // admits 22.
    let bucket = window(0.1, 20.0).bucket(limit(22, 22), GRANT_LIFE);
    assert!(bucket.per_second() > 26.4, "{bucket:?}");
    assert!((bucket.burst() - 11.0).abs() < 0.01, "{bucket:?}");
}

#[test]
fn the_rate_takes_precedence_over_the_burst() {
    let bucket = window(0.0, 0.0).bucket(limit(100, 100), GRANT_LIFE);
    assert!(bucket.per_second() > 99.9, "{bucket:?}");
}

#[test]
fn a_small_tenant_may_send_several_operations_at_once() {
    let bucket = window(0.1, 20.0).bucket(limit(1, 1), GRANT_LIFE);
    assert!(bucket.burst() >= 5.0, "{bucket:?}");
    assert!(bucket.per_second() > 1.0, "{bucket:?}");
}

#[test]
fn a_limit_of_zero_stays_zero() {
    let nothing = limit(0, 0);
    assert_eq!(window(0.1, 20.0).bucket(nothing, GRANT_LIFE), nothing);
}
