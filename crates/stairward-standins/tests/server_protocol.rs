//! Malformed and unusual messages on the TCP server.

mod support;

use std::time::Duration;

use support::{DATABASE, connect, start_group};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PATIENCE: Duration = Duration::from_secs(20);

fn startup() -> Vec<u8> {
    let mut body = 196_608_i32.to_be_bytes().to_vec();
    for text in ["user", "tester", "database", DATABASE] {
        body.extend(text.bytes());
        body.push(0);
    }
    body.push(0);
    let length = i32::try_from(body.len() + 4).unwrap();
    [length.to_be_bytes().to_vec(), body].concat()
}

/// Sends bytes and returns everything until the server closes the connection.
async fn exchange(address: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // A reset by the server counts as closed, too.
    drop(
        tokio::time::timeout(PATIENCE, read)
            .await
            .expect("the connection stays open"),
    );
    answer
}

#[tokio::test]
async fn broken_messages_close_only_their_own_connection() {
    let (group, members) = start_group(1).await;
    let address = group.address(&members[0]).unwrap();
    let bystander = connect(&group, &members[0]).await;
    let cases: [(&str, Vec<u8>); 5] = [
        ("garbage", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("old protocol", [0, 0, 0, 9, 0, 2, 0, 0, 0].to_vec()),
        (
            "unknown message",
            [startup(), b"~\0\0\0\x04".to_vec()].concat(),
        ),
        (
            "message of two gigabytes",
            [startup(), b"Q\x7f\xff\xff\xff".to_vec()].concat(),
        ),
        (
            "impossible length",
            [startup(), b"P\0\0\0\x01".to_vec()].concat(),
        ),
    ];
    for (what, bytes) in cases {
        let answer = exchange(address, &bytes).await;
        let greeted = answer.windows(2).any(|pair| pair == b"Z\0");
        assert_eq!(greeted, bytes.starts_with(&startup()), "{what}");
        bystander.batch_execute("SELECT 1").await.unwrap();
    }
    group.shutdown().await;
}

#[tokio::test]
async fn encryption_is_refused_and_the_session_goes_on() {
    let (group, members) = start_group(1).await;
    let address = group.address(&members[0]).unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"\0\0\0\x08\x04\xd2\x16\x2f")
        .await
        .unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'N');
    stream.write_all(&startup()).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'R');
    group.shutdown().await;
}

#[tokio::test]
async fn after_an_error_messages_are_skipped_until_sync() {
    let (group, members) = start_group(1).await;
    let address = group.address(&members[0]).unwrap();
    let parse = |sql: &str| {
        let body = [b"\0", sql.as_bytes(), b"\0\0\0"].concat();
        let length = i32::try_from(body.len() + 4).unwrap();
        [b"P".as_slice(), &length.to_be_bytes(), &body].concat()
    };
    let sync = b"S\0\0\0\x04".to_vec();
    let terminate = b"X\0\0\0\x04".to_vec();
    let pipeline = [
        startup(),
        parse("SELECT * FROM nowhere"),
        parse("SELECT 1"),
        sync.clone(),
        parse("SELECT 2"),
        sync,
        terminate,
    ];
    let answer = exchange(address, &pipeline.concat()).await;
    let types = message_types(&answer);
    let after_greeting = types.split_once('Z').unwrap().1;
    assert_eq!(after_greeting, "EZ1Z");
    group.shutdown().await;
}

/// The type letters of a stream of messages.
fn message_types(mut bytes: &[u8]) -> String {
    let mut types = String::new();
    while let [kind, a, b, c, d, ..] = *bytes {
        types.push(char::from(kind));
        let length = u32::from_be_bytes([a, b, c, d]);
        bytes = &bytes[1 + usize::try_from(length).unwrap()..];
    }
    types
}
