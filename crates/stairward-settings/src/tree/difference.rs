//! The changes that turn one tree into another, by which a whole file is submitted as a single edit.

use super::{PlaceOptions, SettingsTree};
use crate::edit::Change;
use crate::path::SettingsPath;

impl SettingsTree {
    /// The changes that make this tree equal to `target`: first removals, then the others in path order.
    /// Empty when the trees are equal.
    #[must_use]
    pub fn changes_to(&self, target: &Self) -> Vec<Change> {
        let mut changes: Vec<_> = self
            .removed_places(target)
            .map(|path| Change::Remove { path: path.clone() })
            .collect();
        for (path, desired) in target.places() {
            match self.options_at(path) {
                Some(current) => changes.extend(option_changes(path, current, desired)),
                None if desired.is_empty() => changes.push(Change::Add { path: path.clone() }),
                None => changes.extend(option_changes(path, &PlaceOptions::new(), desired)),
            }
        }
        changes
    }

    /// The topmost places that `target` lacks: those whose parent it has. Removing them removes all
    /// places below.
    fn removed_places<'tree>(
        &'tree self,
        target: &'tree Self,
    ) -> impl Iterator<Item = &'tree SettingsPath> {
        self.places()
            .map(|(path, _)| path)
            .filter(|path| target.options_at(path).is_none())
            .filter(|path| {
                let parent = path.parent();
                parent.is_some_and(|parent| target.options_at(&parent).is_some())
            })
    }
}

fn option_changes(
    path: &SettingsPath,
    current: &PlaceOptions,
    desired: &PlaceOptions,
) -> Vec<Change> {
    let unset = current
        .keys()
        .filter(|option| !desired.contains_key(option))
        .map(|option| Change::Unset {
            path: path.clone(),
            option: *option,
        });
    let set = desired
        .iter()
        .filter(|(option, value)| current.get(option) != Some(value))
        .map(|(option, value)| Change::Set {
            path: path.clone(),
            option: *option,
            value: value.clone(),
        });
    unset.chain(set).collect()
}
