//! The generated table of docs/CAPACITY.md.

use std::fmt::Write;

use super::model::{LINES, Line, Resource, budget, control_total, show};
use super::slopes::Slopes;

/// Line of the page before the generated table.
pub const TABLE_BEGINS: &str = "<!-- stairward-lab capacity: table begins -->";
/// Line of the page after the generated table.
pub const TABLE_ENDS: &str = "<!-- stairward-lab capacity: table ends -->";
/// What stands for a figure that has no slope.
const NOT_MEASURED: &str = "not measured";

/// Writes the table from the slopes.
#[must_use]
pub fn render(slopes: &Slopes) -> String {
    let mut table = String::from(
        "| role | what | slope | measured by | on | extrapolated to | cost a node | share of budget | carried by |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for line in LINES {
        table.push_str(&row(line, slopes));
    }
    table.push_str("\n| control, lines measured | cost a node | budget | share | lines not measured |\n|---|---|---|---|---|\n");
    for (name, resource) in [
        ("processor time", Resource::Processor),
        ("memory", Resource::Memory),
        ("traffic", Resource::Traffic),
    ] {
        let total = control_total(resource, slopes);
        let measured = |write: &dyn Fn(f64) -> String| {
            total
                .measured
                .map_or_else(|| NOT_MEASURED.to_owned(), write)
        };
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            table,
            "| {name} | {} | {} | {} | {} |",
            measured(&|sum| show(resource, sum)),
            show(resource, budget(resource)),
            measured(&|sum| percent(sum / budget(resource))),
            total.lines_not_measured,
        );
    }
    table
}

fn row(line: &Line, slopes: &Slopes) -> String {
    let slope = slopes.slopes.get(line.slope);
    let cost = line.cost(slopes);
    let text = |value: Option<String>| value.unwrap_or_else(|| NOT_MEASURED.to_owned());
    format!(
        "| {} | {} | {} | {} | {} | {:.4} {} | {} | {} | {} |\n",
        line.role,
        line.what,
        text(
            slope.map(|slope| format!("{:.2} + {:.4} {}", slope.fixed, slope.per_unit, slope.unit))
        ),
        text(slope.map(|slope| format!("`{}`", slope.command))),
        text(slope.map(|slope| slope.range.clone())),
        line.units,
        line.units_are,
        text(cost.map(|cost| show(line.resource, cost.value))),
        cost.and_then(|cost| cost.share)
            .map_or_else(|| "-".to_owned(), percent),
        line.mechanism,
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// The generated part of a page; none when a marker is missing.
#[must_use]
pub fn generated_part(page: &str) -> Option<&str> {
    let (_, after) = page.split_once(TABLE_BEGINS)?;
    let (part, _) = after.split_once(TABLE_ENDS)?;
    Some(part.trim())
}

/// The page with its generated part replaced; none when a marker is missing.
#[must_use]
pub fn with_table(page: &str, table: &str) -> Option<String> {
    let (before, after) = page.split_once(TABLE_BEGINS)?;
    let (_, after) = after.split_once(TABLE_ENDS)?;
    let table = table.trim();
    Some(format!(
        "{before}{TABLE_BEGINS}\n\n{table}\n\n{TABLE_ENDS}{after}"
    ))
}
