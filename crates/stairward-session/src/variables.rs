//! Session settings from `SET` and SQL-level `PREPARE`, which are restored on each connection.

use std::collections::BTreeMap;

use snafu::{Snafu, ensure};

use crate::class::SessionChange;

/// Maximum bytes of settings stored per session.
const MAXIMUM_BYTES: usize = 64 * 1024;

/// A session's settings exceed the limit.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("the session's settings exceed {MAXIMUM_BYTES} bytes"))]
pub struct SessionSettingsTooLarge;

/// A value as a quoted SQL literal.
#[must_use]
pub fn quote_literal(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Variables {
    /// Parameter values as SQL text, by name.
    settings: BTreeMap<String, String>,
    /// Whole `PREPARE` statements, by name.
    prepared: BTreeMap<String, String>,
}

impl Variables {
    fn apply(&mut self, change: &SessionChange, startup: &BTreeMap<String, String>) {
        match change {
            SessionChange::Set { local: true, .. } => {}
            SessionChange::Set { name, value, .. } => {
                self.settings.insert(name.clone(), value.clone());
            }
            SessionChange::Reset { name } => {
                match startup.get(name) {
                    Some(value) => self.settings.insert(name.clone(), value.clone()),
                    None => self.settings.remove(name),
                };
            }
            SessionChange::ResetAll => self.settings = startup.clone(),
            SessionChange::DiscardAll => {
                self.settings = startup.clone();
                self.prepared.clear();
            }
            SessionChange::Prepare { name, text } => {
                self.prepared.insert(name.clone(), text.clone());
            }
            SessionChange::Deallocate { name } => {
                self.prepared.remove(name);
            }
            SessionChange::DeallocateAll => self.prepared.clear(),
        }
    }

    fn bytes(&self) -> usize {
        let count = |map: &BTreeMap<String, String>| -> usize {
            map.iter().map(|(name, text)| name.len() + text.len()).sum()
        };
        count(&self.settings) + count(&self.prepared)
    }
}

/// The settings of a session. Changes made in a transaction are reverted when it is rolled back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionVariables {
    startup: BTreeMap<String, String>,
    current: Variables,
    /// The state at the start of the open transaction, if changed since.
    before_transaction: Option<Box<Variables>>,
}

impl SessionVariables {
    /// Creates settings from the parameters of the start-up message, as SQL text.
    #[must_use]
    pub fn new(startup: BTreeMap<String, String>) -> Self {
        Self {
            current: Variables {
                settings: startup.clone(),
                prepared: BTreeMap::new(),
            },
            startup,
            before_transaction: None,
        }
    }

    /// Records a change that a back end has accepted.
    ///
    /// # Errors
    /// [`SessionSettingsTooLarge`]; nothing is changed then.
    pub fn apply(
        &mut self,
        change: &SessionChange,
        in_transaction: bool,
    ) -> Result<(), SessionSettingsTooLarge> {
        let mut changed = self.current.clone();
        changed.apply(change, &self.startup);
        ensure!(
            changed.bytes() <= MAXIMUM_BYTES,
            SessionSettingsTooLargeSnafu
        );
        let before = std::mem::replace(&mut self.current, changed);
        if in_transaction {
            self.before_transaction
                .get_or_insert_with(|| Box::new(before));
        }
        Ok(())
    }

    /// Keeps the changes of a committed transaction.
    pub fn commit(&mut self) {
        self.before_transaction = None;
    }

    /// Reverts the changes of a transaction that was rolled back or lost.
    pub fn roll_back(&mut self) {
        if let Some(before) = self.before_transaction.take() {
            self.current = *before;
        }
    }

    /// SQL that restores the settings on a connection; empty if there are none.
    #[must_use]
    pub fn setup_sql(&self) -> String {
        let settings = self
            .current
            .settings
            .iter()
            .map(|(name, value)| format!("SET {} TO {value};", quote_name(name)));
        let prepared = self
            .current
            .prepared
            .values()
            .map(|text| format!("{text};"));
        settings.chain(prepared).collect()
    }
}

/// A parameter's name, each part quoted unless it is a plain word.
fn quote_name(name: &str) -> String {
    let parts: Vec<String> = name
        .split('.')
        .map(|part| {
            let is_plain = part
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_');
            if is_plain && !part.is_empty() {
                part.to_owned()
            } else {
                format!("\"{}\"", part.replace('"', "\"\""))
            }
        })
        .collect();
    parts.join(".")
}
