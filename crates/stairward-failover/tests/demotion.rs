//! Demotion of an old primary before another leads: by its own answer, or by holds and the expiry
//! of confirmations; and handling of answers that are lost, late, or from an unexpected member.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_failover::{
    DemotionProof, Effect, Event, FailoverController, FailoverOptions, FailoverRecord,
    FailoverStep, FencingToken, GroupState, LeaderEvidence, MemberCallResult, MemberState,
    MemberStatus, Placement, PromotionOutcome, RecordVersion, RecordedPromotion, Via,
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
        address: ([127, 0, 0, 1], 7_000).into(),
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

/// The store confirms that it wrote the record of this node.
fn written(version: u64, term: Term) -> Event {
    let record = FailoverRecord {
        holder: "a".to_owned(),
        term,
        leader: None,
        is_pending: false,
    };
    Event::RecordWritten(
        service(),
        RecordVersion(StoreRevision::new(0, version)),
        record,
    )
}

/// The controller of one node during an attempt, with the effects that it has returned.
struct Attempt {
    controller: FailoverController,
    now: Time,
    effects: Vec<Effect>,
}

impl Attempt {
    /// The controller has claimed the service and queried the members, which have not answered yet.
    fn claimed(is_planned: bool) -> Self {
        Self::claimed_over(is_planned, Term(0))
    }

    /// As [`Self::claimed`], over a record in which the last holder recorded a term.
    fn claimed_over(is_planned: bool, recorded_term: Term) -> Self {
        let mut attempt = Self::new(is_planned);
        attempt.handle(written(4, recorded_term));
        attempt
    }

    /// The controller has a reason to replace the primary, and has requested the write of its claim.
    fn new(is_planned: bool) -> Self {
        let options = FailoverOptions {
            leadership_lease: Some(LEASE),
            ..FailoverOptions::new("a")
        };
        let mut attempt = Self {
            controller: FailoverController::new(options),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        attempt.handle(Event::NodeCount(3));
        attempt.handle(Event::RelayPeers(vec![PEER]));
        attempt.handle(Event::LeaderUsers([PEER, USER].into()));
        attempt.handle(Event::Records {
            era: 0,
            records: BTreeMap::new(),
        });
        let groups = BTreeMap::from([(service(), group(is_planned))]);
        attempt.handle(Event::Groups(groups));
        if !is_planned {
            attempt.handle(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
        }
        attempt
    }

    /// A planned attempt whose old primary leads at position 60, ahead of the replicas.
    fn planned() -> Self {
        let mut attempt = Self::claimed(true);
        attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
        attempt.answer_replicas();
        attempt
    }

    /// An attempt whose old primary does not answer.
    fn unplanned() -> Self {
        let mut attempt = Self::claimed(false);
        attempt.answer_replicas();
        attempt
    }

    fn answer_replicas(&mut self) {
        self.answer(NEXT, replica(50));
        self.answer(OTHER, replica(40));
    }

    fn handle(&mut self, event: Event) {
        let effects = self.controller.handle(self.now, event);
        self.effects.extend(effects);
    }

    fn answer(&mut self, name: &str, status: MemberStatus) {
        self.handle(Event::StatusReply(backend(name), Some(status)));
    }

    fn call_result(&mut self, name: &str, via: Via, result: MemberCallResult) {
        self.handle(Event::MemberCallEnded(backend(name), via, result));
    }

    /// A node confirms that it accepts no leader below a term, and reports the newest term that it
    /// knows.
    fn revoked(&mut self, term: u64, user: NodeId, newest: u64) {
        self.handle(Event::Revoked {
            service: service(),
            term: Term(term),
            user,
            newest: Term(newest),
        });
    }

    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.handle(Event::Tick);
        }
    }

    fn has_effect(&self, predicate: impl Fn(&Effect) -> bool) -> bool {
        self.effects.iter().any(predicate)
    }

    fn requests_step_down(&self, by: &Via) -> bool {
        self.has_effect(|effect| matches!(effect, Effect::StepDown(id, Term(2), ways) if *id == backend(OLD) && ways.contains(by)))
    }

