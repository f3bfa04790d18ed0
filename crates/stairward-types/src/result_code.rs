//! Numbered result codes. docs/RESULT_CODES.md lists them; a test compares the two.

use std::fmt;

/// What a caller may conclude from a result code about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OutcomeClass {
    /// The back end answered, and its answer was returned to the caller.
    Answered,
    /// The request provably did not run and can be repeated safely.
    NotRun,
    /// The request may or may not have run.
    OutcomeUnknown,
}

impl fmt::Display for OutcomeClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not run",
            Self::OutcomeUnknown => "outcome unknown",
        })
    }
}

macro_rules! result_codes {
    ($($(#[doc = $documentation:literal])+ $name:ident = $number:literal, $class:ident, $sqlstate:literal, $message:literal;)+) => {
        /// Outcome of a request, or the reason why stairward refused it.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[doc = $documentation])+ $name = $number,)+
        }

        impl ResultCode {
            /// All codes, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The class, which states whether the request ran.
            #[must_use]
            pub const fn class(self) -> OutcomeClass {
                match self { $(Self::$name => OutcomeClass::$class,)+ }
            }

            /// The SQLSTATE sent to the caller.
            #[must_use]
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Self::$name => $sqlstate,)+ }
            }

            /// A human-readable message.
            #[must_use]
            pub const fn message(self) -> &'static str {
                match self { $(Self::$name => $message,)+ }
            }

            /// The code's name in the list of result codes.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }
        }
    };
}

