//! What a command prints.

use std::io::Write;

use serde_json::Value;

/// Where a command prints. A reader that goes away is no failure of the command.
pub struct Output<'writer> {
    writer: &'writer mut (dyn Write + Send),
}

impl<'writer> Output<'writer> {
    /// Prints to a writer.
    pub fn new(writer: &'writer mut (dyn Write + Send)) -> Self {
        Self { writer }
    }

    /// Prints text as it is.
    pub fn text(&mut self, text: &str) {
        let _ = self.writer.write_all(text.as_bytes());
        let _ = self.writer.flush();
    }

    /// Prints a line.
    pub fn line(&mut self, line: &str) {
        self.text(line);
        self.text("\n");
    }

    /// Prints a JSON document.
    pub fn json(&mut self, document: &Value) {
        // A value always has a text form.
        self.line(&serde_json::to_string_pretty(document).unwrap_or_default());
    }

    /// Prints a document as JSON when asked to, else as indented `name: value` lines.
    pub fn document(&mut self, document: &Value, as_json: bool) {
        if as_json {
            self.json(document);
        } else {
            self.indented(document, 0);
        }
    }

    fn indented(&mut self, value: &Value, depth: usize) {
        let margin = "  ".repeat(depth);
        match value {
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.named(name, field, depth);
                }
            }
            Value::Array(items) => {
                for item in items {
                    self.line(&format!("{margin}-"));
                    self.indented(item, depth + 1);
                }
            }
            Value::String(text) => self.line(&format!("{margin}{text}")),
            other => self.line(&format!("{margin}{other}")),
        }
    }

    fn named(&mut self, name: &str, field: &Value, depth: usize) {
        let margin = "  ".repeat(depth);
        match field {
            Value::Object(_) | Value::Array(_) => {
                self.line(&format!("{margin}{name}:"));
                self.indented(field, depth + 1);
            }
            Value::String(text) => self.line(&format!("{margin}{name}: {text}")),
            other => self.line(&format!("{margin}{name}: {other}")),
        }
    }
}
