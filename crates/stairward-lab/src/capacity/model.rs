//! The fleet that stairward is built for, and what each role costs in it.

use super::slopes::Slopes;

/// Nodes of the fleet.
pub const NODES: f64 = 1_400.0;
/// Databases of the fleet.
pub const DATABASES: f64 = 3_300.0;
/// Client connections, most of them idle.
pub const SESSIONS: f64 = 6_100_000.0;
/// Statements a second.
pub const STATEMENTS_PER_SECOND: f64 = 1_000_000.0;
/// Changes of primary a day.
pub const TERM_CHANGES_PER_DAY: f64 = 4.0;
/// Accepted edits of the settings a day.
pub const EDITS_PER_DAY: f64 = 700.0;
/// Zones of the fleet, in two regions.
pub const ZONES: f64 = 7.0;
/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Processor time that control may take on a node, as a share of one core.
pub const PROCESSOR_BUDGET: f64 = 0.023;
/// Memory that control may take on a node, in bytes.
pub const MEMORY_BUDGET: f64 = 64.0 * 1024.0 * 1024.0;
/// Bytes a second that control may take on a node.
pub const TRAFFIC_BUDGET: f64 = 9.0 * 1024.0;

/// What a cost is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Processor time, as a share of one core; slopes are in microseconds a second.
    Processor,
    /// Memory, in bytes.
    Memory,
    /// Network traffic, in bytes a second.
    Traffic,
}

impl Resource {
    const fn budget(self) -> f64 {
        match self {
            Self::Processor => PROCESSOR_BUDGET,
            Self::Memory => MEMORY_BUDGET,
            Self::Traffic => TRAFFIC_BUDGET,
        }
    }

    /// Turns a slope's unit into that of the budget.
    fn scale(self, cost: f64) -> f64 {
        match self {
            Self::Processor => cost / 1e6,
            Self::Memory | Self::Traffic => cost,
        }
    }

    fn show(self, value: f64) -> String {
        match self {
            Self::Processor => format!("{:.2}% of a core", value * 100.0),
            Self::Memory => format!("{:.1} MB", value / (1024.0 * 1024.0)),
            Self::Traffic => format!("{:.2} KB/s", value / 1024.0),
        }
    }
}

/// One line of the capacity table: a cost of a role, carried from a slope to the fleet's size.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// The role.
    pub role: &'static str,
    /// What costs.
    pub what: &'static str,
    /// The resource it costs.
    pub resource: Resource,
    /// The slope's name in the slopes file.
    pub slope: &'static str,
    /// How many units one node has in the whole fleet.
    pub units: f64,
    /// What the units are.
    pub units_are: &'static str,
    /// Whether it counts against the budgets of control.
    pub is_control: bool,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
}