    fn holds(&self, name: &str) -> bool {
        self.has_effect(
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

    /// Both replicas confirm that they are on hold; the old primary does not answer.
    fn confirm_holds(&mut self) {
        self.call_result(NEXT, Via::Direct, MemberCallResult::Answered(held(50)));
        self.call_result(OTHER, Via::Direct, MemberCallResult::Answered(held(40)));
        self.call_result(OLD, Via::Direct, MemberCallResult::Silent);
        self.call_result(OLD, Via::Peer(PEER), MemberCallResult::Silent);
    }
}

#[test]
fn a_planned_replacement_waits_until_the_old_log_is_received() {
    let mut attempt = Attempt::planned();
    assert!(attempt.requests_step_down(&Via::Direct));
    assert!(
        attempt.promotions().is_empty(),
        "the old primary still leads"
    );
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(63)));
    assert!(
        attempt.promotions().is_empty(),
        "three commits have not been received yet"
    );
    let expected = Effect::QueryUntilReceived(backend(NEXT), replica(63).received);
    assert!(attempt.effects.contains(&expected), "{:?}", attempt.effects);
    attempt.answer(NEXT, replica(63));
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert!(
        !attempt.holds(NEXT),
        "a replica on hold would receive nothing"
    );
}

#[test]
fn waiting_for_the_end_of_the_log_is_bounded() {
    let mut attempt = Attempt::planned();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(63)));
    attempt.advance(500);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let behind = attempt.effects.iter().find_map(|effect| match effect {
        Effect::Log(_, FailoverStep::Ended { behind, .. }) => *behind,
        _ => None,
    });
    assert_eq!(behind, Some(13), "the number of lost commits is logged");
}

#[test]
fn a_step_down_relayed_by_a_peer_is_sufficient() {
    let mut attempt = Attempt::planned();
    attempt.advance(100);
    assert!(attempt.requests_step_down(&Via::Peer(PEER)));
    attempt.call_result(OLD, Via::Peer(PEER), MemberCallResult::GaveWay(replica(50)));
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
}

#[test]
fn an_unreachable_primary_is_replaced_once_all_confirmations_have_expired() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    assert!(attempt.holds(NEXT) && attempt.holds(OTHER));
    attempt.confirm_holds();
    attempt.advance(950);
    assert!(
        attempt.promotions().is_empty(),
        "a node may still use the old primary"
    );
    attempt.advance(150);
    assert!(
        attempt.promotions().is_empty(),
        "the holds have not been verified yet"
    );
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(40));
    attempt.advance(20);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert_eq!(attempt.proof(), Some(DemotionProof::Lapsed));
}

#[test]
fn a_primary_that_every_node_has_revoked_is_replaced_at_once() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    let expected = Effect::Revoke(service(), Term(2), [PEER, USER].into());
    assert!(attempt.effects.contains(&expected), "{:?}", attempt.effects);
    attempt.revoked(2, PEER, 1);
    assert!(
        attempt.promotions().is_empty(),
        "the other node may still use the old primary"
    );
    attempt.revoked(2, USER, 1);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    assert_eq!(attempt.proof(), Some(DemotionProof::Revoked));
}

/// Guards against a confirmation of another leader by a node that was paused when the term was announced: the holds
/// that would tell it may be gone by the time it asks.
#[test]
fn a_node_that_has_not_confirmed_a_revocation_is_told_again() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.revoked(2, PEER, 1);
    attempt.effects.clear();
    attempt.advance(300);
    let reminder = Effect::Revoke(service(), Term(2), [USER].into());
    assert!(attempt.effects.contains(&reminder), "{:?}", attempt.effects);
}

/// Guards against a node that restarts while a promotion is in progress: it has forgotten the announced term.
#[test]
fn all_nodes_are_told_of_the_term_again_while_a_promotion_is_in_progress() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    attempt.effects.clear();
    attempt.advance(1_100);
    let again = Effect::Revoke(service(), Term(2), [PEER, USER].into());
    assert!(attempt.effects.contains(&again), "{:?}", attempt.effects);
}

