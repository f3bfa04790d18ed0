//! The platform's list of machines, which lags behind reality.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairward_types::{RegionName, Time, ZoneName};

/// Most changes of the list that wait to become visible; the oldest give way.
const MAXIMUM_PENDING: usize = 1_024;

/// What the platform says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Where its process listens for peers.
    pub address: std::net::SocketAddr,
    /// What the platform says of it.
    pub state: MachineState,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// The list as readers see it, and changes that they do not see yet.
#[derive(Debug, Default)]
pub struct MachineList {
    visible: Vec<Machine>,
    pending: VecDeque<(Time, Vec<Machine>)>,
}

impl MachineList {
    /// Replaces the list; readers see that after `lag`.
    pub fn replace(&mut self, now: Time, lag: Duration, machines: Vec<Machine>) {
        if self.pending.len() >= MAXIMUM_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((now + lag, machines));
    }

    /// The list as readers see it now.
    pub fn visible(&mut self, now: Time) -> &[Machine] {
        while let Some((due, _)) = self.pending.front()
            && *due <= now
        {
            if let Some((_, machines)) = self.pending.pop_front() {
                self.visible = machines;
            }
        }
        &self.visible
    }
}
