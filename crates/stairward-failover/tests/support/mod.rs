//! Test fixture: the failover controller of one node and the database group that it manages.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_failover::{
    Effect, Event, FailoverController, FailoverOptions, FailoverRecord, FencingToken, GroupState,
    LeaderEvidence, MemberState, MemberStatus, Placement, RecordVersion,
};
use stairward_types::{
    BackendId, BackendRole, Freshness, LogPosition, ServiceName, StoreRevision, Term, Time,
};

pub const OLD: &str = "db-1";
pub const BEHIND: &str = "db-2";
pub const AHEAD: &str = "db-3";

pub fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

/// A version of a record in the first store era.
pub fn record_version(revision: u64) -> RecordVersion {
    RecordVersion(StoreRevision::new(0, revision))
}

pub fn service() -> ServiceName {
    ServiceName::new("core").unwrap()
}

pub fn member(role: BackendRole) -> MemberState {
    MemberState {
        address: ([127, 0, 0, 1], 7_000).into(),
        role,
        is_leaving: false,
        is_listed: true,
        revision: StoreRevision::new(0, 1),
        placement: Placement::default(),
    }
}

/// A member that listens at its own address, which follows from its number.
pub fn member_at(number: u8, role: BackendRole) -> MemberState {
    MemberState {
        address: ([10, 0, 0, number], 5_432).into(),
        ..member(role)
    }
}

pub fn usual_group() -> GroupState {
    GroupState {
        members: BTreeMap::from([
            (backend(OLD), member_at(1, BackendRole::Primary)),
            (backend(BEHIND), member_at(2, BackendRole::Replica)),
            (backend(AHEAD), member_at(3, BackendRole::Replica)),
        ]),
        synchronous_replicas: 0,
    }
}

pub fn status(role: BackendRole, term: u64, number: u64) -> Option<MemberStatus> {
    Some(MemberStatus {
        role,
        term: Term(term),
        received: Freshness::new(Term(term), LogPosition(number)),
        held: Term(0),
    })
}

/// A record written by this holder, with no term recorded.
pub fn record_of(holder: &str) -> FailoverRecord {
    FailoverRecord {
        holder: holder.to_owned(),
        term: Term(0),
        leader: None,
        is_pending: false,
    }
}

/// The store confirms that it wrote the record of this node.
pub fn written(version: u64) -> Event {
    Event::RecordWritten(service(), record_version(version), record_of("a"))
}

/// The controller of one node, with the effects that it has returned.
pub struct Node {
    pub controller: FailoverController,
    pub now: Time,
    pub effects: Vec<Effect>,
}

impl Node {
    /// A node that has received an empty listing of records.
    pub fn new(name: &str) -> Self {
        let mut node = Self::before_any_listing(name);
        node.handle(Event::Records {
            era: 0,
            records: BTreeMap::new(),
        });
        node
    }

    /// A node that has not received any listing of records.
    pub fn before_any_listing(name: &str) -> Self {
        let mut node = Self {
            controller: FailoverController::new(FailoverOptions::new(name)),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        node.handle(Event::NodeCount(3));
        node.set_group(usual_group());
        node
    }

    pub fn handle(&mut self, event: Event) {
        let effects = self.controller.handle(self.now, event);
        self.effects.extend(effects);
    }

    pub fn set_group(&mut self, group: GroupState) {
        self.handle(Event::Groups(BTreeMap::from([(service(), group)])));
    }

    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.handle(Event::Tick);
        }
    }

    pub fn observe(&mut self, evidence: LeaderEvidence) {
        self.handle(Event::Evidence(backend(OLD), evidence));
    }

    /// The version over which the last record write was requested, if any was.
    pub fn claimed_version(&self) -> Option<RecordVersion> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::WriteRecord(_, version, _) => Some(*version),
            _ => None,
        })
    }

    pub fn promotions(&self) -> Vec<(BackendId, FencingToken)> {
        let promotion = |effect: &Effect| match effect {
            Effect::Promote(_, target, token) => Some((target.clone(), *token)),
            _ => None,
        };
        self.effects.iter().filter_map(promotion).collect()
    }

    pub fn answer_from_both_replicas(&mut self) {
        self.handle(Event::StatusReply(
            backend(BEHIND),
            status(BackendRole::Replica, 1, 40),
        ));
        self.handle(Event::StatusReply(
            backend(AHEAD),
            status(BackendRole::Replica, 1, 50),
        ));
    }

    /// Observes that the primary refuses connections, claims the service and queries the members.
    pub fn claim_after_refusal(&mut self, version: u64) {
        self.observe(LeaderEvidence::Refused);
        assert!(self.claimed_version().is_some(), "{:?}", self.effects);
        self.handle(written(version));
    }
}
