//! The output and exit codes of the command line.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

const COMMANDS: [&str; 6] = ["serve", "check", "demo", "settings", "backend", "status"];

/// Runs a command line; returns its exit code and what it printed.
fn run(arguments: &[&str]) -> (u8, String) {
    let arguments: Vec<OsString> = arguments.iter().map(OsString::from).collect();
    let mut printed = Vec::new();
    let code = stairward::run_to_exit_code(arguments, &mut printed);
    (
        code,
        String::from_utf8(printed).expect("output is not UTF-8"),
    )
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("cannot write the file");
    path
}

#[test]
fn help_lists_every_command_and_each_command_has_help() {
    let (code, help) = run(&["--help"]);
    assert_eq!(code, 0);
    for command in COMMANDS {
        assert!(
            help.contains(&format!("\n  {command} ")),
            "{command} is not listed"
        );
        let (code, own_help) = run(&[command, "--help"]);
        assert_eq!(code, 0, "{command}");
        assert!(
            own_help.starts_with(&format!("Usage: stairward {command}")),
            "{command}"
        );
    }
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    for arguments in [
        &["fly"][..],
        &["serve"],
        &["check"],
        &["demo", "--site", "nowhere"],
        &["demo", "--fault", "nothing-known"],
        &["demo", "--seconds", "0"],
        &["demo", "--unknown"],
        &["settings", "forget"],
        &["backend", "join"],
        &["status", "surplus"],
    ] {
        assert_eq!(run(arguments).0, 2, "{arguments:?}");
    }
}

#[test]
fn check_accepts_the_example_files() {
    for (name, kind) in [
        ("lintas.toml", "settings tree"),
        ("krvny-most.toml", "settings tree"),
        ("node.toml", "process file"),
    ] {
        let path = repository_root().join("examples").join(name);
        let (code, printed) = run(&["check", path.to_str().expect("path is not UTF-8")]);
        assert_eq!(code, 0, "{printed}");
        assert!(printed.contains(kind), "{printed}");
    }
}

#[test]
fn check_prints_every_problem_with_its_line_and_code() {
    let text =
        "[node]\nregion = \"south\"\nzone = \"Kul A\"\nflavour = 3\n\n[listen]\nclient = 5\n";
    let path = write_file("bad-node.toml", text);
    let (code, printed) = run(&["check", path.to_str().expect("path is not UTF-8")]);
    assert_eq!(code, 1);
    for line in [3, 4, 7] {
        let place = format!("bad-node.toml:{line}: ");
        assert!(
            printed.contains(&place),
            "no problem on line {line} in:\n{printed}"
        );
    }
    assert!(
        printed.lines().all(|line| line.contains("(SW4004)")),
        "{printed}"
    );
}

#[test]
fn check_prints_json() {
    let path = write_file("bad-tree.toml", "[root]\nslots = \"many\"\n");
    let (code, printed) = run(&["check", "--json", path.to_str().expect("path is not UTF-8")]);
    assert_eq!(code, 1);
    let reports: serde_json::Value = serde_json::from_str(&printed).expect("JSON");
    assert_eq!(reports[0]["valid"], false);
    assert_eq!(reports[0]["problems"][0]["line"], 2);
    assert_eq!(reports[0]["problems"][0]["code"], 4_002);
}

#[test]
fn an_unreachable_node_exits_with_3() {
    // Nothing listens on port 1 of the loopback address.
    let (code, _) = run(&["status", "--admin", "127.0.0.1:1"]);
    assert_eq!(code, 3);
}

#[test]
fn serve_rejects_an_invalid_process_file() {
    let path = write_file("no-node.toml", "[listen]\n");
    assert_eq!(
        run(&[
            "serve",
            "--config",
            path.to_str().expect("path is not UTF-8")
        ])
        .0,
        1
    );
}
