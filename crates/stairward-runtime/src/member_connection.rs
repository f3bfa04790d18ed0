//! A connection for requests to one member of a group.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{BackendReply, ReplyDoubt};
use stairward_failover::{MemberCallResult, MemberStatus};
use stairward_types::{BackendId, BackendRole, Freshness};
use tokio::io::AsyncReadExt as _;
use tokio::time::Instant;

use crate::backends::OpenedConnection;
use crate::member_replies::{MemberReplies, MemberVerdict};
use crate::wire::{MemberRequest, Wire, log_unencodable};

/// Delay before a request is repeated to a member that was busy, at its connection limit, or had not received enough log.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(15);

/// A reply to a member request that may be a repetition of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoubtedMemberReply {
    /// The member.
    pub backend: BackendId,
    /// The request.
    pub request: MemberRequest,
    /// Why the reply is doubted.
    pub doubt: ReplyDoubt,
    /// What the reply is: a signed success, an unsigned success or an error.
    pub received: &'static str,
    /// The log position that it shows.
    pub position: Option<Freshness>,
    /// Time since the last reply on the connection.
    pub last_reply_age: Option<Duration>,
}

/// Why a connection brought no certain answer.
#[derive(Debug)]
pub(crate) enum RequestFailure {
    /// The connection has ended, or what it sent is no reply.
    Lost,
    /// Replies to earlier requests may still arrive.
    Unmatched,
    /// A reply may be a repetition.
    Doubted(Box<DoubtedMemberReply>),
}

/// A connection for requests to a member.
pub(crate) struct MemberConnection {
    /// Tells connections to the same member apart.
    id: Rc<()>,
    backend: BackendId,
    opened: OpenedConnection,
    replies: MemberReplies,
    last_reply_at: Option<Instant>,
}

impl MemberConnection {
    pub fn new(backend: BackendId, opened: OpenedConnection) -> Self {
        Self {
            id: Rc::default(),
            backend,
            opened,
            replies: MemberReplies::default(),
            last_reply_at: None,
        }
    }

    pub fn id(&self) -> Rc<()> {
        Rc::clone(&self.id)
    }

    pub const fn backend(&self) -> &BackendId {
        &self.backend
    }

    pub fn close(&self) {
        self.opened.outgoing.close();
    }

    /// Whether the next reply on the connection can only answer the next request, or be recognized as a repetition.
    pub fn is_reusable(&self) -> bool {
        self.replies.accepts_requests() && !self.has_unread_bytes()
    }

    /// Whether the member has sent something that answers no request, or has closed the connection.
    fn has_unread_bytes(&self) -> bool {
        let is_silent = matches!(
            self.opened.reading.try_read(&mut [0]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        );
        !self.opened.buffer.is_empty() || !is_silent
    }

    /// Sends a request and waits for its answer. Before a step-down the member's role is queried: only a member that
    /// was primary before proves by its reply that its leadership has ended.
    ///
    /// From `is_late_at` on, a member that has not received the requested position may report what it has.
    ///
    /// # Errors
    /// [`RequestFailure`] if the connection has failed or its replies can't be matched.
    pub async fn request<W: Wire>(
        &mut self,
        request: MemberRequest,
        is_late_at: Instant,
    ) -> Result<MemberCallResult, RequestFailure> {
        let must_have_led = matches!(request, MemberRequest::StepDown(_));
        let led = must_have_led
            && self
                .request_status::<W>(MemberRequest::Status, is_late_at)
                .await?
                .role
                == BackendRole::Primary;
        let status = self.request_status::<W>(request, is_late_at).await?;
        Ok(if led && status.role == BackendRole::Replica {
            MemberCallResult::GaveWay(status)
        } else {
            MemberCallResult::Answered(status)
        })
    }

    /// Sends a request until its answer is sufficient or it is late.
    async fn request_status<W: Wire>(
        &mut self,
        request: MemberRequest,
        is_late_at: Instant,
    ) -> Result<MemberStatus, RequestFailure> {
        if !self.is_reusable() {
            return Err(RequestFailure::Unmatched);
        }
        let mut decoder = W::ReplyDecoder::default();
        let mut latest = None;
        loop {
            let reply = self.exchange::<W>(request, &mut decoder).await?;
            let age = self.last_reply_at.replace(Instant::now());
            match self.replies.judge(request, &reply) {
                MemberVerdict::Answer(status) => return Ok(status),
                MemberVerdict::Insufficient(status) => latest = Some(status),
                MemberVerdict::Unanswered => {}
                MemberVerdict::Doubted(doubt) => {
                    return Err(self.doubted(request, doubt, &reply, age));
                }
            }
            if Instant::now() >= is_late_at
                && let Some(status) = latest
            {
                return Ok(status);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request and reads the next reply.
    async fn exchange<W: Wire>(
        &mut self,
        request: MemberRequest,
        decoder: &mut W::ReplyDecoder,
    ) -> Result<BackendReply, RequestFailure> {
        let mut bytes = BytesMut::new();
        W::encode_member_request(request, &mut bytes)
            .inspect_err(|error| log_unencodable(*error))
            .map_err(|_| RequestFailure::Lost)?;
        let opened = &mut self.opened;
        opened
            .outgoing
            .send(&bytes)
            .map_err(|_| RequestFailure::Lost)?;
        loop {
            let reply = W::decode_reply(decoder, &mut opened.buffer);
            if let Some(reply) = reply.map_err(|_| RequestFailure::Lost)? {
                return Ok(reply);
            }
            let read = opened.reading.read_buf(&mut opened.buffer).await;
            if read.map_err(|_| RequestFailure::Lost)? == 0 {
                return Err(RequestFailure::Lost);
            }
        }
    }

    fn doubted(
        &self,
        request: MemberRequest,
        doubt: ReplyDoubt,
        reply: &BackendReply,
        last_reply_at: Option<Instant>,
    ) -> RequestFailure {
        RequestFailure::Doubted(Box::new(DoubtedMemberReply {
            backend: self.backend.clone(),
            request,
            doubt,
            received: reply.kind_name(),
            position: reply.position,
            last_reply_age: last_reply_at.map(|at| at.elapsed()),
        }))
    }
}
