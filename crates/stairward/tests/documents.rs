//! The documents agree with the repository: links lead somewhere, help texts are the program's own.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
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
        .map(|page| repository().join(page))
        .collect();
    pages_below(&repository().join("docs"), &mut pages);
    pages.sort();
    pages
}

/// The targets of a page's `[text](target)` links, without those to other hosts.
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
fn every_link_leads_to_a_file() {
    let mut broken = Vec::new();
    for page in all_pages() {
        let text = std::fs::read_to_string(&page).expect("the page can be read");
        let folder = page.parent().expect("a page lies in a folder");
        for target in link_targets(&text) {
            if !folder.join(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "broken links:\n{}", broken.join("\n"));
}

#[test]
fn the_command_page_holds_the_help_of_every_command() {
    let page = std::fs::read_to_string(repository().join("docs/COMMANDS.md"))
        .expect("the page can be read");
    for command in [
        "", "serve", "check", "demo", "settings", "backend", "status",
    ] {
        let words = [command, "--help"]
            .into_iter()
            .filter(|word| !word.is_empty());
        let mut help = Vec::new();
        stairward::run_to_code(words.map(OsString::from), &mut help);
        let help = String::from_utf8(help).expect("help is UTF-8");
        assert!(
            page.contains(&help),
            "the help of {command:?} is not in docs/COMMANDS.md:\n{help}"
        );
    }
}

#[test]
fn the_readme_has_two_set_up_commands() {
    let readme =
        std::fs::read_to_string(repository().join("README.md")).expect("the page can be read");
    let commands: Vec<&str> = readme
        .lines()
        .filter(|line| line.starts_with("cargo "))
        .collect();
    assert_eq!(commands.len(), 2, "{commands:?}");
    let ci = std::fs::read_to_string(repository().join(".ci/run")).expect("CI can be read");
    assert!(
        ci.contains(commands[1]),
        "CI does not run {:?}",
        commands[1]
    );
}
