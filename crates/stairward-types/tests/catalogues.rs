//! The documentation pages of result codes and log events list exactly those of the code.

use std::collections::BTreeSet;
use std::path::Path;

use stairward_types::{LogEvent, LogLevel, ResultCode};

fn table_rows(page: &str) -> BTreeSet<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    let text = std::fs::read_to_string(path).expect("the page can be read");
    text.lines()
        .filter_map(|line| line.strip_prefix('|')?.strip_suffix('|'))
        .map(|line| {
            line.split('|')
                .map(|cell| cell.trim().to_owned())
                .collect::<Vec<_>>()
        })
        .filter(|cells| cells[0].len() >= 3 && cells[0].bytes().all(|byte| byte.is_ascii_digit()))
        .collect()
}

#[test]
fn result_codes_page_matches_the_code() {
    let on_page: BTreeSet<_> = table_rows("RESULT_CODES.md")
        .into_iter()
        .map(|row| row[..4].to_vec())
        .collect();
    let in_code: BTreeSet<_> = ResultCode::ALL
        .iter()
        .map(|code| {
            vec![
                code.number().to_string(),
                code.name().to_owned(),
                code.class().to_string(),
                code.sqlstate().to_owned(),
            ]
        })
        .collect();
    assert_eq!(on_page, in_code);
}

#[test]
fn events_page_matches_the_code() {
    let on_page: BTreeSet<_> = table_rows("EVENTS.md")
        .into_iter()
        .map(|row| row[..3].to_vec())
        .collect();
    let in_code: BTreeSet<_> = LogEvent::ALL
        .iter()
        .map(|event| {
            let level = match event.level() {
                LogLevel::Error => "error",
                LogLevel::Warn => "warn",
                LogLevel::Info => "info",
                LogLevel::Debug => "debug",
            };
            vec![
                event.number().to_string(),
                event.name().to_owned(),
                level.to_owned(),
            ]
        })
        .collect();
    assert_eq!(on_page, in_code);
}

#[test]
fn result_code_numbers_are_unique_and_decode_to_the_same_code() {
    let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(9_999), None);
}
