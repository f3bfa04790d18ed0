//! Messages between nodes in front of databases that elect no primary themselves: statements forwarded
//! to a node that holds connections, documents and feeds for a node that can't read the metadata store,
//! and coordination of failover and of tenants' limits.

use deku::prelude::*;

use crate::field::{ByteString, OptionalFreshness, Text};

/// A session variable.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct SessionValue {
    /// The variable's name.
    pub name: ByteString,
    /// The variable's value.
    pub value: ByteString,
}

/// A statement to run for a session of another node, with the session state that it needs.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ForwardedStatement {
    /// The session id, assigned by the sender.
    pub session: u64,
    /// The request id, assigned by the sender; the answer repeats it.
    pub request: u64,
    /// The database that the session requested.
    pub database: Text,
    /// The revision of the configuration in force at the sender.
    pub revision: u64,
    /// The client's tenant, as authenticated by the sender; empty when there is none.
    pub tenant: Text,
    /// 1 when the session has a transaction open at the receiver, else 0.
    pub in_transaction: u8,
    /// Remaining time that the sender waits for an answer, in milliseconds.
    pub time_left_milliseconds: u32,
    /// Position of the session's newest commit.
    pub commit: OptionalFreshness,
    #[deku(update = "self.values.len()")]
    value_count: u16,
    /// The session's variables.
    #[deku(count = "value_count")]
    pub values: Vec<SessionValue>,
    /// Access of the prepared statement that is executed: 0 none, 1 read, 2 write.
    pub prepared_access: u8,
    /// Shape of the prepared statement.
    pub prepared_shape: ByteString,
    /// The kind of the statement, a [`StatementTag`].
    pub tag: u8,
    /// The caller's id of the statement.
    pub id: ByteString,
    /// The statement's text, or the arguments of the prepared statement.
    pub text: ByteString,
}

/// The kinds of statements that are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementTag {
    /// Opens a transaction.
    Begin = 1,
    /// Opens a read-only transaction.
    BeginRead = 2,
    /// Commits the transaction.
    Commit = 3,
    /// Rolls the transaction back.
    Rollback = 4,
    /// A statement that only reads.
    Read = 5,
    /// A statement that writes.
    Write = 6,
    /// Executes a prepared statement.
    Execute = 7,
}

impl StatementTag {
    /// The kind with this number; none when there is no such kind.
    #[must_use]
    pub const fn from_number(number: u8) -> Option<Self> {
        Some(match number {
            1 => Self::Begin,
            2 => Self::BeginRead,
            3 => Self::Commit,
            4 => Self::Rollback,
            5 => Self::Read,
            6 => Self::Write,
            7 => Self::Execute,
            _ => return None,
        })
    }
}

impl ForwardedStatement {
    /// Sets the session's variables and their count.
    #[must_use]
    pub fn with_values(mut self, values: Vec<SessionValue>) -> Self {
        self.value_count = u16::try_from(values.len()).unwrap_or(u16::MAX);
        self.values = values;
        self.values.truncate(usize::from(u16::MAX));
        self
    }

    /// A statement without session variables.
    #[must_use]
    #[allow(
        clippy::too_many_arguments,
        reason = "one argument for each field of the message"
    )]
    pub fn new(
        session: u64,
        request: u64,
        database: &str,
        revision: u64,
        tenant: &str,
        in_transaction: bool,
        time_left_milliseconds: u32,
        commit: OptionalFreshness,
        prepared_access: u8,
        prepared_shape: Vec<u8>,
        tag: StatementTag,
        id: Vec<u8>,
        text: Vec<u8>,
    ) -> Self {
        Self {
            session,
            request,
            database: Text::new(database),
            revision,
            tenant: Text::new(tenant),
            in_transaction: u8::from(in_transaction),
            time_left_milliseconds,
            commit,
            value_count: 0,
            values: Vec::new(),
            prepared_access,
            prepared_shape: ByteString::new(prepared_shape),
            tag: tag as u8,
            id: ByteString::new(id),
            text: ByteString::new(text),
        }
    }
}

