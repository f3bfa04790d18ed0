//! A scripted harness around one engine: tests feed events and inspect the resulting effects.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendDescription, BackendError, BackendErrorCode, BackendEvidence,
    BackendReply, ConnectionId, Consistency, Effect, Engine, EngineOptions, Event,
    ForwardedRequest, LeadershipChange, LeavingChange, OpenFailure, OpenTarget, ReplyRecord,
    Residency, Response, ResponseResult, Route, RoutingTable, ServiceHolders, ServiceLimits,
    SessionId, Statement, StatementKind, TransactionStatus, ZoneDistance,
};
use stairward_types::{
    BackendId, BackendRole, Freshness, GroupId, LogPosition, NodeId, RegionName, ResultCode,
    Revision, ServiceName, StoreRevision, TenantName, Term, Time, ZoneName,
};

pub const NEAR_REGION: &str = "region-a";
pub const FAR_REGION: &str = "region-b";
pub const SERVICE: &str = "core";
pub const PRIMARY: &str = "db-1";
pub const NEAR_REPLICA: &str = "db-2";
pub const FAR_REPLICA: &str = "db-3";
/// Routed databases, by the consistency of their reads.
pub const LEADER_READS: &str = "leader-reads";
pub const BOUNDED: &str = "bounded";
pub const OWN_READS: &str = "own-reads";
pub const STALENESS: Duration = Duration::from_millis(1_000);
pub const TIMEOUT: Duration = Duration::from_millis(800);
pub const TARGET: Duration = Duration::from_millis(600);
pub const TRANSACTION_IDLE: Duration = Duration::from_millis(3_000);
pub const CONNECTION_LIMIT: u32 = 12;

pub fn at(term: u64, number: u64) -> Freshness {
    Freshness::new(Term(term), LogPosition(number))
}

pub fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::new(SERVICE).unwrap()
}

pub fn describe(name: &str, role: BackendRole, revision: u64) -> BackendDescription {
    let zone = if name == FAR_REPLICA {
        "zone-b"
    } else {
        "zone-a"
    };
    let port = 5_000 + u16::from(name.as_bytes()[3]);
    BackendDescription {
        id: backend(name),
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneName::new(zone).unwrap(),
        is_leaving: false,
        role,
        incarnation: None,
        cold_left: Duration::ZERO,
        slots: None,
        revision: StoreRevision::new(0, revision),
    }
}

pub fn usual_backends() -> Vec<BackendDescription> {
    vec![
        describe(PRIMARY, BackendRole::Primary, 1),
        describe(NEAR_REPLICA, BackendRole::Replica, 2),
        describe(FAR_REPLICA, BackendRole::Replica, 3),
    ]
}

pub fn table(revision: u64) -> RoutingTable {
    let route = |consistency| {
        Arc::new(Route {
            service: service(),
            consistency,
            statement_timeout: TIMEOUT,
            target_latency: TARGET,
            priority: 1,
            attempts: 2,
            is_public: false,
            residency: Residency::Anywhere,
        })
    };
    let routes = [
        (LEADER_READS, Consistency::Primary),
        (
            BOUNDED,
            Consistency::Bounded {
                staleness: STALENESS,
            },
        ),
        (
            OWN_READS,
            Consistency::OwnReads {
                staleness: STALENESS,
            },
        ),
    ];
    RoutingTable {
        revision: Revision(revision),
        routes: routes
            .into_iter()
            .map(|(name, consistency)| (GroupId::new(name).unwrap(), route(consistency)))
            .collect(),
        services: BTreeMap::from([(
            service(),
            ServiceLimits {
                connections: CONNECTION_LIMIT,
                synchronous_replicas: 0,
                cold_rate_thousandths: None,
            },
        )]),
        tenants: None,
        transaction_idle_timeout: TRANSACTION_IDLE,
    }
}

/// Discovery's list, with changes that have just occurred.
pub fn listed(list: Vec<BackendDescription>) -> Event {
    Event::BackendsListed {
        list,
        since: Some(Time::NEVER),
    }
}

/// Sets the service's holders.
pub fn held_by(holders: ServiceHolders) -> Event {
    Event::HoldersChanged(BTreeMap::from([(service(), holders)]))
}

