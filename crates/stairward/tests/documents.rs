//! The documentation agrees with the repository: links lead to existing files, and help texts
//! are those of the program.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("cannot read the folder");
    for entry in entries {
        let path = entry.expect("cannot read the directory entry").path();
        if path.is_dir() {
            pages_below(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

fn all_pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"]
        .iter()
        .map(|page| repository_root().join(page))
        .collect();
    pages_below(&repository_root().join("docs"), &mut pages);
    pages.sort();
    pages
}

/// The file targets of a page's `[text](target)` links, without links to other hosts and anchors.
fn link_targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')').map(|(target, _)| target))
        .filter(|target| !target.contains("://"))
        .map(|target| target.split_once('#').map_or(target, |(page, _)| page))
        .filter(|page| !page.is_empty())
        .collect()
}

#[test]
fn every_link_target_exists() {
    let mut broken = Vec::new();
    for page in all_pages() {
        let text = std::fs::read_to_string(&page).expect("cannot read the page");
        let folder = page.parent().expect("page without a parent folder");
        for target in link_targets(&text) {
            if !folder.join(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "broken links:\n{}", broken.join("\n"));
}

#[test]
fn the_command_page_contains_the_help_of_every_command() {
    let page = std::fs::read_to_string(repository_root().join("docs/COMMANDS.md"))
        .expect("cannot read the page");
    for command in [
        "", "serve", "check", "demo", "settings", "backend", "status",
    ] {
        let arguments = [command, "--help"]
            .into_iter()
            .filter(|argument| !argument.is_empty());
        let mut help = Vec::new();
        stairward::run_to_exit_code(arguments.map(OsString::from), &mut help);
        let help = String::from_utf8(help).expect("help is not UTF-8");
        assert!(
            page.contains(&help),
            "the help of {command:?} is not in docs/COMMANDS.md:\n{help}"
        );
    }
}

#[test]
fn the_readme_has_two_setup_commands_and_ci_runs_the_second() {
    let readme =
        std::fs::read_to_string(repository_root().join("README.md")).expect("cannot read the page");
    let commands: Vec<&str> = readme
        .lines()
        .filter(|line| line.starts_with("cargo "))
        .collect();
    assert_eq!(commands.len(), 2, "{commands:?}");
    let ci = std::fs::read_to_string(repository_root().join(".ci/run"))
        .expect("cannot read the CI script");
    assert!(
        ci.contains(commands[1]),
        "CI does not run {:?}",
        commands[1]
    );
}