/// The answer to a forwarded statement.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ForwardedAnswer {
    /// The session id from the request.
    pub session: u64,
    /// The request id from the request.
    pub request: u64,
    /// 0 completed without a signature, 1 completed with one, 2 refused by the node, 3 failed at the back
    /// end.
    pub outcome: u8,
    /// The result code of a refusal, or the number of the back end's error.
    pub code: u16,
    /// Suggested delay before the caller retries, in milliseconds; 0 when unknown.
    pub retry_after_milliseconds: u32,
    /// The signature, or the text of the error.
    pub text: ByteString,
    /// Transaction status: 0 idle, 1 in a transaction, 2 in a failed transaction.
    pub status: u8,
    /// Log position of the back end.
    pub position: OptionalFreshness,
    /// Number of rows that follow.
    pub row_count: u32,
    /// The rows.
    #[deku(count = "row_count")]
    pub rows: Vec<ByteString>,
}

/// A watcher's report of a feed, which consists of all objects of one kind in the metadata store.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct FeedStateMessage {
    /// The feed's name.
    pub name: Text,
    /// The revision of the watcher's state.
    pub at: u64,
    /// Time between the store's confirmation of this revision and this message, in microseconds.
    pub age_microseconds: u64,
    /// Time on the watcher's own clock at which the revision was the newest, in microseconds; 0 when unknown.
    pub current_at_microseconds: u64,
    /// The kind of `content`: [`Self::UNCHANGED`], [`Self::CHANGES`], [`Self::WHOLE`] or [`Self::SINCE`].
    pub kind: u8,
    /// With [`Self::SINCE`], the receiver's revision that the changes start from; else 0.
    pub since: u64,
    /// With [`Self::SINCE`], the digest of all objects at the watcher; else 0.
    pub digest: u64,
    /// The compressed content.
    pub content: ByteString,
}

impl FeedStateMessage {
    /// Nothing has changed since the watcher's previous report.
    pub const UNCHANGED: u8 = 0;
    /// The changes since the watcher's previous report.
    pub const CHANGES: u8 = 1;
    /// All objects.
    pub const WHOLE: u8 = 2;
    /// The changes after the revision that the receiver held.
    pub const SINCE: u8 = 3;
}

/// A request to a member of a group, which the receiver forwards to the member.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MemberRequestMessage {
    /// The service.
    pub service: Text,
    /// The member's id.
    pub backend: Text,
    /// The member's IPv4 address.
    pub address: [u8; 4],
    /// The member's port.
    pub port: u16,
    /// The request: [`Self::STEP_DOWN`], [`Self::HOLD`] or [`Self::STATUS`].
    pub request: u8,
    /// The term of the request; 0 if it has none.
    pub term: u64,
}

impl MemberRequestMessage {
    /// Asks the member to step down as primary in favour of the term.
    pub const STEP_DOWN: u8 = 0;
    /// Asks the member to receive no log of terms below this one.
    pub const HOLD: u8 = 1;
    /// Asks for the member's status.
    pub const STATUS: u8 = 2;
}

/// The result of a forwarded [`MemberRequestMessage`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MemberReplyMessage {
    /// The result: [`Self::SILENT`], [`Self::REFUSED`], [`Self::PRIMARY`], [`Self::REPLICA`],
    /// [`Self::STEPPED_DOWN`] or [`Self::BUSY`].
    pub kind: u8,
    /// The newest term that the member knows.
    pub term: u64,
    /// Log position up to which the member has received.
    pub received: OptionalFreshness,
    /// The term below which the member receives no log.
    pub held: u64,
}

impl MemberReplyMessage {
    /// The member did not answer.
    pub const SILENT: u8 = 0;
    /// Nothing listens at the member's address, or another back end does.
    pub const REFUSED: u8 = 1;
    /// The member answered as primary.
    pub const PRIMARY: u8 = 2;
    /// The member answered as replica.
    pub const REPLICA: u8 = 3;
    /// The member was primary, stepped down on the request, and answered as replica.
    pub const STEPPED_DOWN: u8 = 4;
    /// The member is running, but had no capacity to answer.
    pub const BUSY: u8 = 5;
}

/// A node's demand of operations for one rate-limited tenant.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitDemand {
    /// The tenant.
    pub tenant: Text,
    /// Number of operations that wait.
    pub waiting: u32,
    /// Number of operations expected soon.
    pub ahead: u32,
}

