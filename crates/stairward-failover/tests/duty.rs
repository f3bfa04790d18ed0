//! The duty's decisions: one holder, rising tokens, evidence before a promotion, the replica that received
//! most, and what happens when a step gets no answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_failover::{
    Action, DutyRecord, Effect, Event, FailoverDuty, FailoverOptions, FencingToken, GroupState,
    LeaderEvidence, MemberState, MemberStatus, PromotionOutcome, RecordVersion,
};
use stairward_types::{
    BackendId, BackendRole, Freshness, LogPosition, NodeId, ServiceName, Term, Time,
};

const OLD: &str = "db-1";
const BEHIND: &str = "db-2";
const AHEAD: &str = "db-3";

fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("core").unwrap()
}

fn member(role: BackendRole) -> MemberState {
    MemberState {
        role,
        is_leaving: false,
        is_listed: true,
        revision: 1,
    }
}

fn usual_group() -> GroupState {
    GroupState {
        members: BTreeMap::from([
            (backend(OLD), member(BackendRole::Primary)),
            (backend(BEHIND), member(BackendRole::Replica)),
            (backend(AHEAD), member(BackendRole::Replica)),
        ]),
        synchronous_replicas: 0,
    }
}

fn status(role: BackendRole, term: u64, number: u64) -> Option<MemberStatus> {
    Some(MemberStatus {
        role,
        term: Term(term),
        received: Freshness::new(Term(term), LogPosition(number)),
        held: Term(0),
    })
}

/// The store wrote the record of this node.
fn written(version: u64) -> Event {
    let record = DutyRecord {
        holder: "a".to_owned(),
        term: Term(0),
    };
    Event::RecordWritten(service(), RecordVersion(version), record)
}

/// One node's duty, with what it last wanted done.
struct Node {
    duty: FailoverDuty,
    now: Time,
    effects: Vec<Effect>,
}

impl Node {
    fn new(name: &str) -> Self {
        let mut node = Self {
            duty: FailoverDuty::new(FailoverOptions::new(name)),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        node.tell(Event::Nodes(3));
        node.tell(Event::Records(BTreeMap::new()));
        node.set_group(usual_group());
        node
    }

    fn tell(&mut self, event: Event) {
        let effects = self.duty.handle(self.now, event);
        self.effects.extend(effects);
    }

    fn set_group(&mut self, group: GroupState) {
        self.tell(Event::Groups(BTreeMap::from([(service(), group)])));
    }

    fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.tell(Event::Tick);
        }
    }

    fn see(&mut self, evidence: LeaderEvidence) {
        self.tell(Event::Evidence(backend(OLD), evidence));
    }

    /// The version that a record is to be written over, if one is.
    fn claim(&self) -> Option<RecordVersion> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::WriteRecord(_, version, _) => Some(*version),
            _ => None,
        })
    }

    fn promotions(&self) -> Vec<(BackendId, FencingToken)> {
        let promotion = |effect: &Effect| match effect {
            Effect::Promote(_, target, token) => Some((target.clone(), *token)),
            _ => None,
        };
        self.effects.iter().filter_map(promotion).collect()
    }

    fn answer_both(&mut self) {
        self.tell(Event::Status(
            backend(BEHIND),
            status(BackendRole::Replica, 1, 40),
        ));
        self.tell(Event::Status(
            backend(AHEAD),
            status(BackendRole::Replica, 1, 50),
        ));
    }

    /// Sees the primary refuse, claims the duty and asks the members.
    fn claim_after_refusal(&mut self, version: u64) {
        self.see(LeaderEvidence::Refused);
        assert!(self.claim().is_some(), "{:?}", self.effects);
        self.tell(written(version));
    }
}

#[test]
fn a_refusing_primary_is_replaced_by_the_replica_that_received_most() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn nothing_is_promoted_before_the_record_is_written() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    node.answer_both();
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    assert!(node.promotions().is_empty());
}

