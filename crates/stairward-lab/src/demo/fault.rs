//! The faults that a demo can be asked for, and when each step of a demo happens.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::Snafu;

/// A fault that strikes after a third of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The first group's primary is cut off from its group, and goes on believing that it leads.
    PrimaryCutoff,
    /// The replicas of every group fall behind.
    ReplicaLag,
    /// A proxy dies, and comes back a little later.
    ProxyKill,
    /// The platform's store does not answer.
    StoreDown,
    /// An operator marks a back end as leaving, and later as joining.
    BackendLeave,
    /// A proxy is stopped as planned, and started again.
    PlannedStop,
    /// An operator edits the settings.
    SettingsEdit,
}

/// A name that is no fault.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("there is no fault {name:?}; the faults are none, {}", fault_names()))]
pub struct UnknownFault {
    /// The name given.
    pub name: String,
}

fn fault_names() -> String {
    FaultKind::ALL.map(FaultKind::name).join(", ")
}

impl FaultKind {
    /// Every fault.
    pub const ALL: [Self; 7] = [
        Self::PrimaryCutoff,
        Self::ReplicaLag,
        Self::ProxyKill,
        Self::StoreDown,
        Self::BackendLeave,
        Self::PlannedStop,
        Self::SettingsEdit,
    ];

    /// Its name on the command line and in results.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::PrimaryCutoff => "primary-cutoff",
            Self::ReplicaLag => "replica-lag",
            Self::ProxyKill => "proxy-kill",
            Self::StoreDown => "store-down",
            Self::BackendLeave => "backend-leave",
            Self::PlannedStop => "planned-stop",
            Self::SettingsEdit => "settings-edit",
        }
    }

    /// Reads the faults of a command line; `none` stands for no fault at all.
    ///
    /// # Errors
    /// [`UnknownFault`] when a name is no fault.
    pub fn parse_list<'a>(
        names: impl IntoIterator<Item = &'a str>,
    ) -> Result<Vec<Self>, UnknownFault> {
        names
            .into_iter()
            .filter(|name| *name != "none")
            .map(str::parse)
            .collect()
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        Self::ALL
            .into_iter()
            .find(|fault| fault.name() == name)
            .ok_or_else(|| UnknownFault {
                name: name.to_owned(),
            })
    }
}

/// Something that a demo does to its cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A fault strikes.
    Begin(FaultKind),
    /// A fault ends, or what was taken away comes back.
    End(FaultKind),
    /// Requests are sent that a proxy must refuse as not run.
    SendRefused,
}

/// A step and when it happens, from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedStep {
    /// When.
    pub at: Duration,
    /// What.
    pub step: Step,
}

/// Shares of the run's length at which steps happen.
const FAULTS_BEGIN: f64 = 1.0 / 3.0;
const PROXY_RETURNS: f64 = 0.45;
const FAULTS_END: f64 = 0.52;
const EDIT: f64 = 0.54;
const LEAVE: f64 = 0.56;
const REFUSED_REQUESTS: f64 = 0.62;
const STOP: f64 = 0.72;
const RESTART: f64 = 0.84;
const JOIN: f64 = 0.95;

/// The steps of a demo, in order. The faults asked for strike after a third; near the end every
/// demo edits the settings, lets a back end leave and join, stops a proxy and starts it again, and
/// sends requests that must be refused, so that each invariant is checked on something.
#[must_use]
pub fn plan(length: Duration, faults: &[FaultKind]) -> Vec<PlannedStep> {
    let mut steps = Vec::new();
    let mut add = |share: f64, step: Step| {
        steps.push(PlannedStep {
            at: length.mul_f64(share),
            step,
        });
    };
    for &fault in faults {
        add(FAULTS_BEGIN, Step::Begin(fault));
        match fault {
            FaultKind::SettingsEdit => {}
            FaultKind::ProxyKill | FaultKind::PlannedStop => add(PROXY_RETURNS, Step::End(fault)),
            _ => add(FAULTS_END, Step::End(fault)),
        }
    }
    add(EDIT, Step::Begin(FaultKind::SettingsEdit));
    add(LEAVE, Step::Begin(FaultKind::BackendLeave));
    add(REFUSED_REQUESTS, Step::SendRefused);
    add(STOP, Step::Begin(FaultKind::PlannedStop));
    add(RESTART, Step::End(FaultKind::PlannedStop));
    add(JOIN, Step::End(FaultKind::BackendLeave));
    steps.sort();
    steps
}
