//! Databases that speak the wire of the pages on loopback.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write as _};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::group::{CommitError, Write};
use crate::world::World;

/// Interval at which a listener looks whether its database still runs.
const POLL: Duration = Duration::from_millis(5);

/// Starts a database: a listener on its port, or on a free one at its first start.
pub fn start(world: &Arc<World>, index: usize) {
    let (port, life) = {
        let mut state = world.group.lock();
        let database = &mut state.databases[index];
        database.is_alive = true;
        (database.port, database.life)
    };
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("a port for a database");
    listener
        .set_nonblocking(true)
        .expect("a listener that can be polled");
    let port = listener.local_addr().expect("an address").port();
    world.group.lock().databases[index].port = port;
    let world = Arc::clone(world);
    thread::spawn(move || {
        loop {
            if world.group.lock().databases[index].life != life {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let world = Arc::clone(&world);
                    thread::spawn(move || serve(&world, index, life, &stream));
                }
                Err(_) => thread::sleep(POLL),
            }
        }
    });
}

/// Starts a crashed database again, with its log: as a replica if another was promoted.
pub fn start_again(world: &Arc<World>, index: usize) {
    {
        let mut state = world.group.lock();
        let newest = state.databases.iter().map(|database| database.term).max();
        let database = &mut state.databases[index];
        database.held = 0;
        if Some(database.term) < newest {
            database.is_primary = false;
        }
    }
    start(world, index);
}

fn serve(world: &Arc<World>, index: usize, life: u64, stream: &TcpStream) {
    let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
        return;
    };
    {
        let mut state = world.group.lock();
        let database = &mut state.databases[index];
        if database.life != life {
            return;
        }
        database.streams.push(kept);
    }
    let mut connection = Connection {
        world,
        index,
        life,
        is_open: false,
        values: BTreeMap::new(),
        prepared: BTreeMap::new(),
        transaction: None,
    };
    let mut lines = BufReader::new(reading);
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|length| length > 0) {
        let Some(answer) = connection.answer(line.trim_end_matches(['\r', '\n'])) else {
            break;
        };
        let mut writing = stream;
        if writing.write_all(answer.as_bytes()).is_err() || !connection.is_open {
            break;
        }
        line.clear();
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    if connection.is_open {
        let mut state = world.group.lock();
        let database = &mut state.databases[index];
        if database.life == life {
            database.connections = database.connections.saturating_sub(1);
        }
    }
}

struct Transaction {
    is_read_only: bool,
    has_failed: bool,
    writes: Vec<Write>,
}

struct Connection<'a> {
    world: &'a Arc<World>,
    index: usize,
    life: u64,
    is_open: bool,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
    transaction: Option<Transaction>,
}