#[test]
fn one_silent_node_promotes_nobody_and_several_do() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Silent);
    node.pass(500);
    assert_eq!(node.claim(), None);
    let silent = BTreeSet::from([backend(OLD)]);
    assert!(node.effects.contains(&Effect::Report(silent.clone())));
    node.tell(Event::Suspicion(NodeId(2), silent));
    assert!(node.claim().is_some());
}

/// Whoever told it may have come to another conclusion since, or be gone.
#[test]
fn a_report_that_is_not_repeated_no_longer_counts() {
    let mut node = Node::new("a");
    let silent = BTreeSet::from([backend(OLD)]);
    node.tell(Event::Suspicion(NodeId(2), silent.clone()));
    node.pass(3_100);
    node.see(LeaderEvidence::Silent);
    assert_eq!(node.claim(), None);
    let reports = |node: &Node| {
        let report = Effect::Report(silent.clone());
        node.effects
            .iter()
            .filter(|effect| **effect == report)
            .count()
    };
    assert_eq!(reports(&node), 1);
    node.pass(1_100);
    assert_eq!(reports(&node), 2, "its own is repeated while it holds");
}

#[test]
fn a_silent_primary_that_answers_after_all_stays() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Silent);
    let silent = BTreeSet::from([backend(OLD)]);
    node.tell(Event::Suspicion(NodeId(2), silent));
    node.tell(written(3));
    node.answer_both();
    node.tell(Event::Status(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.pass(500);
    assert!(node.promotions().is_empty());
}

#[test]
fn while_another_holds_the_duty_this_node_waits() {
    let mut node = Node::new("a");
    let record = DutyRecord {
        holder: "b".to_owned(),
        term: Term(0),
    };
    node.tell(Event::Record(service(), RecordVersion(5), Some(record)));
    node.see(LeaderEvidence::Refused);
    node.pass(2_500);
    assert_eq!(node.claim(), None);
    node.pass(600);
    assert_eq!(node.claim(), Some(RecordVersion(5)), "the lease has lapsed");
}

#[test]
fn a_lost_race_for_the_record_is_a_lost_race() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    let record = DutyRecord {
        holder: "b".to_owned(),
        term: Term(0),
    };
    node.tell(Event::Record(service(), RecordVersion(5), Some(record)));
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    node.pass(1_000);
    assert!(node.promotions().is_empty());
}

#[test]
fn a_promotion_without_an_answer_is_decided_anew_under_a_higher_token() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    assert_eq!(node.claim(), Some(RecordVersion(7)));
    node.tell(written(9));
    node.answer_both();
    let tokens: Vec<_> = node
        .promotions()
        .into_iter()
        .map(|(_, token)| token)
        .collect();
    assert_eq!(tokens, [FencingToken(7), FencingToken(9)]);
}

#[test]
fn a_late_promotion_is_fenced_off_by_promoting_the_one_that_leads() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    node.tell(written(9));
    node.tell(Event::Status(
        backend(AHEAD),
        status(BackendRole::Primary, 2, 50),
    ));
    node.tell(Event::Status(
        backend(BEHIND),
        status(BackendRole::Replica, 2, 50),
    ));
    assert_eq!(
        node.promotions().last(),
        Some(&(backend(AHEAD), FencingToken(9)))
    );
}

#[test]
fn a_node_that_was_paused_after_its_claim_promotes_nobody() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.now = node.now + Duration::from_secs(4);
    node.answer_both();
    assert!(node.promotions().is_empty());
}

#[test]
fn a_leaving_primary_is_replaced_and_a_leaving_replica_not_chosen() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_leaving = true;
    group.members.get_mut(&backend(AHEAD)).unwrap().is_leaving = true;
    node.set_group(group);
    node.tell(written(4));
    node.tell(Event::Status(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.answer_both();
    node.pass(400);
    assert_eq!(node.promotions(), [(backend(BEHIND), FencingToken(4))]);
}

#[test]
fn a_primary_that_discovery_lost_is_replaced_after_a_while() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_listed = false;
    node.set_group(group);
    node.pass(1_000);
    assert_eq!(node.claim(), None);
    node.pass(1_000);
    assert!(node.claim().is_some());
}

