//! Inheritance, origins of values, and the problems of invalid trees, reported with their lines.

use std::time::Duration;

use stairward_settings::{
    Edit, Level, Origin, ProblemKind, SettingsDocument, SettingsOption, SettingsPath,
    SettingsProblem, SettingsTree, Value,
};
use stairward_types::{
    AdminState, BackendId, ChangeId, FenceStrength, GroupId, ResultCode, ServiceName,
};

const SERVICE: &str = "region/south/service/reader";
const GROUP: &str = "region/south/service/reader/group/reader-1";

const TREE: &str = r#"[root]
request_timeout_ms = 9000
slots = 4
fence = "term"

[region.south]
request_timeout_ms = 8000

[region.south.service.reader]
weight = 3
hold_queue_time_ms = 4000

[region.south.service.reader.group.reader-1]
slots = 6

[region.south.service.reader.group.reader-1.backend.a]
address = "10.0.0.1:5432"
zone = "south-a"

[region.south.service.reader.group.reader-1.backend.b]
address = "10.0.0.2:5432"
zone = "south-b"
slots = 7
admin_state = "leaving"

[region.south.service.reader.group.reader-1.backend.c]
address = "[fd00::3]:5432"
zone = "north-a"
region = "north"
"#;

fn path(text: &str) -> SettingsPath {
    text.parse().expect("a valid path")
}

fn problems(text: &str) -> Vec<SettingsProblem> {
    SettingsTree::from_toml(text).expect_err("an invalid tree")
}

/// [`TREE`] with a line added to the options of back end `c`.
fn with_last_line(line: &str) -> String {
    format!("{TREE}{line}\n")
}

/// The line number, counted from 1, of the only occurrence of `text`.
fn line_of(tree: &str, text: &str) -> usize {
    let lines: Vec<usize> = (1..)
        .zip(tree.lines())
        .filter(|(_, line)| line.contains(text))
        .map(|(number, _)| number)
        .collect();
    assert_eq!(lines.len(), 1, "{text:?} must occur once");
    lines[0]
}

fn assert_only_problem(tree: &str, expected: (&str, Option<&str>, Option<usize>), kind: &str) {
    let found = problems(tree);
    assert_eq!(found.len(), 1, "{found:?}");
    let place = (
        found[0].path.as_str(),
        found[0].option.as_deref(),
        found[0].line,
    );
    assert_eq!(place, expected);
    assert_eq!(found[0].code, ResultCode::InvalidSettings);
    assert!(found[0].to_string().contains(kind), "{}", found[0]);
}

#[test]
fn values_are_inherited_and_overridden() {
    let tree = SettingsTree::from_toml(TREE).expect("a valid tree");
    let resolved = tree.resolve().expect("a valid tree");
    let service = &resolved.services[&ServiceName::new("reader").expect("a name")];
    assert_eq!(service.weight, 3);
    let group = &resolved.groups[&GroupId::new("reader-1").expect("a name")];
    assert_eq!(group.service.as_str(), "reader");
    assert_eq!(group.request_timeout, Duration::from_secs(8));
    assert_eq!(group.hold_queue_time, Duration::from_secs(4));
    assert_eq!(group.fence, FenceStrength::Term);
    assert_eq!(group.backend_user, "stairward");
    let slots: Vec<_> = group
        .backends
        .values()
        .map(|backend| backend.slots)
        .collect();
    assert_eq!(slots, [6, 7, 6]);
    let regions: Vec<_> = group
        .backends
        .values()
        .map(|backend| backend.region.as_str())
        .collect();
    assert_eq!(regions, ["south", "south", "north"]);
    for (name, backend) in &group.backends {
        let found = resolved.backend(name);
        assert_eq!(found, Some((group, backend)));
    }
    let unknown = BackendId::new("d").expect("a name");
    assert_eq!(resolved.backend(&unknown), None);
    let states: Vec<_> = group
        .backends
        .values()
        .map(|backend| backend.admin_state)
        .collect();
    let expected = [AdminState::Active, AdminState::Leaving, AdminState::Active];
    assert_eq!(states, expected);
}

#[test]
fn explain_reports_the_origin_of_each_value() {
    let tree = SettingsTree::from_toml(TREE).expect("a valid tree");
    let explained = tree.explain(&path(GROUP)).expect("the group is there");
    let origin_of = |option: SettingsOption| {
        let found = explained.iter().find(|value| value.option == option);
        found.map(|value| (value.value.clone(), value.origin.to_string()))
    };
    let at = |value: u64, place: &str| Some((Some(Value::from(value)), place.to_owned()));
    assert_eq!(
        origin_of(SettingsOption::RequestTimeout),
        at(8_000, "region/south")
    );
    assert_eq!(origin_of(SettingsOption::Slots), at(6, GROUP));
    assert_eq!(
        origin_of(SettingsOption::RetryBudget),
        at(100, &Origin::Default.to_string())
    );
    assert_eq!(origin_of(SettingsOption::Zone), None);
    assert_eq!(tree.explain(&path("region/west")), None);
}

