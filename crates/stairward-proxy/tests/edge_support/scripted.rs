//! An edge before an owner that ends its streams as a test says.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use stairward_protocol::ClusterKey;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::stream::{
    BackendHint, Batch, EdgeMessage, INITIAL_WINDOW_BYTES, Open, OwnerMessage, WireAccess,
    WireTransactionStatus,
};
use stairward_proxy::cluster::{Cluster, KnownPrimary, MembershipView, Owners};
use stairward_proxy::edge::{EdgeService, EdgeSettings};
use stairward_proxy::peer::{CallFuture, OwnerStream, PeerNetwork, PeerService};
use stairward_settings::{BackendSettings, ResolvedSettings};
use stairward_types::{BackendId, Freshness, GroupId, LogPosition, NodeId, ResultCode, Term};
use tokio::net::TcpListener;

use super::{DATABASE, backend_names, identity, resolved_settings, token_key};

/// Without a grant for so long, the caller counts as stalled.
const STALL_TIME: std::time::Duration = std::time::Duration::from_millis(200);

/// How the scripted owner ends a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answers, and keeps the stream while a transaction is open.
    Answer,
    /// Refuses, advising to come back after so many milliseconds.
    Refuse(ResultCode, u32),
    /// Loses the connection without a word.
    LoseBeforeAdmitting,
    /// Loses the connection once the request was admitted.
    LoseAfterAdmitting,
    /// Loses the connection after so many bytes of the answer.
    LoseAfterAnswer(usize),
    /// Says that it doesn't know.
    Unknown(ResultCode),
    /// Says that the transaction was lost.
    LoseTransaction,
    /// Answers the first batch, and loses the connection when it gets the second.
    LoseAtSecondBatch,
    /// Answers with so many bytes of rows, as fast as the edge grants them.
    Flood(usize),
    /// Answers the first batch, and doesn't know the outcome of the second.
    UnknownAtSecondBatch,
}

/// What the owner was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    pub backend: String,
    pub writes: bool,
    pub request_key: String,
    pub setup: String,
    pub floor: Option<Freshness>,
}

#[derive(Default)]
pub struct Script {
    endings: Mutex<VecDeque<Ending>>,
    pub opened: Mutex<Vec<Opened>>,
    /// Frontend message types received, over all streams.
    pub received: Mutex<String>,
    pub position: Mutex<u64>,
    /// Notified once a flood waits for a grant.
    pub stalled: tokio::sync::Notify,
    /// Most bytes of a flood sent and not yet granted again.
    pub outstanding: Mutex<usize>,
}

impl Script {
    /// Sets the endings of the next streams; streams after them are answered.
    pub fn set(&self, endings: &[Ending]) {
        *self.endings.lock().unwrap() = endings.iter().copied().collect();
        self.opened.lock().unwrap().clear();
        self.received.lock().unwrap().clear();
    }

    pub fn opened(&self) -> Vec<Opened> {
        self.opened.lock().unwrap().clone()
    }

    pub fn received(&self) -> String {
        self.received.lock().unwrap().clone()
    }

    fn freshness(&self) -> Freshness {
        Freshness::new(Term(1), LogPosition(*self.position.lock().unwrap()))
    }

    fn hint(&self, backend: &str) -> BackendHint {
        BackendHint {
            freshness: self.freshness().into(),
            is_primary: u8::from(backend == "a"),
            waiting: 0,
        }
    }
}

struct ScriptedOwner(Arc<Script>);

impl PeerService for ScriptedOwner {
    fn accept_stream(&self, stream: OwnerStream) {
        tokio::spawn(serve(Arc::clone(&self.0), stream));
    }

    fn answer_call(&self, _from: NodeId, request: CallRequest) -> CallFuture {
        let script = Arc::clone(&self.0);
        Box::pin(async move {
            let CallRequest::QueryBackend { backend } = request else {
                return CallReply::Done;
            };
            CallReply::Backend {
                freshness: script.freshness().into(),
                is_primary: u8::from(backend.as_str() == "a"),
                received: script.freshness().into(),
            }
        })
    }
}

