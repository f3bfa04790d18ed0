//! One HTML page of charts.

use std::fmt::Write;

use super::chart::{Chart, ChartError};

const STYLE: &str = "body{font-family:sans-serif;max-width:920px;margin:2em auto;color:#222}\
table{border-collapse:collapse;font-size:90%}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}\
h2{margin-top:2em}";

/// A titled part of the page.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Section {
    /// Its title.
    pub title: String,
    /// What stands below the title.
    pub text: String,
    /// Its charts.
    pub charts: Vec<Chart>,
}

/// A row of the table of results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceRow {
    /// The file's name.
    pub file: String,
    /// The command that gave it.
    pub command: String,
    /// The commit.
    pub commit: String,
    /// The machine.
    pub machine: String,
}

/// Writes the page.
///
/// # Errors
/// [`ChartError`] when a chart cannot be drawn.
pub fn render(sources: &[SourceRow], sections: &[Section]) -> Result<String, ChartError> {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>stairward: results</title><style>{STYLE}</style></head>\n<body>\n\
         <h1>stairward: results</h1>\n"
    );
    page.push_str(&sources_table(sources));
    for section in sections {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            page,
            "<h2>{}</h2>\n<p>{}</p>",
            escape(&section.title),
            escape(&section.text)
        );
        for chart in &section.charts {
            page.push_str(&chart.to_svg()?);
            page.push('\n');
        }
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn sources_table(sources: &[SourceRow]) -> String {
    let mut table = String::from(
        "<table>\n<tr><th>File</th><th>Command</th><th>Commit</th><th>Machine</th></tr>\n",
    );
    for source in sources {
        let cells = [
            &source.file,
            &source.command,
            &source.commit,
            &source.machine,
        ];
        let cells: String = cells
            .iter()
            .map(|cell| format!("<td>{}</td>", escape(cell)))
            .collect();
        let _ = writeln!(table, "<tr>{cells}</tr>");
    }
    table.push_str("</table>\n");
    table
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