/// Guards against confirmations while the promotion of an earlier holder is unanswered: only the holds tell of it, and
/// end when it takes effect.
#[test]
fn the_term_of_holds_left_by_an_earlier_attempt_is_announced() {
    let mut attempt = Attempt::claimed(false);
    attempt.answer(NEXT, status(BackendRole::Replica, 1, 50, 4));
    attempt.answer(OTHER, held(40));
    attempt.advance(600);
    let revoke = Effect::Revoke(service(), Term(5), [PEER, USER].into());
    assert!(attempt.effects.contains(&revoke), "{:?}", attempt.effects);
    attempt.effects.clear();
    attempt.advance(1_100);
    assert!(attempt.effects.contains(&revoke), "{:?}", attempt.effects);
}

/// Guards against announcing a term twice: members that received nothing from a leader don't know
/// its term.
#[test]
fn the_term_is_above_any_that_a_node_knows_to_have_started() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 2);
    let is_above = |effect: &Effect| matches!(effect, Effect::StepDown(_, Term(3), _));
    assert!(attempt.has_effect(is_above), "{:?}", attempt.effects);
    attempt.revoked(2, USER, 1);
    assert!(attempt.promotions().is_empty());
}

#[test]
fn a_revocation_of_an_earlier_attempt_is_ignored() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(1, PEER, 1);
    attempt.revoked(1, USER, 1);
    assert!(attempt.promotions().is_empty());
}

/// A node unknown to this one may still get its confirmation from a replica that is not on hold.
#[test]
fn revocation_is_insufficient_while_a_replica_is_not_on_hold() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.call_result(NEXT, Via::Direct, MemberCallResult::Answered(held(50)));
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    attempt.advance(100);
    assert!(attempt.promotions().is_empty());
}

/// The process of the old primary may be back before the promotion takes effect.
#[test]
fn a_refused_connection_does_not_prove_the_demotion() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(400);
    attempt.call_result(OLD, Via::Direct, MemberCallResult::Refused);
    attempt.call_result(OLD, Via::Peer(PEER), MemberCallResult::Refused);
    attempt.advance(100);
    assert!(attempt.holds(NEXT));
    assert!(attempt.promotions().is_empty());
}

#[test]
fn holds_released_by_a_late_promotion_are_detected() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.advance(1_100);
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, replica(40));
    attempt.advance(100);
    assert!(attempt.promotions().is_empty());
}

/// After a step-down whose answer was lost, the old primary is a replica, which does not tell who
/// leads now.
#[test]
fn an_old_primary_that_is_already_a_replica_proves_nothing() {
    let mut attempt = Attempt::planned();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::Answered(replica(60)));
    attempt.advance(100);
    assert!(attempt.promotions().is_empty());
    attempt.advance(200);
    assert!(attempt.holds(NEXT), "the replicas are put on hold instead");
}

/// A member that does not answer may lead a later term.
#[test]
fn a_step_down_is_sufficient_only_if_all_others_are_replicas() {
    let mut attempt = Attempt::claimed(true);
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, replica(60));
    attempt.advance(400);
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(60)));
    assert!(attempt.promotions().is_empty());
}

/// Guards against two leaders where discovery has lost the leader of the newest term and names the one before
/// it: that one steps down, and its successor, which nobody asked, goes on.
#[test]
fn a_step_down_of_a_leader_of_an_earlier_term_is_insufficient() {
    let mut attempt = Attempt::claimed(true);
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, status(BackendRole::Replica, 2, 70, 0));
    attempt.answer(OTHER, replica(60));
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(60)));
    attempt.advance(100);
    assert!(attempt.promotions().is_empty());
    attempt.advance(200);
    assert!(
        attempt.has_effect(|effect| matches!(effect, Effect::HoldVia(_, Term(3), _))),
        "the replicas are put on hold instead"
    );
}

