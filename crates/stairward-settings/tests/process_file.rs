//! The process file: all its options and defaults, and the problems reported with their lines.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use stairward_settings::process::{
    LogFormat, ProcessSettings, Secret, SecretSource, TlsFiles, Users, UsersSource, derive_node_id,
    derive_token_key,
};
use stairward_settings::{ProblemKind, SettingsProblem};
use stairward_types::{NodeId, RegionName, ResultCode, ZoneName};

const FULL: &str = r#"[node]
id = 17
region = "south"
zone = "south-a"

[listen]
client = "10.0.0.1:6432"
peer = "10.0.0.1:6433"
admin = "10.0.0.1:6434"

[platform]
addresses = ["10.0.0.5:80", "[fd00::5]:80"]

[cluster]
seeds = ["10.0.0.2:6433"]
key_file = "keys/cluster"

[callers]
users_file = "/etc/users.toml"
maximum_clients = 7
token_key_file = "keys/token"
[callers.tls]
certificate_file = "client.crt"
key_file = "client.key"

[backends]
password_file = "keys/backend"
[backends.tls]
root_certificate_file = "roots.crt"

[admin]
token_file = "keys/admin"
[admin.tls]
certificate_file = "admin.crt"
key_file = "admin.key"

[log]
level = "debug"
format = "json"

[drain]
timeout_ms = 1500
"#;

const MINIMAL: &str = r#"[node]
region = "south"
zone = "south-a"
[listen]
client = "10.0.0.1:6432"
peer = "10.0.0.1:6433"
admin = "127.0.0.1:6434"
[platform]
addresses = ["10.0.0.5:80"]
[cluster]
key_file = "cluster"
[callers]
users_file = "users"
[backends]
password_file = "backend"
"#;

fn read(text: &str) -> Result<ProcessSettings, Vec<SettingsProblem>> {
    ProcessSettings::from_toml(text, Path::new("/etc/stairward"))
}

fn file(name: &str) -> PathBuf {
    Path::new("/etc/stairward").join(name)
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn every_option_is_read() {
    let settings = read(FULL).expect("a valid file");
    assert_eq!(settings.node.id, Some(NodeId(17)));
    assert_eq!(settings.node.zone.as_str(), "south-a");
    assert_eq!(settings.listen.peer, address("10.0.0.1:6433"));
    let platform = [address("10.0.0.5:80"), address("[fd00::5]:80")];
    assert_eq!(settings.platform.addresses, platform);
    assert_eq!(settings.cluster.seeds, [address("10.0.0.2:6433")]);
    let key = SecretSource::File(file("keys/cluster"));
    assert_eq!(settings.cluster.key, key);
    let users = UsersSource::File(PathBuf::from("/etc/users.toml"));
    assert_eq!(settings.callers.users, users);
    assert_eq!(settings.callers.maximum_clients, 7);
    let token_key = Some(SecretSource::File(file("keys/token")));
    assert_eq!(settings.callers.token_key, token_key);
    let tls = TlsFiles {
        certificate_file: file("client.crt"),
        key_file: file("client.key"),
    };
    assert_eq!(settings.callers.tls, Some(tls));
    let root = Some(file("roots.crt"));
    assert_eq!(settings.backends.root_certificate_file, root);
    assert!(settings.admin.token.is_some() && settings.admin.tls.is_some());
    assert_eq!(settings.log.level, "debug");
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.drain.timeout, Duration::from_millis(1_500));
}

#[test]
fn omitted_options_have_their_defaults() {
    let settings = read(MINIMAL).expect("a valid file");
    assert_eq!(settings.node.id, None);
    assert!(settings.cluster.seeds.is_empty());
    assert_eq!(settings.callers.maximum_clients, 5_000);
    assert_eq!(settings.callers.tls, None);
    assert_eq!(settings.log.level, "info");
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.drain.timeout, Duration::from_secs(30));
}

#[test]
fn each_invalid_value_is_reported_with_its_line() {
    let cases = [
        (
            "zone = \"south-a\"",
            "zon = \"south-a\"",
            "did you mean zone?",
        ),
        ("zone = \"south-a\"", "zone = \"South\"", "is not a name"),
        (
            "region = \"south\"",
            "id = 0\nregion = \"south\"",
            "not within 1 to",
        ),
        (
            "client = \"10.0.0.1:6432\"",
            "client = \"localhost:6432\"",
            "IP number",
        ),
        (
            "client = \"10.0.0.1:6432\"",
            "client = 6432",
            "must be text, is integer",
        ),
        (
            "client = \"10.0.0.1:6432\"",
            "client = \"10.0.0.1:0\"",
            "IP number",
        ),
        (
            "addresses = [\"10.0.0.5:80\"]",
            "addresses = []",
            "must be set",
        ),
        (
            "addresses = [\"10.0.0.5:80\"]",
            "addresses = [3]",
            "must be text",
        ),
        ("key_file = \"cluster\"", "key_file = \"\"", "must be set"),
        (
            "users_file = \"users\"",
            "users_file = \"users\"\ntls = 4",
            "a table",
        ),
        (
            "[backends]",
            "[back_ends]\n[backends]",
            "did you mean backends?",
        ),
        (
            "[backends]",
            "[log]\nlevel = \"loud\"\n[backends]",
            "error, warn, info",
        ),
        (
            "[backends]",
            "[drain]\ntimeout_ms = 3600001\n[backends]",
            "3600001 is not",
        ),
    ];
    for (valid, invalid, message) in cases {
        let text = MINIMAL.replacen(valid, invalid, 1);
        let problems = read(&text).expect_err("an invalid file");
        let reported = problems
            .iter()
            .find(|problem| problem.to_string().contains(message));
        let reported = reported.unwrap_or_else(|| panic!("{invalid:?}: {problems:?}"));
        assert_eq!(reported.code, ResultCode::InvalidProcessFile);
        let changed_lines: Vec<_> = (1..)
            .zip(text.lines())
            .filter(|(_, line)| !MINIMAL.lines().any(|valid| valid == *line))
            .map(|(number, _)| Some(number))
            .collect();
        assert!(
            changed_lines.contains(&reported.line),
            "{invalid:?}: {reported}"
        );
    }
}