/// A request to the coordinator of a shard of tenants' limits. It may also lend the coordinator the
/// sender's share of the limits.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitRequest {
    /// The sender's node id.
    pub node: u64,
    /// The shard of tenants.
    pub shard: u8,
    /// Sequence number of the request; the grant repeats it.
    pub sequence: u64,
    /// Upper bound of the number of nodes.
    pub nodes: u32,
    /// 1 when the sender lends its share, else 0.
    pub lends: u8,
    /// The receiver's incarnation from which the loan counts, as the receiver last reported it.
    pub incarnation: u64,
    /// The time from which the loan counts, in microseconds of the receiver's clock.
    pub lent_at_microseconds: u64,
    /// Number of demands that follow.
    #[deku(update = "self.wants.len()")]
    pub want_count: u16,
    /// The demands.
    #[deku(count = "want_count")]
    pub wants: Vec<LimitDemand>,
}

/// The operations granted for one tenant.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitGranted {
    /// The tenant.
    pub tenant: Text,
    /// Number of granted operations.
    pub count: u32,
    /// Number of waiting operations that were not granted.
    pub unmet: u32,
    /// Estimated delay until the first of them can be granted, in milliseconds.
    pub retry_after_milliseconds: u32,
    /// Estimated additional delay for each further one, in microseconds.
    pub spacing_microseconds: u32,
}

/// A coordinator's answer to a [`LimitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitGrant {
    /// The shard of tenants.
    pub shard: u8,
    /// Sequence number of the request.
    pub sequence: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sender's time, in microseconds of its clock.
    pub at_microseconds: u64,
    /// Upper bound of the number of nodes.
    pub nodes: u32,
    /// Number of tenants that follow.
    #[deku(update = "self.granted.len()")]
    pub granted_count: u16,
    /// One entry for each demand.
    #[deku(count = "granted_count")]
    pub granted: Vec<LimitGranted>,
}

/// A requested promotion.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct PromotionMessage {
    /// The service.
    pub service: Text,
    /// The newest term that was announced to the sender and may still begin; 0 if there is none.
    pub announced: u64,
    /// The member whose promotion was requested last; empty if none was.
    pub leader: Text,
    /// The term for which it was requested.
    pub term: u64,
    /// 1 if the request is unanswered, otherwise 0.
    pub is_pending: u8,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big", id_type = "u8")]
