//! Messages between nodes that share databases which elect nobody: documents for a node that can't read
//! the store, and statements run for a node that holds no connections.

use deku::prelude::*;

use crate::field::{ByteString, OptionalFreshness, Text};

/// A value of a session.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct SessionValue {
    /// Its name.
    pub name: ByteString,
    /// The value.
    pub value: ByteString,
}

/// A statement to run for a session of another node, with all of the session that it needs.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ForwardedStatement {
    /// The session, by the sender's number.
    pub session: u64,
    /// The request, by the sender's number; its answer carries it back.
    pub request: u64,
    /// The database that the session asked for.
    pub database: Text,
    /// The revision of the configuration in force at the sender.
    pub revision: u64,
    /// The tenant whose client it is, as the sender has checked; empty where there is none.
    pub tenant: Text,
    /// 1 when the session has a transaction open at the receiver, else 0.
    pub in_transaction: u8,
    /// How long the sender waits for an answer, in milliseconds.
    pub time_left_milliseconds: u32,
    /// The session's newest commit.
    pub commit: OptionalFreshness,
    #[deku(update = "self.values.len()")]
    value_count: u16,
    /// The session's values.
    #[deku(count = "value_count")]
    pub values: Vec<SessionValue>,
    /// What the statement runs that was prepared: 0 nothing, 1 a read, 2 a write.
    pub prepared_access: u8,
    /// The prepared shape.
    pub prepared_shape: ByteString,
    /// The statement's kind, as [`StatementTag`] numbers it.
    pub tag: u8,
    /// The caller's id of the statement.
    pub id: ByteString,
    /// Its text, or the arguments of what was prepared.
    pub text: ByteString,
}

/// The kinds of statements that are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementTag {
    /// Opens a transaction.
    Begin = 1,
    /// Opens a transaction that only reads.
    BeginRead = 2,
    /// Ends the transaction and keeps it.
    Commit = 3,
    /// Ends the transaction and undoes it.
    Rollback = 4,
    /// Reads.
    Read = 5,
    /// Writes.
    Write = 6,
    /// Runs what was prepared.
    Execute = 7,
}

impl StatementTag {
    /// The kind of a number.
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
    /// Sets the values and their count.
    #[must_use]
    pub fn with_values(mut self, values: Vec<SessionValue>) -> Self {
        self.value_count = u16::try_from(values.len()).unwrap_or(u16::MAX);
        self.values = values;
        self.values.truncate(usize::from(u16::MAX));
        self
    }

    /// A statement without values.
    #[must_use]
    #[allow(
        clippy::too_many_arguments,
        reason = "one for each field of the message"
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

/// How a forwarded statement ended.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ForwardedAnswer {
    /// The session, by the other side's number.
    pub session: u64,
    /// The request, by the other side's number.
    pub request: u64,
    /// 0 completed without a signature, 1 completed with one, 2 refused by the node, 3 failed at the back
    /// end.
    pub outcome: u8,
    /// The result code of a refusal, or the number of the back end's error.
    pub code: u16,
    /// When the caller may come back, in milliseconds; 0 where that is not said.
    pub retry_after_milliseconds: u32,
    /// The signature, or the text of the error.
    pub text: ByteString,
    /// 0 no transaction, 1 an open one, 2 a failed one.
    pub status: u8,
    /// How far the back end's log had come.
    pub position: OptionalFreshness,
    /// Rows.
    pub row_count: u32,
    /// The rows.
    #[deku(count = "row_count")]
    pub rows: Vec<ByteString>,
}

/// A watcher's word of a feed: the objects of one kind that the metadata store holds.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct FeedStateMessage {
    /// The feed.
    pub name: Text,
    /// The revision of the watcher's state.
    pub at: u64,
    /// How long before this message the store confirmed it, in microseconds.
    pub age_microseconds: u64,
    /// A moment at which it was the newest, on the watcher's own clock, in microseconds; 0 where none is known.
    pub current_at_microseconds: u64,
    /// What `content` is: [`Self::UNCHANGED`], [`Self::CHANGES`], [`Self::WHOLE`] or [`Self::SINCE`].
    pub kind: u8,
    /// With [`Self::SINCE`]: the revision that the receiver held; else 0.
    pub since: u64,
    /// With [`Self::SINCE`]: the digest of all objects as the watcher has them; else 0.
    pub digest: u64,
    /// The content, compressed.
    pub content: ByteString,
}

