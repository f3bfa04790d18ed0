//! The load's schedule is the same for the same seed and follows the site's shares.

use std::time::Duration;

use stairward_lab::load::schedule::{Action, PlannedRequest, Schedule};
use stairward_lab::site::Site;

fn first(site: &Site, seed: u64, count: usize) -> Vec<PlannedRequest> {
    Schedule::new(site, seed).take(count).collect()
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let site = Site::named("lintas").expect("a valid site");
    assert_eq!(first(&site, 7, 5_000), first(&site, 7, 5_000));
    assert_ne!(first(&site, 7, 100), first(&site, 8, 100));
}

#[test]
fn arrivals_keep_the_rate_of_the_site() {
    let site = Site::named("krvny-most").expect("a valid site");
    let requests = first(&site, 1, 50_000);
    let expected = 50_000.0 / site.traffic.requests_per_second;
    let last = requests.last().expect("requests").at.as_secs_f64();
    assert!(
        (last / expected - 1.0).abs() < 0.05,
        "{last} s, expected {expected} s"
    );
    assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn a_session_reads_back_its_own_writes() {
    let site = Site::named("krvny-most").expect("a valid site");
    let requests = first(&site, 3, 20_000);
    let mut read_back = 0;
    let mut writes = 0;
    for (position, request) in requests.iter().enumerate() {
        let Action::WriteOwn { row } = request.action else {
            continue;
        };
        let next = requests[position + 1..]
            .iter()
            .find(|later| later.session == request.session);
        let Some(next) = next else { continue };
        writes += 1;
        read_back += u32::from(next.action == Action::ReadOwn { row });
    }
    let share = f64::from(read_back) / f64::from(writes);
    assert!(
        (share - site.traffic.read_back_share).abs() < 0.05,
        "{share}"
    );
}

#[test]
fn latencies_count_from_the_moment_a_request_was_due() {
    let mut figures = stairward_lab::load::figures::Figures::default();
    figures.answered(Duration::from_millis(40), Duration::from_millis(300));
    figures.answered(Duration::from_millis(140), Duration::from_millis(200));
    figures.failed(Duration::from_millis(150));
    let series = figures.series();
    assert_eq!(series.len(), 2);
    assert_eq!((series[0].count, series[1].count), (1, 2));
    assert_eq!(series[1].failed, 1);
    assert!((figures.summary().max - 300.0).abs() < 1.0);
}