/// Only these nodes hold the service's connections, nearest first.
pub fn held_elsewhere(nodes: &[NodeId]) -> Event {
    held_by(ServiceHolders {
        forward_targets: nodes.to_vec(),
        ..ServiceHolders::default()
    })
}

/// The evacuated zones, with changes that have just occurred.
pub fn evacuated(zones: BTreeSet<ZoneName>) -> Event {
    Event::EvacuatedZonesChanged {
        zones,
        since: Some(Time::NEVER),
    }
}

/// A sent command without a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    pub connection: ConnectionId,
    pub backend: BackendId,
    pub command: BackendCommand,
}

impl Sent {
    /// Whether the command runs a client's statement.
    pub fn runs_statement(&self) -> bool {
        matches!(
            self.command,
            BackendCommand::Run { .. } | BackendCommand::Execute { .. }
        )
    }
}

fn engine_options() -> EngineOptions {
    let near = ZoneName::new("zone-a").unwrap();
    let far = ZoneName::new("zone-b").unwrap();
    EngineOptions {
        regions: BTreeMap::from([
            (near.clone(), RegionName::new(NEAR_REGION).unwrap()),
            (far.clone(), RegionName::new(FAR_REGION).unwrap()),
        ]),
        distances: BTreeMap::from([(near, ZoneDistance::Same), (far, ZoneDistance::Remote)]),
        ..EngineOptions::default()
    }
}

/// An engine and the effects that it produced.
pub struct Harness {
    pub engine: Engine,
    pub now: Time,
    pub sent: Vec<Sent>,
    pub responses: Vec<(SessionId, Response)>,
    pub accepted_sessions: Vec<SessionId>,
    pub refused_sessions: Vec<(SessionId, ResultCode)>,
    pub closed_sessions: Vec<SessionId>,
    pub closed_connections: Vec<ConnectionId>,
    pub opened: Vec<(ConnectionId, BackendId)>,
    pub forwarded: Vec<(NodeId, SessionId, u64, ForwardedRequest)>,
    pub queried_positions: Vec<ServiceName>,
    pub pinged_holders: Vec<NodeId>,
    pub queried_leaderships: Vec<(NodeId, ServiceName)>,
    pub leadership_changes: Vec<LeadershipChange>,
    pub leaving: Vec<LeavingChange>,
    pub starts: Vec<BackendId>,
    pub closed_forwarded: Vec<(NodeId, SessionId)>,
    pub observed: Vec<(BackendId, BackendEvidence)>,
    pub doubted_replies: Vec<ReplyRecord>,
    pub is_stopped: bool,
    connections: BTreeMap<ConnectionId, BackendId>,
    /// The target of each connection.
    pub targets: BTreeMap<ConnectionId, OpenTarget>,
    /// The session of each statement.
    pub session_of_statement: BTreeMap<String, SessionId>,
    /// The log position in each back end's last reply, reported on new connections.
    pub positions: BTreeMap<BackendId, Freshness>,
    /// Whether requested connections open automatically.
    pub opens_automatically: bool,
    next_session: u64,
    next_statement: u64,
    next_signature: u64,
}

impl Harness {
    /// The engine settings of the tests.
    pub fn engine_options(&self) -> EngineOptions {
        engine_options()
    }

    /// An engine without configuration or back ends.
    pub fn empty() -> Self {
        Self {
            engine: Engine::new(engine_options()),
            now: Time::from_millis(1_000),
            sent: Vec::new(),
            responses: Vec::new(),
            accepted_sessions: Vec::new(),
            refused_sessions: Vec::new(),
            closed_sessions: Vec::new(),
            closed_connections: Vec::new(),
            opened: Vec::new(),
            forwarded: Vec::new(),
            queried_positions: Vec::new(),
            pinged_holders: Vec::new(),
            queried_leaderships: Vec::new(),
            leadership_changes: Vec::new(),
            leaving: Vec::new(),
            starts: Vec::new(),
            closed_forwarded: Vec::new(),
            observed: Vec::new(),
            doubted_replies: Vec::new(),
            is_stopped: false,
            connections: BTreeMap::new(),
            targets: BTreeMap::new(),
            session_of_statement: BTreeMap::new(),
            positions: BTreeMap::new(),
            opens_automatically: true,
            next_session: 0,
            next_statement: 0,
            next_signature: 0,
        }
    }

