//! One node's duty under test, and the group that it looks after.

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

/// A version of a record in the first copy of the store.
pub fn record_version(revision: u64) -> RecordVersion {
    RecordVersion(StoreRevision::new(0, revision))
}

pub fn service() -> ServiceName {
    ServiceName::new("core").unwrap()
}

pub fn member(role: BackendRole) -> MemberState {
    MemberState {
        role,
        is_leaving: false,
        is_listed: true,
        revision: StoreRevision::new(0, 1),
        placement: Placement::default(),
    }
}

pub fn usual_group() -> GroupState {
    GroupState {
        members: BTreeMap::from([
            (backend(OLD), member(BackendRole::Primary)),
            (backend(BEHIND), member(BackendRole::Replica)),
            (backend(AHEAD), member(BackendRole::Replica)),
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

/// A record that a node wrote, with no term noted.
pub fn record_of(holder: &str) -> FailoverRecord {
    FailoverRecord {
        holder: holder.to_owned(),
        term: Term(0),
    }
}

/// The store wrote the record of this node.
pub fn written(version: u64) -> Event {
    Event::RecordWritten(service(), record_version(version), record_of("a"))
}

/// One node's duty, with what it last wanted done.
pub struct Node {
    pub duty: FailoverController,
    pub now: Time,
    pub effects: Vec<Effect>,
}

impl Node {
    /// A node that the store has shown that there is no record.
    pub fn new(name: &str) -> Self {
        let mut node = Self::before_any_listing(name);
        node.tell(Event::Records {
            era: 0,
            records: BTreeMap::new(),
        });
        node
    }

    /// A node that the store has shown nothing yet.
    pub fn before_any_listing(name: &str) -> Self {
        let mut node = Self {
            duty: FailoverController::new(FailoverOptions::new(name)),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        node.tell(Event::NodeCount(3));
        node.set_group(usual_group());
        node
    }

    pub fn tell(&mut self, event: Event) {
        let effects = self.duty.handle(self.now, event);
        self.effects.extend(effects);
    }

    pub fn set_group(&mut self, group: GroupState) {
        self.tell(Event::Groups(BTreeMap::from([(service(), group)])));
    }

    pub fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.tell(Event::Tick);
        }
    }

    pub fn see(&mut self, evidence: LeaderEvidence) {
        self.tell(Event::Evidence(backend(OLD), evidence));
    }

    /// The version that a record is to be written over, if one is.
    pub fn claim(&self) -> Option<RecordVersion> {
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

    pub fn answer_both(&mut self) {
        self.tell(Event::StatusReply(
            backend(BEHIND),
            status(BackendRole::Replica, 1, 40),
        ));
        self.tell(Event::StatusReply(
            backend(AHEAD),
            status(BackendRole::Replica, 1, 50),
        ));
    }

    /// Sees the primary refuse, claims the duty and asks the members.
    pub fn claim_after_refusal(&mut self, version: u64) {
        self.see(LeaderEvidence::Refused);
        assert!(self.claim().is_some(), "{:?}", self.effects);
        self.tell(written(version));
    }
}
