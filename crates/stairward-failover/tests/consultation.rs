//! What nodes tell each other of promotions, since the store may lose a promotion's record.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_failover::{
    Effect, Event, FailoverController, FailoverOptions, FailoverRecord, KnownPromotion,
    LEADERSHIP_LEASE, LeaderEvidence, RecordedPromotion,
};
use stairward_types::{BackendRole, NodeId, Term, Time};

mod support;

use support::{AHEAD, BEHIND, OLD, backend, record_version, service, status, usual_group};

/// A node whose old primaries may keep running, with the effects that it has returned.
struct Node {
    controller: FailoverController,
    now: Time,
    effects: Vec<Effect>,
}

impl Node {
    fn new() -> Self {
        let options = FailoverOptions {
            leadership_lease: Some(LEADERSHIP_LEASE),
            ..FailoverOptions::new("a")
        };
        let mut node = Self {
            controller: FailoverController::new(options),
            now: Time::from_millis(60_000),
            effects: Vec::new(),
        };
        node.handle(Event::Records {
            era: 0,
            records: BTreeMap::new(),
        });
        node.handle(Event::Groups(BTreeMap::from([(service(), usual_group())])));
        node
    }

    fn handle(&mut self, event: Event) {
        let effects = self.controller.handle(self.now, event);
        self.effects.extend(effects);
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.handle(Event::Tick);
        }
    }

    fn with_peers() -> Self {
        let mut node = Self::new();
        node.handle(Event::RelayPeers(peers().into_iter().collect()));
        node
    }

    /// How many consultations have ended, with the number of peers that did not answer.
    fn consulted(&self) -> Vec<usize> {
        let consulted = |effect: &Effect| match effect {
            Effect::PeersConsulted { unanswered } => Some(*unanswered),
            _ => None,
        };
        self.effects.iter().filter_map(consulted).collect()
    }

    fn has(&self, effect: &Effect) -> bool {
        self.effects.contains(effect)
    }
}

fn peers() -> BTreeSet<NodeId> {
    BTreeSet::from([NodeId(2), NodeId(3)])
}

fn promotion(leader: &str, term: u64, is_pending: bool) -> RecordedPromotion {
    RecordedPromotion {
        leader: backend(leader),
        term: Term(term),
        is_pending,
    }
}

fn known(announced: u64, promotion: Option<RecordedPromotion>) -> Option<Vec<KnownPromotion>> {
    Some(vec![KnownPromotion {
        service: service(),
        announced: Term(announced),
        promotion,
    }])
}

/// Guards against two leaders after a restore of the store has lost a promotion's record.
#[test]
fn a_node_that_has_started_learns_of_promotions_from_its_peers() {
    let mut node = Node::with_peers();
    assert!(node.has(&Effect::QueryPromotions(peers())));
    let promoted = promotion(AHEAD, 3, false);
    node.handle(Event::PeerPromotions(
        NodeId(2),
        known(4, Some(promoted.clone())),
    ));
    assert!(node.has(&Effect::PromotionRecorded(service(), promoted)));
    assert!(node.has(&Effect::TermAnnounced(service(), Term(4))));
    assert_eq!(node.consulted(), [], "the other peer has not answered");
    node.handle(Event::PeerPromotions(NodeId(3), Some(Vec::new())));
    assert_eq!(node.consulted(), [0]);
}

#[test]
fn peers_that_do_not_answer_are_not_awaited_for_long() {
    let mut node = Node::with_peers();
    node.handle(Event::PeerPromotions(NodeId(2), Some(Vec::new())));
    node.advance(LEADERSHIP_LEASE / 4);
    assert_eq!(node.consulted(), []);
    node.advance(LEADERSHIP_LEASE / 2);
    assert_eq!(node.consulted(), [1]);
}

#[test]
fn a_node_without_peers_has_nobody_to_ask() {
    let mut node = Node::new();
    assert_eq!(node.consulted(), []);
    node.handle(Event::RelayPeers(Vec::new()));
    assert_eq!(node.consulted(), [0]);
}

#[test]
fn a_node_that_learns_of_its_first_peers_late_asks_them() {
    let mut node = Node::new();
    node.handle(Event::RelayPeers(Vec::new()));
    node.handle(Event::RelayPeers(peers().into_iter().collect()));
    assert!(node.has(&Effect::ConsultationNeeded));
    assert!(node.has(&Effect::QueryPromotions(peers())));
}

