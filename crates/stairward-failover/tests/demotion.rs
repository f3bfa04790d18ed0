//! Ending an old primary's lead before another leads: by its own word, or by holds and the time that nodes go
//! on; and what becomes of answers that are lost, late, or by another member than was meant.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_failover::{
    DemotionProof, Effect, Event, FailoverController, FailoverOptions, FailoverRecord,
    FailoverStep, FencingToken, GroupState, LeaderEvidence, MemberCallResult, MemberState,
    MemberStatus, Placement, PromotionOutcome, RecordVersion, Via,
};
use stairward_types::{
    BackendId, BackendRole, Freshness, LogPosition, NodeId, ServiceName, StoreRevision, Term, Time,
};

const OLD: &str = "db-1";
const NEXT: &str = "db-2";
const OTHER: &str = "db-3";
const LEASE: Duration = Duration::from_millis(1_000);
const PEER: NodeId = NodeId(7);
const USER: NodeId = NodeId(8);

fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("core").unwrap()
}

fn group(is_old_leaving: bool) -> GroupState {
    let member = |role, is_leaving| MemberState {
        role,
        is_leaving,
        is_listed: true,
        revision: StoreRevision::new(0, 1),
        placement: Placement::default(),
    };
    GroupState {
        members: BTreeMap::from([
            (backend(OLD), member(BackendRole::Primary, is_old_leaving)),
            (backend(NEXT), member(BackendRole::Replica, false)),
            (backend(OTHER), member(BackendRole::Replica, false)),
        ]),
        synchronous_replicas: 0,
    }
}

fn status(role: BackendRole, term: u64, number: u64, held: u64) -> MemberStatus {
    MemberStatus {
        role,
        term: Term(term),
        received: Freshness::new(Term(term), LogPosition(number)),
        held: Term(held),
    }
}

fn replica(number: u64) -> MemberStatus {
    status(BackendRole::Replica, 1, number, 0)
}

fn held(number: u64) -> MemberStatus {
    status(BackendRole::Replica, 1, number, 2)
}

/// The store wrote the record of this node.
fn written(version: u64, term: Term) -> Event {
    let record = FailoverRecord {
        holder: "a".to_owned(),
        term,
    };
    Event::RecordWritten(
        service(),
        RecordVersion(StoreRevision::new(0, version)),
        record,
    )
}

/// One node's duty in an attempt, with what it wanted done.
struct Attempt {
    duty: FailoverController,
    now: Time,
    effects: Vec<Effect>,
}

impl Attempt {
    /// The duty has claimed the right to act and asked the members, which are yet to answer.
    fn claimed(is_planned: bool) -> Self {
        Self::claimed_over(is_planned, Term(0))
    }

    /// The same over a record whose last holder noted a term.
    fn claimed_over(is_planned: bool, noted: Term) -> Self {
        let options = FailoverOptions {
            leadership_lease: Some(LEASE),
            ..FailoverOptions::new("a")
        };
        let mut attempt = Self {
            duty: FailoverController::new(options),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        attempt.tell(Event::NodeCount(3));
        attempt.tell(Event::RelayPeers(vec![PEER]));
        attempt.tell(Event::LeaderUsers([PEER, USER].into()));
        attempt.tell(Event::Records {
            era: 0,
            records: BTreeMap::new(),
        });
        let groups = BTreeMap::from([(service(), group(is_planned))]);
        attempt.tell(Event::Groups(groups));
        if !is_planned {
            attempt.tell(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
        }
        attempt.tell(written(4, noted));
        attempt
    }

    /// A planned attempt whose old primary leads up to position 60; the replicas have less.
    fn planned() -> Self {
        let mut attempt = Self::claimed(true);
        attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
        attempt.answer_replicas();
        attempt
    }

    /// An attempt whose old primary gives no answer.
    fn unplanned() -> Self {
        let mut attempt = Self::claimed(false);
        attempt.answer_replicas();
        attempt
    }

    fn answer_replicas(&mut self) {
        self.answer(NEXT, replica(50));
        self.answer(OTHER, replica(40));
    }

    fn tell(&mut self, event: Event) {
        let effects = self.duty.handle(self.now, event);
        self.effects.extend(effects);
    }

    fn answer(&mut self, name: &str, status: MemberStatus) {
        self.tell(Event::StatusReply(backend(name), Some(status)));
    }

    fn reach(&mut self, name: &str, via: Via, reach: MemberCallResult) {
        self.tell(Event::MemberCallEnded(backend(name), via, reach));
    }

    /// A node says that it believes no leader below a term, and which term it knows to have begun.
    fn revoked(&mut self, term: u64, user: NodeId, newest: u64) {
        self.tell(Event::Revoked {
            service: service(),
            term: Term(term),
            user,
            newest: Term(newest),
        });
    }

    fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.tell(Event::Tick);
        }
    }

