//! Properties that hold for arbitrary edits and arbitrary text.

use std::path::Path;

use bolero::TypeGenerator;
use stairward_settings::{
    Change, Edit, EditError, ProcessSettings, SettingsDocument, SettingsOption, SettingsPath,
    SettingsTree, SettingsUpdate, Value, check_text,
};
use stairward_testing::check;
use stairward_types::{ChangeId, Revision};

const TREE: &str = include_str!("../../../examples/lintas.toml");
const PROCESS_FILE: &str = include_str!("../../../examples/node.toml");

/// Places of random changes: few, so that changes interact with each other.
const PLACES: [&str; 7] = [
    "root",
    "region/malaysia",
    "region/malaysia/service/reader-core",
    "region/malaysia/service/reader-core/group/reader-core-1",
    "region/malaysia/service/reader-core/group/reader-core-1/backend/reader-core-1-kul-a",
    "region/malaysia/service/reader-core/group/reader-core-1/backend/reader-core-1-sgp-b",
    "region/malaysia/service/reader-core/group/new/backend/new-a",
];

/// Changes that conform to the schema, by the index of their place. In the context of the tree some are
/// valid only together with others, and some never.
const CONFORMING: [(usize, SettingsOption, Setting); 14] = [
    (0, SettingsOption::Slots, Setting::Number(8)),
    (0, SettingsOption::ConnectionLimit, Setting::Number(6)),
    (0, SettingsOption::RequestTimeout, Setting::Number(4_000)),
    (1, SettingsOption::HoldQueueTime, Setting::Number(3_000)),
    (1, SettingsOption::FenceTimeout, Setting::Number(4_500)),
    (2, SettingsOption::ConnectionLimit, Setting::Number(7)),
    (2, SettingsOption::Weight, Setting::Number(9)),
    (3, SettingsOption::Fence, Setting::Text("term")),
    (4, SettingsOption::AdminState, Setting::Text("leaving")),
    (5, SettingsOption::AdminState, Setting::Text("leaving")),
    (5, SettingsOption::AdminState, Setting::Text("active")),
    (5, SettingsOption::Address, Setting::Text("10.1.1.101:5432")),
    (6, SettingsOption::Address, Setting::Text("10.9.9.9:5432")),
    (6, SettingsOption::Zone, Setting::Text("kul-a")),
];

/// Values of any type: within ranges, at their limits, and beyond.
const ANY_VALUE: [Setting; 8] = [
    Setting::Number(0),
    Setting::Number(1),
    Setting::Number(10_000),
    Setting::Number(u64::MAX),
    Setting::Text(""),
    Setting::Text("leaving"),
    Setting::Text("10.9.9.9:0"),
    Setting::Text("no such value!"),
];