/// Guards against two leaders after a pause in which a promotion was announced.
#[test]
fn a_node_that_did_not_run_for_a_lease_asks_again() {
    let mut node = Node::with_peers();
    for peer in peers() {
        node.handle(Event::PeerPromotions(peer, Some(Vec::new())));
    }
    node.advance(LEADERSHIP_LEASE * 2);
    node.effects.clear();
    node.now = node.now + LEADERSHIP_LEASE + Duration::from_millis(1);
    node.handle(Event::Tick);
    assert!(node.has(&Effect::ConsultationNeeded));
    assert!(node.has(&Effect::QueryPromotions(peers())));
    assert_eq!(node.consulted(), []);
}

#[test]
fn nodes_are_told_of_a_promotion_when_it_is_requested() {
    let mut node = Node::new();
    node.handle(Event::LeaderUsers(peers()));
    node.handle(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
    let record = FailoverRecord {
        holder: "a".to_owned(),
        term: Term(0),
        leader: None,
        is_pending: false,
    };
    node.handle(Event::RecordWritten(service(), record_version(5), record));
    for (member, received) in [(BEHIND, 40), (AHEAD, 50)] {
        let status = status(BackendRole::Replica, 1, received);
        node.handle(Event::StatusReply(backend(member), status));
    }
    node.advance(Duration::from_millis(400));
    let on_hold = |effect: &Effect| match effect {
        Effect::HoldVia(id, term, _) => Some((id.clone(), *term)),
        _ => None,
    };
    let held: Vec<_> = node.effects.iter().filter_map(on_hold).collect();
    for (id, term) in held {
        let mut status = status(BackendRole::Replica, 1, 50).unwrap();
        status.held = term;
        node.handle(Event::MemberCallEnded(
            id,
            stairward_failover::Via::Direct,
            stairward_failover::MemberCallResult::Answered(status),
        ));
    }
    for user in peers() {
        node.handle(Event::Revoked {
            service: service(),
            term: Term(2),
            user,
            newest: Term(1),
        });
    }
    node.advance(LEADERSHIP_LEASE * 2);
    let announced = Effect::AnnouncePromotion(service(), promotion(BEHIND, 2, true), peers());
    assert!(node.has(&announced), "{:?}", node.effects);
}

#[test]
fn the_answer_to_a_promotion_may_overtake_the_announcement_of_its_request() {
    let mut node = Node::new();
    let answered = promotion(AHEAD, 3, false);
    node.handle(Event::PromotionAnnounced(service(), answered.clone()));
    assert!(node.has(&Effect::PromotionRecorded(service(), answered)));
    node.effects.clear();
    let requested = promotion(AHEAD, 3, true);
    node.handle(Event::PromotionAnnounced(service(), requested));
    assert_eq!(node.effects, []);
}

/// The holder of the failover lease was killed, and the store has lost the record.
#[test]
fn an_announced_promotion_of_an_earlier_holder_is_fenced_by_the_next() {
    let mut node = Node::new();
    node.handle(Event::PromotionAnnounced(
        service(),
        promotion(AHEAD, 2, true),
    ));
    node.handle(Event::LeadershipRevoked(service(), true));
    node.advance(Duration::from_millis(2_000));
    let record = node.effects.iter().find_map(|effect| match effect {
        Effect::WriteRecord(_, _, record) => Some(record.clone()),
        _ => None,
    });
    let record = record.expect("the service is claimed");
    assert_eq!(record.promotion(), Some(promotion(AHEAD, 2, true)));
    node.handle(Event::RecordWritten(service(), record_version(5), record));
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 50),
    ));
    for member in [BEHIND, AHEAD] {
        let status = status(BackendRole::Replica, 1, 50);
        node.handle(Event::StatusReply(backend(member), status));
    }
    node.advance(Duration::from_millis(100));
    let promoted = node.effects.iter().find_map(|effect| match effect {
        Effect::Promote(_, target, _) => Some(target.clone()),
        _ => None,
    });
    assert_eq!(promoted, Some(backend(OLD)), "the present leader");
    let fence = Effect::PromotionRecorded(service(), promotion(OLD, 3, true));
    assert!(node.has(&fence), "{:?}", node.effects);
}
