//! An edge with a scripted owner that ends its streams as a test specifies.

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

/// Time without credit after which the client counts as stalled.
const CREDIT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// How the scripted owner ends a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Responds, and keeps the stream open while a transaction is open.
    Respond,
    /// Refuses with a retry delay in milliseconds.
    Refuse(ResultCode, u32),
    /// Closes the connection without a message.
    DisconnectBeforeAdmission,
    /// Closes the connection after admitting the request.
    DisconnectAfterAdmission,
    /// Closes the connection after sending this many response bytes.
    DisconnectAfterResponse(usize),
    /// Reports an unknown outcome.
    OutcomeUnknown(ResultCode),
    /// Reports a lost transaction.
    LoseTransaction,
    /// Responds to the first batch and closes the connection on receiving the second.
    DisconnectAtSecondBatch,
    /// Sends this many bytes of rows, limited only by flow control.
    LargeResponse(usize),
    /// Responds to the first batch and reports an unknown outcome for the second.
    UnknownAtSecondBatch,
}

/// The parameters of a stream that the edge opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedStream {
    pub backend: String,
    pub writes: bool,
    pub request_key: String,
    pub setup: String,
    pub floor: Option<Freshness>,
}

#[derive(Default)]
pub struct OwnerScript {
    endings: Mutex<VecDeque<Ending>>,
    pub opened: Mutex<Vec<OpenedStream>>,
    /// Types of the frontend messages received on all streams.
    pub received: Mutex<String>,
    pub position: Mutex<u64>,
    /// Notified when a large response has run out of credit.
    pub waiting_for_credit: tokio::sync::Notify,
    /// The largest number of bytes of a large response sent without credit having been returned for
    /// them.
    pub max_uncredited_bytes: Mutex<usize>,
}

impl OwnerScript {
    /// Sets the endings of the next streams. Further streams are answered normally.
    pub fn set(&self, endings: &[Ending]) {
        *self.endings.lock().unwrap() = endings.iter().copied().collect();
        self.opened.lock().unwrap().clear();
        self.received.lock().unwrap().clear();
    }

    pub fn opened(&self) -> Vec<OpenedStream> {
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

struct ScriptedOwner(Arc<OwnerScript>);

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

async fn serve(script: Arc<OwnerScript>, mut stream: OwnerStream) {
    let Some(EdgeMessage::Open(open)) = stream.receive().await else {
        return;
    };
    let backend = open.backend.as_str().to_owned();
    script.opened.lock().unwrap().push(opened(&open));
    let ending = script.endings.lock().unwrap().pop_front();
    let ending = ending.unwrap_or(Ending::Respond);
    let hint = script.hint(&backend);
    match ending {
        Ending::DisconnectBeforeAdmission => return,
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
        Ending::DisconnectAfterAdmission => return,
        Ending::LargeResponse(bytes) => send_large_response(&script, &mut stream, bytes).await,
        Ending::DisconnectAfterResponse(bytes) => {
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
        Ending::OutcomeUnknown(code) => {
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
    respond_to_batches(&script, &mut stream, open, ending).await;
}

/// Sends rows as far as the flow-control window allows.
async fn send_large_response(script: &OwnerScript, stream: &mut OwnerStream, bytes: usize) {
    let row = data_row(&[b'x'; 8_000]);
    let mut sent = 0;
    let mut uncredited_bytes = 0;
    while sent < bytes {
        while uncredited_bytes >= INITIAL_WINDOW_BYTES as usize {
            let waited = tokio::time::timeout(CREDIT_TIMEOUT, stream.receive()).await;
            match waited {
                Ok(Some(EdgeMessage::Credit { bytes })) => uncredited_bytes -= bytes as usize,
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(_) => script.waiting_for_credit.notify_one(),
            }
        }
        stream.send(OwnerMessage::Answer {
            messages: row.clone().into(),
        });
        sent += row.len();
        uncredited_bytes += row.len();
        let mut max_bytes = script.max_uncredited_bytes.lock().unwrap();
        *max_bytes = (*max_bytes).max(uncredited_bytes);
    }
}

fn opened(open: &Open) -> OpenedStream {
    let setup = open.session_setup.bytes.get(5..).unwrap_or_default();
    OpenedStream {
        backend: open.backend.as_str().to_owned(),
        writes: open.access == WireAccess::Write,
        request_key: open.request_key.as_str().to_owned(),
        setup: String::from_utf8_lossy(setup)
            .trim_end_matches('\0')
            .to_owned(),
        floor: open.floor.into(),
    }
}

/// Responds to batches until no transaction is open.
async fn respond_to_batches(
    script: &OwnerScript,
    stream: &mut OwnerStream,
    open: Open,
    ending: Ending,
) {
    let backend = open.backend.as_str().to_owned();
    let writes = open.access == WireAccess::Write;
    let mut batch = open.batch;
    let mut in_transaction = false;
    loop {
        let response = respond(script, &batch, &mut in_transaction);
        stream.send(OwnerMessage::Answer {
            messages: response.into(),
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
            Ending::DisconnectAtSecondBatch => return,
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

/// Responds to each frontend message of a batch like an empty database.
fn respond(script: &OwnerScript, batch: &Batch, in_transaction: &mut bool) -> Vec<u8> {
    let mut response = Vec::new();
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
                response.extend(backend_message(b'E', b"SERROR\0C42601\0Mfails\0\0"));
            }
            b'P' => response.extend(backend_message(b'1', b"")),
            b'B' => response.extend(backend_message(b'2', b"")),
            b'C' => response.extend(backend_message(b'3', b"")),
            b'D' => {
                response.extend(backend_message(b't', &[0, 0]));
                response.extend(backend_message(b'n', b""));
            }
            b'E' | b'Q' => response.extend(backend_message(b'C', b"DONE\0")),
            _ => {}
        }
    }
    response
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

/// A node with a scripted owner. `a` is the primary; `b` and `c` are replicas.
pub struct ScriptedSite {
    pub script: Arc<OwnerScript>,
    pub edge: Arc<EdgeService>,
    pub cluster: Cluster,
    pub settings: ResolvedSettings,
    pub address: SocketAddr,
}

impl ScriptedSite {
    pub async fn start() -> Self {
        Self::start_with_owner(NodeId(1), MembershipView::default()).await
    }

    /// Starts a node whose backends are owned by another node, listed in `view`.
    pub async fn start_with_owner(owner: NodeId, view: MembershipView) -> Self {
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
        let backends: Vec<_> = backend_names()
            .into_iter()
            .map(|name| (name, unused_address))
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
        let script = Arc::new(OwnerScript::default());
        *script.position.lock().unwrap() = 100;
        network.set_service(Arc::new(ScriptedOwner(Arc::clone(&script))));
        let edge_settings = EdgeSettings::with_trust_authentication(token_key());
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
