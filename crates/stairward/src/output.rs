//! Output of a command.

use std::io::Write;

use serde_json::Value;

/// Writes a command's output. Write errors are ignored: a closed pipe is no failure of the command.
pub struct Output<'writer> {
    writer: &'writer mut (dyn Write + Send),
}

impl<'writer> Output<'writer> {
    /// Writes to `writer`.
    pub fn new(writer: &'writer mut (dyn Write + Send)) -> Self {
        Self { writer }
    }

    /// Prints text without adding a line break.
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
        // Serializing a `Value` cannot fail.
        self.line(&serde_json::to_string_pretty(document).unwrap_or_default());
    }

    /// Prints a document as JSON if `as_json`, otherwise as indented `name: value` lines.
    pub fn document(&mut self, document: &Value, as_json: bool) {
        if as_json {
            self.json(document);
        } else {
            self.print_indented(document, 0);
        }
    }

    fn print_indented(&mut self, value: &Value, depth: usize) {
        let indentation = "  ".repeat(depth);
        match value {
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.print_field(name, field, depth);
                }
            }
            Value::Array(items) => {
                for item in items {
                    self.line(&format!("{indentation}-"));
                    self.print_indented(item, depth + 1);
                }
            }
            Value::String(text) => self.line(&format!("{indentation}{text}")),
            other => self.line(&format!("{indentation}{other}")),
        }
    }

    fn print_field(&mut self, name: &str, field: &Value, depth: usize) {
        let indentation = "  ".repeat(depth);
        match field {
            Value::Object(_) | Value::Array(_) => {
                self.line(&format!("{indentation}{name}:"));
                self.print_indented(field, depth + 1);
            }
            Value::String(text) => self.line(&format!("{indentation}{name}: {text}")),
            other => self.line(&format!("{indentation}{name}: {other}")),
        }
    }
}