/// While the store is away entries lapse, and are back within two seconds of its return.
#[test]
fn a_primary_whose_entry_lapsed_with_the_others_is_given_time_to_come_back() {
    let mut node = Node::new("a");
    let listed = |names: &[&str]| {
        let mut group = usual_group();
        for (id, member) in &mut group.members {
            member.is_listed = names.contains(&id.as_str());
        }
        group
    };
    node.set_group(listed(&[]));
    node.pass(100);
    node.set_group(listed(&[BEHIND]));
    node.pass(1_900);
    assert_eq!(node.claim(), None);
    node.pass(700);
    assert!(node.claim().is_some(), "missing after that, it is gone");
}

#[test]
fn synchronous_replicas_are_held_before_they_are_asked_and_released_afterwards() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_both();
    assert!(node.promotions().is_empty(), "they still receive");
    let holds = node
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Hold(..)));
    assert_eq!(holds.count(), 2);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Accepted,
    ));
    node.pass(500);
    let resumes = |node: &Node| {
        let resumes = node.effects.iter();
        resumes
            .filter(|effect| matches!(effect, Effect::Resume(_)))
            .count()
    };
    assert_eq!(resumes(&node), 0, "the old primary could still acknowledge");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    let target = group.members.get_mut(&backend(AHEAD)).unwrap();
    target.role = BackendRole::Primary;
    target.revision = 9;
    node.set_group(group);
    assert_eq!(resumes(&node), 2);
}

/// A replica that comes while the others are held would let the old primary acknowledge again.
#[test]
fn a_replica_that_comes_meanwhile_is_held_too() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group.clone());
    node.claim_after_refusal(7);
    node.answer_both();
    node.answer_both();
    assert_eq!(node.promotions().len(), 1);
    let late = backend("db-4");
    group
        .members
        .insert(late.clone(), member(BackendRole::Replica));
    node.set_group(group);
    let is_held = node
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Hold(id, _) if *id == late));
    assert!(is_held, "{:?}", node.effects);
}

#[test]
fn synchronous_replicas_that_do_not_all_answer_give_no_promotion() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Status(
        backend(BEHIND),
        status(BackendRole::Replica, 1, 40),
    ));
    node.pass(500);
    assert!(
        node.promotions().is_empty(),
        "the other may hold an acknowledged commit"
    );
}

#[test]
fn every_step_is_logged() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Accepted,
    ));
    let logged: Vec<_> = node
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Log(_, action) => Some(action.clone()),
            _ => None,
        })
        .collect();
    assert!(matches!(logged[0], Action::Began { .. }));
    assert!(matches!(logged[1], Action::Chose { .. }));
    assert!(matches!(logged[2], Action::Answered { .. }));
}

#[test]
fn a_promotion_without_an_answer_is_not_forgotten_when_the_store_is_away() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.tell(unknown);
    node.tell(Event::RecordFailed(service()));
    // The primary is back, so that nothing else would begin an attempt.
    node.see(LeaderEvidence::Answered);
    node.effects.clear();
    node.pass(500);
    assert_eq!(node.claim(), Some(RecordVersion(7)));
    node.tell(written(9));
    let leads = status(BackendRole::Primary, 1, 60);
    node.tell(Event::Status(backend(OLD), leads));
    node.answer_both();
    node.pass(400);
    assert_eq!(node.promotions(), [(backend(OLD), FencingToken(9))]);
}

