//! How callers send their requests and what they make of the answers.

use stairward_checker::{Outcome, RequestId};
use stairward_standins::ConnectionNumber;
use stairward_standins::sql::Statement;
use stairward_types::{AdminState, BackendId, GroupId, OutcomeClass, ResultCode, Term};

use super::caller::{InFlight, outcome_name, outcome_of};
use super::database::{BatchNumber, DatabaseRequest};
use super::message::{BatchResult, CallerConnection, CallerMessage, ProxyMessage, StatementKind};
use super::network::{End, Network};
use super::variant::BrokenVariant;
use super::world::World;
use crate::load::schedule::PlannedRequest;
use crate::load::statements::StatementWriter;

/// Share of the statements of a transaction after which its caller vanishes.
const VANISH_SHARE: f64 = 0.003;
/// Tries to find another proxy before a caller takes the same one again.
const CHOICES: usize = 4;

impl World<'_> {
    /// Creates and fills the tables of all groups, straight at their primaries.
    pub(super) fn fill_tables(&mut self) {
        for group in 0..self.groups.len() {
            let sessions: Vec<u32> = self
                .callers
                .iter()
                .filter(|caller| caller.group == group)
                .filter_map(|caller| u32::try_from(caller.id.0).ok())
                .collect();
            let texts = StatementWriter::new(self.site).set_up(&sessions);
            let statements: Vec<Statement> = texts
                .iter()
                .flat_map(|text| Statement::parse(text).expect("the site's tables parse"))
                .collect();
            let Some(primary) = self.groups[group].primary().cloned() else {
                continue;
            };
            let connection = self.new_connection();
            self.load(group, &primary, connection, statements);
        }
    }

    fn load(
        &mut self,
        group: usize,
        primary: &BackendId,
        connection: ConnectionNumber,
        statements: Vec<Statement>,
    ) {
        let now = self.queue.now();
        let open = DatabaseRequest::Open {
            application_name: "loader".to_owned(),
        };
        let outputs = self.groups[group].request(now, primary, connection, open);
        self.group_outputs(group, outputs);
        let run = DatabaseRequest::Run {
            batch: BatchNumber(0),
            statements,
        };
        let opened = now + 2 * self.site.databases.connect_time();
        let event = super::world::WorldEvent::Database(primary.clone(), connection, Box::new(run));
        self.queue.at(opened, event);
    }

    /// A planned request arrives at its caller.
    pub(super) fn arrival(&mut self, plan: PlannedRequest) {
        let session = plan.session as usize;
        self.open_requests += 1;
        self.callers[session].queue.push_back(plan);
        if self.callers[session].in_flight.is_none() {
            self.start_next(session);
        }
    }

    fn start_next(&mut self, session: usize) {
        let Some(plan) = self.callers[session].queue.pop_front() else {
            return;
        };
        if let Some(reconnect) = plan.reconnect {
            self.disconnect(session);
            if !reconnect.with_token {
                self.callers[session].token = None;
            }
        }
        let request = InFlight::new(self.site, plan, self.queue.now());
        self.callers[session].in_flight = Some(request);
        self.send_request(session);
    }

    /// Sends the present statement, over a new connection if there is none.
    fn send_request(&mut self, session: usize) {
        if self.callers[session].proxy.is_none() {
            self.connect(session);
        }
        self.send_statement(session);
    }

    fn disconnect(&mut self, session: usize) {
        if let Some(proxy) = self.callers[session].proxy.take() {
            self.callers[session].last_proxy = Some(proxy);
            self.send(session, proxy, CallerMessage::Disconnect);
        }
    }

    fn connect(&mut self, session: usize) {
        let last = self.callers[session].last_proxy;
        let count = self.proxies.len();
        let mut proxy = self.random.below(count);
        for _ in 0..CHOICES {
            if Some(proxy) != last {
                break;
            }
            proxy = self.random.below(count);
        }
        let caller = &mut self.callers[session];
        caller.proxy = Some(proxy);
        caller.connection += 1;
        let token = caller.token.clone();
        self.send(session, proxy, CallerMessage::Connect { token });
    }

    fn send(&mut self, session: usize, proxy: usize, message: CallerMessage) {
        let caller = &self.callers[session];
        let connection = caller.caller_connection();
        let group = self.layout.groups[caller.group].clone();
        self.send_from_caller(proxy, connection, group, message);
    }

    fn send_statement(&mut self, session: usize) {
        let Some(proxy) = self.callers[session].proxy else {
            return;
        };
        let caller = &self.callers[session];
        let Some(in_flight) = &caller.in_flight else {
            return;
        };
        let statement = in_flight.statement();
        if in_flight.is_at_its_start() {
            let group = &self.layout.groups[caller.group];
            let node = self.proxies[proxy].node;
            let event = in_flight.sent_event(self.site, caller.id, node, group);
            self.record(event);
        }
        self.send(session, proxy, CallerMessage::Run(Box::new(statement)));
    }

    /// Notes whether a replica could answer a read that has reached its proxy.
    pub(super) fn note_servable(
        &mut self,
        proxy: usize,
        connection: CallerConnection,
        message: &CallerMessage,
    ) {
        let CallerMessage::Run(statement) = message else {
            return;
        };
        if statement.kind != StatementKind::Read {
            return;
        }
        let floor = self.proxies[proxy]
            .state
            .as_ref()
            .and_then(|state| state.session_floor(connection));
        let session = connection.session.0 as usize;
        let group = self.callers[session].group;
        let is_servable = floor.is_some_and(|floor| {
            self.layout.members(group).iter().any(|member| {
                let end = End::Database(member.place, member.group);
                let fresh = self.groups[group].replica_freshness(&member.backend);
                self.is_active(&member.backend)
                    && self.network.connected(End::Proxy(proxy), end)
                    && fresh.is_some_and(|fresh| floor.is_none_or(|floor| fresh.covers(floor)))
            })
        });
        if let Some(in_flight) = &mut self.callers[session].in_flight {
            in_flight.servable = is_servable;
        }
    }

    fn is_active(&self, backend: &BackendId) -> bool {
        let resolved = &self.resolved;
        let known = resolved.backend(backend);
        known.is_some_and(|(_, settings)| settings.admin_state == AdminState::Active)
    }

    /// A caller hears from its proxy.
    pub(super) fn caller_hears(
        &mut self,
        connection: CallerConnection,
        request: Option<RequestId>,
        message: ProxyMessage,
    ) {
        let session = connection.session.0 as usize;
        if self.callers[session].caller_connection() != connection {
            return;
        }
        let is_current = match (&self.callers[session].in_flight, request) {
            (Some(in_flight), Some(request)) => in_flight.request() == request,
            (None, Some(_)) => false,
            (_, None) => true,
        };
        if !is_current {
            return;
        }
        match message {
            ProxyMessage::Answer {
                result,
                token,
                by_replica,
                term,
            } => {
                self.callers[session].token = token;
                self.answered(session, &result, by_replica, term);
            }
            ProxyMessage::Failed(code) => self.failed(session, code),
            ProxyMessage::Stopping | ProxyMessage::Refused => self.reconnect(session),
            ProxyMessage::Lost => self.connection_lost(session),
        }
    }

    /// The proxy takes no more: what it provably has not begun is sent elsewhere.
    fn reconnect(&mut self, session: usize) {
        let caller = &mut self.callers[session];
        caller.last_proxy = caller.proxy.take();
        match &caller.in_flight {
            Some(in_flight) if in_flight.is_at_its_start() => self.send_request(session),
            Some(_) => self.connection_lost(session),
            None => {}
        }
    }

    fn connection_lost(&mut self, session: usize) {
        let caller = &mut self.callers[session];
        caller.last_proxy = caller.proxy.take().or(caller.last_proxy);
        if self.callers[session].in_flight.is_some() {
            self.end_request(session, Outcome::ConnectionLost, None);
        }
    }

    fn answered(&mut self, session: usize, result: &BatchResult, by_replica: bool, term: Term) {
        if result.error.is_some() {
            // The transaction, if any, is left by leaving the connection.
            self.disconnect(session);
            return self.end_request(session, Outcome::Rejected, None);
        }
        let Some(in_flight) = &mut self.callers[session].in_flight else {
            return;
        };
        if in_flight.go_on() {
            if self.random.chance(VANISH_SHARE) {
                self.disconnect(session);
                return self.end_request(session, Outcome::CallerLeft, None);
            }
            return self.send_statement(session);
        }
        let group = self.callers[session].group;
        self.count_answer(session, by_replica, term, group);
        let Some(in_flight) = self.callers[session].in_flight.take() else {
            return;
        };
        let event = in_flight.answered_event(self.site, result);
        self.record(event);
        self.request_over(session, Outcome::Answered, None);
    }

    fn count_answer(&mut self, session: usize, by_replica: bool, term: Term, group: usize) {
        let now = self.queue.now();
        let Some(in_flight) = &self.callers[session].in_flight else {
            return;
        };
        let latency = now.since(in_flight.sent_at);
        if in_flight.is_read {
            let reads = &mut self.metrics.reads;
            reads.answered += 1;
            reads.by_replica += u64::from(by_replica);
            reads.servable += u64::from(in_flight.servable);
            reads.servable_by_replica += u64::from(in_flight.servable && by_replica);
            self.metrics.read_latency.add(latency);
        } else {
            self.metrics.write_latency.add(latency);
            let id: &GroupId = &self.layout.groups[group];
            self.metrics.failovers.acknowledged(now, id, term);
        }
    }

    fn failed(&mut self, session: usize, code: ResultCode) {
        let is_unknown = code.class() == OutcomeClass::OutcomeUnknown;
        if is_unknown && self.options.broken == Some(BrokenVariant::Retry) {
            // The broken variant sends the whole request again, whatever it was.
            if let Some(in_flight) = &mut self.callers[session].in_flight {
                in_flight.restart();
            }
            return self.send_request(session);
        }
        self.end_request(session, outcome_of(code), Some(code));
    }

    fn end_request(&mut self, session: usize, outcome: Outcome, code: Option<ResultCode>) {
        let Some(in_flight) = self.callers[session].in_flight.take() else {
            return;
        };
        let request = in_flight.request();
        self.log(|| format!("request {request} ends: {} {code:?}", outcome_name(outcome)));
        let event = in_flight.ended_event(outcome, code);
        self.record(event);
        self.request_over(session, outcome, code);
    }

    fn request_over(&mut self, session: usize, outcome: Outcome, code: Option<ResultCode>) {
        self.metrics.requests.add(outcome_name(outcome), code);
        self.open_requests -= 1;
        self.start_next(session);
    }

    /// The end at which a database stands.
    pub(super) fn database_end(&self, backend: &BackendId) -> Option<End> {
        Network::database_end(&self.layout, backend)
    }
}