async fn serve(script: Arc<Script>, mut stream: OwnerStream) {
    let Some(EdgeMessage::Open(open)) = stream.receive().await else {
        return;
    };
    let backend = open.backend.as_str().to_owned();
    script.opened.lock().unwrap().push(opened(&open));
    let ending = script.endings.lock().unwrap().pop_front();
    let ending = ending.unwrap_or(Ending::Answer);
    let hint = script.hint(&backend);
    match ending {
        Ending::LoseBeforeAdmitting => return,
        Ending::Refuse(code, retry_after_milliseconds) => {
            stream.send(OwnerMessage::Refused {
                code: code.number(),
                retry_after_milliseconds,
                hint,
            });
            return;
        }
        _ => {}
    }
    stream.send(OwnerMessage::Admitted(hint));
    match ending {
        Ending::LoseAfterAdmitting => return,
        Ending::Flood(bytes) => flood(&script, &mut stream, bytes).await,
        Ending::LoseAfterAnswer(bytes) => {
            let mut sent = 0;
            while sent < bytes {
                let row = data_row(&[b'x'; 8_000]);
                sent += row.len();
                stream.send(OwnerMessage::Answer {
                    messages: row.into(),
                });
            }
            return;
        }
        Ending::Unknown(code) => {
            let code = code.number();
            stream.send(OwnerMessage::OutcomeUnknown { code, hint });
            return;
        }
        Ending::LoseTransaction => {
            stream.send(OwnerMessage::TransactionLost { hint });
            return;
        }
        _ => {}
    }
    answer_batches(&script, &mut stream, open, ending).await;
}

/// Sends rows within the window.
async fn flood(script: &Script, stream: &mut OwnerStream, bytes: usize) {
    let row = data_row(&[b'x'; 8_000]);
    let mut sent = 0;
    let mut outstanding = 0;
    while sent < bytes {
        while outstanding >= INITIAL_WINDOW_BYTES as usize {
            let waited = tokio::time::timeout(STALL_TIME, stream.receive()).await;
            match waited {
                Ok(Some(EdgeMessage::Credit { bytes })) => outstanding -= bytes as usize,
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(_) => script.stalled.notify_one(),
            }
        }
        stream.send(OwnerMessage::Answer {
            messages: row.clone().into(),
        });
        sent += row.len();
        outstanding += row.len();
        let mut most = script.outstanding.lock().unwrap();
        *most = (*most).max(outstanding);
    }
}

fn opened(open: &Open) -> Opened {
    let setup = open.session_setup.bytes.get(5..).unwrap_or_default();
    Opened {
        backend: open.backend.as_str().to_owned(),
        writes: open.access == WireAccess::Write,
        request_key: open.request_key.as_str().to_owned(),
        setup: String::from_utf8_lossy(setup)
            .trim_end_matches('\0')
            .to_owned(),
        floor: open.floor.into(),
    }
}

/// Answers batch after batch until no transaction is open.
async fn answer_batches(script: &Script, stream: &mut OwnerStream, open: Open, ending: Ending) {
    let backend = open.backend.as_str().to_owned();
    let writes = open.access == WireAccess::Write;
    let mut batch = open.batch;
    let mut in_transaction = false;
    loop {
        let answer = answer(script, &batch, &mut in_transaction);
        stream.send(OwnerMessage::Answer {
            messages: answer.into(),
        });
        if batch.complete != 0 {
            if writes && !in_transaction {
                *script.position.lock().unwrap() += 1;
            }
            let status = if in_transaction {
                WireTransactionStatus::InTransaction
            } else {
                WireTransactionStatus::Idle
            };
            stream.send(OwnerMessage::BatchDone {
                sequence: batch.sequence,
                status,
                committed_writes: u8::from(writes && !in_transaction),
                code: ResultCode::Answered.number(),
                hint: script.hint(&backend),
            });
            if !in_transaction {
                return;
            }
        }
        batch = loop {
            match stream.receive().await {
                Some(EdgeMessage::Batch(batch)) => break batch,
                Some(EdgeMessage::Credit { .. } | EdgeMessage::Cancel) => {}
                _ => return,
            }
        };
        match ending {
            Ending::LoseAtSecondBatch => return,
            Ending::UnknownAtSecondBatch => {
                stream.send(OwnerMessage::OutcomeUnknown {
                    code: ResultCode::FenceNotProved.number(),
                    hint: script.hint(&backend),
                });
                return;
            }
            _ => {}
        }
    }
}