#[test]
fn unset_restores_inheritance_and_remove_includes_descendants() {
    let mut tree = SettingsTree::from_toml(TREE).expect("a valid tree");
    let group = path(GROUP);
    assert_eq!(
        tree.unset(&group, SettingsOption::Slots),
        Some(Value::from(6))
    );
    let slots = tree.explain_option(&group, SettingsOption::Slots);
    assert_eq!(slots.origin, Origin::SetAt(SettingsPath::Root));
    assert!(tree.remove(&path("region/south/service/reader")));
    assert!(!tree.remove(&group));
    let left: Vec<String> = tree.places().map(|(path, _)| path.to_string()).collect();
    assert_eq!(left, ["root", "region/south"]);
}

#[test]
fn a_tree_round_trips_through_json() {
    let tree = SettingsTree::from_toml(TREE).expect("a valid tree");
    let json = serde_json::to_string(&tree).expect("JSON");
    let read: SettingsTree = serde_json::from_str(&json).expect("a tree");
    assert_eq!(read, tree);
    let wrong_type = r#"{"root": {"slots": "many"}}"#;
    assert!(serde_json::from_str::<SettingsTree>(wrong_type).is_err());
}

#[test]
fn paths_round_trip_and_invalid_paths_are_refused() {
    for text in ["root", "region/south", GROUP, &format!("{GROUP}/backend/a")] {
        assert_eq!(path(text).to_string(), text);
    }
    for text in [
        "",
        "region",
        "south",
        "service/x",
        "root/region/x",
        "region/South",
    ] {
        assert!(text.parse::<SettingsPath>().is_err(), "{text:?}");
    }
    assert_eq!(path(GROUP).level(), Level::Group);
    assert!(path(GROUP).is_within(&path("region/south")));
    assert!(!path(GROUP).is_within(&path("region/north")));
}

#[test]
fn each_invalid_option_is_reported_with_its_line() {
    let backend = format!("{GROUP}/backend/c");
    let added = TREE.lines().count() + 1;
    let cases = [
        ("slot = 3", "slot", "did you mean slots?"),
        ("solts = 3", "solts", "did you mean slots?"),
        ("quux = 3", "quux", "unknown name (SW4002)"),
        ("slots = 0", "slots", "not within 1 to 10000"),
        ("slots = -1", "slots", "must be an integer from 0"),
        ("slots = \"5\"", "slots", "must be an integer, is text"),
        (
            "slots = 5.0",
            "slots",
            "must be an integer or text, is float",
        ),
        (
            "admin_state = \"gone\"",
            "admin_state",
            "joining, active, leaving",
        ),
        ("weight = 2", "weight", "only from root to service"),
        ("fence = \"term\"", "fence", "only from root to group"),
    ];
    for (line, option, message) in cases {
        let expected = (backend.as_str(), Some(option), Some(added));
        assert_only_problem(&with_last_line(line), expected, message);
    }
}

#[test]
fn invalid_structure_is_reported_with_its_line() {
    let cases = [
        ("root = 3\n", 1, "must be a table"),
        ("[regions.south]\n", 1, "did you mean region?"),
        ("\n[region]\nsouth = 4\n", 3, "must be a table"),
        ("[region.South]\n", 1, "is not a name"),
        ("[region.south.group.x]\n", 1, "unknown name"),
        ("[root]\nslots = \n", 2, "not TOML"),
        ("[root]\nslots = 1\nslots = 2\n", 3, "duplicate key"),
    ];
    for (text, line, message) in cases {
        let found = problems(text);
        assert_eq!(found.len(), 1, "{text:?}: {found:?}");
        assert_eq!(found[0].line, Some(line), "{text:?}");
        assert!(found[0].to_string().contains(message), "{}", found[0]);
    }
}

#[test]
fn all_problems_are_reported_in_line_order() {
    let text = "[root]\nslots = 0\nslot = 1\n\n[region.south]\nweight = 0\n";
    let lines: Vec<_> = problems(text).iter().map(|problem| problem.line).collect();
    assert_eq!(lines, [Some(2), Some(3), Some(6)]);
}

#[test]
fn a_back_end_needs_an_address_and_a_zone() {
    let text = TREE.replace("zone = \"south-a\"\n", "");
    let backend = format!("{GROUP}/backend/a");
    let line = line_of(&text, "backend.a]");
    assert_only_problem(&text, (&backend, Some("zone"), Some(line)), "must be set");
    let invalid_zone = TREE.replace("\"south-a\"", "\"South\"");
    let line = line_of(&invalid_zone, "\"South\"");
    assert_only_problem(
        &invalid_zone,
        (&backend, Some("zone"), Some(line)),
        "is not a name",
    );
}

#[test]
fn addresses_and_names_are_unique_in_the_fleet() {
    let text = TREE.replace("10.0.0.2:5432", "10.0.0.1:5432");
    let duplicate = TREE.lines().position(|line| line.contains("10.0.0.2:5432"));
    let line = duplicate.map(|index| index + 1);
    let backend = format!("{GROUP}/backend/b");
    assert_only_problem(&text, (&backend, Some("address"), line), "already used by");

    let other_group = "[region.west.service.other.group.other-1.backend.a]\n\
                       address = \"10.0.0.9:5432\"\nzone = \"west-a\"\n";
    let text = format!("{TREE}{other_group}");
    let line = line_of(&text, "other-1.backend.a]");
    let backend = "region/west/service/other/group/other-1/backend/a";
    assert_only_problem(&text, (backend, None, Some(line)), "already used by");
}