/// As above, where only this node has used the leader of the newest term.
#[test]
fn a_step_down_is_insufficient_if_this_node_knows_of_a_later_term() {
    let mut attempt = Attempt::claimed(true);
    assert!(
        attempt
            .effects
            .contains(&Effect::QueryNewestTerms(service()))
    );
    attempt.handle(Event::NewestTerms {
        service: service(),
        started: Term(2),
        announced: Term(0),
    });
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer_replicas();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(60)));
    attempt.advance(300);
    assert!(attempt.promotions().is_empty());
    let is_hold = |effect: &Effect| matches!(effect, Effect::HoldVia(_, Term(3), _));
    assert!(
        attempt.has_effect(is_hold),
        "the announced term is above both"
    );
}

#[test]
fn a_leader_of_a_later_term_ends_the_attempt() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    let leads = status(BackendRole::Primary, 2, 70, 0);
    attempt.call_result(OTHER, Via::Direct, MemberCallResult::Answered(leads));
    attempt.advance(2_000);
    assert!(attempt.promotions().is_empty());
}

#[test]
fn an_attempt_that_takes_too_long_releases_no_hold_and_promotes_nothing() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.now = attempt.now + Duration::from_secs(4);
    attempt.answer(NEXT, held(50));
    attempt.advance(100);
    assert!(attempt.promotions().is_empty());
    assert_eq!(
        attempt.resumes(),
        0,
        "another node may have put them on hold since"
    );
}

#[test]
fn replicas_stay_on_hold_while_an_unanswered_promotion_may_be_carried_out() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.advance(1_100);
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(40));
    attempt.advance(20);
    let unknown = PromotionOutcome::Unknown;
    attempt.handle(Event::Promotion(service(), FencingToken(4), unknown));
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(0),
        leader: None,
        is_pending: false,
    };
    attempt.handle(Event::Record(
        service(),
        RecordVersion(StoreRevision::new(0, 9)),
        Some(record),
    ));
    attempt.handle(Event::RecordFailed(service()));
    attempt.advance(500);
    assert_eq!(attempt.resumes(), 0);
}

/// An attempt whose promotion of the best replica got no answer, and which has claimed the record again. The
/// promotion was announced as term 2.
fn after_an_unanswered_promotion() -> Attempt {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let unknown = PromotionOutcome::Unknown;
    attempt.handle(Event::Promotion(service(), FencingToken(4), unknown));
    attempt.effects.clear();
    attempt.handle(written(9, Term(0)));
    attempt
}

/// Guards against promoting an old primary, as if it led, while the target of an unanswered promotion leads
/// already and does not answer.
#[test]
fn an_old_primary_is_not_promoted_while_a_possible_successor_does_not_answer() {
    let mut attempt = after_an_unanswered_promotion();
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(OTHER, replica(60));
    attempt.advance(400);
    assert_eq!(attempt.promotions(), []);
    let is_asked =
        |effect: &Effect| matches!(effect, Effect::StepDown(id, Term(3), _) if *id == backend(OLD));
    assert!(attempt.has_effect(is_asked), "{:?}", attempt.effects);
}

/// Guards against a confirmation of the target of an unanswered promotion while the old primary is promoted to
/// fence it: if the first call is carried out before the second, each starts a term.
#[test]
fn a_promotion_that_fences_an_unanswered_one_is_announced_as_a_later_term() {
    let mut attempt = after_an_unanswered_promotion();
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(40));
    attempt.advance(400);
    assert_eq!(attempt.promotions(), [backend(OLD)]);
    let expected = Effect::Revoke(service(), Term(3), [PEER, USER].into());
    assert!(attempt.effects.contains(&expected), "{:?}", attempt.effects);
}

/// Once the term of the unanswered promotion has started, fencing it starts no other, and writes go on.
#[test]
fn a_leader_that_an_unanswered_promotion_has_started_is_not_revoked() {
    let mut attempt = after_an_unanswered_promotion();
    attempt.answer(NEXT, status(BackendRole::Primary, 2, 50, 0));
    attempt.answer(OTHER, status(BackendRole::Replica, 2, 50, 0));
    attempt.advance(400);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let is_later =
        |effect: &Effect| matches!(effect, Effect::Revoke(_, term, _) if *term > Term(2));
    assert!(!attempt.has_effect(is_later), "{:?}", attempt.effects);
}

