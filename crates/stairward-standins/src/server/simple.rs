//! The simple query protocol.

use pgwire::messages::PgWireBackendMessage;

use crate::group::Completion;
use crate::sql::{Answer, SqlError, Statement};

use super::encoding::{data_row, row_description};
use super::session::{Session, SessionEnd};

impl Session {
    /// Runs the statements of a query message. Without `BEGIN` they are one transaction.
    pub async fn simple_query(&mut self, text: &str) -> Result<(), SessionEnd> {
        self.skipping = false;
        match Statement::parse(text) {
            Ok(statements) => self.run_all(statements).await?,
            Err(error) => {
                self.wire.queue_error("ERROR", &error)?;
                self.fail_transaction().await?;
            }
        }
        self.wire.queue_ready(self.status)?;
        Ok(self.wire.flush().await?)
    }

    async fn run_all(&mut self, statements: Vec<Statement>) -> Result<(), SessionEnd> {
        let last = statements.len().saturating_sub(1);
        for (place, statement) in statements.into_iter().enumerate() {
            let completion = if place == last {
                Completion::Commit
            } else {
                Completion::Hold
            };
            match self.run(statement, Vec::new(), completion).await? {
                Ok(answer) => self.send_answer(&answer).await?,
                Err(error) => {
                    self.wire.queue_error("ERROR", &error)?;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn send_answer(&mut self, answer: &Answer) -> Result<(), SessionEnd> {
        if let Some(columns) = &answer.columns {
            let description = row_description(columns, &[]);
            self.wire
                .queue(&PgWireBackendMessage::RowDescription(description))?;
            for row in &answer.rows {
                let row = data_row(columns, row, &[]).map_err(terminated)?;
                self.wire.queue(&PgWireBackendMessage::DataRow(row))?;
                self.wire.relieve().await?;
            }
        }
        Ok(self.queue_completion(answer)?)
    }
}

/// A result that cannot be sent ends the session: part of it may have gone out.
pub const fn terminated(error: SqlError) -> SessionEnd {
    SessionEnd::Terminated { error }
}