impl FeedStateMessage {
    /// Nothing has changed since the watcher's last word.
    pub const UNCHANGED: u8 = 0;
    /// What has changed since then.
    pub const CHANGES: u8 = 1;
    /// All objects.
    pub const WHOLE: u8 = 2;
    /// What has changed after the revision that the receiver held.
    pub const SINCE: u8 = 3;
}

/// A question to a member of a group, to be passed on.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MemberRequestMessage {
    /// The service.
    pub service: Text,
    /// The member's id.
    pub backend: Text,
    /// The member's IPv4 address and port.
    pub address: [u8; 4],
    /// The port.
    pub port: u16,
    /// What is asked: [`Self::STEP_DOWN`] or [`Self::HOLD`].
    pub request: u8,
    /// The term that it is asked with.
    pub term: u64,
}

impl MemberRequestMessage {
    /// Give way to the term.
    pub const STEP_DOWN: u8 = 0;
    /// Don't receive in any term below this one.
    pub const HOLD: u8 = 1;
}

/// What came of a question that was passed on.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct MemberReplyMessage {
    /// [`Self::SILENT`], [`Self::REFUSED`], [`Self::PRIMARY`], [`Self::REPLICA`] or [`Self::STEPPED_DOWN`].
    pub kind: u8,
    /// The newest term that the member knows.
    pub term: u64,
    /// How much of the log it has received.
    pub received: OptionalFreshness,
    /// Below which term it does not receive.
    pub held: u64,
}

impl MemberReplyMessage {
    /// The member gave no answer.
    pub const SILENT: u8 = 0;
    /// Nothing listens at its address.
    pub const REFUSED: u8 = 1;
    /// It answered as primary.
    pub const PRIMARY: u8 = 2;
    /// It answered as replica.
    pub const REPLICA: u8 = 3;
    /// It led until it was asked, and answered as replica.
    pub const STEPPED_DOWN: u8 = 4;
}

/// Operations that a node wants for a tenant with a limit.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitDemand {
    /// The tenant.
    pub tenant: Text,
    /// Operations that wait.
    pub waiting: u32,
    /// Operations that will most likely come soon.
    pub ahead: u32,
}

/// A question to the coordinator of some tenants' limits, and the loan of the sender's share.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitRequest {
    /// The sender.
    pub node: u64,
    /// The group of tenants.
    pub shard: u8,
    /// The question's number; the answer carries it back.
    pub sequence: u64,
    /// How many nodes there may be.
    pub nodes: u32,
    /// 1 when the sender lends its share, else 0.
    pub lends: u8,
    /// The receiver's life and moment that the loan counts from, as it last told them.
    pub incarnation: u64,
    /// The moment, in microseconds of the receiver's clock.
    pub lent_at_microseconds: u64,
    /// How many wants follow.
    #[deku(update = "self.wants.len()")]
    pub want_count: u16,
    /// What is wanted.
    #[deku(count = "want_count")]
    pub wants: Vec<LimitDemand>,
}

/// What a tenant gets.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitGranted {
    /// The tenant.
    pub tenant: Text,
    /// Operations.
    pub count: u32,
    /// Operations that wait and got none.
    pub unmet: u32,
    /// When there is most likely room for the first of them.
    pub retry_after_milliseconds: u32,
    /// How much later there is for each one after it.
    pub spacing_microseconds: u32,
}

/// A coordinator's answer.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct LimitGrant {
    /// The group of tenants.
    pub shard: u8,
    /// The question's number.
    pub sequence: u64,
    /// The sender's life.
    pub incarnation: u64,
    /// The sender's moment, in microseconds of its clock.
    pub at_microseconds: u64,
    /// How many nodes there may be.
    pub nodes: u32,
    /// How many tenants follow.
    #[deku(update = "self.granted.len()")]
    pub granted_count: u16,
    /// One for each want.
    #[deku(count = "granted_count")]
    pub granted: Vec<LimitGranted>,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big", id_type = "u8")]