/// Another node may have put them on hold since, for its own attempt.
#[test]
fn a_node_that_lost_the_lease_releases_no_hold_after_its_promotion() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    let accepted = PromotionOutcome::Accepted;
    attempt.handle(Event::Promotion(service(), FencingToken(4), accepted));
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(0),
        leader: None,
        is_pending: false,
    };
    attempt.handle(Event::Record(
        service(),
        RecordVersion(StoreRevision::new(0, 9)),
        Some(record),
    ));
    attempt.advance(3_500);
    assert_eq!(attempt.resumes(), 0);
    let is_settled = |effect: &Effect| matches!(effect, Effect::AnnounceAttemptEnded(..));
    assert!(!attempt.has_effect(is_settled));
}

/// The holder that put the replicas on hold is gone.
#[test]
fn replicas_on_hold_for_a_term_that_does_not_start_are_released() {
    let mut attempt = Attempt::claimed(true);
    attempt.handle(Event::Groups(BTreeMap::from([(service(), group(false))])));
    attempt.advance(3_500);
    attempt.effects.clear();
    attempt.handle(Event::LeadershipRevoked(service(), true));
    attempt.advance(1_600);
    attempt.handle(written(8, Term(0)));
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(50));
    attempt.advance(400);
    assert_eq!(
        attempt.promotions(),
        [backend(OLD)],
        "promoting the leader fences earlier calls"
    );
    let accepted = PromotionOutcome::Accepted;
    attempt.handle(Event::Promotion(service(), FencingToken(8), accepted));
    attempt.advance(3_100);
    assert_eq!(attempt.resumes(), 2);
}

/// The leader of a recorded term may be unreachable, and no member that answers may have received
/// anything from it.
#[test]
fn the_announced_term_is_above_the_last_recorded_one() {
    let mut attempt = Attempt::claimed_over(false, Term(4));
    attempt.answer_replicas();
    let announced = attempt.effects.iter().find_map(|effect| match effect {
        Effect::StepDown(_, term, _) => Some(*term),
        _ => None,
    });
    assert_eq!(announced, Some(Term(5)));
}

#[test]
fn the_term_of_an_accepted_promotion_is_recorded_for_later_holders() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    attempt.effects.clear();
    let accepted = PromotionOutcome::Accepted;
    attempt.handle(Event::Promotion(service(), FencingToken(4), accepted));
    let recorded_term = attempt.effects.iter().find_map(|effect| match effect {
        Effect::WriteRecord(service, version, record) => Some((service, *version, record.term)),
        _ => None,
    });
    assert_eq!(
        recorded_term,
        Some((&service(), RecordVersion(StoreRevision::new(0, 4)), Term(2)))
    );
}

/// The attempt's promotion, of the best replica and announced as term 2, was accepted.
fn after_an_accepted_promotion() -> Attempt {
    let mut attempt = Attempt::unplanned();
    attempt.advance(600);
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    attempt.effects.clear();
    let accepted = PromotionOutcome::Accepted;
    attempt.handle(Event::Promotion(service(), FencingToken(4), accepted));
    attempt
}

fn promoted_next() -> RecordedPromotion {
    RecordedPromotion {
        leader: backend(NEXT),
        term: Term(2),
        is_pending: false,
    }
}

fn record_writes(attempt: &Attempt) -> Vec<(u64, Option<RecordedPromotion>)> {
    let write = |effect: &Effect| match effect {
        Effect::WriteRecord(_, version, record) => Some((version.0.revision(), record.promotion())),
        _ => None,
    };
    attempt.effects.iter().filter_map(write).collect()
}

#[test]
fn the_leader_of_an_accepted_promotion_is_recorded_and_reported() {
    let attempt = after_an_accepted_promotion();
    assert_eq!(record_writes(&attempt), [(4, Some(promoted_next()))]);
    let reported = Effect::PromotionRecorded(service(), promoted_next());
    assert!(attempt.effects.contains(&reported));
}

