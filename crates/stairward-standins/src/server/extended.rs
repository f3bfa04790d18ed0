//! The extended query protocol.

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{FORMAT_CODE_BINARY, NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};

use crate::group::{ClientRequest, Completion, Reply, TransactionStatus};
use crate::sql::{Column, Description, SqlError, Statement, Value, ValueType};

use super::encoding::{data_row, format_of, parameter, row_description};
use super::prepared::{Portal, Prepared};
use super::session::{Session, SessionEnd};
use super::simple::terminated;

impl Session {
    /// Handles a Parse message.
    pub async fn parse(&mut self, parse: Parse) -> Result<(), SessionEnd> {
        let name = parse.name.unwrap_or_default();
        let prepared = match self.prepare(&parse.query, &parse.type_oids).await? {
            Ok(prepared) => prepared,
            Err(error) => return self.fail(error).await,
        };
        match self.prepared.prepare(&name, prepared) {
            Ok(()) => self.queue(PgWireBackendMessage::ParseComplete(ParseComplete::new())),
            Err(error) => self.fail(error).await,
        }
    }

    async fn prepare(
        &mut self,
        text: &str,
        type_oids: &[u32],
    ) -> Result<Result<Prepared, SqlError>, SessionEnd> {
        let statement = match Statement::parse_one(text) {
            Ok(statement) => statement,
            Err(error) => return Ok(Err(error)),
        };
        let declared: Vec<Option<ValueType>> = type_oids
            .iter()
            .map(|oid| ValueType::from_oid(*oid))
            .collect();
        let described = statement.clone();
        let reply = self
            .ask(|connection, request| ClientRequest::Describe {
                connection,
                request,
                statement: described,
                declared,
            })
            .await?;
        let Reply::Described { result, .. } = reply else {
            return Err(SessionEnd::Reset);
        };
        Ok(result.map(|description| Prepared {
            statement,
            description,
        }))
    }

    /// Handles a Bind message.
    pub async fn bind(&mut self, bind: Bind) -> Result<(), SessionEnd> {
        let portal_name = bind.portal_name.clone().unwrap_or_default();
        let bound = self
            .portal_of(bind)
            .and_then(|portal| self.prepared.bind(&portal_name, portal));
        match bound {
            Ok(()) => self.queue(PgWireBackendMessage::BindComplete(BindComplete::new())),
            Err(error) => self.fail(error).await,
        }
    }