result_codes! {
    /// The request ran and its complete answer was returned.
    Answered = 1000, Answered, "00000", "answered";
    /// A request with the same key had already run; its recorded outcome is reported.
    AlreadyRun = 1001, Answered, "00000", "a request with this key has already run";

    /// No back end of the group is fresh enough for this session in time.
    NotFreshEnough = 2001, NotRun, "57P03", "not run: no copy is fresh enough for this session";
    /// The back end is leaving and takes no new work.
    BackendLeaving = 2002, NotRun, "57P03", "not run: the back end is leaving";
    /// Queue, slots or connections are full.
    Overloaded = 2003, NotRun, "53300", "not run: the back end is at its limits";
    /// The back end is not, or no longer, the primary of the expected term.
    PrimaryReplaced = 2004, NotRun, "57P03", "not run: the primary has been replaced";
    /// The node that received the request does not own the back end.
    NotOwner = 2005, NotRun, "57P03", "not run: the node asked does not own the back end";
    /// No back end of the group can be reached.
    BackendUnavailable = 2006, NotRun, "57P03", "not run: no back end can be reached";
    /// The deadline passed before the request was sent to a back end.
    DeadlineBeforeSend = 2007, NotRun, "57014", "not run: the deadline passed while waiting";
    /// The hold queue for a failover is full.
    HoldQueueFull = 2008, NotRun, "53300", "not run: too many requests wait for a new primary";
    /// The caller cancelled the request before it was sent to a back end.
    CancelledBeforeSend = 2009, NotRun, "57014", "not run: cancelled by the caller";
    /// This proxy is stopping; connect again.
    ProxyStopping = 2010, NotRun, "57P01", "not run: this proxy is stopping, connect again";
    /// The session's settings or prepared statements could not be set up on the back end.
    SessionSetupFailed = 2011, NotRun, "57P03", "not run: session set-up on the back end failed";
    /// The owner has had no configuration for too long to take new work.
    ConfigurationTooOld = 2012, NotRun, "57P03", "not run: the owner's configuration is too old";
    /// The database named at start-up is not a group in the settings.
    UnknownDatabase = 2013, NotRun, "3D000", "not run: no such database group";
    /// The password or the SCRAM proof is wrong.
    AuthenticationFailed = 2014, NotRun, "28P01", "not run: authentication failed";
    /// The message breaks the protocol.
    ProtocolViolation = 2015, NotRun, "08P01", "not run: the message breaks the protocol";
    /// The message or statement is larger than the setting allows.
    MessageTooLarge = 2016, NotRun, "54000", "not run: the message is too large";
    /// The feature would bind the session to one connection.
    FeatureRefused = 2017, NotRun, "0A000", "not run: the feature would bind the session to one back end";
    /// The session token is forged, damaged or of another cluster.
    InvalidToken = 2018, NotRun, "22023", "not run: the session token is not valid";
    /// The hint's name is unknown or its value is out of range.
    InvalidHint = 2019, NotRun, "22023", "not run: the hint is not valid";
    /// Text is not UTF-8.
    InvalidEncoding = 2020, NotRun, "22021", "not run: the text is not valid UTF-8";
    /// The transaction has ended; the statement is of an earlier one.
    StaleTransaction = 2021, NotRun, "25000", "not run: the statement belongs to a transaction that has ended";
    /// The retry budget is exhausted; the last refusal is returned.
    RetryBudgetSpent = 2022, NotRun, "53300", "not run: too many retries, come back later";
    /// The node has no confirmed configuration yet.
    NotReady = 2023, NotRun, "57P03", "not run: this proxy is not ready yet";
    /// The transaction was lost with its primary before commit; all of it was rolled back.
    TransactionLost = 2024, NotRun, "40001", "not run: the transaction was lost with its primary and rolled back";
    /// Too many client connections at this proxy.
    TooManyClients = 2025, NotRun, "53300", "not run: too many client connections";
    /// The session has no prepared statement of this name.
    UnknownPreparedStatement = 2026, NotRun, "26000", "not run: no such prepared statement";
    /// The client's key is missing, unknown or revoked.
    NotAuthenticated = 2027, NotRun, "28000", "not run: the key is not known";
    /// The tenant has used up its limit for now.
    LimitReached = 2028, NotRun, "53400", "not run: the tenant's limit is reached";
    /// The route and the tenant have no allowed region in common.
    NoCommonRegion = 2029, NotRun, "42501", "not run: no region allows both the route's and the tenant's work";
    /// The leader is in a region where this work is not allowed.
    LeaderOutsideRegion = 2030, NotRun, "57P03", "not run: the leader is in a region where this work is not allowed";

    /// The connection to the back end was lost after the request was sent.
    BackendLostAfterSend = 3001, OutcomeUnknown, "08007", "outcome unknown: the back end was lost while the request ran";
    /// The write could not be proved by a majority in time.
    FenceNotProved = 3002, OutcomeUnknown, "08007", "outcome unknown: the write could not be confirmed by a majority";
    /// The connection to the owner was lost after the request was sent.
    OwnerLostAfterSend = 3003, OutcomeUnknown, "08007", "outcome unknown: the owning proxy was lost while the request ran";
    /// The deadline passed while the request ran.
    DeadlineAfterSend = 3004, OutcomeUnknown, "08007", "outcome unknown: the deadline passed while the request ran";

    /// An edit of the settings names a revision that is no longer the newest.
    EditConflict = 4001, NotRun, "40001", "the settings changed since; look at the newer revision";
    /// An edit of the settings has an unknown name or an invalid value, or makes the tree inconsistent.
    InvalidSettings = 4002, NotRun, "22023", "the settings are not valid";
    /// The platform's store is unreachable; the edit may have taken effect.
    StoreUnavailable = 4003, OutcomeUnknown, "08007", "the platform's store does not answer; ask again with the same change id";
    /// A process file has an unknown option or an invalid value.
    InvalidProcessFile = 4004, NotRun, "F0000", "the process file is not valid";
    /// The command line is invalid.
    InvalidCommandLine = 4005, NotRun, "22023", "the command line is not valid";
    /// The admin interface refuses the token.
    AdminForbidden = 4006, NotRun, "28000", "the admin token is wrong";
    /// A request to the admin interface is malformed or names an unknown object.
    InvalidAdminRequest = 4010, NotRun, "22023", "the admin request is not valid";
}

impl ResultCode {
    /// The number sent to callers.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SW{} {}", self.number(), self.message())
    }
}
