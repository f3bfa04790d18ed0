//! Names in statements, folded as PostgreSQL folds them: unquoted ones to lower case.

use sqlparser::ast::{Ident, ObjectName};

/// An identifier, folded.
#[must_use]
pub fn identifier(identifier: &Ident) -> String {
    if identifier.quote_style.is_some() {
        identifier.value.clone()
    } else {
        identifier.value.to_lowercase()
    }
}

fn parts(name: &ObjectName) -> Vec<String> {
    let identifiers = name.0.iter().filter_map(|part| part.as_ident());
    identifiers.map(identifier).collect()
}

/// The name of a function or relation without the schemas that hold the usual ones.
#[must_use]
pub fn object_name(name: &ObjectName) -> String {
    let mut parts = parts(name);
    if parts.len() > 1 && matches!(parts[0].as_str(), "pg_catalog" | "public") {
        parts.remove(0);
    }
    parts.join(".")
}

/// The name of a relation, and whether it belongs to the system's catalogue.
#[must_use]
pub fn relation_name(name: &ObjectName) -> (String, bool) {
    let parts = parts(name);
    let schema = if parts.len() > 1 {
        parts[0].as_str()
    } else {
        ""
    };
    let relation = object_name(name);
    let catalogue =
        matches!(schema, "pg_catalog" | "information_schema") || relation.starts_with("pg_");
    (relation, catalogue)
}