    fn wants(&self, wanted: impl Fn(&Effect) -> bool) -> bool {
        self.effects.iter().any(wanted)
    }

    fn asks_to_step_down(&self, by: &Via) -> bool {
        self.wants(|effect| matches!(effect, Effect::StepDown(id, Term(2), ways) if *id == backend(OLD) && ways.contains(by)))
    }

    fn holds(&self, name: &str) -> bool {
        self.wants(
            |effect| matches!(effect, Effect::HoldVia(id, Term(2), _) if *id == backend(name)),
        )
    }

    fn promotions(&self) -> Vec<BackendId> {
        let promotion = |effect: &Effect| match effect {
            Effect::Promote(_, target, _) => Some(target.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(promotion).collect()
    }

    fn resumes(&self) -> usize {
        let is_resume = |effect: &&Effect| matches!(effect, Effect::Resume(_));
        self.effects.iter().filter(is_resume).count()
    }

    fn proof(&self) -> Option<DemotionProof> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Log(_, FailoverStep::Ended { proof, .. }) => Some(*proof),
            _ => None,
        })
    }

    /// Both replicas say that they are on hold.
    fn hold_both(&mut self) {
        self.reach(NEXT, Via::Direct, MemberCallResult::Answered(held(50)));
        self.reach(OTHER, Via::Direct, MemberCallResult::Answered(held(40)));
        self.reach(OLD, Via::Direct, MemberCallResult::Silent);
        self.reach(OLD, Via::Peer(PEER), MemberCallResult::Silent);
    }
}

#[test]
fn a_planned_replacement_ends_the_old_log_and_waits_until_it_is_received() {
    let mut attempt = Attempt::planned();
    assert!(attempt.asks_to_step_down(&Via::Direct));
    assert!(attempt.promotions().is_empty(), "the old one still leads");
    attempt.reach(OLD, Via::Direct, MemberCallResult::GaveWay(replica(63)));
    assert!(
        attempt.promotions().is_empty(),
        "three commits are not received yet"
    );
    let asked = Effect::QueryUntilReceived(backend(NEXT), replica(63).received);
    assert!(attempt.effects.contains(&asked), "{:?}", attempt.effects);
    attempt.answer(NEXT, replica(63));
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert!(!attempt.holds(NEXT), "a held replica would receive nothing");
}

#[test]
fn a_replica_that_does_not_receive_the_end_of_the_log_is_not_waited_for_for_ever() {
    let mut attempt = Attempt::planned();
    attempt.reach(OLD, Via::Direct, MemberCallResult::GaveWay(replica(63)));
    attempt.pass(500);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let behind = attempt.effects.iter().find_map(|effect| match effect {
        Effect::Log(_, FailoverStep::Ended { behind, .. }) => *behind,
        _ => None,
    });
    assert_eq!(behind, Some(13), "what is lost is told");
}

#[test]
fn whoever_reaches_the_old_primary_passes_the_question_on() {
    let mut attempt = Attempt::planned();
    attempt.pass(100);
    assert!(attempt.asks_to_step_down(&Via::Peer(PEER)));
    attempt.reach(OLD, Via::Peer(PEER), MemberCallResult::GaveWay(replica(50)));
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
}