/// Guards against a promotion that no later node can learn of: the store lost the answer to the write of the record,
/// or was not available.
#[test]
fn an_accepted_promotion_is_recorded_again_after_a_failed_write() {
    let mut attempt = after_an_accepted_promotion();
    attempt.handle(Event::RecordFailed(service()));
    attempt.effects.clear();
    attempt.advance(4_000);
    let writes = record_writes(&attempt);
    assert_eq!(writes.first(), Some(&(4, Some(promoted_next()))));
    let shown = FailoverRecord {
        holder: "a".to_owned(),
        term: Term(2),
        leader: Some(backend(NEXT)),
        is_pending: false,
    };
    let version = RecordVersion(StoreRevision::new(0, 5));
    attempt.handle(Event::Record(service(), version, Some(shown)));
    attempt.effects.clear();
    attempt.advance(2_000);
    assert_eq!(record_writes(&attempt), [], "the record shows it");
}

/// Guards against two leaders where discovery has lost the leader of the newest term, and no member that answers has
/// received anything of it: only the record tells of it.
#[test]
fn a_step_down_is_insufficient_if_another_member_was_recorded_as_promoted() {
    let mut attempt = Attempt::new(true);
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(2),
        leader: Some(backend(NEXT)),
        is_pending: false,
    };
    let version = RecordVersion(StoreRevision::new(0, 3));
    let records = BTreeMap::from([(service(), (version, record.clone()))]);
    attempt.handle(Event::Records { era: 0, records });
    attempt.advance(3_000);
    let own = FailoverRecord {
        holder: "a".to_owned(),
        ..record
    };
    let version = RecordVersion(StoreRevision::new(0, 4));
    attempt.handle(Event::RecordWritten(service(), version, own));
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer_replicas();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(60)));
    attempt.advance(300);
    assert!(attempt.promotions().is_empty());
    let is_hold = |effect: &Effect| matches!(effect, Effect::HoldVia(_, Term(3), _));
    assert!(attempt.has_effect(is_hold));
}

/// Guards against a later holder that does not know of a promotion without an answer: the old primary had stepped down,
/// so that no replica was on hold.
#[test]
fn a_promotion_is_recorded_before_it_is_answered() {
    let mut attempt = Attempt::planned();
    attempt.effects.clear();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(50)));
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let pending = RecordedPromotion {
        is_pending: true,
        ..promoted_next()
    };
    assert_eq!(record_writes(&attempt), [(4, Some(pending))]);
}

/// The nodes are told as well: the record may not be written while the store is unavailable.
#[test]
fn a_promotion_without_an_answer_is_announced_at_once() {
    let mut attempt = Attempt::planned();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(50)));
    attempt.effects.clear();
    let unknown = PromotionOutcome::Unknown;
    attempt.handle(Event::Promotion(service(), FencingToken(4), unknown));
    let revoke = Effect::Revoke(service(), Term(2), [PEER, USER].into());
    assert!(attempt.effects.contains(&revoke), "{:?}", attempt.effects);
}

/// A holder that claims the service over the record of another one, whose promotion of the other replica to term 2 had
/// no answer.
fn after_a_pending_promotion_of_another_holder() -> Attempt {
    let mut attempt = Attempt::new(true);
    let record = FailoverRecord {
        holder: "b".to_owned(),
        term: Term(2),
        leader: Some(backend(OTHER)),
        is_pending: true,
    };
    let version = RecordVersion(StoreRevision::new(0, 3));
    let records = BTreeMap::from([(service(), (version, record.clone()))]);
    attempt.handle(Event::Records { era: 0, records });
    attempt.advance(3_000);
    let own = FailoverRecord {
        holder: "a".to_owned(),
        ..record
    };
    let version = RecordVersion(StoreRevision::new(0, 4));
    attempt.handle(Event::RecordWritten(service(), version, own));
    attempt.effects.clear();
    attempt
}

