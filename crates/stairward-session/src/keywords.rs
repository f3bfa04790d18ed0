//! Classification of text that cannot be parsed, by the first word of each statement.

use sqlparser::tokenizer::Token;

use crate::class::{StatementClass, TransactionEnd, TransactionStart, UnsupportedFeature};
use crate::classify::{begins, ends, read, refused};

/// Classifies tokenized text by the first word of each statement.
pub(crate) fn by_keywords(tokens: &[Token]) -> StatementClass {
    let mut class = StatementClass::empty();
    for statement in tokens.split(|token| *token == Token::SemiColon) {
        let first = statement.iter().find_map(|token| match token {
            Token::Word(word) => Some(word.value.as_str()),
            _ => None,
        });
        if let Some(first) = first {
            class.append(by_first_word(first));
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

pub(crate) fn by_first_word(word: &str) -> StatementClass {
    match word.to_ascii_uppercase().as_str() {
        "" => StatementClass::empty(),
        "COPY" => refused(UnsupportedFeature::Copy),
        "LISTEN" | "UNLISTEN" => refused(UnsupportedFeature::Listen),
        "SHOW" => read(),
        "BEGIN" | "START" => begins(TransactionStart::ReadWrite),
        "COMMIT" | "END" => ends(TransactionEnd::Commit),
        "ROLLBACK" | "ABORT" => ends(TransactionEnd::Rollback),
        _ => StatementClass::unknown(),
    }
}