#[test]
fn an_old_primary_that_nobody_reaches_is_replaced_once_the_nodes_confirmations_have_lapsed() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    assert!(attempt.holds(NEXT) && attempt.holds(OTHER));
    attempt.hold_both();
    attempt.pass(950);
    assert!(attempt.promotions().is_empty(), "a node may still go on");
    attempt.pass(150);
    assert!(
        attempt.promotions().is_empty(),
        "whether they are still held is not known"
    );
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(40));
    attempt.pass(20);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert_eq!(attempt.proof(), Some(DemotionProof::Lapsed));
}

#[test]
fn an_old_primary_that_no_node_believes_any_more_is_replaced_at_once() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    let asked = Effect::Revoke(service(), Term(2), [PEER, USER].into());
    assert!(attempt.effects.contains(&asked), "{:?}", attempt.effects);
    attempt.revoked(2, PEER, 1);
    assert!(attempt.promotions().is_empty(), "another node may go on");
    attempt.revoked(2, USER, 1);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert_eq!(attempt.proof(), Some(DemotionProof::Revoked));
}

/// Members that received nothing from it don't know its term.
#[test]
fn the_term_is_above_any_that_a_node_knows_to_have_begun() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.revoked(2, PEER, 2);
    let is_above = |effect: &Effect| matches!(effect, Effect::StepDown(_, Term(3), _));
    assert!(attempt.wants(is_above), "{:?}", attempt.effects);
    attempt.revoked(2, USER, 1);
    assert!(attempt.promotions().is_empty());
}

#[test]
fn a_word_of_an_earlier_attempt_revokes_nothing() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.revoked(1, PEER, 1);
    attempt.revoked(1, USER, 1);
    assert!(attempt.promotions().is_empty());
}

/// A node that this one knows nothing of may still be confirmed by a replica that is not on hold.
#[test]
fn that_no_node_believes_it_any_more_is_not_enough_where_a_replica_is_not_on_hold() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.reach(NEXT, Via::Direct, MemberCallResult::Answered(held(50)));
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    attempt.pass(100);
    assert!(attempt.promotions().is_empty());
}

/// Its process may be back before the promotion takes effect.
#[test]
fn that_nothing_listens_at_the_old_address_ends_no_lead() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(400);
    attempt.reach(OLD, Via::Direct, MemberCallResult::Refused);
    attempt.reach(OLD, Via::Peer(PEER), MemberCallResult::Refused);
    attempt.pass(100);
    assert!(attempt.holds(NEXT));
    assert!(attempt.promotions().is_empty());
}

#[test]
fn holds_that_were_let_go_by_a_late_promotion_are_noticed() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.pass(1_100);
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, replica(40));
    attempt.pass(100);
    assert!(attempt.promotions().is_empty());
}

/// A step-down whose answer was lost leaves a replica, which says nothing of who leads now.
#[test]
fn a_member_that_already_follows_proves_no_end() {
    let mut attempt = Attempt::planned();
    attempt.reach(OLD, Via::Direct, MemberCallResult::Answered(replica(60)));
    attempt.pass(100);
    assert!(attempt.promotions().is_empty());
    attempt.pass(200);
    assert!(attempt.holds(NEXT), "the other way is taken");
}

/// Another may lead a later term where a member does not answer.
#[test]
fn a_step_down_is_enough_only_where_all_others_say_that_they_follow() {
    let mut attempt = Attempt::claimed(true);
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, replica(60));
    attempt.pass(400);
    attempt.reach(OLD, Via::Direct, MemberCallResult::GaveWay(replica(60)));
    assert!(attempt.promotions().is_empty());
}

