//! Tells the reply to a request to a member from a repetition of an earlier reply on the same connection.
//!
//! A member may send any of its replies again, at any later moment, and nothing in a reply names the request that it
//! answers. A repetition is an exact copy. Hence a reply that differs from all earlier ones of its connection is
//! certainly new, and the first reply of a connection always is.

use stairward_engine::{BackendReply, ReplyDoubt};
use stairward_failover::MemberStatus;

use crate::wire::MemberRequest;

/// A connection with more different replies is not kept for further requests.
const MAX_REPLIES: usize = 64;

/// What a reply to a member request is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberVerdict {
    /// The answer to the request.
    Answer(MemberStatus),
    /// New, but the member has not received the requested position yet: the request is sent again.
    Insufficient(MemberStatus),
    /// The member did not answer the request, or says again that it has not received enough: the request is sent again.
    Unanswered,
    /// Not certainly the answer: the connection must be closed.
    Doubted(ReplyDoubt),
}

/// The replies of one connection to a member.
#[derive(Debug, Default)]
pub struct MemberReplies {
    received: Vec<BackendReply>,
    /// Whether a reply was taken for the answer to a request although it may have been a repetition. The answers to
    /// all later requests may then each be one behind.
    may_lag: bool,
}

impl MemberReplies {
    /// Judges the next reply to a request and remembers it.
    pub fn judge(&mut self, request: MemberRequest, reply: &BackendReply) -> MemberVerdict {
        let is_new = !self.received.contains(reply);
        if is_new {
            self.received.push(reply.clone());
        }
        match (&reply.result, reply.member) {
            (Ok(None), Some(status)) => self.judge_status(request, status, is_new),
            (Ok(_), _) => MemberVerdict::Doubted(ReplyDoubt::UnexpectedShape),
            (Err(_), _) => {
                self.may_lag |= !is_new;
                MemberVerdict::Unanswered
            }
        }
    }

    fn judge_status(
        &mut self,
        request: MemberRequest,
        status: MemberStatus,
        is_new: bool,
    ) -> MemberVerdict {
        match (is_sufficient(request, status), is_new) {
            (true, true) => MemberVerdict::Answer(status),
            (true, false) => MemberVerdict::Doubted(ReplyDoubt::PossibleRepetition),
            (false, true) => MemberVerdict::Insufficient(status),
            (false, false) => {
                self.may_lag = true;
                MemberVerdict::Unanswered
            }
        }
    }

    /// Whether the next reply can only answer the next request, or be recognized as a repetition.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.may_lag && self.received.len() < MAX_REPLIES
    }
}

fn is_sufficient(request: MemberRequest, status: MemberStatus) -> bool {
    match request {
        MemberRequest::Received(all) => status.received.covers(all),
        MemberRequest::Status
        | MemberRequest::StepDown(_)
        | MemberRequest::Hold(_)
        | MemberRequest::Resume => true,
    }
}
