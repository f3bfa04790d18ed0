//! The primary and a replica end; right after that all nodes are killed and started again, as at the end of a day. The
//! other replica is promoted, and the old primary comes back as its replica; the one that ended does not. A primary and
//! one replica are enough to serve.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Session;
use crate::deployment::{self, Paths, Route};
use crate::group::{Database, Group, Rules};
use crate::record::Record;
use crate::server;
use crate::store::Store;
use crate::world::World;

const PRIMARY: usize = 0;
const REPLICA: usize = 1;
const NODES: usize = 3;
const CLIENTS: usize = 4;
const BEFORE: Duration = Duration::from_secs(8);
/// From the end of the databases to the final fault.
const UNTIL_KILL: Duration = Duration::from_millis(800);
const DOWN: Duration = Duration::from_secs(1);
/// How long the primary is down.
const PRIMARY_DOWN: Duration = Duration::from_secs(7);
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(30);

/// A request of a client: when it was sent and whether it was served.
type Requests = Mutex<Vec<(Instant, bool)>>;

pub fn run(paths: &Paths, record: Record, has_trouble: bool) -> Verdict {
    let rules = Rules {
        sync_replicas: 0,
        promote_delay: Duration::from_millis(600),
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
    let route = |host, kind, timeout_ms, staleness_ms| Route {
        host,
        kind,
        timeout_ms,
        staleness_ms,
    };
    let routes = [
        route("wallet", "primary", 800, 0),
        route("browse", "bounded", 2_000, 1_500),
        route("sync", "read_own", 800, 2_500),
    ];
    deployment::configure(&world, 1, &routes);
    let store = deployment::start_platform(&world, 3);
    let mut nodes = deployment::start_nodes(paths, store, NODES, 6);
    if !deployment::are_ready(&nodes) {
        world.record.tell("the nodes did not become ready");
        return Verdict::NotRun;
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let requests = Arc::new(Requests::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    for client in 0..CLIENTS * NODES {
        let (world, requests) = (Arc::clone(&world), Arc::clone(&requests));
        let (is_over, numbers, fronts) =
            (Arc::clone(&is_over), Arc::clone(&numbers), fronts.clone());
        thread::spawn(move || work(&world, client, &fronts, &requests, &is_over, &numbers));
    }
    let began = Instant::now();
    thread::sleep(BEFORE);
    let fault_at = Instant::now();
    if has_trouble {
        world.group.crash(PRIMARY, &world.record);
        world.group.crash(REPLICA, &world.record);
        thread::sleep(UNTIL_KILL);
        world.record.tell("final fault: all nodes are killed");
        for node in &mut nodes {
            node.kill();
        }
        thread::sleep(DOWN);
        for node in &mut nodes {
            node.start();
        }
        world.record.tell("all nodes are started again");
    }
    let final_fault_at = fault_at + UNTIL_KILL;
    let back_at = Instant::now();
    if has_trouble {
        thread::sleep(PRIMARY_DOWN.saturating_sub(fault_at.elapsed()));
        server::start_again(&world, PRIMARY);
        world
            .record
            .tell("i-a is back with its log; i-b is gone for good");
    }
    thread::sleep((RECOVERY + COUNTED).saturating_sub(back_at.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    let requests = requests.lock().unwrap().clone();
    let share = |name: &str, from: Instant, until: Instant| {
        let sent = requests
            .iter()
            .filter(|(sent, _)| *sent >= from && *sent < until);
        let (count, served) = sent.fold((0_u32, 0_u32), |(count, served), (_, is_served)| {
            (count + 1, served + u32::from(*is_served))
        });
        let share = f64::from(served) / f64::from(count.max(1));
        world.record.tell(&format!(
            "{name}: {served} of {count} requests served, {share:.3}"
        ));
        share
    };
    let before = share("before the final fault", began, final_fault_at);
    let after_from = back_at + RECOVERY;
    let after = share(
        "later than recoveryS after the machines were back",
        after_from,
        Instant::now(),
    );
    match (before >= 0.25, after < 0.25) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    }
}

/// A client: reads and writes on all routes, at a node after the other when one refuses.
fn work(
    world: &World,
    client: usize,
    fronts: &[SocketAddr],
    requests: &Requests,
    is_over: &AtomicBool,
    numbers: &AtomicU64,
) {
    let hosts = ["wallet", "browse", "sync"];
    let mut place = client;
    while !is_over.load(Ordering::Relaxed) {
        place += 1;
        let host = hosts[client % hosts.len()];
        let sent = Instant::now();
        let Some(mut session) =
            Session::open(fronts[place % fronts.len()], host, &format!("u{client}"))
        else {
            requests.lock().unwrap().push((sent, false));
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        loop {
            let number = numbers.fetch_add(1, Ordering::Relaxed) + 1;
            let id = format!("q{number:06}");
            let is_write = host != "browse" && number % 3 == 0;
            let text = match is_write {
                true => format!("WRITE t{client} d{number}"),
                false => format!("READ t{client}"),
            };
            let sent = Instant::now();
            let answer = session.query(&id, &text);
            let got = answer
                .as_ref()
                .map_or("nothing".to_owned(), |it| format!("{:?}", it.result));
            world.record.line(&format!(
                "client u{client} at {host} sends {id} {text} and gets {got}"
            ));
            let is_served = answer.as_ref().is_some_and(|answer| answer.result.is_ok());
            requests.lock().unwrap().push((sent, is_served));
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            if !is_served {
                thread::sleep(Duration::from_millis(300));
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