/// Guards against two leaders: the pending promotion starts a term just before that of the present attempt.
#[test]
fn the_pending_promotion_of_an_earlier_holder_is_taken_over() {
    let mut attempt = after_a_pending_promotion_of_another_holder();
    attempt.answer(OLD, replica(50));
    attempt.answer(NEXT, replica(50));
    attempt.answer(OTHER, replica(50));
    attempt.advance(300);
    let revoke = Effect::Revoke(service(), Term(3), [PEER, USER].into());
    assert!(attempt.effects.contains(&revoke), "{:?}", attempt.effects);
    let on_hold = status(BackendRole::Replica, 1, 50, 3);
    for member in [OLD, NEXT, OTHER] {
        attempt.call_result(member, Via::Direct, MemberCallResult::Answered(on_hold));
    }
    attempt.advance(1_100);
    for member in [OLD, NEXT, OTHER] {
        attempt.answer(member, on_hold);
    }
    attempt.advance(20);
    assert_eq!(
        attempt.promotions(),
        [backend(OTHER)],
        "of equal replicas the target of the pending promotion is chosen"
    );
}

#[test]
fn a_pending_promotion_that_has_taken_effect_needs_no_fence() {
    let mut attempt = after_a_pending_promotion_of_another_holder();
    attempt.answer(OLD, status(BackendRole::Replica, 2, 50, 0));
    attempt.answer(NEXT, status(BackendRole::Replica, 2, 50, 0));
    attempt.answer(OTHER, status(BackendRole::Primary, 2, 50, 0));
    attempt.advance(400);
    assert_eq!(attempt.promotions(), [], "another member leads already");
}

/// Guards against two leaders: the target of the first of two unanswered promotions leads, and the second may replace
/// it at any moment.
#[test]
fn a_leader_is_revoked_while_a_later_promotion_of_another_member_is_unanswered() {
    let mut attempt = after_an_unanswered_promotion();
    let on_hold = |number| status(BackendRole::Replica, 1, number, 3);
    attempt.answer(NEXT, held(50));
    attempt.answer(OTHER, held(60));
    attempt.advance(600);
    attempt.call_result(OLD, Via::Direct, MemberCallResult::Silent);
    attempt.call_result(OLD, Via::Peer(PEER), MemberCallResult::Silent);
    attempt.call_result(NEXT, Via::Direct, MemberCallResult::Answered(on_hold(50)));
    attempt.call_result(OTHER, Via::Direct, MemberCallResult::Answered(on_hold(60)));
    attempt.advance(1_100);
    attempt.answer(NEXT, on_hold(50));
    attempt.answer(OTHER, on_hold(60));
    attempt.advance(20);
    assert_eq!(attempt.promotions(), [backend(OTHER)]);
    let unknown = PromotionOutcome::Unknown;
    attempt.handle(Event::Promotion(service(), FencingToken(9), unknown));
    attempt.effects.clear();
    attempt.handle(written(12, Term(3)));
    attempt.answer(NEXT, status(BackendRole::Primary, 2, 50, 0));
    attempt.answer(OLD, status(BackendRole::Replica, 2, 50, 0));
    attempt.answer(OTHER, status(BackendRole::Replica, 2, 50, 0));
    attempt.advance(400);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
    let revoke = Effect::Revoke(service(), Term(4), [PEER, USER].into());
    assert!(attempt.effects.contains(&revoke), "{:?}", attempt.effects);
}

/// Guards against announcing a term that another holder, cut off from the store, has announced already.
#[test]
fn the_announced_term_is_above_any_that_was_announced_to_this_node() {
    let mut attempt = Attempt::claimed(false);
    attempt.handle(Event::NewestTerms {
        service: service(),
        started: Term(1),
        announced: Term(2),
    });
    attempt.answer_replicas();
    attempt.advance(600);
    let is_hold = |effect: &Effect| matches!(effect, Effect::HoldVia(_, Term(3), _));
    assert!(attempt.has_effect(is_hold), "{:?}", attempt.effects);
}

/// Guards against a slow failover: a later holder fences a pending promotion, which takes more than a second.
#[test]
fn a_refused_promotion_is_not_pending() {
    let mut attempt = Attempt::planned();
    attempt.call_result(OLD, Via::Direct, MemberCallResult::GaveWay(replica(50)));
    attempt.effects.clear();
    let refused = PromotionOutcome::Refused;
    attempt.handle(Event::Promotion(service(), FencingToken(4), refused));
    assert_eq!(record_writes(&attempt), [(4, Some(promoted_next()))]);
}

