//! The example files are valid and contain the sizes of the two sites.

use std::path::{Path, PathBuf};
use std::time::Duration;

use stairward_settings::{CheckReport, FileKind, ResolvedSettings, SettingsTree, check_file};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn check(name: &str) -> CheckReport {
    let report = check_file(&example(name));
    assert!(report.is_valid(), "{report}");
    report
}

fn resolve(name: &str) -> ResolvedSettings {
    let text = std::fs::read_to_string(example(name)).expect("the example can be read");
    let tree = SettingsTree::from_toml(&text).expect("a valid tree");
    tree.resolve().expect("a valid tree")
}

fn assert_sizes(settings: &ResolvedSettings, zones: [&str; 3], slots: u32, connections: u32) {
    assert_eq!(settings.services.len(), 1);
    assert_eq!(settings.groups.len(), 3);
    for group in settings.groups.values() {
        let mut found: Vec<_> = group.backends.values().collect();
        found.sort_by_key(|backend| zones.iter().position(|zone| *zone == backend.zone.as_str()));
        let found_zones: Vec<_> = found.iter().map(|backend| backend.zone.as_str()).collect();
        assert_eq!(found_zones, zones);
        for backend in found {
            assert_eq!(backend.slots, slots);
            assert_eq!(backend.connection_limit, connections);
        }
    }
}

#[test]
fn example_files_are_recognised_and_valid() {
    assert_eq!(check("node.toml").kind, FileKind::ProcessFile);
    assert_eq!(check("lintas.toml").kind, FileKind::SettingsTree);
    assert_eq!(check("krvny-most.toml").kind, FileKind::SettingsTree);
}

#[test]
fn lintas_example_has_its_sizes_and_allows_stale_reads() {
    let settings = resolve("lintas.toml");
    assert_sizes(&settings, ["kul-a", "sgp-b", "jhb-a"], 5, 40);
    for group in settings.groups.values() {
        assert_eq!(group.maximum_staleness, Duration::from_secs(5));
    }
}

#[test]
fn krvny_most_example_has_its_sizes_and_a_longer_hold_queue_time() {
    let settings = resolve("krvny-most.toml");
    assert_sizes(&settings, ["ba-hall-a", "za-hall-b", "ke-hall-c"], 10, 100);
    let lintas = resolve("lintas.toml");
    let hold_queue_time = |group: &stairward_settings::GroupSettings| group.hold_queue_time;
    let longest_of_lintas = lintas.groups.values().map(hold_queue_time).max();
    for group in settings.groups.values() {
        assert!(Some(group.hold_queue_time) > longest_of_lintas);
        assert!(group.hold_queue_time <= group.request_timeout);
    }
}

#[test]
fn files_of_neither_kind_are_refused() {
    let missing = check_file(&example("no-such-file.toml"));
    assert_eq!(missing.kind, FileKind::Unknown);
    assert!(!missing.is_valid());
    let other = stairward_settings::check_text(Path::new("other.toml"), "[package]\nname = 1\n");
    assert_eq!(other.kind, FileKind::Unknown);
    assert!(other.to_string().contains("SW4004"), "{other}");
}
