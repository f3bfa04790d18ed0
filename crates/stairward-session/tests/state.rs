//! Hints, tokens, floors and restored session state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairward_session::{
    HintError, Hints, PreparedStatement, PreparedStatements, SessionChange, SessionFloor,
    SessionHints, SessionToken, SessionVariables, TokenError, TokenKey, classify,
    hints_in_comments, quote_literal,
};
use stairward_types::{Freshness, GroupId, LogPosition, Term};

fn freshness(term: u64, position: u64) -> Freshness {
    Freshness::new(Term(term), LogPosition(position))
}

fn group(name: &str) -> GroupId {
    GroupId::new(name).unwrap()
}

#[test]
fn hints_in_comments_are_decoded() {
    let text = "SELECT '/*stairward.repeatable=''on''*/' /*app='x%20y',\
        stairward.request_key='a%27b\\'c',stairward.deadline_ms='250'*/";
    let hints = hints_in_comments(text).unwrap();
    assert_eq!(hints.request_key.as_deref(), Some("a'b'c"));
    assert_eq!(hints.deadline, Some(Duration::from_millis(250)));
    assert_eq!(hints.repeatable, None, "a literal is not a comment");
}

#[test]
fn invalid_hints_are_refused() {
    let unknown = hints_in_comments("SELECT 1 /*stairward.speed='1'*/");
    assert!(matches!(unknown, Err(HintError::UnknownName { .. })));
    let mut hints = Hints::default();
    assert!(hints.set("stairward.deadline_ms", "0").is_err());
    assert!(hints.set("stairward.deadline_ms", "-1").is_err());
    assert!(hints.set("stairward.read_only", "perhaps").is_err());
    assert!(hints.set("stairward.request_key", "").is_err());
    assert!(
        hints
            .set("stairward.request_key", &"k".repeat(201))
            .is_err()
    );
    assert_eq!(hints, Hints::default());
}

#[test]
fn the_innermost_hint_is_effective() {
    let mut startup = Hints::default();
    startup.set("stairward.deadline_ms", "1").unwrap();
    let mut session = SessionHints::new(startup);
    let deadline = |session: &SessionHints| session.effective(Hints::default()).deadline;
    session.set("stairward.deadline_ms", "2", false).unwrap();
    assert_eq!(deadline(&session), Some(Duration::from_millis(2)));
    session.set("stairward.deadline_ms", "3", true).unwrap();
    assert_eq!(deadline(&session), Some(Duration::from_millis(3)));
    session.end_transaction();
    session.reset("stairward.deadline_ms").unwrap();
    assert_eq!(deadline(&session), Some(Duration::from_millis(1)));
}

#[test]
fn a_request_key_applies_to_one_request() {
    let mut session = SessionHints::default();
    session.set("stairward.request_key", "k", false).unwrap();
    session.consume_request_key();
    assert_eq!(session.effective(Hints::default()).request_key, None);
}

#[test]
fn parsing_hints_of_any_comment_does_not_panic() {
    stairward_testing::check!()
        .with_type::<String>()
        .for_each(|text| {
            let _ = hints_in_comments(&format!("SELECT 1 /*stairward.{text}*/"));
            let _ = hints_in_comments(text);
        });
}

#[test]
fn a_signed_token_verifies_and_round_trips() {
    let key = TokenKey::new(*b"secret");
    stairward_testing::check!()
        .with_type::<(u64, u64)>()
        .for_each(|(term, position)| {
            let token = SessionToken {
                group: group("shelf"),
                floor: freshness(*term, *position),
            };
            assert_eq!(key.verify(&key.sign(&token), &token.group), Ok(token));
        });
}

#[test]
fn a_changed_token_is_refused() {
    let key = TokenKey::new(*b"secret");
    let text = key.sign(&SessionToken {
        group: group("shelf"),
        floor: freshness(1, 2),
    });
    stairward_testing::check!()
        .with_type::<(usize, u8)>()
        .for_each(|(place, byte)| {
            let mut changed = text.clone().into_bytes();
            let place = place % changed.len();
            changed[place] = *byte;
            let Ok(changed) = String::from_utf8(changed) else {
                return;
            };
            let accepted = key.verify(&changed, &group("shelf")).is_ok();
            assert_eq!(accepted, changed == text, "{changed}");
        });
}

