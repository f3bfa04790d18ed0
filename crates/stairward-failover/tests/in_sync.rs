//! Which members acknowledged commits may depend on: the record in the store, the reviews that remove missing members
//! from it, and promotions that are refused because of it.

mod support;

use std::collections::BTreeMap;

use stairward_failover::{
    Effect, Event, FailoverStep, GroupState, InSyncRecord, LeaderEvidence, MemberCallResult,
    RecordVersion, ReviewCall, Via,
};
use stairward_types::{BackendId, BackendRole, NodeId, StoreRevision};

use support::{
    AHEAD, BEHIND, Node, OLD, backend, member_at, record_version, service, status, usual_group,
    written,
};

const SUCCESSOR: &str = "db-4";
const PEER: NodeId = NodeId(7);

fn synchronous_group() -> GroupState {
    GroupState {
        synchronous_replicas: 1,
        ..usual_group()
    }
}

fn without(mut group: GroupState, id: &str) -> GroupState {
    group.members.remove(&backend(id));
    group
}

/// A node of a fleet of one with a synchronous group that discovery lists completely.
fn node() -> Node {
    let mut node = Node::new("a");
    node.handle(Event::NodeCount(1));
    node.handle(in_sync_listing(0, []));
    node.set_group(synchronous_group());
    node
}

fn record<const N: usize>(ids: [&str; N]) -> InSyncRecord {
    let group = usual_group();
    let address = |id: &str| {
        let member = group.members.get(&backend(id));
        member.map_or(([10, 0, 0, 4], 5_432).into(), |member| member.address)
    };
    InSyncRecord {
        members: ids.map(|id| (backend(id), address(id))).into(),
    }
}

fn in_sync_listing<const N: usize>(era: u64, records: [(RecordVersion, InSyncRecord); N]) -> Event {
    let records = records.map(|versioned| (service(), versioned)).into();
    Event::InSyncRecords { era, records }
}

fn recorded_writes(node: &Node) -> Vec<InSyncRecord> {
    let write = |effect: &Effect| match effect {
        Effect::WriteInSyncRecord(_, _, record) => Some(record.clone()),
        _ => None,
    };
    node.effects.iter().filter_map(write).collect()
}

/// Takes the calls of reviews, and leaves all other effects.
fn review_calls(node: &mut Node) -> Vec<ReviewCall> {
    let effects = std::mem::take(&mut node.effects);
    let mut calls = Vec::new();
    for effect in effects {
        match effect {
            Effect::ReviewMember(call) => calls.push(call),
            other => node.effects.push(other),
        }
    }
    calls
}

fn running(role: BackendRole, number: u64) -> MemberCallResult {
    MemberCallResult::Answered(status(role, 1, number).unwrap())
}

/// Answers all calls of reviews until none is made any more.
fn answer_reviews(node: &mut Node, result: impl Fn(&BackendId, &Via) -> MemberCallResult) {
    loop {
        let calls = review_calls(node);
        if calls.is_empty() {
            return;
        }
        for call in calls {
            let result = result(&call.backend, &call.via);
            node.handle(Event::MemberReviewed(call, result));
        }
    }
}

/// A node whose record contains all three members, while discovery no longer lists the most advanced replica.
fn node_that_misses_a_replica() -> Node {
    let mut node = node();
    let all = record([OLD, BEHIND, AHEAD]);
    node.handle(in_sync_listing(0, [(record_version(5), all)]));
    node.set_group(without(synchronous_group(), AHEAD));
    node.effects.clear();
    node
}

/// The primary refuses connections, and the listed replica answers.
fn lose_primary(node: &mut Node) {
    node.observe(LeaderEvidence::Refused);
    node.advance(100);
    node.handle(written(7));
    for _ in 0..2 {
        let replica = status(BackendRole::Replica, 1, 40);
        node.handle(Event::StatusReply(backend(BEHIND), replica));
    }
    node.advance(400);
}

/// Reviews of which the missing member does not answer while all others have received the whole log.
fn review_to_the_end(node: &mut Node, missing: MemberCallResult) {
    for _ in 0..12 {
        node.advance(1_000);
        answer_reviews(node, |id, _| match id.as_str() {
            OLD => running(BackendRole::Primary, 50),
            AHEAD => missing,
            _ => running(BackendRole::Replica, 50),
        });
    }
}

