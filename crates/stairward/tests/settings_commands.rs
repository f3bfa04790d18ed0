//! The settings commands, run against a node and a stand-in for the platform's store that is empty
//! at first.

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

/// Fails the test if a node never applies the settings.
const HANG_GUARD: Duration = Duration::from_secs(60);

/// A node, its store and the runtime on which the store runs.
struct Fixture {
    runtime: Runtime,
    store: PlatformStandin,
    node: EmbeddedNode,
}

impl Fixture {
    fn start() -> Self {
        let runtime = Runtime::new().expect("threads");
        let store = PlatformStandin::start(PlatformStandinConfig::default());
        let store = runtime.block_on(store).expect("cannot start the store");
        let settings = ProcessSettings::embedded(
            RegionName::new("malaysia").expect("invalid name"),
            ZoneName::new("kul-a").expect("invalid name"),
            vec![store.address()],
            Secret::new("a key for this test only"),
        );
        let node = EmbeddedNode::start(&settings).expect("cannot start the node");
        Self {
            runtime,
            store,
            node,
        }
    }

    fn admin(&self) -> SocketAddr {
        self.node.addresses().admin
    }

    /// Runs `stairward settings`; returns the exit code and the JSON that it printed.
    fn run(&self, arguments: &[&str]) -> (u8, Value) {
        let admin = self.admin().to_string();
        let arguments: Vec<OsString> = ["settings", "--json", "--admin", &admin]
            .iter()
            .chain(arguments)
            .map(OsString::from)
            .collect();
        let mut printed = Vec::new();
        let code = stairward::run_to_exit_code(arguments, &mut printed);
        (code, serde_json::from_slice(&printed).unwrap_or_default())
    }

    /// Repeats a command until the node answers with this revision.
    fn run_until(&self, revision: u64, arguments: &[&str]) -> Value {
        let started = Instant::now();
        loop {
            let (_, answer) = self.run(arguments);
            if answer["revision"] == revision {
                return answer;
            }
            assert!(started.elapsed() < HANG_GUARD, "stuck at {answer}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn shut_down(self) {
        self.node.kill();
        self.runtime.block_on(self.store.shutdown());
    }
}

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[test]
fn settings_are_imported_into_an_empty_store_and_edited() {
    let fixture = Fixture::start();
    let lintas = example_path("lintas.toml");
    let lintas = lintas.to_str().expect("path is not UTF-8");
    let (code, response) = fixture.run(&["import", lintas, "--based-on", "0"]);
    assert_eq!((code, &response["revision"]), (0, &json!(1)), "{response}");
    let tree = fixture.run_until(1, &["tree"]);
    assert_eq!(tree["tree"][SERVICE]["slots"], 5);
    let (code, unchanged) = fixture.run(&["import", lintas]);
    assert_eq!((code, &unchanged["changes"]), (0, &json!(0)));

    let (code, response) = fixture.run(&["set", SERVICE, "slots", "6", "--change-id", "7"]);
    assert_eq!((code, &response["revision"]), (0, &json!(2)), "{response}");
    let group = format!("{SERVICE}/group/reader-core-1");
    let explained = fixture.run_until(2, &["get", &group, "slots"]);
    let expected = json!([{
        "option": "slots",
        "value": 6,
        "origin": { "set_at": SERVICE },
    }]);
    assert_eq!(explained["options"], expected);

    let repetition = [
        "set",
        SERVICE,
        "slots",
        "6",
        "--change-id",
        "7",
        "--based-on",
        "1",
    ];
    let (code, repeated) = fixture.run(&repetition);
    assert_eq!((code, &repeated["revision"]), (0, &json!(2)), "{repeated}");
    let outdated = ["set", SERVICE, "slots", "7", "--based-on", "1"];
    assert_eq!(fixture.run(&outdated).0, 1, "based on an old revision");
    assert_eq!(fixture.run(&["set", SERVICE, "slots", "41"]).0, 1);
    assert_eq!(fixture.run(&["set", SERVICE, "slot", "4"]).0, 1);

    let (code, response) = fixture.run(&["unset", SERVICE, "slots"]);
    assert_eq!((code, &response["revision"]), (0, &json!(3)), "{response}");
    let history = fixture.run_until(3, &["history"]);
    assert_eq!(history["edits"].as_array().map(Vec::len), Some(3));
    fixture.shut_down();
}

#[test]
fn an_import_whose_reply_is_lost_takes_effect_once() {
    let fixture = Fixture::start();
    fixture.store.inject(StoreFault::LoseNextReply);
    let file = example_path("krvny-most.toml");
    let file = file.to_str().expect("path is not UTF-8");
    let (code, response) = fixture.run(&["import", file, "--based-on", "0"]);
    assert_eq!((code, &response["revision"]), (0, &json!(1)), "{response}");
    let history = fixture.run_until(1, &["history"]);
    assert_eq!(history["edits"].as_array().map(Vec::len), Some(1));
    fixture.shut_down();
}

#[test]
fn an_import_of_an_invalid_file_changes_nothing() {
    let fixture = Fixture::start();
    let node_file = example_path("node.toml");
    let node_file = node_file.to_str().expect("path is not UTF-8");
    let (code, _) = fixture.run(&["import", node_file, "--based-on", "0"]);
    assert_eq!(code, 1);
    assert_ne!(fixture.run(&["tree"]).0, 0, "there are still no settings");
    fixture.shut_down();
}
