//! Commits that wait for the fence's proof before they are acknowledged.

use stairward_pool::fence::{FenceEffect, FenceEvent, MemberAnswer, QuestionId};
use stairward_types::{Freshness, ResultCode};

use super::claim::{Claim, ClaimRequest};
use super::observation;
use crate::simulate::message::{BatchResult, OwnerMessage, PeerMessage, StreamKey};
use crate::simulate::outbox::Outbox;

/// An answer that waits for the proof of its commit.
#[derive(Debug)]
pub(super) struct WaitingReply {
    pub(super) key: StreamKey,
    pub(super) sequence: u32,
    pub(super) result: BatchResult,
}

impl Claim {
    /// Tells the fence what happened and carries its decisions out.
    pub(super) fn feed_fence(&mut self, event: FenceEvent, out: &mut Outbox<'_>) {
        for effect in self.fence.handle(out.now, event) {
            self.fence_effect(effect, out);
        }
    }

    fn fence_effect(&mut self, effect: FenceEffect, out: &mut Outbox<'_>) {
        match effect {
            FenceEffect::Ask { question, member } => {
                self.requests
                    .push(ClaimRequest::AskMember(question, member));
            }
            FenceEffect::Proved { commit, freshness } => {
                if let Some(waiting) = self.commits.remove(&commit) {
                    let message = OwnerMessage::BatchDone {
                        sequence: waiting.sequence,
                        result: waiting.result,
                        observation: observation(freshness, true, self.pool.waiting()),
                    };
                    let edge = waiting.key.edge;
                    out.peer(edge, PeerMessage::ToEdge(waiting.key, message));
                }
            }
            FenceEffect::NotProved(commit) => {
                if let Some(waiting) = self.commits.remove(&commit) {
                    let message = OwnerMessage::OutcomeUnknown {
                        code: ResultCode::FenceNotProved,
                        observation: None,
                    };
                    let edge = waiting.key.edge;
                    out.peer(edge, PeerMessage::ToEdge(waiting.key, message));
                }
            }
        }
    }

    /// A member has answered, or not, a question of the fence.
    pub(super) fn fence_answered(
        &mut self,
        question: QuestionId,
        answer: Option<(Freshness, bool)>,
        out: &mut Outbox<'_>,
    ) {
        let event = match answer {
            Some((freshness, is_primary)) => FenceEvent::Answered {
                question,
                answer: MemberAnswer {
                    freshness,
                    is_primary,
                },
            },
            None => FenceEvent::Unanswered(question),
        };
        self.feed_fence(event, out);
    }
}
