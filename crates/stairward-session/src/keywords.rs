//! Classification of text that cannot be parsed, by the first word of each statement.

use sqlparser::tokenizer::Token;

use crate::class::{StatementClass, TransactionEnd, TransactionStart, UnsupportedFeature};
use crate::classify::{begin_class, end_class, read_class, unsupported_class};

/// Classifies tokenized text by the first word of each statement.
pub(crate) fn classify_by_keywords(tokens: &[Token]) -> StatementClass {
    let mut class = StatementClass::empty();
    for statement in tokens.split(|token| *token == Token::SemiColon) {
        let first = statement.iter().find_map(|token| match token {
            Token::Word(word) => Some(word.value.as_str()),
            _ => None,
        });
        if let Some(first) = first {
            class.append(classify_by_first_word(first));
        }
    }
    if class.statements == 0 && tokens.iter().any(|token| !is_blank(token)) {
        return StatementClass::unknown();
    }
    class
}

fn is_blank(token: &Token) -> bool {
    matches!(token, Token::Whitespace(_) | Token::SemiColon | Token::EOF)
}

pub(crate) fn classify_by_first_word(word: &str) -> StatementClass {
    match word.to_ascii_uppercase().as_str() {
        "" => StatementClass::empty(),
        "COPY" => unsupported_class(UnsupportedFeature::Copy),
        "LISTEN" | "UNLISTEN" => unsupported_class(UnsupportedFeature::Listen),
        "SHOW" => read_class(),
        "BEGIN" | "START" => begin_class(TransactionStart::ReadWrite),
        "COMMIT" | "END" => end_class(TransactionEnd::Commit),
        "ROLLBACK" | "ABORT" => end_class(TransactionEnd::Rollback),
        _ => StatementClass::unknown(),
    }
}
