//! The settings commands against a node and the platform's stand-in, from an empty store on.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stairward_proxy::node::EmbeddedNode;
use stairward_settings::ProcessSettings;
use stairward_settings::process::Secret;
use stairward_standins::platform::{PlatformStandin, PlatformStandinConfig, StoreFault};
use stairward_types::{RegionName, ZoneName};
use tokio::runtime::Runtime;

/// A service of the Lintas example.
const SERVICE: &str = "region/malaysia/service/reader-core";

/// Gives up on a node that never takes settings over.
const HANG_GUARD: Duration = Duration::from_secs(60);

/// A node on a store, and the runtime that the store runs on.
struct Fixture {
    runtime: Runtime,
    store: PlatformStandin,
    node: EmbeddedNode,
}

impl Fixture {
    fn start() -> Self {
        let runtime = Runtime::new().expect("threads");
        let store = PlatformStandin::start(PlatformStandinConfig::default());
        let store = runtime.block_on(store).expect("a free port");
        let settings = ProcessSettings::embedded(
            RegionName::new("malaysia").expect("a name"),
            ZoneName::new("kul-a").expect("a name"),
            vec![store.address()],
            Secret::new("a key for this test only"),
        );
        let node = EmbeddedNode::start(&settings).expect("a node");
        Self {
            runtime,
            store,
            node,
        }
    }

    fn admin(&self) -> SocketAddr {
        self.node.addresses().admin
    }

    /// Runs `settings` with these words; gives the exit code and the JSON that it printed.
    fn run(&self, words: &[&str]) -> (u8, Value) {
        let admin = self.admin().to_string();
        let words: Vec<OsString> = ["settings", "--json", "--admin", &admin]
            .iter()
            .chain(words)
            .map(OsString::from)
            .collect();
        let mut printed = Vec::new();
        let code = stairward::run_to_code(words, &mut printed);
        (code, serde_json::from_slice(&printed).unwrap_or_default())
    }

    /// Runs a command until the node answers with this revision.
    fn run_until(&self, revision: u64, words: &[&str]) -> Value {
        let started = Instant::now();
        loop {
            let (_, answer) = self.run(words);
            if answer["revision"] == revision {
                return answer;
            }
            assert!(started.elapsed() < HANG_GUARD, "stuck at {answer}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn end(self) {
        self.node.kill();
        self.runtime.block_on(self.store.shutdown());
    }
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[test]
fn an_operator_brings_settings_into_an_empty_store_and_changes_them() {
    let fixture = Fixture::start();
    let lintas = example("lintas.toml");
    let lintas = lintas.to_str().expect("a path in UTF-8");
    let (code, made) = fixture.run(&["import", lintas, "--based-on", "0"]);
    assert_eq!((code, &made["revision"]), (0, &json!(1)), "{made}");
    let tree = fixture.run_until(1, &["tree"]);
    assert_eq!(tree["tree"][SERVICE]["slots"], 5);
    let (code, unchanged) = fixture.run(&["import", lintas]);
    assert_eq!((code, &unchanged["changes"]), (0, &json!(0)));

    let (code, made) = fixture.run(&["set", SERVICE, "slots", "6", "--change-id", "7"]);
    assert_eq!((code, &made["revision"]), (0, &json!(2)), "{made}");
    let group = format!("{SERVICE}/group/reader-core-1");
    let explained = fixture.run_until(2, &["get", &group, "slots"]);
    let expected = json!([{
        "option": "slots",
        "value": 6,
        "origin": { "set_at": SERVICE },
    }]);
    assert_eq!(explained["options"], expected);

    let again = [
        "set",
        SERVICE,
        "slots",
        "6",
        "--change-id",
        "7",
        "--based-on",
        "1",
    ];
    let (code, repeated) = fixture.run(&again);
    assert_eq!((code, &repeated["revision"]), (0, &json!(2)), "{repeated}");
    let late = ["set", SERVICE, "slots", "7", "--based-on", "1"];
    assert_eq!(fixture.run(&late).0, 1, "based on an old revision");
    assert_eq!(fixture.run(&["set", SERVICE, "slots", "41"]).0, 1);
    assert_eq!(fixture.run(&["set", SERVICE, "slot", "4"]).0, 1);

    let (code, made) = fixture.run(&["unset", SERVICE, "slots"]);
    assert_eq!((code, &made["revision"]), (0, &json!(3)), "{made}");
    let history = fixture.run_until(3, &["history"]);
    assert_eq!(history["edits"].as_array().map(Vec::len), Some(3));
    fixture.end();
}

#[test]
fn an_import_whose_reply_is_lost_takes_effect_once() {
    let fixture = Fixture::start();
    fixture.store.inject(StoreFault::LoseNextReply);
    let file = example("krvny-most.toml");
    let file = file.to_str().expect("a path in UTF-8");
    let (code, made) = fixture.run(&["import", file, "--based-on", "0"]);
    assert_eq!((code, &made["revision"]), (0, &json!(1)), "{made}");
    let history = fixture.run_until(1, &["history"]);
    assert_eq!(history["edits"].as_array().map(Vec::len), Some(1));
    fixture.end();
}

#[test]
fn a_file_that_is_not_valid_is_refused_before_anything_is_sent() {
    let fixture = Fixture::start();
    let node_file = example("node.toml");
    let node_file = node_file.to_str().expect("a path in UTF-8");
    let (code, _) = fixture.run(&["import", node_file, "--based-on", "0"]);
    assert_eq!(code, 1);
    assert_ne!(fixture.run(&["tree"]).0, 0, "there are still no settings");
    fixture.end();
}
