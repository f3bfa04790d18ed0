//! Validation of the tree as a whole, across options and places.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use stairward_types::AdminState;

use super::bounds::{backend_bounds, group_bounds, violations};
use super::{MAXIMUM_PLACES, SettingsTree, problem};
use crate::path::{Level, SettingsPath};
use crate::problem::{ProblemKind, SettingsProblem};
use crate::resolved::{GroupSettings, ResolvedSettings};
use crate::schema::SettingsOption;

/// Checks that the names of services, groups and back ends are unique in the fleet, and that the tree
/// does not exceed [`MAXIMUM_PLACES`].
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

/// The name of a place, if it must be unique among the places of its level.
fn unique_name(path: &SettingsPath) -> Option<&str> {
    match path {
        SettingsPath::Root | SettingsPath::Region(_) => None,
        SettingsPath::Service(_, service) => Some(service.as_str()),
        SettingsPath::Group(_, _, group) => Some(group.as_str()),
        SettingsPath::Backend(_, _, _, backend) => Some(backend.as_str()),
    }
}

/// Checks the effective settings for duplicate addresses, members of groups and violated bounds.
pub(super) fn check_consistency(
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
                    problems.extend(violations(tree, path, &group_bounds(settings)));
                }
            }
            SettingsPath::Backend(_, _, group, backend) => {
                let settings = resolved
                    .groups
                    .get(group)
                    .and_then(|group| group.backends.get(backend));
                let Some(settings) = settings else { continue };
                problems.extend(violations(tree, path, &backend_bounds(settings)));
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
    deduplicate(problems)
}

/// Counts the back ends of each group in the tree.
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

/// Checks that a group has members and that a majority of them is active, because joining and leaving
/// members cannot be relied upon to confirm writes. A group whose members are all joining is being set
/// up and exempt. Groups with members that lack an address or zone are skipped, since those are reported
/// as problems of their own.
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
    let in_state = |state: AdminState| {
        group
            .backends
            .values()
            .filter(|backend| backend.admin_state == state)
            .count()
    };
    let are_all_resolved = group.backends.len() == members;
    let is_being_set_up = in_state(AdminState::Joining) == members;
    if !are_all_resolved || is_being_set_up {
        return;
    }
    let active = in_state(AdminState::Active);
    let needed = members / 2 + 1;
    if active < needed {
        let kind = ProblemKind::NoActiveMajority {
            active,
            members,
            needed,
        };
        problems.push(problem(path, Some(SettingsOption::AdminState), kind));
    }
}

/// Removes duplicates, which arise when many places inherit the same cause.
fn deduplicate(problems: Vec<SettingsProblem>) -> Vec<SettingsProblem> {
    let mut seen = BTreeSet::new();
    problems
        .into_iter()
        .filter(|problem| {
            let key = (
                problem.path.clone(),
                problem.option.clone(),
                problem.kind.to_string(),
            );
            seen.insert(key)
        })
        .collect()
}
