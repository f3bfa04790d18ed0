//! Clients that speak the wire of the pages.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(4);

/// The answer to a statement.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The signature, or the error's word and text.
    pub result: Result<String, String>,
}

/// A session.
pub struct Session {
    lines: BufReader<TcpStream>,
    writing: TcpStream,
}

impl Session {
    pub fn open(address: SocketAddr, database: &str, who: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, DEADLINE).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(DEADLINE)).ok()?;
        let mut session = Self {
            lines: BufReader::new(stream.try_clone().ok()?),
            writing: stream,
        };
        session.send(&format!("CONNECT {database} {who}"))?;
        session.line()?.starts_with("READY").then_some(session)
    }

    fn send(&mut self, text: &str) -> Option<()> {
        self.writing
            .write_all(format!("{text}\r\n").as_bytes())
            .ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let length = self.lines.read_line(&mut line).ok()?;
        (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and waits for the whole answer; none if there is none.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut rows = Vec::new();
        let mut result = Err("no result".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => return Some(Answer { rows, result }),
                _ => return None,
            }
        }
    }
}

/// Whether a node answers its ready probe with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> Option<[u8; 12]> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let request = b"GET /ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        stream.write_all(request).ok()?;
        let mut start = [0; 12];
        stream.read_exact(&mut start).ok()?;
        Some(start)
    };
    ask().is_some_and(|start| start.ends_with(b"200"))
}