#[test]
fn missing_options_are_reported_with_their_table() {
    let text = MINIMAL.replace("peer = \"10.0.0.1:6433\"\n", "");
    let problems = read(&text).expect_err("an invalid file");
    assert_eq!(problems.len(), 1);
    let place = (problems[0].path.as_str(), problems[0].option.as_deref());
    assert_eq!(place, ("listen", Some("peer")));
    assert_eq!(problems[0].line, Some(4));
    let problems_of_empty = read("").expect_err("an invalid file");
    assert_eq!(problems_of_empty.len(), 9, "one for each required option");
}

#[test]
fn a_certificate_without_a_key_is_refused() {
    let text = FULL.replace("key_file = \"client.key\"\n", "");
    let problems = read(&text).expect_err("an invalid file");
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].path, "callers.tls");
    assert_eq!(*problems[0].kind, ProblemKind::Missing);
}

#[test]
fn an_admin_interface_beyond_loopback_needs_a_token_and_tls() {
    let without_token = FULL.replace("token_file = \"keys/admin\"\n", "");
    let problems = read(&without_token).expect_err("an invalid file");
    assert_eq!(*problems[0].kind, ProblemKind::UnprotectedAdmin);
    assert_eq!(problems[0].line, Some(9));
    let loopback = without_token.replace("10.0.0.1:6434", "127.0.0.1:6434");
    assert!(read(&loopback).is_ok());
}

#[test]
fn listeners_with_the_same_address_are_refused() {
    let text = MINIMAL.replace("10.0.0.1:6433", "10.0.0.1:6432");
    let problems = read(&text).expect_err("an invalid file");
    assert!(
        problems[0]
            .to_string()
            .contains("already used by listen client")
    );
}

#[test]
fn a_node_id_is_derived_from_the_peer_address() {
    let mut settings = read(MINIMAL).expect("a valid file");
    let peer = address("10.0.0.1:6433");
    assert_eq!(settings.node_id(peer), NodeId(0x0A00_0001_1921));
    let mapped = address("[::ffff:10.0.0.1]:6433");
    assert_eq!(derive_node_id(mapped), derive_node_id(peer));
    let version_6 = address("[fd00::1]:6433");
    assert_ne!(derive_node_id(version_6), derive_node_id(peer));
    assert!(derive_node_id(version_6).0 < 1 << 53);
    settings.node.id = Some(NodeId(5));
    assert_eq!(settings.node_id(peer), NodeId(5));
}

#[test]
fn secrets_are_read_from_files_and_redacted_in_debug_output() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let write = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("a test file can be written");
        path
    };
    let key = SecretSource::File(write("key", "sixteen bytes long\r\n"));
    let secret = key.load().expect("a secret");
    assert_eq!(secret.expose_text(), Some("sixteen bytes long"));
    assert!(!format!("{secret:?}").contains("sixteen"));
    assert!(SecretSource::File(write("empty", "\n")).load().is_err());
    assert!(SecretSource::File(directory.join("none")).load().is_err());

    let users = UsersSource::File(write("users", "ann = \"one\"\n\"b.c\" = \"two\"\n"));
    let users = users.load().expect("users");
    assert_eq!(users["b.c"], Secret::new("two"));
    let invalid = UsersSource::File(write(
        "bad-users",
        "ann = \"one\"\nbob = 3\neve = \"\"\n\"\" = \"x\"\n",
    ));
    let problems = invalid.load().expect_err("invalid users");
    let lines: Vec<_> = problems.iter().map(|problem| problem.line).collect();
    assert_eq!(lines, [Some(2), Some(3), Some(4)]);
}

#[test]
fn an_embedded_node_needs_no_files() {
    let key = Secret::new("a key of the cluster");
    let mut settings = ProcessSettings::embedded(
        RegionName::new("south").expect("a name"),
        ZoneName::new("south-a").expect("a name"),
        vec![address("127.0.0.1:8080")],
        key.clone(),
    );
    settings.callers.users = UsersSource::Inline(Users::new());
    settings.backends.password = SecretSource::Inline(Secret::new("password"));
    assert_eq!(settings.check_referenced_files(), []);
    let token_key = settings.load_token_key().expect("a key");
    assert_eq!(token_key, derive_token_key(&key));
    assert_ne!(token_key, key);
    settings.cluster.key = SecretSource::Inline(Secret::new("short"));
    let problems = settings.check_referenced_files();
    assert_eq!(problems.len(), 1);
    assert!(problems[0].to_string().contains("at least 16"));
}