#[test]
fn a_group_needs_a_member() {
    let text = format!("{TREE}\n[region.south.service.reader.group.empty]\n");
    let line = line_of(&text, "group.empty]");
    let group = "region/south/service/reader/group/empty";
    assert_only_problem(&text, (group, None, Some(line)), "no back end");
}

#[test]
fn a_majority_of_the_members_must_be_active() {
    let states = |first: &str, second: &str, third: &str| {
        let leaving = "admin_state = \"leaving\"";
        let text = TREE.replace(leaving, &format!("admin_state = \"{second}\""));
        let first_zone = "zone = \"south-a\"\n";
        let first = format!("{first_zone}admin_state = \"{first}\"\n");
        let text = text.replace(first_zone, &first);
        SettingsTree::from_toml(&format!("{text}admin_state = \"{third}\"\n"))
    };
    assert!(states("active", "joining", "active").is_ok());
    assert!(states("active", "leaving", "active").is_ok());
    assert!(states("joining", "joining", "joining").is_ok());
    let refused = [
        ("active", "leaving", "leaving"),
        ("active", "leaving", "joining"),
        ("joining", "joining", "active"),
        ("leaving", "joining", "joining"),
    ];
    for (first, second, third) in refused {
        let problems = states(first, second, third).expect_err("no majority");
        assert_eq!(problems.len(), 1);
        let ProblemKind::NoActiveMajority {
            members: 3,
            needed: 2,
            ..
        } = *problems[0].kind
        else {
            panic!("{problems:?}");
        };
    }
}

#[test]
fn the_changes_between_two_trees_turn_one_into_the_other() {
    let one = SettingsTree::from_toml(TREE).expect("a valid tree");
    let other = TREE
        .replace(
            "region.south.service.reader]",
            "region.south.service.writer]",
        )
        .replace("slots = 4", "connection_limit = 50")
        .replace("service.reader.group", "service.writer.group");
    let other = SettingsTree::from_toml(&other).expect("a valid tree");
    let empty = SettingsTree::new();
    for (from, to) in [
        (&one, &other),
        (&other, &one),
        (&empty, &one),
        (&one, &empty),
    ] {
        let changes = from.changes_to(to);
        let document = SettingsDocument::initial(from.clone()).expect("a valid tree");
        let edit = Edit {
            change_id: ChangeId(1),
            based_on: document.revision(),
            changes,
        };
        let changed = document.apply(&edit).expect("a valid edit");
        assert_eq!(changed.tree(), to);
    }
    assert_eq!(one.changes_to(&one), []);
}

#[test]
fn waits_longer_than_the_request_timeout_are_refused() {
    let cases = [
        "freshness_wait_ms",
        "fence_timeout_ms",
        "hold_queue_time_ms",
    ];
    for option in cases {
        let text = TREE.replace("hold_queue_time_ms = 4000", &format!("{option} = 8001"));
        let line = line_of(&text, option);
        let message = "8001 exceeds request_timeout_ms = 8000";
        assert_only_problem(&text, (SERVICE, Some(option), Some(line)), message);
    }
}

#[test]
fn an_inherited_violation_is_reported_once_for_its_cause() {
    let text = TREE.replace("hold_queue_time_ms = 4000", "slots = 41");
    let text = text.replace("slots = 6\n", "").replace("slots = 7\n", "");
    let line = line_of(&text, "slots = 41");
    let message = "41 exceeds connection_limit = 40";
    assert_only_problem(&text, (SERVICE, Some("slots"), Some(line)), message);

    let text = TREE.replace("hold_queue_time_ms = 4000", "request_timeout_ms = 4000");
    let line = line_of(&text, "request_timeout_ms = 4000");
    let expected = (SERVICE, Some("request_timeout_ms"), Some(line));
    assert_only_problem(
        &text,
        expected,
        "4000 is less than hold_queue_time_ms = 5000",
    );
}

#[test]
fn contradictory_limits_are_refused() {
    let added = Some(TREE.lines().count() + 1);
    let backend = format!("{GROUP}/backend/c");
    for option in ["slots", "opening_limit"] {
        let text = with_last_line(&format!("{option} = 41"));
        let expected = (backend.as_str(), Some(option), added);
        assert_only_problem(&text, expected, "41 exceeds connection_limit = 40");
    }
    let text = TREE.replace("hold_queue_time_ms = 4000", "hold_queue_bytes = 4096");
    let line = line_of(&text, "hold_queue_bytes");
    let expected = (SERVICE, Some("hold_queue_bytes"), Some(line));
    assert_only_problem(&text, expected, "less than maximum_message_bytes");
    let without_queue = text.replace(
        "hold_queue_bytes",
        "hold_queue_requests = 0\nhold_queue_bytes",
    );
    assert!(SettingsTree::from_toml(&without_queue).is_ok());
}
