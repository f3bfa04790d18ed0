//! The changes that lead from one tree to another, so that a whole file can be sent as one edit.

use super::{PlaceOptions, SettingsTree};
use crate::edit::Change;
use crate::path::SettingsPath;

impl SettingsTree {
    /// The changes that make this tree equal to `target`: first removals, then the rest in the order
    /// of the places. Empty when the trees are equal.
    #[must_use]
    pub fn changes_to(&self, target: &Self) -> Vec<Change> {
        let mut changes: Vec<_> = self
            .removed_places(target)
            .map(|path| Change::Remove { path: path.clone() })
            .collect();
        for (path, wanted) in target.places() {
            match self.options_at(path) {
                Some(present) => changes.extend(option_changes(path, present, wanted)),
                None if wanted.is_empty() => changes.push(Change::Add { path: path.clone() }),
                None => changes.extend(option_changes(path, &PlaceOptions::new(), wanted)),
            }
        }
        changes
    }

    /// Places that `target` lacks although it has the place above them.
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
    present: &PlaceOptions,
    wanted: &PlaceOptions,
) -> Vec<Change> {
    let taken_back = present
        .keys()
        .filter(|option| !wanted.contains_key(option))
        .map(|option| Change::Unset {
            path: path.clone(),
            option: *option,
        });
    let set = wanted
        .iter()
        .filter(|(option, value)| present.get(option) != Some(value))
        .map(|(option, value)| Change::Set {
            path: path.clone(),
            option: *option,
            value: value.clone(),
        });
    taken_back.chain(set).collect()
}
