//! Connection startup: encryption, authentication, limits and protocol violations.

mod edge_support;

use std::sync::Arc;

use edge_support::raw::{message, startup_packet, with_length};
use edge_support::{Site, result_code, simple_value, token_key, with_timeout};
use stairward_proxy::edge::EdgeSettings;
use stairward_types::ResultCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

const TLS_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
const GSS_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 48];

async fn connect_raw(site: &Site) -> TcpStream {
    TcpStream::connect(site.node().address).await.unwrap()
}

/// Reads everything that the edge sends until the connection is closed.
async fn read_until_closed(socket: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    // The connection may also end with a reset.
    let _ = socket.read_to_end(&mut bytes).await;
    bytes
}

fn contains_code(bytes: &[u8], code: ResultCode) -> bool {
    let text = format!("SW{}", code.number());
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn declined_encryption_does_not_end_the_connection() {
    with_timeout(async {
        let site = Site::start().await;
        let mut socket = connect_raw(&site).await;
        for request in [GSS_REQUEST, TLS_REQUEST] {
            socket.write_all(&request).await.unwrap();
            assert_eq!(socket.read_u8().await.unwrap(), b'N');
        }
        let packet = startup_packet(&[("user", "reader"), ("database", "shelf")]);
        socket.write_all(&packet).await.unwrap();
        assert_eq!(socket.read_u8().await.unwrap(), b'R');
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_startup_packets_are_refused() {
    with_timeout(async {
        let site = Site::start().await;
        let violation = Some(ResultCode::ProtocolViolation);
        let cases: [(Vec<u8>, Option<ResultCode>); 8] = [
            (b"GET / HTTP/1.1\r\n\r\n".to_vec(), None),
            (vec![0xFF; 100], None),
            (vec![0, 0, 0, 4], None),
            (with_length(&[0, 2, 0, 0, 0]), violation),
            (with_length(&[0, 3, 0, 0, b'u', b's']), violation),
            (startup_packet(&[("database", "shelf")]), violation),
            (
                startup_packet(&[("user", "reader"), ("database", "no-such-group")]),
                Some(ResultCode::UnknownDatabase),
            ),
            (
                with_length(&[0, 3, 0, 0, b'u', b's', b'e', b'r', 0, 0xFF, 0, 0]),
                Some(ResultCode::InvalidEncoding),
            ),
        ];
        for (bytes, expected) in cases {
            let mut socket = connect_raw(&site).await;
            socket.write_all(&bytes).await.unwrap();
            let answer = read_until_closed(&mut socket).await;
            match expected {
                Some(code) => assert!(contains_code(&answer, code), "{bytes:?}: {answer:?}"),
                None => assert_eq!(answer, b"", "{bytes:?}"),
            }
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn protocol_violations_end_only_their_own_session() {
    with_timeout(async {
        let site = Site::start().await;
        let bystander = site.node().connect().await;
        let violation = ResultCode::ProtocolViolation;
        let cases = [
            (message(b'!', b""), violation),
            (message(b'B', b"\0\0\xFF\xFF"), violation),
            (message(b'E', b"portal"), violation),
            (message(b'D', b"Xname\0"), violation),
            (vec![b'Q', 0, 0, 0, 1], violation),
            (vec![b'Q', 0x7F, 0, 0, 0], ResultCode::MessageTooLarge),
        ];
        for (bytes, expected) in cases {
            let mut socket = connect_raw(&site).await;
            let packet = startup_packet(&[("user", "reader"), ("database", "shelf")]);
            socket.write_all(&packet).await.unwrap();
            socket.write_all(&bytes).await.unwrap();
            let answer = read_until_closed(&mut socket).await;
            assert!(contains_code(&answer, expected), "{bytes:?}: {answer:?}");
        }
        let seen = simple_value(&bystander, "SELECT 1").await;
        assert_eq!(seen.as_deref(), Some("1"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_utf_8_is_refused_without_ending_the_session() {
    with_timeout(async {
        let site = Site::start().await;
        let mut socket = connect_raw(&site).await;
        let packet = startup_packet(&[("user", "reader"), ("database", "shelf")]);
        socket.write_all(&packet).await.unwrap();
        let bad_query = message(b'Q', b"SELECT '\xFF'\0");
        let bad_parse = message(b'P', b"\0SELECT '\xFF'\0\0\0");
        socket.write_all(&bad_query).await.unwrap();
        socket.write_all(&bad_parse).await.unwrap();
        socket.write_all(&message(b'S', b"")).await.unwrap();
        socket
            .write_all(&message(b'Q', b"SELECT 1\0"))
            .await
            .unwrap();
        socket.write_all(&message(b'X', b"")).await.unwrap();
        let answer = read_until_closed(&mut socket).await;
        let text = String::from_utf8_lossy(&answer);
        let code = format!("SW{}", ResultCode::InvalidEncoding.number());
        assert_eq!(text.matches(&code).count(), 2);
        assert!(
            text.contains("SELECT 1"),
            "the last query returns its result"
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_without_startup_packet_is_closed() {
    with_timeout(async {
        let settings = EdgeSettings {
            startup_timeout: std::time::Duration::from_millis(50),
            ..EdgeSettings::with_trust_authentication(token_key())
        };
        let site = Site::start_with(1, &settings).await;
        let mut socket = connect_raw(&site).await;
        assert_eq!(read_until_closed(&mut socket).await, b"");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_above_the_limit_are_refused_with_an_error() {
    with_timeout(async {
        let settings = EdgeSettings {
            maximum_clients: 1,
            ..EdgeSettings::with_trust_authentication(token_key())
        };
        let site = Site::start_with(1, &settings).await;
        let first = site.node().connect().await;
        let Err(error) = site.node().config().connect(NoTls).await else {
            panic!("a second client was accepted");
        };
        let expected = Some(ResultCode::TooManyClients.number());
        assert_eq!(result_code(&error), expected);
        drop(first);
    })
    .await;
}

fn with_users() -> EdgeSettings {
    EdgeSettings {
        users: Some([("reader".to_owned(), "pässword".to_owned())].into()),
        ..EdgeSettings::with_trust_authentication(token_key())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_password_is_refused() {
    with_timeout(async {
        let site = Site::start_with(1, &with_users()).await;
        let mut config = site.node().config();
        config.password("pässword");
        let client = edge_support::connect_with(&config).await;
        let seen = simple_value(&client, "SELECT 1").await;
        assert_eq!(seen.as_deref(), Some("1"));
        for (user, password) in [("reader", "guess"), ("stranger", "pässword")] {
            config.user(user).password(password);
            let Err(error) = config.connect(NoTls).await else {
                panic!("{user} was accepted");
            };
            let expected = Some(ResultCode::AuthenticationFailed.number());
            assert_eq!(result_code(&error), expected);
            assert_eq!(error.code().unwrap().code(), "28P01");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_users_apply_to_new_connections() {
    with_timeout(async {
        let site = Site::start_with(1, &with_users()).await;
        let users = [("reader".to_owned(), "new".to_owned())].into();
        site.node().edge.set_users(Some(users));
        let mut config = site.node().config();
        config.password("new");
        edge_support::connect_with(&config).await;
    })
    .await;
}

/// A server configuration with a self-signed certificate, and a client that trusts it.
fn tls() -> (Arc<rustls::ServerConfig>, tokio_rustls::TlsConnector) {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    let certificate = certified.cert.der().clone();
    let key = rustls_pki_types::PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
    let server = rustls::ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], key.into())
        .unwrap();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate).unwrap();
    let client = rustls::ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    (Arc::new(server), Arc::new(client).into())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_runs_over_tls() {
    with_timeout(async {
        let (server, connector) = tls();
        let settings = EdgeSettings {
            tls: Some(server),
            ..with_users()
        };
        let site = Site::start_with(1, &settings).await;
        let mut socket = connect_raw(&site).await;
        socket.write_all(&TLS_REQUEST).await.unwrap();
        assert_eq!(socket.read_u8().await.unwrap(), b'S');
        let name = rustls_pki_types::ServerName::try_from("localhost").unwrap();
        let encrypted = connector.connect(name, socket).await.unwrap();
        let mut config = site.node().config();
        config.password("pässword");
        config.ssl_mode(tokio_postgres::config::SslMode::Disable);
        let (client, connection) = config.connect_raw(encrypted, NoTls).await.unwrap();
        tokio::spawn(connection);
        let seen = simple_value(&client, "SELECT 1").await;
        assert_eq!(seen.as_deref(), Some("1"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_sent_ahead_of_the_tls_handshake_are_refused() {
    with_timeout(async {
        let (server, _) = tls();
        let settings = EdgeSettings {
            tls: Some(server),
            ..EdgeSettings::with_trust_authentication(token_key())
        };
        let site = Site::start_with(1, &settings).await;
        let mut socket = connect_raw(&site).await;
        let mut bytes = TLS_REQUEST.to_vec();
        bytes.extend(startup_packet(&[("user", "reader"), ("database", "shelf")]));
        socket.write_all(&bytes).await.unwrap();
        assert_eq!(read_until_closed(&mut socket).await, b"S");
    })
    .await;
}
