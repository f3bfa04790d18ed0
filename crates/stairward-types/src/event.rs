//! Numbered log events. docs/EVENTS.md lists them; a test compares the two.

use std::fmt;

/// Severity of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// Requires an operator.
    Error,
    /// A problem that the system handles by itself.
    Warn,
    /// A significant change of state.
    Info,
    /// Detail for diagnosis.
    Debug,
}

macro_rules! log_events {
    ($($(#[doc = $documentation:literal])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// Kind of a log line. Its number is the `event` field of a `tracing` event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum LogEvent {
            $($(#[doc = $documentation])+ $name = $number,)+
        }

        impl LogEvent {
            /// All events, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The severity of the event.
            #[must_use]
            pub const fn level(self) -> LogLevel {
                match self { $(Self::$name => LogLevel::$level,)+ }
            }

            /// The event's name in the list of events.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }
        }
    };
}

log_events! {
    /// The node has started and is listening.
    NodeStarted = 100, Info;
    /// The node has a confirmed configuration and accepts callers.
    NodeReady = 101, Info;
    /// A graceful shutdown has started.
    DrainStarted = 102, Info;
    /// The graceful shutdown is complete; the process exits.
    DrainFinished = 103, Info;
    /// A listener could not be opened or failed.
    ListenerFailed = 104, Error;

    /// A caller's session was refused.
    SessionRefused = 200, Warn;
    /// A caller violated the protocol and was disconnected.
    ProtocolViolated = 201, Warn;
    /// A request was refused as not run.
    RequestRefused = 202, Debug;
    /// A request ended with its outcome unknown.
    OutcomeUnknown = 203, Warn;
    /// A request that has not run is retried on another back end.
    RequestRetried = 204, Debug;
    /// A read that was not answered yet was also sent to another back end.
    RequestHedged = 205, Debug;
    /// A session was refused because its key is missing, unknown or revoked.
    KeyRefused = 206, Warn;
    /// A connection ended before all bytes for its peer were written.
    AnswerUndelivered = 207, Warn;
    /// A caller sent a message that is not a valid statement; the session continues.
    StatementInvalid = 208, Warn;
    /// A message was not sent, because a field of it can't be encoded or it is too large.
    MessageUnencodable = 209, Warn;

    /// A connection to another node was made.
    PeerConnected = 300, Debug;
    /// A connection to another node was lost.
    PeerLost = 301, Warn;
    /// Another node failed to authenticate as a member of this cluster.
    PeerRefused = 302, Warn;
    /// A node does not respond while forwarded statements are outstanding; those that may be repeated are sent to others.
    HolderSilent = 303, Warn;
    /// A silent node responds again.
    HolderHeard = 304, Info;
    /// Applying a watcher's changes to a feed did not give the watcher's objects; the full content is requested.
    FeedInconsistent = 306, Warn;
    /// Traffic of the links to other nodes since the node started: messages and bytes sent and received by kind, and connections opened by purpose. Logged every 10 s.
    PeerTraffic = 305, Info;

    /// This node has become the owner of a back end.
    OwnershipTaken = 400, Info;
    /// This node has released the ownership of a back end.
    OwnershipReleased = 401, Info;
    /// This node's lease on a back end expired before it was renewed.
    LeaseLapsed = 402, Warn;
    /// A back end is unreachable.
    BackendUnreachable = 403, Warn;
    /// A back end is reachable again.
    BackendReachable = 404, Info;
    /// A group has a newer term.
    TermChanged = 405, Info;
    /// A commit could not be proved by a majority in time.
    FenceFailed = 406, Warn;
    /// A back end is leaving, with the maximum age of its announcement and the remaining time for which it gets work.
    BackendLeaving = 407, Info;
    /// A back end that was considered the primary reports that it is not.
    LeadershipDenied = 408, Info;
    /// This node has started a failover of a primary.
    FailoverBegan = 409, Warn;
    /// This node has abandoned a failover.
    FailoverGivenUp = 410, Warn;
    /// This node has chosen the replica to promote and the fencing token.
    PromotionDecided = 411, Warn;
    /// A promotion call was answered or timed out.
    PromotionAnswered = 412, Warn;
    /// A primary that is being replaced is asked to step down.
    StepDownAsked = 413, Warn;
    /// Replicas are put on hold, because the primary that is being replaced did not step down.
    ReplicasHeld = 414, Warn;
    /// The leadership of a primary that is being replaced has ended, with the proof.
    LeadEnded = 415, Warn;
    /// Result of a step-down or hold request to a member.
    MemberAsked = 416, Info;
    /// A replica awaits a later term than the leader's; no more statements are sent to the leader.
    LeadRevoked = 417, Warn;
    /// A replica confirms the leader again.
    LeadConfirmed = 418, Info;
    /// An operator has started or ended the evacuation of a zone.
    EvacuationChanged = 419, Warn;
    /// A back end has just started and gets a reduced load, or has warmed up.
    WarmUpChanged = 420, Info;
    /// A back end accepts no more connections, because other nodes hold more than their share.
    BackendFull = 421, Warn;

    /// This node has checked a back end that another node reported as silent, with the result.
    SilenceVerified = 422, Info;
    /// A leaving back end gets no more work, with the statements sent to it since its announcement arrived.
    BackendLeft = 423, Info;
    /// A back end is no longer leaving.
    BackendStays = 424, Info;
    /// A back end has restarted under the same id; the state of its earlier run is discarded.
    BackendStarted = 425, Info;
    /// A discovery entry of a back end is invalid and ignored; the other entries are used.
    EntryRefused = 426, Warn;
    /// A back end that reports to be primary lacks commits that it had reported before; it must not lead.
    LogLost = 427, Warn;
    /// A promotion was recorded, or its record changed: leaders of earlier terms are not confirmed any more.
    PromotionRecorded = 428, Info;
    /// This node, which may have missed announcements, has asked its peers for them, and may confirm leaders now.
    PeersConsulted = 429, Info;
    /// No replica may be promoted: a member that did not answer may be the only one with an acknowledged commit.
    MembersMissing = 430, Warn;
    /// Members of a synchronous service that discovery does not list were probed, with the result.
    MissingMembersProbed = 431, Info;
    /// Acknowledged commits no longer depend on these members: all others have received them.
    InSyncMembersRemoved = 432, Info;
    /// A reply of a back end does not answer the command that awaits one, or can't be told from an earlier reply.
    ReplyDoubted = 433, Warn;
    /// A back end violated the protocol, and its connection was closed.
    BackendProtocolViolated = 434, Warn;
    /// A coordinator of tenant limits did not answer; another node is used.
    LimitCoordinatorSilent = 450, Warn;

    /// A node has joined or returned.
    MemberJoined = 500, Info;
    /// A node is suspected to have failed.
    MemberSuspected = 501, Debug;
    /// A node was declared failed.
    MemberFailed = 502, Warn;
    /// A node has announced that it is leaving.
    MemberLeft = 503, Info;
    /// A packet without valid authentication was dropped.
    PacketRefused = 504, Warn;

    /// A newer revision of the settings was applied on this node.
    ConfigurationApplied = 600, Info;
    /// A revision was refused, because it is older than the current one or invalid.
    ConfigurationRefused = 601, Warn;
    /// The platform's store does not answer; the current settings stay in effect.
    StoreUnreachable = 602, Warn;
    /// The platform's store answers again.
    StoreReachable = 603, Info;
    /// This node has started reading the store, because it ranks as a watcher or its watchers do not confirm its content.
    WatcherStarted = 604, Info;
    /// This node has stopped reading the store and receives changes from watchers.
    WatcherStopped = 605, Info;
    /// An operator's edit was accepted.
    EditAccepted = 606, Info;
    /// An operator's edit was refused.
    EditRefused = 607, Warn;
    /// Certificates and keys were reloaded.
    CertificatesReloaded = 608, Info;
    /// The process file was reloaded.
    SettingsReloaded = 609, Info;
    /// The platform's store was restored from an older copy: later writes are lost, and its revisions went back.
    StoreRestored = 610, Warn;
    /// The store answered with content of a lower revision than this node holds; the answer is ignored.
    StoreContentLeftOut = 611, Warn;
    /// A restored store has older versions of some objects or lacks them; this node's versions are kept until they are written again or a grace period ends.
    LostObjectsKept = 612, Warn;
    /// The grace period after a restore has ended; these objects were not written again, and the store's content applies.
    LostObjectsGivenUp = 613, Warn;
    /// A page of a listing has no name to continue after; what is held stands for the rest.
    ListingCutShort = 614, Warn;
    /// An item of the store's list, or a whole list from a peer, can't be read and is left out; the others hold.
    StoreItemUnreadable = 615, Warn;
}

impl LogEvent {
    /// The number used in log lines.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "E{:03} {}", self.number(), self.name())
    }
}