#[test]
fn a_member_found_to_lead_a_later_term_ends_the_attempt() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    let leads = status(BackendRole::Primary, 2, 70, 0);
    attempt.reach(OTHER, Via::Direct, MemberCallResult::Answered(leads));
    attempt.pass(2_000);
    assert!(attempt.promotions().is_empty());
}

#[test]
fn an_attempt_that_takes_too_long_lets_nobody_go_and_promotes_nobody() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.now = attempt.now + Duration::from_secs(4);
    attempt.answer(NEXT, held(50));
    attempt.pass(100);
    assert!(attempt.promotions().is_empty());
    assert_eq!(
        attempt.resumes(),
        0,
        "another may have put them on hold since"
    );
}

#[test]
fn replicas_stay_on_hold_while_a_promotion_without_an_answer_may_be_carried_out() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.pass(1_100);
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(40));
    attempt.pass(20);
    let unknown = PromotionOutcome::Unknown;
    attempt.tell(Event::Promotion(service(), FencingToken(4), unknown));
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(0),
    };
    attempt.tell(Event::Record(
        service(),
        RecordVersion(StoreRevision::new(0, 9)),
        Some(record),
    ));
    attempt.tell(Event::RecordFailed(service()));
    attempt.pass(500);
    assert_eq!(attempt.resumes(), 0);
}

/// Another node may have put them on hold since, for an attempt of its own.
#[test]
fn whoever_has_lost_the_duty_lets_nobody_go_when_its_promotion_has_settled() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    let accepted = PromotionOutcome::Accepted;
    attempt.tell(Event::Promotion(service(), FencingToken(4), accepted));
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(0),
    };
    attempt.tell(Event::Record(
        service(),
        RecordVersion(StoreRevision::new(0, 9)),
        Some(record),
    ));
    attempt.pass(3_500);
    assert_eq!(attempt.resumes(), 0);
    let is_settled = |effect: &Effect| matches!(effect, Effect::AnnounceAttemptEnded(..));
    assert!(!attempt.wants(is_settled));
}

/// The holder that put them on hold is gone.
#[test]
fn replicas_that_wait_for_a_term_that_does_not_begin_are_let_go() {
    let mut attempt = Attempt::claimed(true);
    attempt.tell(Event::Groups(BTreeMap::from([(service(), group(false))])));
    attempt.pass(3_500);
    attempt.effects.clear();
    attempt.tell(Event::LeadershipRevoked(service(), true));
    attempt.pass(1_600);
    attempt.tell(written(8, Term(0)));
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(50));
    attempt.pass(400);
    assert_eq!(
        attempt.promotions(),
        [backend(OLD)],
        "which changes nothing but fences older calls off"
    );
    let accepted = PromotionOutcome::Accepted;
    attempt.tell(Event::Promotion(service(), FencingToken(8), accepted));
    attempt.pass(3_100);
    assert_eq!(attempt.resumes(), 2);
}

/// The leader of a noted term may be out of reach, and no member that answers may ever have received of it.
#[test]
fn the_announced_term_is_above_the_one_that_the_last_holder_noted() {
    let mut attempt = Attempt::claimed_over(false, Term(4));
    attempt.answer_replicas();
    let announced = attempt.effects.iter().find_map(|effect| match effect {
        Effect::StepDown(_, term, _) => Some(*term),
        _ => None,
    });
    assert_eq!(announced, Some(Term(5)));
}

#[test]
fn an_accepted_promotion_has_its_term_noted_for_the_next_holder() {
    let mut attempt = Attempt::unplanned();
    attempt.pass(600);
    attempt.hold_both();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    attempt.effects.clear();
    let accepted = PromotionOutcome::Accepted;
    attempt.tell(Event::Promotion(service(), FencingToken(4), accepted));
    let noted = attempt.effects.iter().find_map(|effect| match effect {
        Effect::WriteRecord(service, version, record) => Some((service, *version, record.term)),
        _ => None,
    });
    assert_eq!(
        noted,
        Some((&service(), RecordVersion(StoreRevision::new(0, 4)), Term(2)))
    );
}