pub enum NodeMessage {
    /// Requests a document as the receiver last read it from the store.
    #[deku(id = "1")]
    QueryDocument {
        /// The document's name.
        name: Text,
    },
    /// A document; its content is empty when the sender has none.
    #[deku(id = "2")]
    Document {
        /// The document's name.
        name: Text,
        /// Its content.
        content: ByteString,
    },
    /// Forwards a statement to run.
    #[deku(id = "3")]
    Forward(ForwardedStatement),
    /// Answers a forwarded statement.
    #[deku(id = "4")]
    Answer(ForwardedAnswer),
    /// Requests the log position of a service's leader.
    #[deku(id = "6")]
    QueryPosition {
        /// The service.
        service: Text,
        /// Time of the query on the sender's clock; the answer repeats it.
        asked_at_microseconds: u64,
    },
    /// Answers [`Self::QueryPosition`] with what the sender knows.
    #[deku(id = "7")]
    Position {
        /// The service.
        service: Text,
        /// The time from the query.
        asked_at_microseconds: u64,
        /// The leader's log position, if known.
        position: OptionalFreshness,
        /// Time between the sender's query to the leader and this answer.
        age_microseconds: u64,
    },
    /// Subscribes to a feed's state: the receiver sends it now and after each change or confirmation.
    #[deku(id = "8")]
    SubscribeFeed {
        /// The feed's name.
        name: Text,
        /// The revision that the sender holds; 0 when it holds none.
        known: u64,
    },
    /// Ends the sender's subscription to a feed.
    #[deku(id = "9")]
    UnsubscribeFeed {
        /// The feed's name.
        name: Text,
    },
    /// The sender has applied the changes of a feed that it lacked, from the receiver or from another
    /// watcher.
    #[deku(id = "26")]
    FeedApplied {
        /// The feed's name.
        name: Text,
        /// The revision that the sender holds now.
        held: u64,
    },
    /// Requests the receiver's clock, to which the sender relates the times in the receiver's messages.
    #[deku(id = "28")]
    QueryClock {
        /// Time of the query on the sender's clock; the answer repeats it.
        asked_at_microseconds: u64,
    },
    /// Answers [`Self::QueryClock`].
    #[deku(id = "29")]
    Clock {
        /// The time from the query.
        asked_at_microseconds: u64,
        /// Time of this answer on the answering node's clock.
        answered_at_microseconds: u64,
    },
    /// Checks that the receiver is alive.
    #[deku(id = "11")]
    Ping,
    /// Answers [`Self::Ping`].
    #[deku(id = "12")]
    Pong,
    /// Announces that a replica is about to be promoted in a term: the receiver must no longer accept a
    /// leader of a lower term.
    #[deku(id = "17")]
    RevokeLeader {
        /// The service.
        service: Text,
        /// The term of the promotion.
        term: u64,
    },
    /// Reports the complete list of back ends that do not answer the sender.
    #[deku(id = "20")]
    SilentBackends {
        /// The sender's node id.
        node: u64,
        /// Number of back ends that follow.
        #[deku(update = "backends.len()")]
        count: u16,
        /// Their ids.
        #[deku(count = "count")]
        backends: Vec<Text>,
    },
    /// Confirms to a node that reported a back end as silent that the sender has probed it and got no
    /// answer either.
    #[deku(id = "27")]
    ConfirmSilentBackend {
        /// The sender's node id.
        node: u64,
        /// The back end's id.
        backend: Text,
    },
    /// Announces that no promotion announced by [`Self::RevokeLeader`] is in progress any more.
    #[deku(id = "19")]
    PromotionEnded {
        /// The service.
        service: Text,
    },
    /// Announces that the sender has requested a promotion, or has received the answer.
    #[deku(id = "30")]
    AnnouncePromotion(PromotionMessage),
    /// Requests the promotions that the receiver knows of.
    #[deku(id = "31")]
    QueryPromotions,
    /// Answers [`Self::QueryPromotions`].
    #[deku(id = "32")]
    Promotions {
        /// Number of services that follow.
        #[deku(update = "promotions.len()")]
        count: u16,
        /// One entry for each service.
        #[deku(count = "count")]
        promotions: Vec<PromotionMessage>,
    },
    /// Answers [`Self::RevokeLeader`]: the sender no longer accepts a leader of a lower term.
    #[deku(id = "18")]
    LeaderRevoked {
        /// The newest term of the service that the sender knows to have begun.
        newest: u64,
    },
    /// Requests the receiver's knowledge of a service's leadership.
    #[deku(id = "15")]
    QueryLeader {
        /// The service.
        service: Text,
        /// Time of the query on the sender's clock; the answer repeats it.
        asked_at_microseconds: u64,
    },
    /// Answers [`Self::QueryLeader`].
    #[deku(id = "16")]
    LeaderStatus {
        /// The service.
        service: Text,
        /// The time from the query.
        asked_at_microseconds: u64,
        /// The newest term that may have begun.
        possible_term: u64,
        /// Time between the sender's query to the members and this answer.
        age_microseconds: u64,
    },
    /// Asks the receiver to forward a request to a member of a group. A link carries one such request and
    /// is then closed.
    #[deku(id = "13")]
    ForwardMemberRequest(MemberRequestMessage),
    /// Answers [`Self::ForwardMemberRequest`].
    #[deku(id = "14")]
    MemberReply(MemberReplyMessage),
    /// Reports a feed's state to a subscriber.
    #[deku(id = "10")]
    FeedState(FeedStateMessage),
    /// Requests operations for rate-limited tenants.
    #[deku(id = "21")]
    RequestLimit(LimitRequest),
    /// Answers [`Self::RequestLimit`].
    #[deku(id = "22")]
    GrantLimit(LimitGrant),
    /// A session of the sender has ended.
    #[deku(id = "5")]
    CloseSession {
        /// The session id, assigned by the sender.
        session: u64,
    },
}
