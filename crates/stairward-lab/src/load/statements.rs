//! The SQL text of a site's operations.
//!
//! Each statement carries its request's number in a comment, so that a back end's record of what it
//! ran can be compared with what the caller was told. A read also asks for the number back as a
//! column, so that an answer to somebody else's request is recognised.

use std::fmt::Write;

use super::schedule::{Action, PlannedRequest, RequestNumber};
use crate::site::{Operation, Site};

/// Rows inserted by one statement when the tables are filled.
const ROWS_PER_INSERT: usize = 50;
/// What each session's balance starts from: more than any run draws.
const OPENING_BALANCE: u64 = 1_000_000_000;

/// The statements of one request, in the order in which they are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestStatements {
    /// One statement that returns rows of `(request, key, version)`.
    Read(String),
    /// One statement that writes and returns no rows.
    Write(String),
    /// Statements sent one by one, each after the answer to the one before.
    Transaction(Vec<String>),
}

/// Writes the statements of a site's requests.
#[derive(Debug, Clone, Copy)]
pub struct StatementWriter<'site> {
    site: &'site Site,
}

impl<'site> StatementWriter<'site> {
    /// For the tables of a site.
    #[must_use]
    pub const fn new(site: &'site Site) -> Self {
        Self { site }
    }

    /// The statements of a request.
    #[must_use]
    pub fn request(&self, request: &PlannedRequest) -> RequestStatements {
        let comment = comment(request.number, &self.site.operations[request.operation]);
        let number = request.number;
        let tables = &self.site.tables;
        match request.action {
            Action::ReadShared { list } => RequestStatements::Read(format!(
                "SELECT {number} AS request, id, version FROM {} WHERE list = {list} {comment}",
                tables.shared
            )),
            Action::ReadOwn { .. } | Action::ReadRecord { .. } => {
                RequestStatements::Read(self.read_by_key(request, &comment))
            }
            Action::WriteOwn { row } => RequestStatements::Write(format!(
                "UPDATE {} SET version = {number} WHERE id = '{}' {comment}",
                tables.own,
                own_key(request.session, row)
            )),
            Action::Transaction => RequestStatements::Transaction(self.purchase(request, &comment)),
        }
    }

    fn read_by_key(&self, request: &PlannedRequest, comment: &str) -> String {
        let number = request.number;
        let (table, key) = match request.action {
            Action::ReadRecord { record } => (&self.site.tables.record, record_key(record)),
            Action::ReadOwn { row } => (&self.site.tables.own, own_key(request.session, row)),
            _ => unreachable!("only reads by key come here"),
        };
        format!("SELECT {number} AS request, id, version FROM {table} WHERE id = '{key}' {comment}")
    }

    fn purchase(&self, request: &PlannedRequest, comment: &str) -> Vec<String> {
        let number = request.number;
        let tables = &self.site.tables;
        let balance = balance_key(request.session);
        let record = record_key(number);
        vec![
            format!("BEGIN {comment}"),
            format!(
                "UPDATE {} SET amount = amount - 1 WHERE id = '{balance}' {comment}",
                tables.balance
            ),
            format!(
                "INSERT INTO {} (id, version) VALUES ('{record}', {number}) {comment}",
                tables.record
            ),
            format!("COMMIT {comment}"),
        ]
    }

    /// The statements that create and fill the tables of one group.
    #[must_use]
    pub fn set_up(&self, sessions: &[u32]) -> Vec<String> {
        let tables = &self.site.tables;
        let mut statements = vec![
            create_table(&tables.shared, "list BIGINT, version BIGINT"),
            create_table(&tables.own, "version BIGINT"),
            create_table(&tables.balance, "amount BIGINT"),
            create_table(&tables.record, "version BIGINT"),
        ];
        for table in [&tables.shared, &tables.own, &tables.balance, &tables.record] {
            statements.push(format!("DELETE FROM {table}"));
        }
        statements.extend(inserts(
            &tables.shared,
            "id, list, version",
            &self.shared_rows(),
        ));
        statements.extend(inserts(
            &tables.own,
            "id, version",
            &self.own_rows(sessions),
        ));
        let balances: Vec<String> = sessions
            .iter()
            .map(|&session| format!("('{}', {OPENING_BALANCE})", balance_key(session)))
            .collect();
        statements.extend(inserts(&tables.balance, "id, amount", &balances));
        statements
    }

    fn shared_rows(&self) -> Vec<String> {
        let traffic = &self.site.traffic;
        (0..traffic.shared_lists)
            .flat_map(|list| (0..traffic.rows_per_list).map(move |row| (list, row)))
            .map(|(list, row)| format!("('list-{list}-{row}', {list}, 0)"))
            .collect()
    }

    fn own_rows(&self, sessions: &[u32]) -> Vec<String> {
        let rows = self.site.traffic.rows_per_session;
        sessions
            .iter()
            .flat_map(|&session| (0..rows).map(move |row| own_key(session, row)))
            .map(|key| format!("('{key}', 0)"))
            .collect()
    }
}

/// The key of a row that one session writes.
#[must_use]
pub fn own_key(session: u32, row: u32) -> String {
    format!("own-{session}-{row}")
}

/// The key of the record that a request inserts.
#[must_use]
pub fn record_key(record: RequestNumber) -> String {
    format!("record-{record}")
}

fn balance_key(session: u32) -> String {
    format!("balance-{session}")
}

fn comment(number: RequestNumber, operation: &Operation) -> String {
    let mut comment = format!("/*request='{number}'");
    if operation.repeatable {
        // Writing to a `String` cannot fail.
        let _ = write!(comment, ",stairward.repeatable='on'");
    }
    comment.push_str("*/");
    comment
}

fn create_table(table: &str, columns: &str) -> String {
    format!("CREATE TABLE IF NOT EXISTS {table} (id TEXT PRIMARY KEY, {columns})")
}

fn inserts(table: &str, columns: &str, rows: &[String]) -> Vec<String> {
    rows.chunks(ROWS_PER_INSERT)
        .map(|chunk| {
            format!(
                "INSERT INTO {table} ({columns}) VALUES {}",
                chunk.join(", ")
            )
        })
        .collect()
}
