//! A settings tree as large as the largest fleet's, and edits of it.

use rand::{Rng, RngExt as _};
use stairward_settings::{Change, Edit, SettingsOption, SettingsPath, SettingsTree, Value};
use stairward_types::{BackendId, ChangeId, GroupId, RegionName, Revision, ServiceName};

/// Regions of the tree.
const REGIONS: [&str; 2] = ["east", "west"];
/// Services in each region.
const SERVICES: usize = 10;
/// Groups of each service in the largest fleet: with three members each, 3,300 back ends in all.
pub(super) const LARGEST_GROUPS: usize = 55;
/// Zones, one for each member of a group.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// First address of the back ends.
const FIRST_ADDRESS: u32 = 10 << 24;

/// Makes the tree, and edits of it.
#[derive(Debug)]
pub(super) struct TreeMaker {
    groups: Vec<SettingsPath>,
    next_change: u64,
}

impl TreeMaker {
    /// A tree with this many groups in each of 20 services.
    ///
    /// # Panics
    /// Never: all names and values are valid.
    pub(super) fn build(groups_per_service: usize) -> (SettingsTree, Self) {
        let mut tree = SettingsTree::new();
        let mut groups = Vec::new();
        let mut next_address = FIRST_ADDRESS;
        for region in REGIONS {
            for service in 0..SERVICES {
                for group in 0..groups_per_service {
                    let path = group_path(region, service, group);
                    add_members(&mut tree, &path, region, &mut next_address);
                    groups.push(path);
                }
            }
        }
        let maker = Self {
            groups,
            next_change: 1,
        };
        (tree, maker)
    }

    /// An edit of one group: a deadline, and one value more so that edits differ in size.
    pub(super) fn edit(&mut self, based_on: Revision, rng: &mut dyn Rng) -> Edit {
        let change_id = ChangeId(self.next_change);
        self.next_change += 1;
        let path = &self.groups[rng.random_range(0..self.groups.len())];
        let timeout = rng.random_range(5_000..20_000);
        let mut changes = vec![set(
            path,
            SettingsOption::RequestTimeout,
            Value::Integer(timeout),
        )];
        if rng.random_bool(0.5) {
            let requests = Value::Integer(rng.random_range(100..1_000));
            changes.push(set(path, SettingsOption::AdmissionQueueRequests, requests));
        }
        Edit {
            change_id,
            based_on,
            changes,
        }
    }
}

fn group_path(region: &str, service: usize, group: usize) -> SettingsPath {
    let service_name = format!("{region}-service-{service}");
    let group_name = format!("{service_name}-{group}");
    SettingsPath::Group(
        RegionName::new(region).expect("a valid name"),
        ServiceName::new(service_name).expect("a valid name"),
        GroupId::new(group_name).expect("a valid name"),
    )
}

fn add_members(tree: &mut SettingsTree, group: &SettingsPath, region: &str, next: &mut u32) {
    let SettingsPath::Group(region_name, service, group_name) = group else {
        return;
    };
    for zone in ZONES {
        let backend = BackendId::new(format!("{group_name}-{zone}")).expect("a valid name");
        let path = SettingsPath::Backend(
            region_name.clone(),
            service.clone(),
            group_name.clone(),
            backend,
        );
        let address = std::net::Ipv4Addr::from(*next);
        *next += 1;
        let values = [
            (SettingsOption::Address, format!("{address}:5432")),
            (SettingsOption::Zone, format!("{region}-{zone}")),
        ];
        for (option, text) in values {
            tree.set(&path, option, Value::Text(text))
                .expect("the value fits the option");
        }
    }
}

fn set(path: &SettingsPath, option: SettingsOption, value: Value) -> Change {
    Change::Set {
        path: path.clone(),
        option,
        value,
    }
}
