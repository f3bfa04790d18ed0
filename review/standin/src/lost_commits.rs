//! The primary and the replica that had received the newest commits end for good; the third database lags behind
//! them by the delay of the network between regions. With one synchronous replica, it must not be promoted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Answer, Session};
use crate::deployment::{self, Paths, Route};
use crate::group::{Database, Group, Rules};
use crate::nodes::Node;
use crate::record::Record;
use crate::store::Store;
use crate::world::World;

const PRIMARY: usize = 0;
const NEAR_REPLICA: usize = 1;
const NODES: usize = 3;
const WRITERS: usize = 12;
/// A client's pause after a write, and after a refusal.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(500);
const WRITING_BEFORE: Duration = Duration::from_secs(5);
/// With RESTART in the environment the nodes are restarted in turn, this long after the databases have ended.
const BEFORE_RESTARTS: Duration = Duration::from_secs(6);
const WATCHED: Duration = Duration::from_secs(85);
const HOST: &str = "wallet";

/// The writes that were acknowledged to clients: their ids, with the thing, the data and the time.
type Acknowledged = Mutex<BTreeMap<String, (String, String, Duration)>>;

pub fn run(paths: &Paths, record: Record, has_trouble: bool) -> Verdict {
    let rules = Rules {
        sync_replicas: 1,
        promote_delay: Duration::from_millis(300),
        requires_fence: true,
    };
    let databases = vec![
        Database::new("i-a", "zone-a", true, 0),
        Database::new("i-b", "zone-b", false, 2),
        Database::new("i-c", "zone-c", false, 20),
    ];
    let world = Arc::new(World {
        group: Group::new(rules, databases),
        store: Store::default(),
        record,
        work: Box::new(|_, _| Duration::from_millis(3)),
        row: Box::new(|_, data| data),
    });
    let route = Route {
        host: HOST,
        kind: "primary",
        timeout_ms: 800,
        staleness_ms: 0,
    };
    deployment::configure(&world, 1, &[route]);
    let store = deployment::start_platform(&world, 3);
    let mut nodes = deployment::start_nodes(paths, store, NODES, 6);
    if !deployment::are_ready(&nodes) {
        world.record.tell("the nodes did not become ready");
        return Verdict::NotRun;
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let acknowledged = Arc::new(Acknowledged::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    for writer in 0..WRITERS {
        let (world, acknowledged) = (Arc::clone(&world), Arc::clone(&acknowledged));
        let (is_over, numbers) = (Arc::clone(&is_over), Arc::clone(&numbers));
        let front = fronts[writer % fronts.len()];
        thread::spawn(move || write(&world, front, writer, &acknowledged, &is_over, &numbers));
    }
    thread::sleep(WRITING_BEFORE);
    if acknowledged.lock().unwrap().is_empty() {
        world.record.tell("no write was acknowledged");
        return Verdict::NotRun;
    }
    let end = Instant::now() + WATCHED;
    if has_trouble {
        world.group.crash(PRIMARY, &world.record);
        world.group.crash(NEAR_REPLICA, &world.record);
    }
    let has_restarts = std::env::var_os("RESTART").is_some();
    if has_trouble && has_restarts {
        thread::sleep(BEFORE_RESTARTS);
        restart_in_turn(&world, &mut nodes);
    }
    while Instant::now() < end && world.group.lock().promotions.is_empty() {
        thread::sleep(Duration::from_millis(50));
    }
    // Time for writes whose answer was on its way.
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    judge(&world, &acknowledged, &fronts)
}

/// Stops the nodes with SIGTERM and starts them again, one after the other.
fn restart_in_turn(world: &World, nodes: &mut [Node]) {
    for (number, node) in nodes.iter_mut().enumerate() {
        world.record.tell(&format!(
            "front-{number} is stopped with SIGTERM and started again"
        ));
        node.signal("TERM");
        while !node.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        node.start();
        thread::sleep(Duration::from_secs(1));
    }
}

fn write(
    world: &World,
    front: SocketAddr,
    writer: usize,
    acknowledged: &Acknowledged,
    is_over: &AtomicBool,
    numbers: &AtomicU64,
) {
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut session) = Session::open(front, HOST, &format!("u{writer}")) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            let number = numbers.fetch_add(1, Ordering::Relaxed) + 1;
            let (id, thing, data) = (
                format!("w{number:06}"),
                format!("t{number}"),
                format!("d{number}"),
            );
            world
                .record
                .line(&format!("client u{writer} sends {id} WRITE {thing} {data}"));
            let answer = session.query(&id, &format!("WRITE {thing} {data}"));
            let text = answer
                .as_ref()
                .map_or("nothing".to_owned(), |it| format!("{:?}", it.result));
            world
                .record
                .line(&format!("client u{writer} gets {text} for {id}"));
            let Some(answer) = answer else {
                break;
            };
            if answer.result.is_ok() {
                let at = world.record.elapsed();
                acknowledged.lock().unwrap().insert(id, (thing, data, at));
                thread::sleep(PAUSE);
            } else {
                thread::sleep(PAUSE_AFTER_REFUSAL);
            }
        }
    }
}

/// Reads a thing as a client does, which tries again after a refusal.
fn read(front: SocketAddr, thing: &str) -> Option<Answer> {
    let mut session = Session::open(front, HOST, "reader")?;
    for attempt in 0..20 {
        let answer = session.query(&format!("r{attempt:06}"), &format!("READ {thing}"))?;
        if answer.result.is_ok() {
            return Some(answer);
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}

fn judge(world: &World, acknowledged: &Acknowledged, fronts: &[SocketAddr]) -> Verdict {
    let promotions = world.group.lock().promotions.clone();
    let acknowledged = acknowledged.lock().unwrap().clone();
    world.record.tell(&format!(
        "{} writes acknowledged, {} promotions",
        acknowledged.len(),
        promotions.len()
    ));
    let Some(promotion) = promotions.first() else {
        return Verdict::Held;
    };
    let name = world.group.lock().databases[promotion.target].id.clone();
    let lost: Vec<_> = acknowledged
        .iter()
        .filter(|(id, _)| !promotion.writes.contains(*id))
        .filter(|(id, _)| !world.group.lock().databases[promotion.target].has_write(id))
        .collect();
    for (id, (thing, data, at)) in &lost {
        let text = format!(
            "LOST: {id} (WRITE {thing} {data}), acknowledged at {:.3}, is not in the log of {name}",
            at.as_secs_f64()
        );
        world.record.tell(&text);
    }
    if let Some((_, (thing, data, _))) = lost.first() {
        let read = read(fronts[0], thing);
        let got = read.map_or("nothing".to_owned(), |answer| answer.rows.join(","));
        let text = format!("a client reads {thing}, where {data} was acknowledged, and gets {got}");
        world.record.tell(&text);
    }
    if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
