//! Bounds between options, such as waits within a request, which must not exceed the request's timeout.

use std::time::Duration;

use super::{SettingsTree, problem};
use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::resolved::{BackendSettings, GroupSettings};
use crate::schema::SettingsOption;

/// A constraint that the value of one option must not exceed that of another.
pub(super) struct Bound {
    option: SettingsOption,
    value: u64,
    limit_option: SettingsOption,
    limit: u64,
}

/// Bounds of a group: no wait within a request may exceed the request's timeout, and a hold queue that
/// admits requests must have room for the largest message.
pub(super) fn group_bounds(group: &GroupSettings) -> Vec<Bound> {
    let within_request = |option: SettingsOption, wait: Duration| Bound {
        option,
        value: milliseconds(wait),
        limit_option: SettingsOption::RequestTimeout,
        limit: milliseconds(group.request_timeout),
    };
    let mut bounds = vec![
        within_request(SettingsOption::FreshnessWait, group.freshness_wait),
        within_request(SettingsOption::FenceTimeout, group.fence_timeout),
        within_request(SettingsOption::HoldQueueTime, group.hold_queue_time),
    ];
    if group.hold_queue_requests > 0 {
        bounds.push(Bound {
            option: SettingsOption::MaximumMessageBytes,
            value: group.maximum_message_bytes as u64,
            limit_option: SettingsOption::HoldQueueBytes,
            limit: group.hold_queue_bytes as u64,
        });
    }
    bounds
}

/// Bounds of a back end: concurrent statements and connection openings each use a connection, so neither
/// may exceed the connection limit.
pub(super) fn backend_bounds(backend: &BackendSettings) -> Vec<Bound> {
    let within_limit = |option: SettingsOption, value: u32| Bound {
        option,
        value: u64::from(value),
        limit_option: SettingsOption::ConnectionLimit,
        limit: u64::from(backend.connection_limit),
    };
    vec![
        within_limit(SettingsOption::Slots, backend.slots),
        within_limit(SettingsOption::OpeningLimit, backend.opening_limit),
    ]
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The violated bounds. Each is reported for the option that causes it, at the place that sets it.
pub(super) fn violations(
    tree: &SettingsTree,
    path: &SettingsPath,
    bounds: &[Bound],
) -> Vec<SettingsProblem> {
    bounds
        .iter()
        .filter(|bound| bound.value > bound.limit)
        .map(|bound| violation(tree, path, bound))
        .collect()
}

fn violation(tree: &SettingsTree, path: &SettingsPath, bound: &Bound) -> SettingsProblem {
    let is_set = |place: &SettingsPath, option: SettingsOption| {
        tree.options_at(place)
            .is_some_and(|options| options.contains_key(&option))
    };
    let cause = path
        .self_and_ancestors()
        .find(|place| is_set(place, bound.option) || is_set(place, bound.limit_option))
        .unwrap_or(SettingsPath::Root);
    let is_caused_by_limit = !is_set(&cause, bound.option);
    if is_caused_by_limit {
        let kind = ProblemKind::LessThan {
            value: bound.limit,
            other_option: bound.option.name(),
            other_value: bound.value,
        };
        return problem(&cause, Some(bound.limit_option), kind);
    }
    let kind = ProblemKind::Exceeds {
        value: bound.value,
        other_option: bound.limit_option.name(),
        other_value: bound.limit,
    };
    problem(&cause, Some(bound.option), kind)
}
