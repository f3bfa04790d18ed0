//! Resolution of a tree to the effective settings of each service, group and back end.

use std::str::FromStr;
use std::time::Duration;

use stairward_types::{AdminState, BackendId, FenceStrength, GroupId, Revision, ServiceName};

use super::explain::Inheritance;
use super::{SettingsTree, problem, validate};
use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::resolved::{BackendSettings, GroupSettings, ResolvedSettings, ServiceSettings};
use crate::schema::{FENCE_TERM, STATE_JOINING, STATE_LEAVING, SettingsOption};
use crate::value::Value;

impl SettingsTree {
    /// Applies inheritance and validates the tree as a whole. The result has revision 0, since a tree
    /// does not know its revision; the caller sets it.
    ///
    /// # Errors
    /// All problems found; at least one.
    pub fn resolve(&self) -> Result<ResolvedSettings, Vec<SettingsProblem>> {
        let mut problems = validate::check_names(self);
        let mut resolved = ResolvedSettings::default();
        for (path, _) in self.places() {
            let mut values = Values {
                inheritance: Inheritance::new(self, path),
                problems: &mut problems,
            };
            match path {
                SettingsPath::Root | SettingsPath::Region(_) => {}
                SettingsPath::Service(_, service) => {
                    resolve_service(&mut values, service, &mut resolved)
                }
                SettingsPath::Group(_, service, group) => {
                    resolve_group(&mut values, service, group, &mut resolved);
                }
                SettingsPath::Backend(_, _, group, backend) => {
                    resolve_backend(&mut values, group, backend, &mut resolved);
                }
            }
        }
        problems.extend(validate::check_consistency(self, &resolved));
        if problems.is_empty() {
            let ResolvedSettings {
                groups, services, ..
            } = resolved;
            Ok(ResolvedSettings::new(Revision(0), groups, services))
        } else {
            Err(problems)
        }
    }
}

fn resolve_service(
    values: &mut Values<'_>,
    service: &ServiceName,
    resolved: &mut ResolvedSettings,
) {
    let settings = ServiceSettings {
        weight: values.count(SettingsOption::Weight),
    };
    resolved.services.insert(service.clone(), settings);
}

fn resolve_group(
    values: &mut Values<'_>,
    service: &ServiceName,
    group: &GroupId,
    resolved: &mut ResolvedSettings,
) {
    let settings = GroupSettings {
        group: group.clone(),
        service: service.clone(),
        backends: std::collections::BTreeMap::new(),
        backend_user: values.text(SettingsOption::BackendUser),
        request_timeout: values.milliseconds(SettingsOption::RequestTimeout),
        freshness_wait: values.milliseconds(SettingsOption::FreshnessWait),
        maximum_staleness: values.milliseconds(SettingsOption::MaximumStaleness),
        fence: values.fence(),
        fence_timeout: values.milliseconds(SettingsOption::FenceTimeout),
        hold_queue_requests: values.size(SettingsOption::HoldQueueRequests),
        hold_queue_bytes: values.size(SettingsOption::HoldQueueBytes),
        hold_queue_time: values.milliseconds(SettingsOption::HoldQueueTime),
        admission_queue_requests: values.size(SettingsOption::AdmissionQueueRequests),
        retry_budget_permille: values.count(SettingsOption::RetryBudget),
        leave_timeout: values.milliseconds(SettingsOption::LeaveTimeout),
        maximum_message_bytes: values.size(SettingsOption::MaximumMessageBytes),
        request_key_retention: Duration::from_secs(
            values.integer(SettingsOption::RequestKeyRetention),
        ),
    };
    resolved.groups.insert(group.clone(), settings);
}

fn resolve_backend(
    values: &mut Values<'_>,
    group: &GroupId,
    backend: &BackendId,
    resolved: &mut ResolvedSettings,
) {
    let address = values.parsed(SettingsOption::Address);
    let region = values.parsed(SettingsOption::Region);
    let zone = values.parsed(SettingsOption::Zone);
    let (Some(address), Some(region), Some(zone)) = (address, region, zone) else {
        return;
    };
    let settings = BackendSettings {
        backend: backend.clone(),
        address,
        region,
        zone,
        admin_state: values.admin_state(),
        connection_limit: values.count(SettingsOption::ConnectionLimit),
        slots: values.count(SettingsOption::Slots),
        opening_limit: values.count(SettingsOption::OpeningLimit),
    };
    if let Some(group) = resolved.groups.get_mut(group) {
        group.backends.insert(backend.clone(), settings);
    }
}

/// Reads the effective values at one place. A required value that is not set is reported as a problem;
/// a tree contains no values of the wrong type.
struct Values<'tree> {
    inheritance: Inheritance<'tree>,
    problems: &'tree mut Vec<SettingsProblem>,
}

impl Values<'_> {
    fn value(&mut self, option: SettingsOption) -> Option<Value> {
        let value = self.inheritance.value(option);
        if value.is_none() {
            let path = self.inheritance.path();
            self.problems
                .push(problem(path, Some(option), ProblemKind::Missing));
        }
        value
    }

    fn integer(&mut self, option: SettingsOption) -> u64 {
        self.value(option)
            .and_then(|value| value.as_integer())
            .unwrap_or_default()
    }

    fn text(&mut self, option: SettingsOption) -> String {
        self.value(option)
            .and_then(|value| value.as_text().map(str::to_owned))
            .unwrap_or_default()
    }

    fn count(&mut self, option: SettingsOption) -> u32 {
        u32::try_from(self.integer(option)).unwrap_or(u32::MAX)
    }

    fn size(&mut self, option: SettingsOption) -> usize {
        usize::try_from(self.integer(option)).unwrap_or(usize::MAX)
    }

    fn milliseconds(&mut self, option: SettingsOption) -> Duration {
        Duration::from_millis(self.integer(option))
    }

    fn parsed<T: FromStr>(&mut self, option: SettingsOption) -> Option<T> {
        let value = self.value(option)?;
        value.as_text()?.parse().ok()
    }

    fn fence(&mut self) -> FenceStrength {
        if self.text(SettingsOption::Fence) == FENCE_TERM {
            FenceStrength::Term
        } else {
            FenceStrength::Position
        }
    }

    fn admin_state(&mut self) -> AdminState {
        match self.text(SettingsOption::AdminState).as_str() {
            STATE_JOINING => AdminState::Joining,
            STATE_LEAVING => AdminState::Leaving,
            _ => AdminState::Active,
        }
    }
}
