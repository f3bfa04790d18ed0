//! What happens in the simulation.

use stairward_types::{Duration, Time};

use super::claim::ClaimIndex;
use crate::simulated_network::NodeIndex;

/// What happens. Events with a claim happen at its node, and wait while the node is paused.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Wake(ClaimIndex),
    AttemptAnswered {
        claim: ClaimIndex,
        session: u64,
        sent_at: Time,
        locked: bool,
    },
    LeftoversEnded(ClaimIndex),
    SendProbe {
        claim: ClaimIndex,
        session: u64,
    },
    ProbeAnswered {
        claim: ClaimIndex,
        session: u64,
        sent_at: Option<Time>,
    },
    SendOpening(ClaimIndex),
    OpeningFinished(ClaimIndex),
    SessionsEnded {
        claim: ClaimIndex,
        count: u32,
    },
    WorkEnded(ClaimIndex),
    HandedOver(ClaimIndex),
    Learnt {
        node: NodeIndex,
        other: NodeIndex,
        failed: bool,
    },
    AtBackend(ClaimIndex, BackendEvent),
    RolesChanged(NodeIndex),
    Resumes(NodeIndex),
    Fails(NodeIndex),
    Pauses(NodeIndex, Duration),
}

/// What arrives at a claim's back end.
#[derive(Debug, Clone, Copy)]
pub(super) enum BackendEvent {
    Attempt { session: u64, sent_at: Time },
    CloseContender,
    EndLeftovers,
    Probe { session: u64, sent_at: Time },
    Check { session: u64 },
    EndSilent { session: u64 },
    Open,
    CloseAll,
    Unlock { session: u64 },
}