    /// An engine with a configuration, three back ends and a connection to each.
    pub fn new() -> Self {
        let mut harness = Self::empty();
        harness.handle(Event::ConfigurationChanged(Arc::new(table(1))));
        harness.handle(listed(usual_backends()));
        harness.handle(Event::NodeCountChanged(1));
        harness
    }

    pub fn handle(&mut self, event: Event) {
        let effects = self.engine.handle(self.now, event);
        let mut opening = Vec::new();
        for effect in effects {
            match effect {
                Effect::RefuseSession { session, code } => {
                    self.refused_sessions.push((session, code));
                }
                Effect::Respond { session, response } => self.responses.push((session, response)),
                Effect::CloseSession { session } => self.closed_sessions.push(session),
                Effect::Open { connection, target } => {
                    self.connections.insert(connection, target.backend.clone());
                    self.targets.insert(connection, target.clone());
                    self.opened.push((connection, target.backend));
                    opening.push(connection);
                }
                Effect::Send {
                    connection,
                    command,
                } => {
                    let backend = self.connections[&connection].clone();
                    self.sent.push(Sent {
                        connection,
                        backend,
                        command,
                    });
                }
                Effect::CloseConnection { connection } => {
                    self.closed_connections.push(connection);
                    self.sent.retain(|sent| sent.connection != connection);
                }
                Effect::Stopped => self.is_stopped = true,
                Effect::BackendObserved { backend, evidence } => {
                    self.observed.push((backend, evidence))
                }
                Effect::Forward {
                    holder,
                    session,
                    request,
                    forwarded,
                } => self.forwarded.push((holder, session, request, forwarded)),
                Effect::CloseForwardedSession { holder, session } => {
                    self.closed_forwarded.push((holder, session));
                }
                Effect::PingHolder { holder } => self.pinged_holders.push(holder),
                Effect::QueryPosition { service } => self.queried_positions.push(service),
                Effect::QueryLeadership { holder, service } => {
                    self.queried_leaderships.push((holder, service))
                }
                Effect::LeadershipObserved { change, .. } => self.leadership_changes.push(change),
                Effect::LeavingObserved { change, .. } => self.leaving.push(change),
                Effect::RestartObserved { backend } => self.starts.push(backend),
                Effect::ReplyDoubted(record) => self.doubted_replies.push(record),
                Effect::AcceptSession { session } => self.accepted_sessions.push(session),
                Effect::RequestLimitGrant(..)
                | Effect::RecordFleetSize(_)
                | Effect::CoordinatorChanged { .. }
                | Effect::HolderLivenessChanged { .. }
                | Effect::EvacuationObserved { .. }
                | Effect::WarmUpObserved { .. }
                | Effect::Record(_)
                | Effect::Measured(_) => {}
            }
        }
        if self.opens_automatically {
            for connection in opening {
                let backend = &self.connections[&connection];
                let position = self.positions.get(backend).copied();
                self.handle(Event::ConnectionOpened {
                    connection,
                    position,
                });
            }
        }
    }