#[test]
fn random_text_is_refused_as_token() {
    let key = TokenKey::new(*b"secret");
    stairward_testing::check!()
        .with_type::<String>()
        .for_each(|text| {
            assert!(key.verify(text, &group("shelf")).is_err());
        });
}

#[test]
fn a_token_of_another_group_or_key_is_refused() {
    let key = TokenKey::new(*b"secret");
    let text = key.sign(&SessionToken {
        group: group("shelf"),
        floor: freshness(1, 2),
    });
    let other_group = key.verify(&text, &group("other"));
    assert!(matches!(other_group, Err(TokenError::OtherGroup { .. })));
    let other_key = TokenKey::new(*b"another").verify(&text, &group("shelf"));
    assert_eq!(other_key, Err(TokenError::Forged));
}

#[test]
fn a_floor_never_decreases_unless_clamped() {
    let mut floor = SessionFloor::default();
    assert!(floor.raise(freshness(1, 10)));
    assert!(!floor.raise(freshness(1, 5)));
    assert!(floor.raise(freshness(2, 5)));
    assert_eq!(floor.get(), Some(freshness(2, 10)));
    floor.clamp(freshness(2, 8));
    assert_eq!(floor.get(), Some(freshness(2, 10)), "the term exists");
    floor.clamp(freshness(1, 8));
    assert_eq!(floor.get(), Some(freshness(1, 8)));
}

fn set(name: &str, value: &str) -> SessionChange {
    SessionChange::Set {
        name: name.to_owned(),
        value: value.to_owned(),
        local: false,
    }
}

#[test]
fn settings_are_reverted_with_their_transaction() {
    let mut variables = SessionVariables::new([("a".to_owned(), "1".to_owned())].into());
    variables.apply(&set("a", "2"), true).unwrap();
    variables.apply(&set("b", "3"), true).unwrap();
    assert_eq!(variables.setup_sql(), "SET a TO 2;SET b TO 3;");
    variables.roll_back();
    assert_eq!(variables.setup_sql(), "SET a TO 1;");
    variables.apply(&set("a", "2"), true).unwrap();
    variables.commit();
    variables.roll_back();
    assert_eq!(variables.setup_sql(), "SET a TO 2;");
    variables.apply(&SessionChange::ResetAll, false).unwrap();
    assert_eq!(variables.setup_sql(), "SET a TO 1;");
}

#[test]
fn stored_settings_are_bounded() {
    let mut variables = SessionVariables::new(BTreeMap::new());
    let before = variables.clone();
    let large = quote_literal(&"x".repeat(100_000));
    assert!(variables.apply(&set("a", &large), false).is_err());
    assert_eq!(variables, before);
}

#[test]
fn names_and_values_cannot_inject_sql_into_the_setup_text() {
    let mut variables = SessionVariables::new(BTreeMap::new());
    let value = quote_literal("x'; DROP TABLE books; --");
    variables.apply(&set("a\"; DROP", &value), false).unwrap();
    let class = classify(&variables.setup_sql());
    assert_eq!(class.statements, 1);
    assert_eq!(class.changes.len(), 1);
}

#[test]
fn stored_prepared_statements_are_bounded() {
    let statement = |length: usize| PreparedStatement {
        message: vec![0; length],
        class: Arc::new(classify("SELECT 1")),
        text: "SELECT 1".into(),
    };
    let mut statements = PreparedStatements::default();
    statements.insert("small", statement(100)).unwrap();
    assert!(statements.insert("large", statement(2_000_000)).is_err());
    assert!(statements.get("small").is_some());
    for _ in 0..100 {
        statements.insert("again", statement(500_000)).unwrap();
    }
    statements.remove("again");
    assert_eq!(statements.len(), 1);
}
