//! A client that sends and receives individual protocol messages.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const CANCEL_CODE: [u8; 4] = 80_877_102_u32.to_be_bytes();

/// Encodes a startup packet for protocol 3.0.
pub fn startup_packet(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = vec![0, 3, 0, 0];
    for (name, value) in parameters {
        body.extend(name.bytes().chain([0]).chain(value.bytes()).chain([0]));
    }
    body.push(0);
    with_length(&body)
}

pub fn with_length(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&length.to_be_bytes(), body].concat()
}

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &with_length(body)].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn parse(name: &str, text: &str) -> Vec<u8> {
    let body = [name.as_bytes(), &[0], text.as_bytes(), &[0, 0, 0]].concat();
    message(b'P', &body)
}

/// Binds the unnamed portal to a statement without parameters.
pub fn bind(statement: &str) -> Vec<u8> {
    let body = [&[0][..], statement.as_bytes(), &[0, 0, 0, 0, 0, 0, 0]].concat();
    message(b'B', &body)
}

pub fn describe(statement: &str) -> Vec<u8> {
    message(b'D', &[b"S", statement.as_bytes(), &[0]].concat())
}

pub fn close(statement: &str) -> Vec<u8> {
    message(b'C', &[b"S", statement.as_bytes(), &[0]].concat())
}

pub fn execute() -> Vec<u8> {
    message(b'E', &[0, 0, 0, 0, 0])
}

pub fn flush() -> Vec<u8> {
    message(b'H', b"")
}

pub fn sync() -> Vec<u8> {
    message(b'S', b"")
}

/// A client that has completed startup.
pub struct RawClient {
    pub socket: TcpStream,
    /// Body of its `BackendKeyData`, as needed for cancel requests.
    pub key: Vec<u8>,
}

impl RawClient {
    pub async fn connect(address: SocketAddr) -> Self {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let packet = startup_packet(&[("user", "reader"), ("database", super::DATABASE)]);
        socket.write_all(&packet).await.unwrap();
        let key = Vec::new();
        let mut client = Self { socket, key };
        loop {
            match client.next().await {
                (b'K', key) => client.key = key,
                (b'Z', _) => return client,
                _ => {}
            }
        }
    }

    /// Sends a cancel request with this client's key and waits until the edge has processed it.
    pub async fn cancel(&self, address: SocketAddr) {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let body = [&CANCEL_CODE[..], &self.key].concat();
        socket.write_all(&with_length(&body)).await.unwrap();
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"", "a cancel request gets no response");
    }

    pub async fn send(&mut self, messages: &[Vec<u8>]) {
        self.socket.write_all(&messages.concat()).await.unwrap();
    }

    /// Reads the next message: its type and body.
    pub async fn next(&mut self) -> (u8, Vec<u8>) {
        let tag = self.socket.read_u8().await.unwrap();
        let length = self.socket.read_u32().await.unwrap() as usize;
        let mut body = vec![0; length - 4];
        self.socket.read_exact(&mut body).await.unwrap();
        (tag, body)
    }

    /// The types of the messages up to and including `last`; `ParameterStatus` is omitted.
    pub async fn response_types_until(&mut self, last: u8) -> String {
        let mut tags = String::new();
        loop {
            let (tag, _) = self.next().await;
            if tag != b'S' {
                tags.push(char::from(tag));
            }
            if tag == last {
                return tags;
            }
        }
    }

    /// Sends messages and returns the types of the responses up to the next `ReadyForQuery`.
    pub async fn request(&mut self, messages: &[Vec<u8>]) -> String {
        self.send(messages).await;
        self.response_types_until(b'Z').await
    }
}