pub enum NodeMessage {
    /// Asks for a document as the other node last read it from the store.
    #[deku(id = "1")]
    QueryDocument {
        /// The document's name.
        name: Text,
    },
    /// A document; empty where the node has none.
    #[deku(id = "2")]
    Document {
        /// The document's name.
        name: Text,
        /// Its content.
        content: ByteString,
    },
    /// Run a statement.
    #[deku(id = "3")]
    Forward(ForwardedStatement),
    /// A statement has ended.
    #[deku(id = "4")]
    Answer(ForwardedAnswer),
    /// Asks how far the log of a service's leader had come.
    #[deku(id = "6")]
    QueryPosition {
        /// The service.
        service: Text,
        /// The sender's own moment; the answer carries it back.
        asked_at_microseconds: u64,
    },
    /// What is known of it.
    #[deku(id = "7")]
    Position {
        /// The service.
        service: Text,
        /// From the question.
        asked_at_microseconds: u64,
        /// The position.
        position: OptionalFreshness,
        /// How long before this answer the leader was asked.
        age_microseconds: u64,
    },
    /// Asks to be told of a feed's state, now and after each change or confirmation.
    #[deku(id = "8")]
    SubscribeFeed {
        /// The feed.
        name: Text,
        /// The revision that the sender holds; 0 where it holds nothing.
        known: u64,
    },
    /// The sender no longer follows a feed.
    #[deku(id = "9")]
    UnsubscribeFeed {
        /// The feed.
        name: Text,
    },
    /// The sender has taken over what it lacked of a feed, from the receiver or from another watcher.
    #[deku(id = "26")]
    FeedApplied {
        /// The feed.
        name: Text,
        /// The revision that the sender holds now.
        held: u64,
    },
    /// Asks for the receiver's clock, against which moments in its words are placed.
    #[deku(id = "28")]
    QueryClock {
        /// The sender's own moment; the answer carries it back.
        asked_at_microseconds: u64,
    },
    /// The clock's reading.
    #[deku(id = "29")]
    Clock {
        /// From the question.
        asked_at_microseconds: u64,
        /// The moment of the answer, on the answerer's own clock.
        answered_at_microseconds: u64,
    },
    /// Asks for a sign of life.
    #[deku(id = "11")]
    Ping,
    /// The sign of life.
    #[deku(id = "12")]
    Pong,
    /// Tells that a replica is about to be promoted in a term: no leader of a lower one is to be believed any
    /// more.
    #[deku(id = "17")]
    RevokeLeader {
        /// The service.
        service: Text,
        /// The term.
        term: u64,
    },
    /// Tells which back ends the sender finds silent, whole.
    #[deku(id = "20")]
    SilentBackends {
        /// The sender.
        node: u64,
        /// How many back ends follow.
        #[deku(update = "backends.len()")]
        count: u16,
        /// Their ids.
        #[deku(count = "count")]
        backends: Vec<Text>,
    },
    /// Tells a node that the sender has looked at a back end that it finds silent, and finds it silent too.
    #[deku(id = "27")]
    ConfirmSilentBackend {
        /// The sender.
        node: u64,
        /// The back end's id.
        backend: Text,
    },
    /// Tells that no promotion that was told of is under way any more.
    #[deku(id = "19")]
    PromotionEnded {
        /// The service.
        service: Text,
    },
    /// The sender believes no such leader any more.
    #[deku(id = "18")]
    LeaderRevoked {
        /// The newest term of the service that the sender knows to have begun.
        newest: u64,
    },
    /// Asks what is known of a service's lead.
    #[deku(id = "15")]
    QueryLeader {
        /// The service.
        service: Text,
        /// The sender's own moment; the answer carries it back.
        asked_at_microseconds: u64,
    },
    /// What is known of it.
    #[deku(id = "16")]
    LeaderStatus {
        /// The service.
        service: Text,
        /// From the question.
        asked_at_microseconds: u64,
        /// The newest term that may have begun.
        possible_term: u64,
        /// How long before this answer the members were asked.
        age_microseconds: u64,
    },
    /// Asks to pass a question on to a member of a group. One such question is asked on a link, which then ends.
    #[deku(id = "13")]
    ForwardMemberRequest(MemberRequestMessage),
    /// What came of it.
    #[deku(id = "14")]
    MemberReply(MemberReplyMessage),
    /// A feed's state at a watcher.
    #[deku(id = "10")]
    FeedState(FeedStateMessage),
    /// Asks for operations of tenants with a limit.
    #[deku(id = "21")]
    RequestLimit(LimitRequest),
    /// The answer.
    #[deku(id = "22")]
    GrantLimit(LimitGrant),
    /// A session of the sender has ended.
    #[deku(id = "5")]
    CloseSession {
        /// The session, by the sender's number.
        session: u64,
    },
}
