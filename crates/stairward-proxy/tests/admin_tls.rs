//! The admin interface over TLS.

mod configuration_support;

use std::sync::Arc;

use configuration_support::TestFleet;
use metrics_exporter_prometheus::PrometheusBuilder;
use rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer, ServerName};
use stairward_proxy::admin::{AdminOptions, AdminService, NodeActivity, StatusSource};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsConnector;

struct Idle;

impl StatusSource for Idle {
    fn activity(&self) -> NodeActivity {
        NodeActivity::default()
    }
}

/// A server configuration with a self-signed certificate, and a client configuration that trusts
/// it.
fn certificates() -> (rustls::ServerConfig, rustls::ClientConfig) {
    let certified = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("made");
    let certificate = certified.cert.der().clone();
    let key = PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], PrivateKeyDer::Pkcs8(key))
        .expect("a key pair");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate).expect("a certificate");
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    (server, client)
}

#[tokio::test]
async fn requests_are_answered_over_tls_only() {
    let fleet = TestFleet::start(1).await;
    let (server, client) = certificates();
    let node = &fleet.nodes[0];
    let options = AdminOptions {
        token: None,
        tls: Some(Arc::new(server)),
        cluster: node.cluster.clone(),
        configuration: node.configuration.clone(),
        status: Arc::new(Idle),
        metrics: PrometheusBuilder::new().build_recorder().handle(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let admin = AdminService::start(listener, options).expect("started");
    const REQUEST: &[u8] = b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

    let socket = TcpStream::connect(admin.address())
        .await
        .expect("connected");
    let name = ServerName::try_from("localhost").expect("a name");
    let connector = TlsConnector::from(Arc::new(client));
    let mut stream = connector.connect(name, socket).await.expect("a handshake");
    stream.write_all(REQUEST).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");

    let mut plain = TcpStream::connect(admin.address())
        .await
        .expect("connected");
    plain.write_all(REQUEST).await.expect("sent");
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer).await;
    assert!(
        !answer.starts_with(b"HTTP"),
        "the server answered a plain-text request"
    );
}