/// In a fleet all nodes wrote the record at once, and all but one were refused.
#[test]
fn few_of_many_nodes_try_at_once_and_more_with_time() {
    let tries_after = |milliseconds: u64| {
        let tries = (0..400).filter(|number| {
            let mut node = Node::new(&format!("node-{number}"));
            node.tell(Event::Nodes(400));
            node.tell(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
            let end = node.now + Duration::from_millis(milliseconds);
            while node.now < end {
                node.now = node.now + Duration::from_millis(50);
                node.tell(Event::Tick);
            }
            let wrote = |effect: &Effect| matches!(effect, Effect::WriteRecord(..));
            node.effects.iter().any(wrote)
        });
        tries.count()
    };
    assert!((1..=8).contains(&tries_after(0)), "{}", tries_after(0));
    let soon = tries_after(500);
    assert!((4..=30).contains(&soon), "{soon}");
    assert_eq!(
        tries_after(2_000),
        400,
        "if nobody gets it, everybody tries"
    );
}

fn other_service() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

/// A group like the usual one, of members with other names.
fn other_group() -> GroupState {
    let usual = usual_group();
    let members = usual.members.into_iter();
    let renamed = members.map(|(id, member)| (backend(&format!("billing-{id}")), member));
    GroupState {
        members: renamed.collect(),
        synchronous_replicas: usual.synchronous_replicas,
    }
}

fn node_of_two_services() -> Node {
    let mut node = Node::new("a");
    let groups = BTreeMap::from([(service(), usual_group()), (other_service(), other_group())]);
    node.tell(Event::Groups(groups));
    node
}

/// A rack's loss takes the primaries of several services at once.
#[test]
fn primaries_of_two_services_are_replaced_side_by_side() {
    let mut node = node_of_two_services();
    node.see(LeaderEvidence::Refused);
    let other_old = backend(&format!("billing-{OLD}"));
    node.tell(Event::Evidence(other_old, LeaderEvidence::Refused));
    let claimed: BTreeSet<_> = node
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::WriteRecord(service, version, _) => Some((service.clone(), *version)),
            _ => None,
        })
        .collect();
    let first = RecordVersion(0);
    assert_eq!(
        claimed,
        BTreeSet::from([(service(), first), (other_service(), first)]),
        "neither claim waits for the other's answer"
    );
}

#[test]
fn a_service_that_another_node_acts_on_delays_no_other_service() {
    let mut node = node_of_two_services();
    let record = DutyRecord {
        holder: "b".to_owned(),
        term: Term(0),
    };
    node.tell(Event::Record(
        other_service(),
        RecordVersion(5),
        Some(record),
    ));
    node.see(LeaderEvidence::Refused);
    assert_eq!(node.claim(), Some(RecordVersion(0)));
}

#[test]
fn nothing_is_claimed_before_the_store_has_shown_the_records() {
    let mut duty = FailoverDuty::new(FailoverOptions::new("a"));
    let now = Time::from_millis(60_000);
    let groups = BTreeMap::from([(service(), usual_group())]);
    duty.handle(now, Event::Groups(groups));
    let refused = Event::Evidence(backend(OLD), LeaderEvidence::Refused);
    let effects = duty.handle(now, refused);
    let claims = |effect: &Effect| matches!(effect, Effect::WriteRecord(..));
    assert!(!effects.iter().any(claims));
}

/// The answer to a claim that was given up is no claim of the attempt after it.
#[test]
fn a_failed_write_that_is_no_claim_ends_no_attempt() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

/// A store that loses its answers still shows the record to those who watch it.
#[test]
fn a_claim_whose_answer_is_lost_is_seen_in_the_record() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    let own = DutyRecord {
        holder: "a".to_owned(),
        term: Term(0),
    };
    let shown = || {
        Event::Records(BTreeMap::from([(
            service(),
            (RecordVersion(7), own.clone()),
        )]))
    };
    node.tell(shown());
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
    // What is seen again, or answered late, is no second claim.
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.tell(unknown);
    node.effects.clear();
    node.tell(shown());
    node.tell(written(7));
    node.answer_both();
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Ten of 295 nodes wrote at once in the moment in which a holder's lease lapsed.
#[test]
fn nodes_that_wait_for_a_lease_to_lapse_take_turns_then() {
    let tries = (0..400).filter(|number| {
        let mut node = Node::new(&format!("node-{number}"));
        node.tell(Event::Nodes(400));
        let record = DutyRecord {
            holder: "other".to_owned(),
            term: Term(0),
        };
        node.tell(Event::Record(service(), RecordVersion(5), Some(record)));
        node.see(LeaderEvidence::Refused);
        node.pass(3_010);
        node.claim().is_some()
    });
    let tries = tries.count();
    assert!((1..=8).contains(&tries), "{tries}");
}
