//! Numbered log events. docs/EVENTS.md is their catalogue; a test compares the two.

use std::fmt;

/// How grave a log event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// Something needs a person.
    Error,
    /// Something is off and handled.
    Warn,
    /// A change of state worth knowing.
    Info,
    /// Detail for finding causes.
    Debug,
}

macro_rules! log_events {
    ($($(#[doc = $documentation:literal])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// A kind of log line. Pass it as the `event` field of a `tracing` line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum LogEvent {
            $($(#[doc = $documentation])+ $name = $number,)+
        }

        impl LogEvent {
            /// Every event, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The level it is logged at.
            #[must_use]
            pub const fn level(self) -> LogLevel {
                match self { $(Self::$name => LogLevel::$level,)+ }
            }

            /// The event's name in the catalogue.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }
        }
    };
}

log_events! {
    /// The node has started and listens.
    NodeStarted = 100, Info;
    /// The node has a confirmed configuration and serves callers.
    NodeReady = 101, Info;
    /// A planned stop has begun.
    DrainStarted = 102, Info;
    /// The planned stop has ended; the process exits.
    DrainFinished = 103, Info;
    /// A listener could not be opened or failed.
    ListenerFailed = 104, Error;

    /// A caller's session was refused.
    SessionRefused = 200, Warn;
    /// A caller broke the protocol and was disconnected.
    ProtocolViolated = 201, Warn;
    /// A request was refused as not run.
    RequestRefused = 202, Debug;
    /// A request ended with its outcome unknown.
    OutcomeUnknown = 203, Warn;
    /// A request that has not run goes to another back end.
    RequestRetried = 204, Debug;
    /// A read without an answer was also sent to another back end.
    RequestHedged = 205, Debug;
    /// A session was refused since its key is missing, not known, or withdrawn.
    KeyRefused = 206, Warn;

    /// A connection to another node was made.
    PeerConnected = 300, Debug;
    /// A connection to another node was lost.
    PeerLost = 301, Warn;
    /// Another node failed to prove that it belongs to this cluster.
    PeerRefused = 302, Warn;
    /// A node that owes answers to forwarded statements gives no sign of life; others get what may be sent again.
    HolderSilent = 303, Warn;
    /// A silent node gave a sign of life again.
    HolderHeard = 304, Info;
    /// What a watcher said had changed of a feed did not give the objects that it has: all of them are asked for.
    FeedInconsistent = 306, Warn;
    /// What the links to other nodes carried since the node began, by kind, as messages and bytes sent and received, and the connections opened, by what for; every 10 s.
    PeerTraffic = 305, Info;

    /// This node has become owner of a back end.
    OwnershipTaken = 400, Info;
    /// This node has given a back end up.
    OwnershipReleased = 401, Info;
    /// This node's lease on a back end lapsed before it was renewed.
    LeaseLapsed = 402, Warn;
    /// A back end cannot be reached.
    BackendUnreachable = 403, Warn;
    /// A back end can be reached again.
    BackendReachable = 404, Info;
    /// A group has a newer term.
    TermChanged = 405, Info;
    /// A commit could not be proved to survive in time.
    FenceFailed = 406, Warn;
    /// A back end leaves, with how long ago it can have said so at the most and for how much longer it gets work.
    BackendLeaving = 407, Info;
    /// A back end taken for the primary says that it is not.
    LeadershipDenied = 408, Info;
    /// This node has begun to replace a primary.
    FailoverBegan = 409, Warn;
    /// This node's attempt to replace a primary came to nothing.
    FailoverGivenUp = 410, Warn;
    /// This node has decided which replica to promote, under which fencing token.
    PromotionDecided = 411, Warn;
    /// A promotion was answered, or got no answer.
    PromotionAnswered = 412, Warn;
    /// A primary that is to be replaced is asked to step down.
    StepDownAsked = 413, Warn;
    /// Replicas are put on hold, since the primary that is to be replaced did not step down.
    ReplicasHeld = 414, Warn;
    /// The lead of a primary that is to be replaced is over, with what proves it.
    LeadEnded = 415, Warn;
    /// What came of asking a member to step down or to hold.
    MemberAsked = 416, Info;
    /// A replica waits for a later term than the leader's: nothing is sent to the leader any more.
    LeadRevoked = 417, Warn;
    /// A replica confirms the leader again.
    LeadConfirmed = 418, Info;
    /// An operator asks that nothing be sent to a zone's back ends, or no longer does.
    EvacuationChanged = 419, Warn;
    /// A back end has just started and gets few requests, or has warmed up.
    WarmUpChanged = 420, Info;
    /// A back end takes no more connections: other nodes hold more than their share.
    BackendFull = 421, Warn;

    /// A back end that another node finds silent was looked at by this node, which says whether it is silent to it too.
    SilenceVerified = 422, Info;
    /// A back end that was leaving gets no more work, with what was sent to it since this node had heard.
    BackendLeft = 423, Info;
    /// A back end that was leaving is there to stay again.
    BackendStays = 424, Info;
    /// A back end's process has started again under its id: what was known of the earlier start is forgotten.
    BackendStarted = 425, Info;
    /// A back end's entry in discovery can't be used and is left out; the others hold.
    EntryRefused = 426, Warn;
    /// A back end that calls itself primary lacks commits that it had answered with: it must not lead.
    LogLost = 427, Warn;
    /// A coordinator of tenants' limits did not answer: another node is asked.
    LimitCoordinatorSilent = 450, Warn;

    /// A node was found or came back.
    MemberJoined = 500, Info;
    /// A node is suspected to have failed.
    MemberSuspected = 501, Debug;
    /// A node was declared failed.
    MemberFailed = 502, Warn;
    /// A node announced that it leaves.
    MemberLeft = 503, Info;
    /// A packet without a valid proof was dropped.
    PacketRefused = 504, Warn;

    /// A newer revision of the settings is in force on this node.
    ConfigurationApplied = 600, Info;
    /// A revision was refused, because it is older than the one in force or not valid.
    ConfigurationRefused = 601, Warn;
    /// The platform's store does not answer; the known settings stay in force.
    StoreUnreachable = 602, Warn;
    /// The platform's store answers again.
    StoreReachable = 603, Info;
    /// This node has begun to read the store: it ranks as a watcher, or its watchers don't confirm what it holds.
    WatcherStarted = 604, Info;
    /// This node has stopped reading the store; it hears of changes from watchers.
    WatcherStopped = 605, Info;
    /// An operator's edit was accepted.
    EditAccepted = 606, Info;
    /// An operator's edit was refused.
    EditRefused = 607, Warn;
    /// Certificates and keys were read again.
    CertificatesReloaded = 608, Info;
    /// The process's settings file was read again.
    SettingsReloaded = 609, Info;
    /// The platform's store has come back from an older copy: it has lost what was written since, and its revisions went back.
    StoreRestored = 610, Warn;
    /// The store answered with content of a lower revision than what this node holds, and it is left out.
    StoreContentLeftOut = 611, Warn;
    /// A restored store shows objects older than this node knows them, or not at all: until they are written again, or for a while, they count as known.
    LostObjectsKept = 612, Warn;
    /// What a restored store shows counts again; these objects were not written again.
    LostObjectsGivenUp = 613, Warn;
}

impl LogEvent {
    /// The number shown in log lines.
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