    fn portal_of(&self, bind: Bind) -> Result<Portal, SqlError> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let prepared = self.prepared.statement(name)?.clone();
        let types = &prepared.description.parameters;
        if types.len() != bind.parameters.len() {
            return Err(SqlError::ProtocolViolation {
                message: format!(
                    "{} parameters bound, {} needed",
                    bind.parameters.len(),
                    types.len()
                ),
            });
        }
        let mut parameters: Vec<Value> = Vec::new();
        for (place, (bytes, value_type)) in bind.parameters.iter().zip(types).enumerate() {
            let format = format_of(&bind.parameter_format_codes, place);
            let binary = format == FORMAT_CODE_BINARY;
            parameters.push(parameter(bytes.as_ref(), *value_type, binary)?);
        }
        Ok(Portal {
            prepared,
            parameters,
            formats: bind.result_column_format_codes,
            answer: None,
            sent: 0,
        })
    }

    /// Handles a Describe message.
    pub async fn describe(&mut self, describe: Describe) -> Result<(), SessionEnd> {
        let name = describe.name.unwrap_or_default();
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            match self.prepared.statement(&name).cloned() {
                Ok(prepared) => self.describe_statement(&prepared.description),
                Err(error) => self.fail(error).await,
            }
        } else {
            let shape = self.prepared.portal(&name).map(|portal| {
                let description = &portal.prepared.description;
                (description.columns.clone(), portal.formats.clone())
            });
            match shape {
                Ok((columns, formats)) => self.describe_columns(columns.as_deref(), &formats),
                Err(error) => self.fail(error).await,
            }
        }
    }

    fn describe_statement(&mut self, description: &Description) -> Result<(), SessionEnd> {
        let types = description.parameters.iter();
        let types = types.map(|value_type| value_type.oid()).collect();
        self.queue(PgWireBackendMessage::ParameterDescription(
            ParameterDescription::new(types),
        ))?;
        self.describe_columns(description.columns.as_deref(), &[])
    }

    fn describe_columns(
        &mut self,
        columns: Option<&[Column]>,
        formats: &[i16],
    ) -> Result<(), SessionEnd> {
        let message = match columns {
            Some(columns) => {
                PgWireBackendMessage::RowDescription(row_description(columns, formats))
            }
            None => PgWireBackendMessage::NoData(NoData::new()),
        };
        self.queue(message)
    }

    /// Handles an Execute message.
    pub async fn execute(&mut self, execute: Execute) -> Result<(), SessionEnd> {
        let name = execute.name.unwrap_or_default();
        let mut portal = match self.prepared.take_portal(&name) {
            Ok(portal) => portal,
            Err(error) => return self.fail(error).await,
        };
        if portal.answer.is_none() {
            let statement = portal.prepared.statement.clone();
            let parameters = portal.parameters.clone();
            match self.run(statement, parameters, Completion::Hold).await? {
                Ok(answer) => portal.answer = Some(answer),
                Err(error) => return self.skip_after(&error),
            }
        }
        self.send_rows(&mut portal, execute.max_rows).await?;
        match self.prepared.bind(&name, portal) {
            Ok(()) => Ok(()),
            Err(error) => self.fail(error).await,
        }
    }

    /// Sends the next rows of a portal; no more than `limit` when that is positive.
    async fn send_rows(&mut self, portal: &mut Portal, limit: i32) -> Result<(), SessionEnd> {
        let Some(answer) = &portal.answer else {
            return Ok(());
        };
        let columns = portal.prepared.description.columns.as_deref();
        let columns = columns.or(answer.columns.as_deref()).unwrap_or_default();
        let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
        let rest = answer.rows.len() - portal.sent;
        let count = limit.map_or(rest, |limit| limit.min(rest));
        for row in &answer.rows[portal.sent..portal.sent + count] {
            let row = data_row(columns, row, &portal.formats).map_err(terminated)?;
            self.wire.queue(&PgWireBackendMessage::DataRow(row))?;
            self.wire.relieve().await?;
        }
        portal.sent += count;
        if portal.sent < answer.rows.len() {
            return self.queue(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()));
        }
        Ok(self.queue_completion(answer)?)
    }

    /// Handles a Close message.
    pub fn close(&mut self, close: Close) -> Result<(), SessionEnd> {
        let name = close.name.unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.prepared.close_statement(&name);
        } else {
            self.prepared.close_portal(&name);
        }
        self.queue(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
    }

    /// Handles a Sync message: commits an implicit transaction and ends an error's effect.
    pub async fn sync(&mut self) -> Result<(), SessionEnd> {
        self.skipping = false;
        let reply = self
            .ask(|connection, request| ClientRequest::Sync {
                connection,
                request,
            })
            .await?;
        let Reply::Synced { result, status, .. } = reply else {
            return Err(SessionEnd::Reset);
        };
        if let Err(error) = result {
            self.wire.queue_error("ERROR", &error)?;
        }
        self.status = status;
        if status == TransactionStatus::Idle {
            self.prepared.close_portals();
        }
        self.wire.queue_ready(status)?;
        Ok(self.wire.flush().await?)
    }

    fn queue(&mut self, message: PgWireBackendMessage) -> Result<(), SessionEnd> {
        Ok(self.wire.queue(&message)?)
    }

    /// Reports an error that the group knows of, and skips to the next Sync.
    fn skip_after(&mut self, error: &SqlError) -> Result<(), SessionEnd> {
        self.skipping = true;
        Ok(self.wire.queue_error("ERROR", error)?)
    }

    /// Reports an error found here: the transaction fails, too.
    async fn fail(&mut self, error: SqlError) -> Result<(), SessionEnd> {
        self.fail_transaction().await?;
        self.skip_after(&error)
    }
}