/// The controller has claimed the service because an announced term does not start; the present leader has answered.
fn announced_term_does_not_start() -> Attempt {
    let mut attempt = Attempt::new(false);
    attempt.handle(Event::Evidence(backend(OLD), LeaderEvidence::Answered));
    attempt.handle(Event::RecordFailed(service()));
    attempt.advance(500);
    attempt.effects.clear();
    attempt.handle(Event::LeadershipRevoked(service(), true));
    attempt.advance(1_600);
    attempt.handle(written(4, Term(0)));
    attempt.handle(Event::NewestTerms {
        service: service(),
        started: Term(1),
        announced: Term(2),
    });
    attempt.answer(OLD, status(BackendRole::Primary, 1, 60, 0));
    attempt.answer_replicas();
    attempt.advance(20);
    attempt
}

/// Guards against a change of primary for each announced term that does not start, for ever: each change announced
/// another such term.
#[test]
fn a_healthy_leader_stays_when_an_announced_term_does_not_start() {
    let attempt = announced_term_does_not_start();
    assert_eq!(
        attempt.promotions(),
        [backend(OLD)],
        "{:?}",
        attempt.effects
    );
    assert!(!attempt.requests_step_down(&Via::Direct));
}

/// Guards against an attempt for a revocation that is due to this node's own earlier attempt.
#[test]
fn the_nodes_have_time_to_confirm_a_leader_after_an_attempt() {
    let mut attempt = announced_term_does_not_start();
    let token = FencingToken(4);
    attempt.handle(Event::Promotion(
        service(),
        token,
        PromotionOutcome::Accepted,
    ));
    let ended = |effect: &Effect| matches!(effect, Effect::AnnounceAttemptEnded(..));
    assert!(attempt.has_effect(ended), "{:?}", attempt.effects);
    attempt.effects.clear();
    attempt.advance(1_300);
    let began = |effect: &Effect| matches!(effect, Effect::Log(_, FailoverStep::Began { .. }));
    assert!(!attempt.has_effect(began), "{:?}", attempt.effects);
    attempt.advance(400);
    assert!(attempt.has_effect(began), "it is still revoked");
}

/// Guards against attempts that give up because of an answer of another service's member.
#[test]
fn answers_of_members_of_other_services_do_not_count() {
    let mut attempt = Attempt::unplanned();
    attempt.advance(200);
    let foreign = status(BackendRole::Primary, 9, 500, 0);
    attempt.call_result("foreign", Via::Direct, MemberCallResult::Answered(foreign));
    attempt.confirm_holds();
    attempt.revoked(2, PEER, 1);
    attempt.revoked(2, USER, 1);
    assert_eq!(attempt.promotions(), [backend(NEXT)]);
}

/// The replica that is chosen after the old primary, which leaves, has stepped down at a position. Another replica, which
/// discovery lists no more, may have confirmed commits.
fn promoted_without_a_replica(old_position: u64) -> Vec<BackendId> {
    let mut attempt = Attempt::new(true);
    let mut synchronous = GroupState {
        synchronous_replicas: 1,
        ..group(true)
    };
    let listing = |group: &GroupState| Event::Groups(BTreeMap::from([(service(), group.clone())]));
    attempt.handle(listing(&synchronous));
    synchronous.members.remove(&backend(OTHER));
    attempt.handle(listing(&synchronous));
    attempt.handle(written(4, Term(0)));
    attempt.answer(OLD, status(BackendRole::Primary, 1, old_position, 0));
    attempt.answer(NEXT, replica(40));
    attempt.advance(400);
    let stepped_down = MemberCallResult::GaveWay(replica(old_position));
    attempt.call_result(OLD, Via::Direct, stepped_down);
    attempt.advance(600);
    attempt.promotions()
}

/// Guards against the loss of an acknowledged commit: the log of a primary that has started without it proves nothing.
#[test]
fn only_a_primary_with_its_log_accounts_for_a_missing_replica() {
    assert_eq!(promoted_without_a_replica(40), [backend(NEXT)]);
    assert_eq!(promoted_without_a_replica(0), []);
}