/// Answers each frontend message of a batch as a database with nothing in it would.
fn answer(script: &Script, batch: &Batch, in_transaction: &mut bool) -> Vec<u8> {
    let mut answer = Vec::new();
    let mut rest = batch.messages.bytes.as_slice();
    while rest.len() >= 5 {
        let length = u32::from_be_bytes(rest[1..5].try_into().unwrap()) as usize;
        let (message, after) = rest.split_at(length + 1);
        rest = after;
        let text = String::from_utf8_lossy(&message[5..]).to_uppercase();
        if text.contains("BEGIN") {
            *in_transaction = true;
        }
        if text.contains("COMMIT") || text.contains("ROLLBACK") {
            *in_transaction = false;
        }
        script.received.lock().unwrap().push(char::from(message[0]));
        match message[0] {
            b'P' if text.contains("FAIL") => {
                answer.extend(backend_message(b'E', b"SERROR\0C42601\0Mfails\0\0"));
            }
            b'P' => answer.extend(backend_message(b'1', b"")),
            b'B' => answer.extend(backend_message(b'2', b"")),
            b'C' => answer.extend(backend_message(b'3', b"")),
            b'D' => {
                answer.extend(backend_message(b't', &[0, 0]));
                answer.extend(backend_message(b'n', b""));
            }
            b'E' | b'Q' => answer.extend(backend_message(b'C', b"DONE\0")),
            _ => {}
        }
    }
    answer
}

fn backend_message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// A row with one column.
fn data_row(value: &[u8]) -> Vec<u8> {
    let length = u32::try_from(value.len()).unwrap();
    let body = [&[0, 1][..], &length.to_be_bytes(), value].concat();
    backend_message(b'D', &body)
}

/// A node whose owner is scripted. `a` is the primary, `b` and `c` are replicas.
pub struct ScriptedSite {
    pub script: Arc<Script>,
    pub edge: Arc<EdgeService>,
    pub cluster: Cluster,
    pub settings: ResolvedSettings,
    pub address: SocketAddr,
}

impl ScriptedSite {
    pub async fn start() -> Self {
        Self::start_with_owner(NodeId(1), MembershipView::default()).await
    }

    /// A node whose back ends are owned by another one, listed in `view`.
    pub async fn start_with_owner(owner: NodeId, view: MembershipView) -> Self {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let backends: Vec<_> = backend_names()
            .into_iter()
            .map(|name| (name, anywhere))
            .collect();
        let settings = resolved_settings(&backends, 1);
        let rule = Arc::new(
            move |_: &MembershipView, _: &BackendId, _: &BackendSettings| {
                Some(Owners {
                    owner,
                    standby: Some(owner),
                })
            },
        );
        let cluster = Cluster::new(identity(1), rule);
        cluster.set_members(view);
        cluster.apply_settings(settings.clone());
        let primary = KnownPrimary {
            term: Term(1),
            backend: BackendId::new("a").unwrap(),
        };
        cluster.learn_primary(&GroupId::new(DATABASE).unwrap(), primary);
        let key = ClusterKey::new(*b"a cluster key for tests").unwrap();
        let network = PeerNetwork::new(cluster.clone(), key);
        let script = Arc::new(Script::default());
        *script.position.lock().unwrap() = 100;
        network.set_service(Arc::new(ScriptedOwner(Arc::clone(&script))));
        let edge_settings = EdgeSettings::trusting(token_key());
        let edge = EdgeService::new(cluster.clone(), network, edge_settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(Arc::clone(&edge).serve(listener));
        Self {
            script,
            edge,
            cluster,
            settings,
            address,
        }
    }

    pub async fn connect(&self) -> tokio_postgres::Client {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.address.ip().to_string())
            .port(self.address.port())
            .user("reader")
            .dbname(DATABASE);
        super::connect_with(&config).await
    }
}
