//! Starts a small deployment: the store, the databases and their heartbeats, and the nodes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes::{Node, NodeSettings, free_address};
use crate::world::{MAX_CONNECTIONS, SERVICE, World};
use crate::{server, store};

/// Interval at which databases write their entries, and how many they may miss.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const MISSED_HEARTBEATS: u32 = 3;
const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The paths of a run.
pub struct Paths {
    pub program: PathBuf,
    pub directory: PathBuf,
}

/// A route of the configuration.
pub struct Route {
    pub host: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub staleness_ms: u64,
}

/// Writes a configuration as the operator does.
pub fn configure(world: &World, version: u64, routes: &[Route]) {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"pathPrefix\":\"/\",\"type\":\"{1}\",\"timeoutMs\":{2},\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"maxStalenessMs\":{3}}}",
                route.host, route.kind, route.timeout_ms, route.staleness_ms
            )
        })
        .collect();
    let spec = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":{MAX_CONNECTIONS},\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":{}}}],\"limits\":{{\"maxBodyBytes\":262144,\"txIdleMs\":3000}}}}",
        routes.join(","),
        world.group.rules.sync_replicas
    );
    world.store.put("config", "main", &spec);
}

fn entry(world: &World, index: usize, slots: u32) -> (String, String) {
    let state = world.group.lock();
    let database = &state.databases[index];
    let role = if database.is_primary {
        "primary"
    } else {
        "replica"
    };
    let spec = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"seq\":1}}",
        database.port, database.zone
    );
    (database.id.clone(), spec)
}

/// Starts the databases, replication and heartbeats. Returns when all entries are in the store.
pub fn start_platform(world: &Arc<World>, slots: u32) -> SocketAddr {
    let count = world.group.lock().databases.len();
    for index in 0..count {
        server::start(world, index);
    }
    let address = store::start(world);
    let replicating = Arc::clone(world);
    thread::spawn(move || {
        loop {
            replicating.group.replicate();
            thread::sleep(REPLICATION_INTERVAL);
        }
    });
    for index in 0..count {
        let (id, spec) = entry(world, index, slots);
        world.store.put("servers", &id, &spec);
        let world = Arc::clone(world);
        thread::spawn(move || write_entry(&world, index, slots));
    }
    address
}

/// Keeps the entry of a database: a change of its role is told at once, and the entry goes after three heartbeats
/// without a write. A heartbeat that changes nothing but `seq` is no change and is left out.
fn write_entry(world: &World, index: usize, slots: u32) {
    let mut written_at = Instant::now();
    let mut is_listed = true;
    loop {
        thread::sleep(Duration::from_millis(10));
        let is_alive = world.group.lock().databases[index].is_alive;
        let (id, spec) = entry(world, index, slots);
        if is_alive {
            written_at = Instant::now();
            if !is_listed {
                world.record.tell(&format!("the entry of {id} is back"));
            }
            is_listed = true;
            world.store.put("servers", &id, &spec);
        } else if is_listed && written_at.elapsed() >= HEARTBEAT * MISSED_HEARTBEATS {
            is_listed = false;
            world.record.tell(&format!("the entry of {id} goes"));
            world.store.remove("servers", &id);
        }
    }
}

/// The zone and region of a node or database, by its number.
pub const PLACES: [(&str, &str); 3] = [
    ("zone-a", "region-1"),
    ("zone-b", "region-1"),
    ("zone-c", "region-2"),
];

/// Starts nodes, one zone after the other, with each other as seeds.
pub fn start_nodes(
    paths: &Paths,
    store: SocketAddr,
    count: usize,
    grace_seconds: u64,
) -> Vec<Node> {
    let controls: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds = &controls[..count.min(3)];
    let start = |number: usize| {
        let (zone, region) = PLACES[number % PLACES.len()];
        let settings = NodeSettings {
            number,
            zone,
            region,
            store,
            control: controls[number],
            seeds,
            grace_seconds,
        };
        let mut node = Node::new(&paths.program, &paths.directory, &settings);
        node.start();
        node
    };
    (0..count).map(start).collect()
}

/// Waits until all nodes are ready.
pub fn are_ready(nodes: &[Node]) -> bool {
    nodes.iter().all(|node| node.wait_until_ready(READY_LIMIT))
}

/// A directory for settings files and logs.
pub fn directory() -> PathBuf {
    let name = format!("review-standin-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// Removes the directory of a run.
pub fn remove(directory: &Path) {
    let _ = std::fs::remove_dir_all(directory);
}
