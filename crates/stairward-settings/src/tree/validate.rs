//! Checks of the tree as a whole: what no single option can tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use stairward_types::AdminState;

use super::{MAXIMUM_PLACES, SettingsTree, problem};
use crate::path::{Level, SettingsPath};
use crate::problem::{ProblemKind, SettingsProblem};
use crate::resolved::{BackendSettings, GroupSettings, ResolvedSettings};
use crate::schema::SettingsOption;

/// Checks that services, groups and back ends have names unique in the fleet, and that the tree is
/// not too large.
pub(super) fn check_names(tree: &SettingsTree) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    let count = tree.places().count();
    if count > MAXIMUM_PLACES {
        let kind = ProblemKind::TooMany {
            count,
            maximum: MAXIMUM_PLACES,
        };
        problems.push(problem(&SettingsPath::Root, None, kind));
    }
    let mut seen: BTreeMap<(Level, &str), &SettingsPath> = BTreeMap::new();
    for (path, _) in tree.places() {
        let Some(name) = unique_name(path) else {
            continue;
        };
        let Some(other) = seen.insert((path.level(), name), path) else {
            continue;
        };
        let kind = ProblemKind::DuplicateName {
            other: other.to_string(),
        };
        problems.push(problem(path, None, kind));
    }
    problems
}

/// The name of a place that must be unique among places of its level.
fn unique_name(path: &SettingsPath) -> Option<&str> {
    match path {
        SettingsPath::Root | SettingsPath::Region(_) => None,
        SettingsPath::Service(_, service) => Some(service.as_str()),
        SettingsPath::Group(_, _, group) => Some(group.as_str()),
        SettingsPath::Backend(_, _, _, backend) => Some(backend.as_str()),
    }
}

/// Checks what is in force: addresses, members and limits that contradict each other.
pub(super) fn check_whole(
    tree: &SettingsTree,
    resolved: &ResolvedSettings,
) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    let mut addresses: BTreeMap<SocketAddr, &SettingsPath> = BTreeMap::new();
    let member_counts = count_members(tree);
    for (path, _) in tree.places() {
        match path {
            SettingsPath::Root | SettingsPath::Region(_) | SettingsPath::Service(..) => {}
            SettingsPath::Group(_, _, group) => {
                if let Some(settings) = resolved.groups.get(group) {
                    let members = member_counts.get(path).copied().unwrap_or_default();
                    check_members(path, members, settings, &mut problems);
                    check_times(path, settings, &mut problems);
                    check_hold_queue(path, settings, &mut problems);
                }
            }
            SettingsPath::Backend(_, _, group, backend) => {
                let settings = resolved
                    .groups
                    .get(group)
                    .and_then(|group| group.backends.get(backend));
                let Some(settings) = settings else { continue };
                check_limits(path, settings, &mut problems);
                if let Some(other) = addresses.insert(settings.address, path) {
                    let kind = ProblemKind::DuplicateAddress {
                        address: settings.address,
                        other: other.to_string(),
                    };
                    problems.push(problem(path, Some(SettingsOption::Address), kind));
                }
            }
        }
    }
    problems
}

/// How many back ends the tree has below each group.
fn count_members(tree: &SettingsTree) -> BTreeMap<SettingsPath, usize> {
    let mut counts = BTreeMap::new();
    for (path, _) in tree.places() {
        if path.level() != Level::Backend {
            continue;
        }
        if let Some(group) = path.parent() {
            *counts.entry(group).or_default() += 1;
        }
    }
    counts
}

/// A group needs members, and a majority of the established ones must be in use: once those that
/// leave are gone, no write could be confirmed by a majority. Members without an address or zone are
/// problems of their own.
fn check_members(
    path: &SettingsPath,
    members: usize,
    group: &GroupSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    if members == 0 {
        problems.push(problem(path, None, ProblemKind::NoBackends));
        return;
    }
    let are_all_usable = group.backends.len() == members;
    if !are_all_usable {
        return;
    }
    let in_state = |state: AdminState| {
        group
            .backends
            .values()
            .filter(|backend| backend.admin_state == state)
            .count()
    };
    let active = in_state(AdminState::Active);
    let established = active + in_state(AdminState::Leaving);
    let needed = established / 2 + 1;
    if active < needed {
        let kind = ProblemKind::MajorityImpossible {
            active,
            established,
            needed,
        };
        problems.push(problem(path, Some(SettingsOption::AdminState), kind));
    }
}

/// No wait within a request may outlast the request.
fn check_times(path: &SettingsPath, group: &GroupSettings, problems: &mut Vec<SettingsProblem>) {
    let waits = [
        (SettingsOption::FreshnessWait, group.freshness_wait),
        (SettingsOption::FenceTimeout, group.fence_timeout),
        (SettingsOption::HoldQueueTime, group.hold_queue_time),
    ];
    for (option, wait) in waits {
        if wait > group.request_timeout {
            let kind = ProblemKind::Exceeds {
                value: milliseconds(wait),
                other_option: SettingsOption::RequestTimeout.name(),
                other_value: milliseconds(group.request_timeout),
            };
            problems.push(problem(path, Some(option), kind));
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A queue that holds requests must have room for the largest one.
fn check_hold_queue(
    path: &SettingsPath,
    group: &GroupSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    if group.hold_queue_requests > 0 && group.hold_queue_bytes < group.maximum_message_bytes {
        let kind = ProblemKind::Below {
            value: group.hold_queue_bytes as u64,
            other_option: SettingsOption::MaximumMessageBytes.name(),
            other_value: group.maximum_message_bytes as u64,
        };
        problems.push(problem(path, Some(SettingsOption::HoldQueueBytes), kind));
    }
}

/// Statements and openings each need a connection of the back end's limit.
fn check_limits(
    path: &SettingsPath,
    backend: &BackendSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    let limits = [
        (SettingsOption::Slots, backend.slots),
        (SettingsOption::OpeningLimit, backend.opening_limit),
    ];
    for (option, limit) in limits {
        if limit > backend.connection_limit {
            let kind = ProblemKind::Exceeds {
                value: u64::from(limit),
                other_option: SettingsOption::ConnectionLimit.name(),
                other_value: u64::from(backend.connection_limit),
            };
            problems.push(problem(path, Some(option), kind));
        }
    }
}
