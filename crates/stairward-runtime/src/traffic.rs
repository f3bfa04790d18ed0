//! Counters of peer messages and opened connections by kind, which show the part of the control traffic that grows
//! with the fleet.

use std::cell::{Cell, RefCell};

use stairward_protocol::node_message::NodeMessage;
use stairward_types::{Duration, Time};

/// Interval between traffic log lines, independent of load.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Purpose of a message between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TrafficKind {
    /// Statements forwarded to connection holders, and their responses.
    Forward,
    /// Liveness checks of connection holders.
    Liveness,
    /// Feeds of the store's objects.
    Feed,
    /// Documents fetched by starting nodes.
    Document,
    /// Leadership of a service.
    Lead,
    /// Log positions of leaders.
    Position,
    /// Requests for and grants of tenant limits.
    Limit,
    /// Requests and notices of the failover protocol.
    Failover,
    /// Membership protocol datagrams.
    Membership,
}

impl TrafficKind {
    /// All kinds, in the order of their discriminants.
    const ALL: [Self; 9] = [
        Self::Forward,
        Self::Liveness,
        Self::Feed,
        Self::Document,
        Self::Lead,
        Self::Position,
        Self::Limit,
        Self::Failover,
        Self::Membership,
    ];

    /// Classifies a message.
    pub fn of(message: &NodeMessage) -> Self {
        match message {
            NodeMessage::Forward(_) | NodeMessage::Answer(_) | NodeMessage::CloseSession { .. } => {
                Self::Forward
            }
            NodeMessage::Ping | NodeMessage::Pong => Self::Liveness,
            NodeMessage::SubscribeFeed { .. }
            | NodeMessage::UnsubscribeFeed { .. }
            | NodeMessage::FeedApplied { .. }
            | NodeMessage::QueryClock { .. }
            | NodeMessage::Clock { .. }
            | NodeMessage::FeedState(_) => Self::Feed,
            NodeMessage::QueryDocument { .. } | NodeMessage::Document { .. } => Self::Document,
            NodeMessage::QueryLeader { .. } | NodeMessage::LeaderStatus { .. } => Self::Lead,
            NodeMessage::QueryPosition { .. } | NodeMessage::Position { .. } => Self::Position,
            NodeMessage::RequestLimit(_) | NodeMessage::GrantLimit(_) => Self::Limit,
            NodeMessage::RevokeLeader { .. }
            | NodeMessage::LeaderRevoked { .. }
            | NodeMessage::PromotionEnded { .. }
            | NodeMessage::AnnouncePromotion(_)
            | NodeMessage::QueryPromotions
            | NodeMessage::Promotions { .. }
            | NodeMessage::SilentBackends { .. }
            | NodeMessage::ConfirmSilentBackend { .. }
            | NodeMessage::ForwardMemberRequest(_)
            | NodeMessage::MemberReply(_) => Self::Failover,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Forward => "forward",
            Self::Liveness => "liveness",
            Self::Feed => "feed",
            Self::Document => "document",
            Self::Lead => "lead",
            Self::Position => "position",
            Self::Limit => "limit",
            Self::Failover => "failover",
            Self::Membership => "membership",
        }
    }
}

/// Purpose of an opened connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum OpeningKind {
    /// By a client.
    Client,
    /// To a back end.
    Backend,
    /// Long-lived link to another node.
    PeerLink,
    /// To another node, for a single message or request.
    OneShot,
    /// By another node, long-lived or not.
    Accepted,
}

impl OpeningKind {
    /// All kinds, in the order of their discriminants.
    const ALL: [Self; 5] = [
        Self::Client,
        Self::Backend,
        Self::PeerLink,
        Self::OneShot,
        Self::Accepted,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Backend => "backend",
            Self::PeerLink => "link",
            Self::OneShot => "one_shot",
            Self::Accepted => "accepted",
        }
    }
}

/// Counter of messages of one kind in one direction.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

impl Count {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}

/// Counters since the start of the process, exported periodically.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: RefCell<[Count; TrafficKind::ALL.len()]>,
    received: RefCell<[Count; TrafficKind::ALL.len()]>,
    openings: RefCell<[u64; OpeningKind::ALL.len()]>,
    /// Open connections that were accepted from other nodes.
    accepted_open: Cell<usize>,
    logged_at: Cell<Time>,
}

impl Traffic {
    /// Counts a message passed to the socket.
    pub fn sent(&self, kind: TrafficKind, bytes: usize) {
        self.sent.borrow_mut()[kind as usize].add(bytes);
    }

    /// Counts a received message.
    pub fn received(&self, kind: TrafficKind, bytes: usize) {
        self.received.borrow_mut()[kind as usize].add(bytes);
    }

    /// Counts an opened connection.
    pub fn opened(&self, kind: OpeningKind) {
        self.openings.borrow_mut()[kind as usize] += 1;
        if kind == OpeningKind::Accepted {
            self.accepted_open.set(self.accepted_open.get() + 1);
        }
    }

    /// Counts the end of a connection accepted from another node.
    pub fn accepted_ended(&self) {
        self.accepted_open
            .set(self.accepted_open.get().saturating_sub(1));
    }

    /// Open connections that were accepted from other nodes.
    pub fn accepted_open(&self) -> usize {
        self.accepted_open.get()
    }

    /// Calls `visit` with kind, direction, messages and bytes of every counter.
    pub fn for_each_message_count(
        &self,
        mut visit: impl FnMut(&'static str, &'static str, u64, u64),
    ) {
        for (direction, counts) in [("sent", &self.sent), ("received", &self.received)] {
            let counts = counts.borrow();
            for kind in TrafficKind::ALL {
                let count = counts[kind as usize];
                visit(kind.name(), direction, count.messages, count.bytes);
            }
        }
    }

    /// Calls `visit` with each kind and its number of opened connections.
    pub fn for_each_opening_count(&self, mut visit: impl FnMut(&'static str, u64)) {
        let openings = self.openings.borrow();
        for kind in OpeningKind::ALL {
            visit(kind.name(), openings[kind as usize]);
        }
    }

    /// Whether a log line is due; if so, starts the next interval.
    pub fn is_line_due(&self, now: Time) -> bool {
        let is_due = now.since(self.logged_at.get()) >= LOG_INTERVAL;
        if is_due {
            self.logged_at.set(now);
        }
        is_due
    }

    /// All message counters as text: `kind=messages sent/bytes sent/messages received/bytes received`.
    pub fn message_line(&self) -> String {
        let (sent, received) = (self.sent.borrow(), self.received.borrow());
        let of_kind = |kind: TrafficKind| {
            let (out, inward) = (sent[kind as usize], received[kind as usize]);
            format!(
                "{}={}/{}/{}/{}",
                kind.name(),
                out.messages,
                out.bytes,
                inward.messages,
                inward.bytes
            )
        };
        TrafficKind::ALL.map(of_kind).join(" ")
    }

    /// All connection counters as text: `kind=count`.
    pub fn opening_line(&self) -> String {
        let openings = self.openings.borrow();
        let of_kind = |kind: OpeningKind| format!("{}={}", kind.name(), openings[kind as usize]);
        OpeningKind::ALL.map(of_kind).join(" ")
    }
}