#[test]
fn the_listed_members_of_a_synchronous_service_are_recorded() {
    let mut node = node();
    node.advance(100);
    assert_eq!(recorded_writes(&node), [record([OLD, BEHIND, AHEAD])]);
    let all = record([OLD, BEHIND, AHEAD]);
    node.handle(Event::InSyncRecord(service(), record_version(5), all));
    node.effects.clear();
    node.advance(20_000);
    assert_eq!(recorded_writes(&node), [], "nothing has changed");
}

#[test]
fn without_synchronous_replicas_nothing_is_recorded() {
    let mut node = Node::new("a");
    node.handle(in_sync_listing(0, []));
    node.advance(10_000);
    assert_eq!(recorded_writes(&node), []);
}

#[test]
fn a_new_member_is_added_to_the_record() {
    let mut node = node_that_misses_a_replica();
    let mut group = synchronous_group();
    let joined = member_at(4, BackendRole::Replica);
    group.members.insert(backend(SUCCESSOR), joined);
    node.set_group(group);
    node.advance(100);
    assert_eq!(
        recorded_writes(&node),
        [record([OLD, BEHIND, AHEAD, SUCCESSOR])]
    );
}

/// Guards against the loss of an acknowledged commit that only a replica has which discovery no longer lists.
#[test]
fn a_replica_that_discovery_has_lost_may_hold_an_acknowledged_commit() {
    let mut node = node_that_misses_a_replica();
    lose_primary(&mut node);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Guards against the loss of an acknowledged commit once its only holder has been missing for a while.
#[test]
fn a_missing_replica_is_not_forgotten_as_time_passes() {
    let mut node = node_that_misses_a_replica();
    node.observe(LeaderEvidence::Refused);
    for attempt in 0..120 {
        node.advance(1_000);
        node.handle(written(7 + attempt));
        for _ in 0..2 {
            let replica = status(BackendRole::Replica, 1, 40);
            node.handle(Event::StatusReply(backend(BEHIND), replica));
        }
    }
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Guards against the loss of an acknowledged commit after a restart of the nodes.
#[test]
fn a_node_that_starts_learns_of_missing_members_from_the_record() {
    let mut node = Node::new("b");
    let all = record([OLD, BEHIND, AHEAD]);
    node.handle(in_sync_listing(0, [(record_version(5), all)]));
    node.set_group(without(synchronous_group(), AHEAD));
    lose_primary(&mut node);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Guards against the loss of an acknowledged commit after a restore of the store.
#[test]
fn what_a_restored_store_has_lost_is_recorded_again() {
    let mut node = node_that_misses_a_replica();
    let version = RecordVersion(StoreRevision::new(1, 3));
    node.handle(in_sync_listing(1, [(version, record([OLD, BEHIND]))]));
    node.advance(100);
    assert_eq!(recorded_writes(&node), [record([OLD, BEHIND, AHEAD])]);
}

#[test]
fn a_refused_attempt_changes_no_member_and_announces_nothing() {
    let mut node = node_that_misses_a_replica();
    lose_primary(&mut node);
    let is_left = |effect: &&Effect| {
        matches!(
            effect,
            Effect::Hold(..) | Effect::HoldVia(..) | Effect::StepDown(..) | Effect::Revoke(..)
        )
    };
    assert_eq!(node.effects.iter().find(is_left), None);
    let is_logged = |effect: &Effect| {
        let Effect::Log(_, FailoverStep::MembersMissing { missing, .. }) = effect else {
            return false;
        };
        missing.iter().eq([&backend(AHEAD)])
    };
    assert!(node.effects.iter().any(is_logged), "{:?}", node.effects);
}

/// Guards against holds and announced terms that outlive a refused attempt: a listed member does not answer.
#[test]
fn an_attempt_without_enough_answers_changes_no_member() {
    let mut node = node();
    let all = record([OLD, BEHIND, AHEAD]);
    node.handle(in_sync_listing(0, [(record_version(5), all)]));
    lose_primary(&mut node);
    let is_left = |effect: &&Effect| matches!(effect, Effect::Hold(..) | Effect::HoldVia(..));
    assert_eq!(node.effects.iter().find(is_left), None);
    let refusals = |node: &Node| {
        let is_refusal = |effect: &&Effect| {
            matches!(effect, Effect::Log(_, FailoverStep::MembersMissing { .. }))
        };
        node.effects.iter().filter(is_refusal).count()
    };
    assert_eq!(refusals(&node), 1, "{:?}", node.effects);
    node.advance(1_100);
    node.handle(written(9));
    node.answer_from_both_replicas();
    node.answer_from_both_replicas();
    assert_eq!(node.promotions().len(), 1, "{:?}", node.effects);
}

#[test]
fn a_lost_primary_costs_no_write_to_the_store_while_members_are_missing() {
    let mut node = node_that_misses_a_replica();
    node.observe(LeaderEvidence::Refused);
    node.advance(60_000);
    assert_eq!(node.claimed_version(), None);
}

#[test]
fn a_member_that_is_listed_again_with_its_log_is_promoted_at_once() {
    let mut node = node_that_misses_a_replica();
    lose_primary(&mut node);
    node.set_group(synchronous_group());
    node.handle(written(9));
    for _ in 0..2 {
        node.answer_from_both_replicas();
    }
    let promoted = node.promotions().into_iter().map(|(target, _)| target);
    assert_eq!(promoted.collect::<Vec<_>>(), [backend(AHEAD)]);
}

/// The operator's decision where the missing member's data is gone for good.
#[test]
fn without_synchronous_replicas_the_best_replica_that_is_left_is_promoted() {
    let mut node = node_that_misses_a_replica();
    lose_primary(&mut node);
    assert_eq!(node.promotions(), []);
    node.set_group(GroupState {
        synchronous_replicas: 0,
        ..without(synchronous_group(), AHEAD)
    });
    node.advance(1_500);
    node.handle(written(9));
    let replica = status(BackendRole::Replica, 1, 40);
    node.handle(Event::StatusReply(backend(BEHIND), replica));
    node.advance(400);
    let promoted = node.promotions().into_iter().map(|(target, _)| target);
    assert_eq!(promoted.collect::<Vec<_>>(), [backend(BEHIND)]);
}

/// Guards against the loss of an acknowledged commit: the process is back, but its log is not.
#[test]
fn a_member_that_is_back_without_its_log_does_not_count() {
    let mut node = node_that_misses_a_replica();
    lose_primary(&mut node);
    node.set_group(synchronous_group());
    node.handle(written(9));
    for _ in 0..2 {
        let replica = status(BackendRole::Replica, 1, 40);
        node.handle(Event::StatusReply(backend(BEHIND), replica));
        let empty = status(BackendRole::Replica, 0, 0);
        node.handle(Event::StatusReply(backend(AHEAD), empty));
    }
    node.advance(400);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Guards against an outage of writes after the loss of a primary, when a replica was lost long before.
#[test]
fn an_ended_member_leaves_the_record_once_the_others_have_received_the_log() {
    let mut node = node_that_misses_a_replica();
    node.advance(1_000);
    answer_reviews(&mut node, |id, _| match id.as_str() {
        OLD => running(BackendRole::Primary, 50),
        AHEAD => MemberCallResult::Refused,
        _ => running(BackendRole::Replica, 50),
    });
    node.handle(Event::InSyncRecord(
        service(),
        record_version(6),
        record([OLD, BEHIND]),
    ));
    lose_primary(&mut node);
    let promoted = node.promotions().into_iter().map(|(target, _)| target);
    assert_eq!(promoted.collect::<Vec<_>>(), [backend(BEHIND)]);
}

fn last_record_after_reviews(missing: MemberCallResult, remaining: u64) -> Option<InSyncRecord> {
    let mut node = node_that_misses_a_replica();
    let mut last = None;
    for _ in 0..12 {
        node.advance(1_000);
        loop {
            last = recorded_writes(&node).pop().or(last);
            let calls = review_calls(&mut node);
            if calls.is_empty() {
                break;
            }
            for call in calls {
                let result = match call.backend.as_str() {
                    OLD => running(BackendRole::Primary, 50),
                    AHEAD => missing,
                    _ => running(BackendRole::Replica, remaining),
                };
                node.handle(Event::MemberReviewed(call, result));
            }
        }
    }
    last
}

#[test]
fn only_ended_members_whose_commits_the_others_have_leave_the_record() {
    let without_it = Some(record([OLD, BEHIND]));
    assert_eq!(
        last_record_after_reviews(MemberCallResult::Refused, 50),
        without_it
    );
    assert_eq!(
        last_record_after_reviews(MemberCallResult::Silent, 50),
        without_it
    );
    assert_eq!(
        last_record_after_reviews(MemberCallResult::Refused, 49),
        None
    );
    assert_eq!(last_record_after_reviews(MemberCallResult::Busy, 50), None);
    let is_running = running(BackendRole::Replica, 50);
    assert_eq!(last_record_after_reviews(is_running, 50), None);
}

/// Guards against the loss of an acknowledged commit: the leader that discovery lists has been replaced, and the missing
/// member has acknowledged commits of its successor.
#[test]
fn a_replaced_leader_accounts_for_no_missing_member() {
    let mut node = node_that_misses_a_replica();
    for _ in 0..12 {
        node.advance(1_000);
        assert_eq!(recorded_writes(&node), []);
        answer_reviews(&mut node, |id, _| match id.as_str() {
            OLD => running(BackendRole::Primary, 50),
            AHEAD => MemberCallResult::Refused,
            _ => MemberCallResult::Answered(status(BackendRole::Primary, 2, 60).unwrap()),
        });
    }
}

/// A member that is only cut off from discovery and from this node still receives the log.
#[test]
fn a_member_that_a_peer_reaches_stays_in_the_record() {
    let mut node = node_that_misses_a_replica();
    node.handle(Event::RelayPeers(vec![PEER]));
    for _ in 0..12 {
        node.advance(1_000);
        let writes = recorded_writes(&node);
        assert_eq!(writes, []);
        answer_reviews(&mut node, |id, via| match (id.as_str(), via) {
            (OLD, _) => running(BackendRole::Primary, 50),
            (AHEAD, Via::Direct) => MemberCallResult::Refused,
            _ => running(BackendRole::Replica, 50),
        });
    }
}

#[test]
fn no_member_leaves_while_too_few_would_stay() {
    for (synchronous_replicas, leaves) in [(1, true), (2, false)] {
        let mut node = node_that_misses_a_replica();
        let group = GroupState {
            synchronous_replicas,
            ..without(synchronous_group(), AHEAD)
        };
        node.set_group(group);
        review_to_the_end(&mut node, MemberCallResult::Refused);
        let has_left = recorded_writes(&node).contains(&record([OLD, BEHIND]));
        assert_eq!(has_left, leaves, "{synchronous_replicas}");
    }
}

/// A group whose most advanced replica has gone, and which another member has joined at this address.
fn promotions_with_successor(is_planned: bool, address: u8) -> usize {
    let mut node = node();
    let all = record([OLD, BEHIND, AHEAD]);
    node.handle(in_sync_listing(0, [(record_version(5), all)]));
    let mut group = synchronous_group();
    if let Some(member) = group.members.get_mut(&backend(AHEAD)) {
        member.is_leaving = is_planned;
    }
    node.set_group(group.clone());
    let mut group = without(group, AHEAD);
    let successor = member_at(address, BackendRole::Replica);
    group.members.insert(backend(SUCCESSOR), successor);
    node.set_group(group);
    node.observe(LeaderEvidence::Refused);
    node.advance(100);
    node.handle(written(7));
    for _ in 0..2 {
        for member in [BEHIND, SUCCESSOR] {
            let status = status(BackendRole::Replica, 1, 40);
            node.handle(Event::StatusReply(backend(member), status));
        }
    }
    node.advance(400);
    node.promotions().len()
}

/// The log of a member that leaves as planned passes to the new member at its address; that of a member that crashed
/// does not.
#[test]
fn a_replica_that_left_as_planned_is_not_missed_once_it_has_a_successor() {
    assert_eq!(promotions_with_successor(true, 3), 1);
    assert_eq!(promotions_with_successor(true, 4), 0);
    assert_eq!(promotions_with_successor(false, 3), 0);
    assert_eq!(promotions_with_successor(false, 4), 0);
}

#[test]
fn a_restored_store_that_lists_nothing_loses_no_member() {
    let mut node = node_that_misses_a_replica();
    node.handle(Event::InSyncRecords {
        era: 2,
        records: BTreeMap::new(),
    });
    lose_primary(&mut node);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}
