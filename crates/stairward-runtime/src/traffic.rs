//! What the node's links to other nodes carry, by kind, and how many connections were opened, by kind: the figures
//! that say which part of the control traffic grows with the fleet.

use std::cell::{Cell, RefCell};

use stairward_protocol::node_message::NodeMessage;
use stairward_types::{Duration, Time};

/// Pause between two log lines of a node's traffic: six lines a minute, whatever the load.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// What a message between nodes is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TrafficKind {
    /// Statements forwarded to holders of connections, and their answers.
    Forward,
    /// Whether a holder is alive.
    Liveness,
    /// Feeds of the store's objects.
    Feed,
    /// Documents for a node that starts.
    Document,
    /// Who leads a service.
    Lead,
    /// How far a leader's log had come.
    Position,
    /// Loans and grants of tenants' limits.
    Limit,
    /// Questions and notices of the failover duty.
    Failover,
    /// Packets of the membership protocol, by UDP.
    Membership,
}

impl TrafficKind {
    /// All kinds, in the order of their numbers.
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

    /// The kind of a message.
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

/// What a connection was opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum OpeningKind {
    /// By a client.
    Client,
    /// To a back end.
    Backend,
    /// To another node, to stay.
    LinkMade,
    /// To another node, for one message or question.
    OneShotMade,
    /// By another node, of either kind.
    Accepted,
}

impl OpeningKind {
    /// All kinds, in the order of their numbers.
    const ALL: [Self; 5] = [
        Self::Client,
        Self::Backend,
        Self::LinkMade,
        Self::OneShotMade,
        Self::Accepted,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Backend => "backend",
            Self::LinkMade => "link",
            Self::OneShotMade => "one_shot",
            Self::Accepted => "accepted",
        }
    }
}

/// Messages of one kind in one direction.
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

/// Counts since the process began. Counting costs an addition; they are shown now and then.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: RefCell<[Count; TrafficKind::ALL.len()]>,
    received: RefCell<[Count; TrafficKind::ALL.len()]>,
    openings: RefCell<[u64; OpeningKind::ALL.len()]>,
    /// Connections made by other nodes that are open.
    accepted_open: Cell<usize>,
    told_at: Cell<Time>,
}

impl Traffic {
    /// A message was sent, or handed to the socket.
    pub fn sent(&self, kind: TrafficKind, bytes: usize) {
        self.sent.borrow_mut()[kind as usize].add(bytes);
    }

    /// A message has come.
    pub fn received(&self, kind: TrafficKind, bytes: usize) {
        self.received.borrow_mut()[kind as usize].add(bytes);
    }

    /// A connection was opened.
    pub fn opened(&self, kind: OpeningKind) {
        self.openings.borrow_mut()[kind as usize] += 1;
        if kind == OpeningKind::Accepted {
            self.accepted_open.set(self.accepted_open.get() + 1);
        }
    }

    /// A connection that another node had made has ended.
    pub fn accepted_ended(&self) {
        self.accepted_open
            .set(self.accepted_open.get().saturating_sub(1));
    }

    /// Connections made by other nodes that are open.
    pub fn accepted_open(&self) -> usize {
        self.accepted_open.get()
    }

    /// Gives every figure to whoever shows them: kind, direction, messages, bytes.
    pub fn for_each_message_count(
        &self,
        mut show: impl FnMut(&'static str, &'static str, u64, u64),
    ) {
        for (direction, counts) in [("sent", &self.sent), ("received", &self.received)] {
            let counts = counts.borrow();
            for kind in TrafficKind::ALL {
                let count = counts[kind as usize];
                show(kind.name(), direction, count.messages, count.bytes);
            }
        }
    }

    /// Gives the number of openings of each kind to whoever shows them.
    pub fn for_each_opening_count(&self, mut show: impl FnMut(&'static str, u64)) {
        let openings = self.openings.borrow();
        for kind in OpeningKind::ALL {
            show(kind.name(), openings[kind as usize]);
        }
    }

    /// Whether a log line is due.
    pub fn is_line_due(&self, now: Time) -> bool {
        let is_due = now.since(self.told_at.get()) >= LINE_INTERVAL;
        if is_due {
            self.told_at.set(now);
        }
        is_due
    }

    /// All counts in one text: `kind=messages sent/bytes sent/messages received/bytes received`.
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

    /// All openings in one text.
    pub fn opening_line(&self) -> String {
        let openings = self.openings.borrow();
        let of_kind = |kind: OpeningKind| format!("{}={}", kind.name(), openings[kind as usize]);
        OpeningKind::ALL.map(of_kind).join(" ")
    }
}
