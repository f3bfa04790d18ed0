//! The site files hold the numbers of the brief.

use std::time::Duration;

use stairward_lab::site::{Site, SiteError};

#[test]
fn lintas_has_the_sizes_of_the_brief() {
    let site = Site::named("lintas").expect("a valid site");
    let zones: Vec<&str> = site
        .places
        .iter()
        .map(|place| place.zone.as_str())
        .collect();
    assert_eq!(zones, ["kul-a", "sgp-b", "jhb-a"]);
    assert_eq!(site.service.as_str(), "reader-core");
    assert_eq!(site.databases.groups, 3);
    assert_eq!(site.databases.members_per_group, 3);
    assert_eq!(site.databases.slots, 5);
    assert_eq!(site.databases.connections, 40);
    assert_eq!(site.databases.connect_time(), Duration::from_millis(10));
    let latencies = site.latencies();
    assert_eq!(latencies.between(0, 2), Duration::from_micros(1500));
    assert_eq!(latencies.between(0, 1), Duration::from_millis(20));
    assert_eq!(latencies.to_clients(), Duration::from_millis(3));
}

#[test]
fn krvny_most_has_the_sizes_of_the_brief() {
    let site = Site::named("krvny-most").expect("a valid site");
    let zones: Vec<&str> = site
        .places
        .iter()
        .map(|place| place.zone.as_str())
        .collect();
    assert_eq!(zones, ["ba-hall-a", "za-hall-b", "ke-hall-c"]);
    assert_eq!(site.service.as_str(), "donor-core");
    assert_eq!(site.databases.groups, 3);
    assert_eq!(site.databases.members_per_group, 3);
    assert_eq!(site.databases.slots, 10);
    assert_eq!(site.databases.connections, 100);
    assert_eq!(site.databases.connect_time(), Duration::from_millis(10));
    let latencies = site.latencies();
    assert_eq!(latencies.between(0, 1), Duration::from_micros(500));
    assert_eq!(latencies.between(0, 2), Duration::from_millis(8));
    assert_eq!(latencies.to_clients(), Duration::from_millis(3));
}

#[test]
fn purchases_and_bookings_are_not_repeatable() {
    for (name, operation) in [("lintas", "unlock"), ("krvny-most", "book")] {
        let site = Site::named(name).expect("a valid site");
        let found = site
            .operations
            .iter()
            .find(|candidate| candidate.name == operation)
            .expect("the operation");
        assert!(!found.repeatable, "{operation} may run at most once");
    }
}

#[test]
fn shares_that_do_not_add_up_are_refused() {
    let text = include_str!("../sites/lintas.toml").replace("share = 0.80", "share = 0.70");
    assert!(matches!(Site::parse(&text), Err(SiteError::Shares { .. })));
}