#[derive(Debug, Clone, Copy)]
enum Setting {
    Number(u64),
    Text(&'static str),
}

impl From<Setting> for Value {
    fn from(setting: Setting) -> Self {
        match setting {
            Setting::Number(number) => Self::from(number),
            Setting::Text(text) => Self::from(text),
        }
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct RandomChange {
    kind: u8,
    conforming: u8,
    place: u8,
    option: u8,
    value: u8,
}

#[derive(Debug, Clone, TypeGenerator)]
struct RandomEdit {
    kind: u8,
    first: RandomChange,
    further: Vec<RandomChange>,
    follower_catches_up: bool,
}

fn pick<T: Copy>(choices: &[T], number: u8) -> T {
    choices[usize::from(number) % choices.len()]
}

fn place(index: usize) -> SettingsPath {
    PLACES[index].parse().expect("a valid path")
}

impl RandomChange {
    fn change(&self) -> Change {
        let (index, option, setting) = pick(&CONFORMING, self.conforming);
        let any_place = usize::from(self.place) % PLACES.len();
        match self.kind % 16 {
            0 => Change::Remove {
                path: place(any_place),
            },
            1 => Change::Set {
                path: place(any_place),
                option: pick(SettingsOption::ALL, self.option),
                value: pick(&ANY_VALUE, self.value).into(),
            },
            2..6 => Change::Unset {
                path: place(index),
                option,
            },
            _ => Change::Set {
                path: place(index),
                option,
                value: setting.into(),
            },
        }
    }
}

impl RandomEdit {
    /// The edit for a document: mostly based on its newest revision and with a new change id.
    fn edit(&self, number: u64, document: &SettingsDocument) -> Edit {
        let newest = document.revision().0;
        let based_on = match self.kind % 16 {
            0 => newest.saturating_sub(1),
            1 => newest + 1,
            _ => newest,
        };
        let change_id = match self.kind / 16 {
            0 => number / 2,
            _ => number,
        };
        let changes = std::iter::once(&self.first).chain(&self.further);
        Edit {
            change_id: ChangeId(change_id),
            based_on: Revision(based_on),
            changes: changes.take(2).map(RandomChange::change).collect(),
        }
    }
}

fn first_document() -> SettingsDocument {
    let tree = SettingsTree::from_toml(TREE).expect("a valid tree");
    SettingsDocument::initial(tree).expect("a valid tree")
}

#[test]
fn edits_are_refused_or_lead_to_a_valid_tree_and_a_higher_revision() {
    let first = first_document();
    check!()
        .with_type::<Vec<RandomEdit>>()
        .for_each(|random_edits| {
            let mut document = first.clone();
            let mut follower = first.clone();
            for (number, random) in (0..).zip(random_edits) {
                let edit = random.edit(number, &document);
                document = check_edit(&document, &edit);
                if random.follower_catches_up {
                    follower = catch_up(&follower, &document);
                }
            }
            assert_eq!(catch_up(&follower, &document), document);
        });
}

/// Applies an edit, checks the result, and returns the document afterwards.
fn check_edit(document: &SettingsDocument, edit: &Edit) -> SettingsDocument {
    match document.apply(edit) {
        Ok(next) => {
            assert_eq!(edit.based_on, document.revision());
            assert_eq!(next.revision().0, document.revision().0 + 1);
            let resolved = next.resolve().expect("an accepted tree is valid");
            assert_eq!(resolved.revision, next.revision());
            let again = next.apply(edit).expect_err("already applied");
            let revision = next.revision();
            assert_eq!(again, EditError::AlreadyApplied { revision });
            next
        }
        Err(EditError::Conflict { newest, .. }) => {
            assert_eq!(newest, document.revision());
            assert_ne!(edit.based_on, newest);
            document.clone()
        }
        Err(
            EditError::AlreadyApplied { revision } | EditError::ChangeIdReused { revision, .. },
        ) => {
            assert!(revision <= document.revision());
            assert!(document.find_change(edit.change_id).is_some());
            document.clone()
        }
        Err(EditError::Invalid { problems }) => {
            assert!(!problems.is_empty());
            document.clone()
        }
    }
}

/// The follower's document after it received an update in encoded form.
fn catch_up(follower: &SettingsDocument, newest: &SettingsDocument) -> SettingsDocument {
    let update = newest.update_after(follower.revision());
    let bytes = update.encode().expect("JSON");
    let received = SettingsUpdate::decode(update.is_whole(), &bytes).expect("an update");
    let newer = follower.apply_update(received).expect("the update applies");
    let held = newer.unwrap_or_else(|| follower.clone());
    assert!(held.revision() >= follower.revision());
    assert_eq!(held, *newest);
    held
}

/// A valid text with some of its bytes replaced.
fn corrupt(text: &str, replacements: &[(u16, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in replacements.iter().take(8) {
        let position = usize::from(*position) % bytes.len();
        bytes[position] = *byte;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn a_corrupted_tree_is_read_or_refused_with_lines_in_the_file() {
    check!()
        .with_type::<Vec<(u16, u8)>>()
        .for_each(|replacements| {
            let text = corrupt(TREE, replacements);
            let lines = text.split('\n').count();
            match SettingsTree::from_toml(&text) {
                Ok(tree) => assert!(tree.resolve().is_ok()),
                Err(problems) => {
                    assert!(!problems.is_empty());
                    let reported = problems.iter().filter_map(|problem| problem.line);
                    assert!(reported.into_iter().all(|line| (1..=lines).contains(&line)));
                }
            }
        });
}

#[test]
fn a_corrupted_process_file_is_read_or_refused() {
    check!()
        .with_type::<Vec<(u16, u8)>>()
        .for_each(|replacements| {
            let text = corrupt(PROCESS_FILE, replacements);
            let settings = ProcessSettings::from_toml(&text, Path::new(""));
            assert!(
                settings.is_ok_and(|settings| settings.listen.peer.port() != 0)
                    || !check_text(Path::new("node.toml"), &text).is_valid()
            );
        });
}

#[test]
fn arbitrary_text_and_updates_are_read_or_refused() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let text = String::from_utf8_lossy(bytes);
        let report = check_text(Path::new("any"), &text);
        assert_eq!(report.is_valid(), report.problems.is_empty());
        let _ = SettingsTree::from_toml(&text);
        let _ = SettingsUpdate::decode(true, bytes);
        let _ = SettingsUpdate::decode(false, bytes);
    });
}
