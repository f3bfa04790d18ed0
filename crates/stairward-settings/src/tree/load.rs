//! Loads a settings tree from TOML and reports each problem with its line.

use std::collections::BTreeMap;

use stairward_types::ResultCode;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{SettingsTree, problem};
use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::schema::SettingsOption;
use crate::toml_text::{self, LineIndex};

/// Name of the table with the root's options.
pub(crate) const ROOT_TABLE: &str = "root";
/// Name of the table with the regions.
pub(crate) const REGION_TABLE: &str = "region";

impl SettingsTree {
    /// Parses a tree from TOML and validates it as a whole.
    ///
    /// Options of the whole fleet are in `[root]`, others in tables named after their path, for example
    /// `[region.south.service.reader-core]`.
    ///
    /// # Errors
    /// All problems found, with their lines where known.
    pub fn from_toml(text: &str) -> Result<Self, Vec<SettingsProblem>> {
        let mut loader = Loader::new(text);
        match toml_text::parse(text, &loader.lines, ResultCode::InvalidSettings) {
            Ok(document) => loader.read_document(&document),
            Err(problem) => return Err(vec![problem]),
        }
        if let Err(problems) = loader.tree.resolve() {
            let with_lines: Vec<_> = problems
                .into_iter()
                .filter(|problem| !loader.is_caused_by_rejected_value(problem))
                .map(|problem| loader.with_line(problem))
                .collect();
            loader.problems.extend(with_lines);
        }
        if loader.problems.is_empty() {
            return Ok(loader.tree);
        }
        loader.problems.sort_by_key(|problem| problem.line);
        Err(loader.problems)
    }
}

struct Loader {
    lines: LineIndex,
    tree: SettingsTree,
    place_lines: BTreeMap<SettingsPath, usize>,
    option_lines: BTreeMap<(SettingsPath, SettingsOption), usize>,
    problems: Vec<SettingsProblem>,
}

impl Loader {
    fn new(text: &str) -> Self {
        Self {
            lines: LineIndex::new(text),
            tree: SettingsTree::new(),
            place_lines: BTreeMap::new(),
            option_lines: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    fn read_document(&mut self, document: &DeTable<'_>) {
        for (key, value) in document {
            let line = self.lines.line(&key.span());
            match key.get_ref().as_ref() {
                ROOT_TABLE => self.read_root(line, value),
                REGION_TABLE => self.read_children(&SettingsPath::Root, line, value),
                other => {
                    let known = [ROOT_TABLE, REGION_TABLE].into_iter();
                    let kind = ProblemKind::UnknownName {
                        suggestion: toml_text::closest_name(other, known),
                    };
                    self.add_problem(&SettingsPath::Root, other, line, kind);
                }
            }
        }
    }

    fn read_root(&mut self, line: usize, value: &Spanned<DeValue<'_>>) {
        let Some(table) = value.get_ref().as_table() else {
            self.add_not_a_table(&SettingsPath::Root, ROOT_TABLE, line, value);
            return;
        };
        for (key, value) in table {
            let line = self.lines.line(&key.span());
            self.read_option(&SettingsPath::Root, key.get_ref(), line, value);
        }
    }

    /// Reads a table of child places, such as `region`, keyed by their names.
    fn read_children(&mut self, parent: &SettingsPath, line: usize, value: &Spanned<DeValue<'_>>) {
        let level = parent.child_level().map(|level| level.to_string());
        let level = level.unwrap_or_default();
        let Some(table) = value.get_ref().as_table() else {
            self.add_not_a_table(parent, &level, line, value);
            return;
        };
        for (key, value) in table {
            let line = self.lines.line(&key.span());
            match parent.child(key.get_ref()) {
                Ok(path) => self.read_place(&path, line, value),
                Err(error) => {
                    let kind = ProblemKind::InvalidPath {
                        message: error.to_string(),
                    };
                    self.add_problem(parent, &level, line, kind);
                }
            }
        }
    }

    fn read_place(&mut self, path: &SettingsPath, line: usize, value: &Spanned<DeValue<'_>>) {
        let Some(table) = value.get_ref().as_table() else {
            self.add_not_a_table(path, "", line, value);
            return;
        };
        self.place_lines.insert(path.clone(), line);
        self.tree.add_place(path);
        let child_level = path.child_level().map(|level| level.to_string());
        for (key, value) in table {
            let line = self.lines.line(&key.span());
            if child_level.as_deref() == Some(key.get_ref().as_ref()) {
                self.read_children(path, line, value);
            } else {
                self.read_option(path, key.get_ref(), line, value);
            }
        }
    }

    fn read_option(
        &mut self,
        path: &SettingsPath,
        name: &str,
        line: usize,
        value: &Spanned<DeValue<'_>>,
    ) {
        let Ok(option) = SettingsOption::from_name(name) else {
            let known = SettingsOption::ALL.iter().map(|option| option.name());
            let kind = ProblemKind::UnknownName {
                suggestion: toml_text::closest_name(name, known),
            };
            self.add_problem(path, name, line, kind);
            return;
        };
        self.option_lines.insert((path.clone(), option), line);
        let set = toml_text::option_value(value.get_ref())
            .map_err(|kind| problem(path, Some(option), kind))
            .and_then(|value| self.tree.set(path, option, value));
        if let Err(problem) = set {
            self.problems.push(SettingsProblem {
                line: Some(line),
                ..problem
            });
        }
    }

    fn add_not_a_table(
        &mut self,
        path: &SettingsPath,
        name: &str,
        line: usize,
        value: &Spanned<DeValue<'_>>,
    ) {
        let kind = ProblemKind::WrongType {
            expected: "a table",
            found: value.get_ref().type_str(),
        };
        self.add_problem(path, name, line, kind);
    }

    fn add_problem(&mut self, path: &SettingsPath, name: &str, line: usize, kind: ProblemKind) {
        let mut problem = problem(path, None, kind);
        problem.option = Some(name.to_owned()).filter(|name| !name.is_empty());
        problem.line = Some(line);
        self.problems.push(problem);
    }

    /// Whether a value is reported as missing only because the value in the file was rejected.
    fn is_caused_by_rejected_value(&self, problem: &SettingsProblem) -> bool {
        let is_rejected = |reported: &SettingsProblem| {
            reported.path == problem.path && reported.option == problem.option
        };
        *problem.kind == ProblemKind::Missing && self.problems.iter().any(is_rejected)
    }

    /// Adds the line at which the effective value of the option is set, otherwise the line of the place.
    fn with_line(&self, problem: SettingsProblem) -> SettingsProblem {
        let Ok(path) = problem.path.parse::<SettingsPath>() else {
            return problem;
        };
        let option = problem
            .option
            .as_deref()
            .and_then(|name| SettingsOption::from_name(name).ok());
        let option_line = option.and_then(|option| {
            path.self_and_ancestors()
                .find_map(|place| self.option_lines.get(&(place, option)))
        });
        let place_line = path
            .self_and_ancestors()
            .find_map(|place| self.place_lines.get(&place));
        SettingsProblem {
            line: option_line.or(place_line).copied(),
            ..problem
        }
    }
}
