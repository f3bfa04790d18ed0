//! A caller that speaks the protocol byte by byte.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const CANCEL_CODE: [u8; 4] = 80_877_102_u32.to_be_bytes();

/// A start-up packet for protocol 3.0 with these parameters.
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

/// A caller past its start-up.
pub struct RawCaller {
    pub socket: TcpStream,
    /// Body of its `BackendKeyData`: what cancels its statements.
    pub key: Vec<u8>,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let packet = startup_packet(&[("user", "reader"), ("database", super::DATABASE)]);
        socket.write_all(&packet).await.unwrap();
        let key = Vec::new();
        let mut caller = Self { socket, key };
        loop {
            match caller.next().await {
                (b'K', key) => caller.key = key,
                (b'Z', _) => return caller,
                _ => {}
            }
        }
    }

    /// Sends a cancel request with this caller's key, and waits until the edge has dealt with it.
    pub async fn cancel(&self, address: SocketAddr) {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let body = [&CANCEL_CODE[..], &self.key].concat();
        socket.write_all(&with_length(&body)).await.unwrap();
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer, b"", "a cancel request gets no answer");
    }

    pub async fn send(&mut self, messages: &[Vec<u8>]) {
        self.socket.write_all(&messages.concat()).await.unwrap();
    }

    /// The next message: its type and body.
    pub async fn next(&mut self) -> (u8, Vec<u8>) {
        let tag = self.socket.read_u8().await.unwrap();
        let length = self.socket.read_u32().await.unwrap() as usize;
        let mut body = vec![0; length - 4];
        self.socket.read_exact(&mut body).await.unwrap();
        (tag, body)
    }

    /// Message types up to and with this one; reported parameters are left out.
    pub async fn answers_until(&mut self, last: u8) -> String {
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

    /// Sends messages and gives the types of the answers up to the next `ReadyForQuery`.
    pub async fn ask(&mut self, messages: &[Vec<u8>]) -> String {
        self.send(messages).await;
        self.answers_until(b'Z').await
    }
}