impl Connection<'_> {
    fn answer(&mut self, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "CONNECT" => Some(self.connect(rest)),
            "QUERY" if self.is_open => {
                let (id, text) = rest.split_once(' ')?;
                self.query(id, text)
            }
            _ => None,
        }
    }

    fn connect(&mut self, rest: &str) -> String {
        let words: Vec<&str> = rest.split(' ').collect();
        let mut state = self.world.group.lock();
        let database = &mut state.databases[self.index];
        let is_expected = words.get(2).is_none_or(|id| *id == database.id);
        if words.first() != Some(&crate::world::SERVICE) || !is_expected {
            return "ERROR WRONGNODE another\r\n".to_owned();
        }
        if database.connections >= crate::world::MAX_CONNECTIONS {
            return "ERROR CONNLIMIT full\r\n".to_owned();
        }
        database.connections += 1;
        self.is_open = true;
        format!("READY I {}\r\n", database.position())
    }

    fn query(&mut self, id: &str, text: &str) -> Option<String> {
        let (floor, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (floor, text) = rest.split_once(' ')?;
                (Some(floor.to_owned()), text)
            }
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => Some(self.order(word, rest)),
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Some(self.done("-"))
            }
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.to_owned(), value.to_owned());
                Some(self.done("-"))
            }
            "PREPARE" => {
                let (name, rest) = rest.split_once(' ')?;
                let (access, shape) = rest.split_once(' ')?;
                let prepared = (access.to_owned(), shape.to_owned());
                self.prepared.insert(name.to_owned(), prepared);
                Some(self.done("-"))
            }
            "DEALLOC" => {
                self.prepared.remove(rest);
                Some(self.done("-"))
            }
            "BEGIN" => Some(self.begin(rest == "READ", floor.as_deref())),
            "ROLLBACK" => {
                self.transaction = None;
                Some(self.done("-"))
            }
            "COMMIT" => self.commit(id),
            "READ" => self.run(id, "READ", rest, floor.as_deref()),
            "WRITE" => self.run(id, "WRITE", rest, floor.as_deref()),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                let Some((access, _)) = self.prepared.get(name).cloned() else {
                    return Some(self.refused("NOSUCHSTMT"));
                };
                self.run(id, &access, arguments, floor.as_deref())
            }
            _ => Some(self.refused("MALFORMED")),
        }
    }

    /// Carries out an order to the database itself.
    fn order(&self, word: &str, rest: &str) -> String {
        let mut state = self.world.group.lock();
        let database = &mut state.databases[self.index];
        let term: u64 = rest.parse().unwrap_or(0);
        match word {
            "PAUSE" if !database.is_primary && term > database.term => database.held = term,
            "RESUME" => database.held = 0,
            "STEPDOWN" if database.is_primary && database.term < term => {
                database.is_primary = false;
            }
            _ => {}
        }
        if word != "STATUS" {
            let text = format!("{} gets {word} {rest}", database.id);
            self.world.record.line(&text);
        }
        database.status()
    }

    fn begin(&mut self, is_read_only: bool, floor: Option<&str>) -> String {
        if self.lacks(floor) {
            return self.refused("LAGGING");
        }
        if !is_read_only && !self.world.group.lock().databases[self.index].is_primary {
            return self.refused("READONLY");
        }
        self.transaction = Some(Transaction {
            is_read_only,
            has_failed: false,
            writes: Vec::new(),
        });
        self.done("-")
    }

    fn lacks(&self, floor: Option<&str>) -> bool {
        let state = self.world.group.lock();
        floor.is_some_and(|floor| !state.databases[self.index].contains(floor))
    }

    fn commit(&mut self, id: &str) -> Option<String> {
        let Some(transaction) = self.transaction.take() else {
            return Some(self.refused("MALFORMED"));
        };
        if transaction.has_failed {
            return Some(self.refused("ABORTED"));
        }
        if transaction.writes.is_empty() {
            return Some(self.done(&self.signature(id)));
        }
        self.append(id, transaction.writes)
    }

    fn append(&mut self, id: &str, writes: Vec<Write>) -> Option<String> {
        let texts: Vec<String> = writes.iter().map(|write| write.id.clone()).collect();
        let committed = self.world.group.commit(self.index, self.life, writes);
        let name = &self.world.group.lock().databases[self.index].id.clone();
        match committed {
            Ok(position) => {
                let text = format!("{name} commits {} at {position}", texts.join(","));
                self.world.record.line(&text);
                let signature = self.signature(id);
                Some(format!("COMPLETE {signature}\r\nREADY I {position}\r\n"))
            }
            Err(CommitError::ReadOnly) => Some(self.refused("READONLY")),
            // The process has ended or was rolled back; the connection breaks off.
            Err(CommitError::Ended) => None,
        }
    }

    fn run(&mut self, id: &str, access: &str, rest: &str, floor: Option<&str>) -> Option<String> {
        if self.lacks(floor) {
            return Some(self.refused("LAGGING"));
        }
        let is_primary = self.world.group.lock().databases[self.index].is_primary;
        if let Some(transaction) = &mut self.transaction {
            if transaction.has_failed {
                return Some(self.refused("MALFORMED"));
            }
            if !transaction.is_read_only && !is_primary {
                transaction.has_failed = true;
                return Some(self.refused("READONLY"));
            }
        }
        let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
        thread::sleep((self.world.work)(access, thing));
        if access == "READ" {
            return Some(self.read(id, thing));
        }
        if !is_primary {
            return Some(self.refused("READONLY"));
        }
        let write = Write {
            id: id.to_owned(),
            thing: thing.to_owned(),
            data: data.to_owned(),
        };
        match &mut self.transaction {
            Some(transaction) => {
                transaction.writes.push(write);
                Some(self.done(&self.signature(id)))
            }
            None => self.append(id, vec![write]),
        }
    }

    fn read(&self, id: &str, thing: &str) -> String {
        let state = self.world.group.lock();
        let database = &state.databases[self.index];
        let found = database.read(thing);
        let data = found.map_or("-".to_owned(), |write| write.data.clone());
        let text = format!(
            "{} reads {thing} for {id} at {}",
            database.id,
            database.position()
        );
        self.world.record.line(&text);
        drop(state);
        let row = (self.world.row)(thing, data);
        let done = self.done(&self.signature(id));
        format!("ROW {row}\r\n{done}")
    }

    fn signature(&self, id: &str) -> String {
        let state = self.world.group.lock();
        format!("sig.{}.{id}", state.databases[self.index].id)
    }

    fn state_word(&self) -> &'static str {
        match &self.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        }
    }

    fn done(&self, signature: &str) -> String {
        let position = self.world.group.lock().databases[self.index].position();
        format!(
            "COMPLETE {signature}\r\nREADY {} {position}\r\n",
            self.state_word()
        )
    }

    fn refused(&self, word: &str) -> String {
        let position = self.world.group.lock().databases[self.index].position();
        format!(
            "ERROR {word} -\r\nREADY {} {position}\r\n",
            self.state_word()
        )
    }
}
