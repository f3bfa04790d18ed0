//! A node is stopped as planned while a client on a slow link still receives the answer to its read.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Session;
use crate::deployment::{self, Paths, Route};
use crate::group::{Database, Group, Rules};
use crate::record::Record;
use crate::store::Store;
use crate::world::World;

const NODES: usize = 3;
const HOST: &str = "browse";
/// The route's timeout, as of the site's catalogue-browse.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const GRACE_SECONDS: u64 = 6;
/// Other sessions on the node that is stopped.
const OTHERS: usize = 20;
/// The length of the large row. A message is 1 MiB at most.
const ROW_LENGTH: usize = 1_000_000;
/// What the client's link carries in a second.
const LINK_BYTES_PER_SECOND: usize = 600_000;
const LINK_STEP: Duration = Duration::from_millis(2);
const LINK_STEPS_PER_SECOND: usize = 500;
/// When the read is sent, after SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(1_900);
const THING: &str = "page";

pub fn run(paths: &Paths, record: Record, has_trouble: bool) -> Verdict {
    let rules = Rules {
        sync_replicas: 0,
        promote_delay: Duration::from_millis(1_000),
        requires_fence: true,
    };
    let databases = vec![
        Database::new("i-a", "zone-a", true, 0),
        Database::new("i-b", "zone-b", false, 8),
        Database::new("i-c", "zone-c", false, 28),
    ];
    let world = Arc::new(World {
        group: Group::new(rules, databases),
        store: Store::default(),
        record,
        work: Box::new(|_, _| Duration::from_millis(30)),
        row: Box::new(|thing, data| {
            if thing == THING {
                "x".repeat(ROW_LENGTH)
            } else {
                data
            }
        }),
    });
    let route = Route {
        host: HOST,
        kind: "bounded",
        timeout_ms: TIMEOUT.as_millis() as u64,
        staleness_ms: 1_500,
    };
    deployment::configure(&world, 1, &[route]);
    let store = deployment::start_platform(&world, 3);
    let mut nodes = deployment::start_nodes(paths, store, NODES, GRACE_SECONDS);
    if !deployment::are_ready(&nodes) {
        world.record.tell("the nodes did not become ready");
        return Verdict::NotRun;
    }
    let front = nodes[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    for other in 0..OTHERS {
        let (world, is_over) = (Arc::clone(&world), Arc::clone(&is_over));
        thread::spawn(move || browse(&world, front, other, &is_over));
    }
    let Some(mut client) = SlowClient::open(front) else {
        world.record.tell("the client found no session");
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(6));
    let stopped_at = Instant::now();
    if has_trouble {
        world.record.tell("front-0 gets SIGTERM");
        nodes[0].signal("TERM");
    }
    thread::sleep(SENT_AFTER.saturating_sub(stopped_at.elapsed()));
    world
        .record
        .tell(&format!("the client sends QUERY q1 READ {THING}"));
    let sent_at = Instant::now();
    let received = client.read_answer(&format!("QUERY q1 READ {THING}\r\n"));
    let took = sent_at.elapsed();
    world.record.tell(&format!(
        "after {:.3} s: {} bytes of the answer, {}",
        took.as_secs_f64(),
        received.bytes,
        if received.is_whole {
            "the whole"
        } else {
            "then the connection ended"
        }
    ));
    let end = stopped_at + Duration::from_secs(GRACE_SECONDS + 2);
    while has_trouble && !nodes[0].has_ended() && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble {
        let text = format!(
            "front-0 has ended {:.3} s after SIGTERM",
            stopped_at.elapsed().as_secs_f64()
        );
        world.record.tell(&text);
    }
    is_over.store(true, Ordering::Relaxed);
    match received {
        Received { is_whole: true, .. } => Verdict::Held,
        // The answer would be late by the route's own measure, which excuses it.
        _ if took >= TIMEOUT => Verdict::NotRun,
        _ => Verdict::Broken,
    }
}

/// A session that reads small things now and then.
fn browse(world: &World, front: SocketAddr, other: usize, is_over: &AtomicBool) {
    let Some(mut session) = Session::open(front, HOST, &format!("o{other}")) else {
        return;
    };
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("o{other}.{number}");
        let Some(answer) = session.query(&id, &format!("READ thing{other}")) else {
            return;
        };
        world.record.line(&format!(
            "client o{other} gets {:?} for {id}",
            answer.result
        ));
        thread::sleep(Duration::from_millis(400));
    }
}

struct Received {
    bytes: usize,
    is_whole: bool,
}

/// A client whose link has a small window and carries little in a second.
struct SlowClient {
    stream: TcpStream,
}

impl SlowClient {
    fn open(address: SocketAddr) -> Option<Self> {
        let mut stream = connect_with_small_window(address)?;
        stream
            .write_all(format!("CONNECT {HOST} phone\r\n").as_bytes())
            .ok()?;
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?)
            .read_line(&mut line)
            .ok()?;
        line.starts_with("READY").then_some(Self { stream })
    }

    /// Sends a statement and reads its answer as fast as the link allows.
    fn read_answer(&mut self, text: &str) -> Received {
        let mut received = Received {
            bytes: 0,
            is_whole: false,
        };
        if self.stream.write_all(text.as_bytes()).is_err() {
            return received;
        }
        let mut tail: Vec<u8> = Vec::new();
        let share = LINK_BYTES_PER_SECOND / LINK_STEPS_PER_SECOND;
        let began = Instant::now();
        for step in 1.. {
            let mut buffer = vec![0; share];
            match self.stream.read(&mut buffer) {
                Ok(0) | Err(_) => return received,
                Ok(length) => {
                    received.bytes += length;
                    tail.extend_from_slice(&buffer[..length]);
                    tail.drain(..tail.len().saturating_sub(200));
                }
            }
            let text = String::from_utf8_lossy(&tail).into_owned();
            let last = text
                .trim_end_matches("\r\n")
                .rsplit("\r\n")
                .next()
                .unwrap_or("");
            if text.ends_with("\r\n") && last.starts_with("READY ") {
                received.is_whole = true;
                return received;
            }
            thread::sleep((LINK_STEP * step).saturating_sub(began.elapsed()));
        }
        received
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects with the segment size of an ordinary network instead of the loopback's 64 KiB, and with a small receive
/// window, as the pages describe links. Both are options of the client's own socket.
fn connect_with_small_window(address: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let target = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    let size = size_of::<i32>() as u32;
    // SAFETY: plain system calls on a new socket, with pointers to values that outlive them.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &536, size);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &4096, size);
        let length = size_of::<SocketAddressV4>() as u32;
        (connect(descriptor, &target, length) == 0).then_some(stream)
    }
}