/// Every line of the table.
pub const LINES: &[Line] = &[
    Line {
        role: "edge",
        what: "state of idle sessions",
        resource: Resource::Memory,
        slope: "edge_bytes_per_idle_session",
        units: SESSIONS / NODES,
        units_are: "sessions a node",
        is_control: false,
        mechanism: "an idle session holds its socket, settings and floor, no back-end connection and no buffers",
    },
    Line {
        role: "edge and owner",
        what: "statements",
        resource: Resource::Processor,
        slope: "processor_microseconds_per_statement",
        units: STATEMENTS_PER_SECOND / NODES,
        units_are: "statements a second and node",
        is_control: false,
        mechanism: "one hop from edge to owner on a multiplexed stream; classes are cached by statement text",
    },
    Line {
        role: "owner",
        what: "state of back ends owned",
        resource: Resource::Memory,
        slope: "owner_bytes_per_backend",
        units: DATABASES / NODES,
        units_are: "back ends a node",
        is_control: true,
        mechanism: "one owner a back end; bounded pools and queues",
    },
    Line {
        role: "owner",
        what: "probes of back ends owned",
        resource: Resource::Processor,
        slope: "owner_microseconds_per_backend_second",
        units: DATABASES / NODES,
        units_are: "back ends a node",
        is_control: true,
        mechanism: "only the owner probes; its answers piggyback term, position and load",
    },
    Line {
        role: "member",
        what: "failure detection and dissemination",
        resource: Resource::Traffic,
        slope: "member_bytes_per_second_per_member",
        units: NODES,
        units_are: "members",
        is_control: true,
        mechanism: "a constant number of random probes a period, whatever the size; news are piggybacked",
    },
    Line {
        role: "member",
        what: "failure detection and dissemination",
        resource: Resource::Processor,
        slope: "member_microseconds_per_second_per_member",
        units: NODES,
        units_are: "members",
        is_control: true,
        mechanism: "as above",
    },
    Line {
        role: "member",
        what: "the membership view",
        resource: Resource::Memory,
        slope: "member_bytes_per_member",
        units: NODES,
        units_are: "members",
        is_control: true,
        mechanism: "one entry a member; the news queue is bounded",
    },
    Line {
        role: "watcher and all",
        what: "spreading of settings",
        resource: Resource::Traffic,
        slope: "configuration_bytes_per_edit",
        units: EDITS_PER_DAY / DAY,
        units_are: "edits a second",
        is_control: true,
        mechanism: "push of deltas and periodic exchange of digests; a few watchers a region read the store",
    },
    Line {
        role: "member",
        what: "spreading of terms",
        resource: Resource::Traffic,
        slope: "term_bytes_per_change",
        units: TERM_CHANGES_PER_DAY / DAY,
        units_are: "changes a second",
        is_control: true,
        mechanism: "piggybacked on the membership's packets",
    },
    Line {
        role: "standby",
        what: "connections kept ready",
        resource: Resource::Memory,
        slope: "standby_bytes_per_backend",
        units: DATABASES / NODES,
        units_are: "back ends a node",
        is_control: true,
        mechanism: "a small fixed share of each back end's connections",
    },
    Line {
        role: "admin",
        what: "a scrape of metrics and status each 10 s",
        resource: Resource::Processor,
        slope: "admin_microseconds_per_scrape",
        units: 0.1,
        units_are: "scrapes a second",
        is_control: true,
        mechanism: "metrics are counters in memory; nothing is asked of other nodes",
    },
];

/// The cost of one line at the fleet's size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// In the unit of the resource's budget.
    pub value: f64,
    /// As a share of the budget of control, where it counts against it.
    pub share: Option<f64>,
}

impl Line {
    /// Carries the measured slope to the fleet's size; none when it has not been measured.
    #[must_use]
    pub fn cost(&self, slopes: &Slopes) -> Option<Cost> {
        let slope = slopes.slopes.get(self.slope)?;
        let value = self
            .resource
            .scale(slope.fixed + slope.per_unit * self.units);
        let share = value / self.resource.budget();
        Some(Cost {
            value,
            share: self.is_control.then_some(share),
        })
    }
}

/// What control costs in one resource, as far as it is measured.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ControlTotal {
    /// The sum of the lines measured; none when no line is.
    pub measured: Option<f64>,
    /// How many lines have no slope yet.
    pub lines_not_measured: usize,
}

/// Adds up the measured costs of control in one resource.
#[must_use]
pub fn control_total(resource: Resource, slopes: &Slopes) -> ControlTotal {
    let mut total = ControlTotal::default();
    let lines = LINES
        .iter()
        .filter(|line| line.is_control && line.resource == resource);
    for line in lines {
        match line.cost(slopes) {
            Some(cost) => total.measured = Some(total.measured.unwrap_or(0.0) + cost.value),
            None => total.lines_not_measured += 1,
        }
    }
    total
}

/// Writes a value in the unit of its resource.
#[must_use]
pub fn show(resource: Resource, value: f64) -> String {
    resource.show(value)
}

/// The budget of control in a resource.
#[must_use]
pub const fn budget(resource: Resource) -> f64 {
    resource.budget()
}