    /// Advances the time and fires the engine's timers.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(wake) = self.engine.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.handle(Event::Tick);
        }
        self.now = end;
        self.handle(Event::Tick);
    }

    pub fn open(&mut self, database: &str) -> SessionId {
        self.next_session += 1;
        let session = SessionId(self.next_session);
        self.handle(Event::SessionOpened {
            session,
            database: GroupId::new(database).unwrap(),
            key: None,
        });
        session
    }

    /// Sends a statement of a session; its text is the name of its kind.
    pub fn submit(&mut self, session: SessionId, kind: StatementKind) -> String {
        self.next_statement += 1;
        let id = format!("s{}", self.next_statement);
        self.session_of_statement.insert(id.clone(), session);
        let statement = Statement {
            id: id.clone(),
            text: format!("{kind:?}"),
            kind,
        };
        self.handle(Event::Statement { session, statement });
        id
    }

    /// Answers the oldest unanswered command. A success of a client's statement gets a signature of its own.
    pub fn answer(&mut self, reply: BackendReply) -> Sent {
        self.answer_at(0, reply)
    }

    /// Answers an unanswered command. A success of a client's statement gets a signature of its own.
    pub fn answer_at(&mut self, place: usize, mut reply: BackendReply) -> Sent {
        let sent = self.sent.remove(place);
        let connection = sent.connection;
        if sent.runs_statement() && reply.result == Ok(None) {
            self.next_signature += 1;
            reply.result = Ok(Some(format!("signature-{}", self.next_signature)));
        }
        if let Some(position) = reply.position {
            self.positions.insert(sent.backend.clone(), position);
        }
        self.handle(Event::Reply { connection, reply });
        sent
    }

    /// Answers the empty transaction that confirms a report, if one was sent on the connection.
    pub fn complete_confirmation(&mut self, connection: ConnectionId, position: Freshness) {
        let begin = BackendCommand::Begin {
            read_only: true,
            floor: None,
        };
        let confirmation = [
            (begin, TransactionStatus::Open),
            (BackendCommand::Rollback, TransactionStatus::Idle),
        ];
        for (command, status) in confirmation {
            let is_its = |sent: &Sent| sent.connection == connection && sent.command == command;
            if let Some(place) = self.sent.iter().position(is_its) {
                self.answer_at(place, done(status, position));
            }
        }
    }

    /// Drops the connection of the oldest unanswered command.
    pub fn drop_oldest(&mut self) -> Sent {
        let sent = self.sent.remove(0);
        self.lose_connection(sent.connection);
        sent
    }

    pub fn lose_connection(&mut self, connection: ConnectionId) {
        self.sent.retain(|other| other.connection != connection);
        self.handle(Event::ConnectionLost { connection });
    }

    pub fn refuse_openings(&mut self) {
        let opened = std::mem::take(&mut self.opened);
        for (connection, _) in opened {
            self.handle(Event::OpenFailed {
                connection,
                failure: OpenFailure::Refused,
            });
        }
    }

    /// Removes and returns the only response.
    #[track_caller]
    pub fn response(&mut self) -> Response {
        assert_eq!(self.responses.len(), 1, "{:?}", self.responses);
        self.responses.remove(0).1
    }

    /// Removes the only response, which must be a refusal, and returns its code.
    #[track_caller]
    pub fn refusal(&mut self) -> ResultCode {
        match self.response().result {
            ResponseResult::Refused { code, .. } => code,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Proves the leader's position by a write of another session.
    pub fn prove_position(&mut self, position: Freshness) {
        let session = self.open(LEADER_READS);
        self.submit(session, StatementKind::Write);
        self.answer(done(TransactionStatus::Idle, position));
        self.response();
        self.handle(Event::SessionClosed { session });
    }

    /// Begins a transaction and answers its start.
    pub fn begin(&mut self, session: SessionId, read_only: bool, position: Freshness) {
        self.submit(session, StatementKind::Begin { read_only });
        self.answer(done(TransactionStatus::Open, position));
        assert_eq!(self.response().status, TransactionStatus::Open);
    }
}

/// A statement forwarded by another node, always with the same session number.
pub fn forwarded(database: &str, tenant: Option<TenantName>, kind: StatementKind) -> Event {
    let statement = Statement {
        id: "x1".to_owned(),
        text: format!("{kind:?}"),
        kind,
    };
    let forwarded = ForwardedRequest {
        database: GroupId::new(database).unwrap(),
        revision: Revision(1),
        tenant,
        in_transaction: false,
        values: BTreeMap::new(),
        prepared: None,
        commit: None,
        statement,
        time_left: TIMEOUT,
    };
    Event::ForwardedRequest {
        session: SessionId(900),
        forwarded: Box::new(forwarded),
    }
}

pub fn done(status: TransactionStatus, position: Freshness) -> BackendReply {
    BackendReply {
        rows: Vec::new(),
        result: Ok(None),
        status,
        position: Some(position),
        member: None,
    }
}

pub fn failed(code: BackendErrorCode, status: TransactionStatus) -> BackendReply {
    BackendReply {
        rows: Vec::new(),
        result: Err(BackendError {
            code,
            text: "because".to_owned(),
        }),
        status,
        position: None,
        member: None,
    }
}
