//! Deltas rebuild the later content, stay short for small changes, and are rejected on any other earlier content.

use stairward_runtime::content_delta::ContentDelta;
use stairward_testing::check;

/// A document with one entry per pair.
fn content(entries: &[(u8, u8)]) -> String {
    let entries = entries
        .iter()
        .map(|(name, value)| format!("{{\"name\":\"r{name}\",\"timeout\":{value}}}"));
    format!("{{\"routes\":[{}]}}", entries.collect::<Vec<_>>().join(","))
}

#[test]
fn applying_a_delta_gives_the_later_content() {
    check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>)>()
        .for_each(|(earlier, later)| {
            let (earlier, later) = (content(earlier), content(later));
            let delta = ContentDelta::between(&earlier, &later);
            assert_eq!(delta.apply(&earlier), Some(later));
        });
}

#[test]
fn deltas_of_any_text_apply_and_survive_serialization() {
    check!()
        .with_type::<(String, String)>()
        .for_each(|(earlier, later)| {
            let delta = ContentDelta::between(earlier, later);
            assert_eq!(delta.apply(earlier).as_ref(), Some(later));
            let written = serde_json::to_string(&delta).unwrap();
            assert_eq!(
                serde_json::from_str::<ContentDelta>(&written).unwrap(),
                delta
            );
        });
}

#[test]
fn a_delta_on_the_wrong_content_never_gives_a_wrong_result() {
    check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, Vec<(u8, u8)>)>()
        .for_each(|(earlier, later, other)| {
            let later = content(later);
            let delta = ContentDelta::between(&content(earlier), &later);
            let made = delta.apply(&content(other));
            assert!(made.is_none_or(|made| made == later));
        });
}

#[test]
fn changing_one_entry_of_many_gives_a_short_delta() {
    let entries = |changed: u32, count: u32| {
        let entries = (0..count).map(|number| {
            let timeout = if number == changed { 900 } else { 800 };
            format!("{{\"name\":\"route-{number}\",\"timeout\":{timeout}}}")
        });
        format!("[{}]", entries.collect::<Vec<_>>().join(","))
    };
    for count in [1_000, 2_000] {
        let delta = ContentDelta::between(&entries(u32::MAX, count), &entries(500, count));
        let length = serde_json::to_string(&delta).unwrap().len();
        assert!(length < 200, "{length} bytes for one of {count} entries");
    }
}
