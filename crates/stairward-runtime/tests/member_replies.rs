//! A reply of a member counts as the answer to a request only if it can't be a repetition of an earlier reply.

use bytes::Bytes;
use stairward_engine::{
    BackendError, BackendErrorCode, BackendReply, ReplyDoubt, TransactionStatus,
};
use stairward_runtime::MemberRequest;
use stairward_runtime::member_replies::{MemberReplies, MemberVerdict};
use stairward_types::{BackendRole, Freshness, LogPosition, MemberStatus, Term};

fn position(number: u64) -> Freshness {
    Freshness::new(Term(3), LogPosition(number))
}

fn status(received: u64) -> MemberStatus {
    MemberStatus {
        role: BackendRole::Replica,
        term: Term(3),
        received: position(received),
        held: Term(0),
    }
}

fn report(received: u64) -> BackendReply {
    BackendReply {
        rows: vec![Bytes::from(format!("replica 3 3.{received} 0 0 0 1"))],
        result: Ok(None),
        status: TransactionStatus::Idle,
        position: Some(position(received)),
        member: Some(status(received)),
    }
}

fn busy() -> BackendReply {
    let error = BackendError {
        code: BackendErrorCode::Busy,
        text: String::new(),
    };
    BackendReply {
        rows: Vec::new(),
        result: Err(error),
        member: None,
        ..report(40)
    }
}

const HOLD: MemberRequest = MemberRequest::Hold(Term(5));

#[test]
fn the_first_reply_of_a_connection_is_the_answer() {
    let mut replies = MemberReplies::default();
    let verdict = replies.judge(MemberRequest::Status, &report(40));
    assert_eq!(verdict, MemberVerdict::Answer(status(40)));
    assert!(replies.accepts_requests());
}

#[test]
fn a_copy_of_any_earlier_reply_is_no_answer() {
    let mut replies = MemberReplies::default();
    for received in 40..50 {
        let verdict = replies.judge(MemberRequest::Status, &report(received));
        assert_eq!(verdict, MemberVerdict::Answer(status(received)));
    }
    for received in 40..50 {
        let verdict = replies.judge(HOLD, &report(received));
        let expected = MemberVerdict::Doubted(ReplyDoubt::PossibleRepetition);
        assert_eq!(verdict, expected);
    }
}

/// Guards against a stale report that is told apart only by a field that the node does not use.
#[test]
fn a_reply_that_differs_in_an_unused_field_is_new() {
    let mut replies = MemberReplies::default();
    replies.judge(MemberRequest::Status, &report(40));
    let mut later = report(40);
    later.rows = vec![Bytes::from("replica 3 3.40 0 12 0 1")];
    let verdict = replies.judge(HOLD, &later);
    assert_eq!(verdict, MemberVerdict::Answer(status(40)));
}

#[test]
fn a_reply_without_a_status_is_no_answer() {
    let without_rows = BackendReply {
        rows: Vec::new(),
        member: None,
        ..report(40)
    };
    let signed = BackendReply {
        result: Ok(Some("7.1f3".to_owned())),
        ..report(40)
    };
    for reply in [without_rows, signed] {
        let verdict = MemberReplies::default().judge(MemberRequest::Status, &reply);
        let expected = MemberVerdict::Doubted(ReplyDoubt::UnexpectedShape);
        assert_eq!(verdict, expected);
    }
}

#[test]
fn a_refusal_that_equals_an_earlier_one_ends_the_use_for_other_requests() {
    let mut replies = MemberReplies::default();
    let verdict = replies.judge(MemberRequest::Status, &busy());
    assert_eq!(verdict, MemberVerdict::Unanswered);
    assert!(replies.accepts_requests());
    let verdict = replies.judge(MemberRequest::Status, &busy());
    assert_eq!(verdict, MemberVerdict::Unanswered);
    // A later report answers this request, whichever time it was sent.
    let verdict = replies.judge(MemberRequest::Status, &report(40));
    assert_eq!(verdict, MemberVerdict::Answer(status(40)));
    assert!(!replies.accepts_requests());
}

#[test]
fn a_report_that_is_not_sufficient_is_asked_for_again() {
    let request = MemberRequest::Received(position(42));
    let mut replies = MemberReplies::default();
    let verdict = replies.judge(request, &report(40));
    assert_eq!(verdict, MemberVerdict::Insufficient(status(40)));
    assert_eq!(
        replies.judge(request, &report(40)),
        MemberVerdict::Unanswered
    );
    let verdict = replies.judge(request, &report(42));
    assert_eq!(verdict, MemberVerdict::Answer(status(42)));
    assert!(!replies.accepts_requests());
}

#[test]
fn a_connection_with_many_replies_is_not_used_again() {
    let mut replies = MemberReplies::default();
    let mut requests = 0;
    while replies.accepts_requests() {
        replies.judge(MemberRequest::Status, &report(requests));
        requests += 1;
    }
    assert_eq!(requests, 64);
}
