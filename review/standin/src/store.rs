//! The platform's store and its promotion call, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json;
use crate::world::World;

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    is_gone: bool,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.made, object.spec
    )
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(known) = known.filter(|known| known.spec == spec) {
            return known.clone();
        }
        let made = known.map(|known| known.made);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            made: made.unwrap_or(self.revision),
            spec: spec.to_owned(),
        };
        self.objects.insert(key, object.clone());
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: object.clone(),
            is_gone: false,
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.history.push(Event {
                revision: self.revision,
                kind: kind.to_owned(),
                name: name.to_owned(),
                object,
                is_gone: true,
            });
        }
    }

    fn list(&self, kind: &str) -> String {
        let items = self.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = items
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let events = self.history.iter();
        let events = events.filter(|event| event.revision > since && event.kind == kind);
        let text = |event: &Event| {
            let object = object_text(&event.name, &event.object);
            format!("{{\"gone\":{},\"object\":{object}}}", event.is_gone)
        };
        events.map(text).collect()
    }

    /// A POST or PUT; returns the status and the body.
    fn write(&mut self, kind: &str, name: &str, is_create: bool, body: &str) -> (u16, String) {
        let meta = json::field(body, "meta").unwrap_or("{}");
        let expected = json::number(meta, "revision");
        let spec = json::field(body, "spec").unwrap_or("null").to_owned();
        let key = (kind.to_owned(), name.to_owned());
        match self.objects.get(&key) {
            None if !is_create => return (404, "null".to_owned()),
            Some(object) if is_create || expected.is_some_and(|it| it != object.revision) => {
                return (409, object_text(name, object));
            }
            _ => {}
        }
        let object = self.put(kind, name, &spec);
        (200, object_text(name, &object))
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    /// Writes an object as the operator or a database does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.objects.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.objects.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let events = objects.events(kind, since);
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    objects.revision
                );
                return (200, body);
            }
            objects = self.changed.wait_timeout(objects, end - now).unwrap().0;
        }
    }
}

/// Starts a listener of the platform and returns its address.
pub fn start(world: &Arc<World>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for the store");
    let address = listener.local_addr().expect("an address");
    let world = Arc::clone(world);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let world = Arc::clone(&world);
            thread::spawn(move || serve(&world, &stream));
        }
    });
    address
}

struct Request {
    method: String,
    path: String,
    query: String,
    holder: String,
    token: u64,
    body: String,
}

fn read_request(lines: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    lines
        .read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        holder: String::new(),
        token: 0,
        body: String::new(),
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        lines.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "stairward-lease-holder" => request.holder = value.to_owned(),
            "stairward-fencing-token" => request.token = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

fn serve(world: &Arc<World>, stream: &TcpStream) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reading);
    while let Some(request) = read_request(&mut lines) {
        let (status, body) = respond(world, &request);
        thread::sleep(ANSWER_TIME);
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut writing = stream;
        if writing.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn respond(world: &Arc<World>, request: &Request) -> (u16, String) {
    if request.path == "/promote" {
        return (promote(world, request), "{}".to_owned());
    }
    let rest = request.path.trim_start_matches("/objects/");
    let (kind, name) = match rest.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (rest, None),
    };
    match (request.method.as_str(), name) {
        ("GET", None) => match parameter(&request.query, "watch") {
            Some(since) => {
                let wait = parameter(&request.query, "waitMs").unwrap_or(0);
                world.store.watch(kind, since, Duration::from_millis(wait))
            }
            None => (200, world.store.objects.lock().unwrap().list(kind)),
        },
        ("GET", Some(name)) => {
            let objects = world.store.objects.lock().unwrap();
            let key = (kind.to_owned(), name.to_owned());
            match objects.objects.get(&key) {
                Some(object) => (200, object_text(name, object)),
                None => (404, "null".to_owned()),
            }
        }
        ("POST" | "PUT", _) => {
            let is_create = request.method == "POST";
            let meta = json::field(&request.body, "meta").unwrap_or("{}");
            let name = name.or(json::text(meta, "name")).unwrap_or_default();
            let mut objects = world.store.objects.lock().unwrap();
            let (status, body) = objects.write(kind, name, is_create, &request.body);
            drop(objects);
            world.store.changed.notify_all();
            let spec = json::field(&request.body, "spec").unwrap_or("");
            let text = format!("store: {} {kind}/{name} {spec}: {status}", request.method);
            world.record.line(&text);
            (status, body)
        }
        ("DELETE", Some(name)) => {
            world.store.remove(kind, name);
            (200, "{}".to_owned())
        }
        _ => (404, "null".to_owned()),
    }
}

/// The promotion call.
fn promote(world: &Arc<World>, request: &Request) -> u16 {
    let id = json::text(&request.body, "id").unwrap_or_default();
    let mut state = world.group.lock();
    let index = state
        .databases
        .iter()
        .position(|database| database.id == id);
    let is_alive = index.is_some_and(|index| state.databases[index].is_alive);
    let is_fenced = world.group.rules.requires_fence && request.token < state.fence;
    let status = if is_fenced || !is_alive { 409 } else { 200 };
    if status == 200 {
        state.fence = state.fence.max(request.token);
    }
    let is_leader = index.is_some_and(|index| state.databases[index].is_primary);
    drop(state);
    let text = format!(
        "platform: {} orders the promotion of {id} with token {}: {status}",
        request.holder, request.token
    );
    world.record.tell(&text);
    if let (200, false, Some(index)) = (status, is_leader, index) {
        let world = Arc::clone(world);
        thread::spawn(move || {
            thread::sleep(world.group.rules.promote_delay);
            world.group.promote(index, &world.record);
        });
    }
    status
}
