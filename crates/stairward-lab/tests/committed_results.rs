//! The committed results render, and the capacity page agrees with the committed slopes.

use std::path::{Path, PathBuf};

use stairward_lab::capacity::slopes::Slopes;
use stairward_lab::capacity::{agrees, table};
use stairward_lab::report::{render, source};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn committed(prefix: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(root().join("results")).expect("a folder of results");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let mut chosen: Vec<PathBuf> = paths
        .filter(|path| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            name.starts_with(prefix) && name.ends_with(".json")
        })
        .collect();
    chosen.sort();
    chosen
}

#[test]
fn the_committed_results_make_every_part_of_the_report() {
    let paths: Vec<PathBuf> = ["demo", "sweep", "configuration", "membership"]
        .into_iter()
        .flat_map(committed)
        .collect();
    let files = source::read_all(&paths).expect("result files");
    let page = render(&files).expect("a page");
    for title in [
        "Latency over time",
        "Replica read share against lag",
        "Failover gap distribution",
        "Spread of configuration against nodes",
        "Control cost against nodes",
    ] {
        assert!(page.contains(&format!("<h2>{title}</h2>")), "{title}");
    }
}

#[test]
fn the_capacity_page_agrees_with_the_slopes() {
    let slopes = Slopes::read(&root().join("results/slopes.json")).expect("slopes");
    let rendered = table::render(&slopes);
    assert_eq!(agrees(&root().join("docs/CAPACITY.md"), &rendered), Ok(()));
}

#[test]
fn a_changed_slope_is_noticed() {
    let mut slopes = Slopes::read(&root().join("results/slopes.json")).expect("slopes");
    let slope = slopes.slopes.values_mut().next().expect("a slope");
    slope.per_unit += 1_000.0;
    let rendered = table::render(&slopes);
    assert!(agrees(&root().join("docs/CAPACITY.md"), &rendered).is_err());
}
