//! What the command line prints and which exit codes it gives.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

const COMMANDS: [&str; 6] = ["serve", "check", "demo", "settings", "backend", "status"];

/// Runs a command line; gives its exit code and what it printed.
fn run(words: &[&str]) -> (u8, String) {
    let words: Vec<OsString> = words.iter().map(OsString::from).collect();
    let mut printed = Vec::new();
    let code = stairward::run_to_code(words, &mut printed);
    (
        code,
        String::from_utf8(printed).expect("commands print UTF-8"),
    )
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn file_with(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}

#[test]
fn help_lists_every_command_and_each_command_has_its_own() {
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
fn a_wrong_command_line_ends_with_2() {
    for words in [
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
        assert_eq!(run(words).0, 2, "{words:?}");
    }
}

#[test]
fn the_examples_are_valid() {
    for (name, kind) in [
        ("lintas.toml", "settings tree"),
        ("krvny-most.toml", "settings tree"),
        ("node.toml", "process file"),
    ] {
        let path = repository().join("examples").join(name);
        let (code, printed) = run(&["check", path.to_str().expect("a UTF-8 path")]);
        assert_eq!(code, 0, "{printed}");
        assert!(printed.contains(kind), "{printed}");
    }
}

#[test]
fn check_prints_every_problem_with_its_line_and_code() {
    let text =
        "[node]\nregion = \"south\"\nzone = \"Kul A\"\nflavour = 3\n\n[listen]\nclient = 5\n";
    let path = file_with("bad-node.toml", text);
    let (code, printed) = run(&["check", path.to_str().expect("a UTF-8 path")]);
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
fn check_prints_json_for_programs() {
    let path = file_with("bad-tree.toml", "[root]\nslots = \"many\"\n");
    let (code, printed) = run(&["check", "--json", path.to_str().expect("a UTF-8 path")]);
    assert_eq!(code, 1);
    let reports: serde_json::Value = serde_json::from_str(&printed).expect("JSON");
    assert_eq!(reports[0]["valid"], false);
    assert_eq!(reports[0]["problems"][0]["line"], 2);
    assert_eq!(reports[0]["problems"][0]["code"], 4_002);
}

#[test]
fn a_node_that_does_not_answer_ends_with_3() {
    // Port 1 on loopback is not listened on.
    let (code, _) = run(&["status", "--admin", "127.0.0.1:1"]);
    assert_eq!(code, 3);
}

#[test]
fn serve_refuses_a_bad_process_file() {
    let path = file_with("no-node.toml", "[listen]\n");
    assert_eq!(
        run(&["serve", "--config", path.to_str().expect("a UTF-8 path")]).0,
        1
    );
}
