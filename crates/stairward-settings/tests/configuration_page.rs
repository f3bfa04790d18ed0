//! Compares the option tables of docs/CONFIGURATION.md with the two schemas, in both directions.

use std::collections::BTreeSet;
use std::path::Path;

use stairward_settings::SettingsOption;
use stairward_settings::process::PROCESS_OPTIONS;

/// Number of cells in a row of either table; the first is the option's name in backticks.
const CELLS: usize = 6;

fn rows_of_section(heading: &str) -> BTreeSet<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let text = std::fs::read_to_string(path).expect("the page can be read");
    let section = text
        .split("\n## ")
        .find(|section| section.starts_with(heading))
        .expect("the section is there");
    section
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix(" |"))
        .map(|row| row.split(" | ").map(str::to_owned).collect())
        .inspect(|row: &Vec<String>| assert_eq!(row.len(), CELLS, "{row:?}"))
        .collect()
}

#[test]
fn settings_tree_options_match_the_schema() {
    let in_code: BTreeSet<Vec<String>> = SettingsOption::ALL
        .iter()
        .map(|option| {
            let schema = option.schema();
            let levels = if schema.highest == schema.lowest {
                schema.lowest.to_string()
            } else {
                format!("{} to {}", schema.highest, schema.lowest)
            };
            vec![
                format!("{}`", schema.name),
                schema.kind.to_string(),
                schema.unit.to_string(),
                schema.default.to_string(),
                levels,
                schema.documentation.to_owned(),
            ]
        })
        .collect();
    assert_eq!(rows_of_section("Settings tree"), in_code);
}

#[test]
fn process_file_options_match_the_schema() {
    let in_code: BTreeSet<Vec<String>> = PROCESS_OPTIONS
        .iter()
        .map(|option| {
            vec![
                format!("{}`", option.name),
                format!("`[{}]`", option.table),
                option.kind.to_string(),
                option.unit().to_string(),
                option.default.to_string(),
                option.documentation.to_owned(),
            ]
        })
        .collect();
    assert_eq!(rows_of_section("Process file"), in_code);
}
