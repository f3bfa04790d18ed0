//! The site's statements run on the stand-in databases, and what they did is recorded.

use std::time::Duration;

use stairward_checker::{HistoryEvent, Recorder, RequestId};
use stairward_lab::demo::databases::{DatabaseOptions, SiteDatabases};
use stairward_lab::load::connection::{CallerConnection, Credentials};
use stairward_lab::load::schedule::{Action, PlannedRequest};
use stairward_lab::load::statements::{RequestStatements, StatementWriter};
use stairward_lab::site::{OperationKind, Site};
use stairward_proxy::cluster::Clock;
use tokio_postgres::SimpleQueryMessage;

fn request(site: &Site, number: u64, kind: OperationKind, action: Action) -> PlannedRequest {
    let operation = site
        .operations
        .iter()
        .position(|operation| operation.kind == kind)
        .expect("an operation of each kind");
    PlannedRequest {
        number,
        at: Duration::ZERO,
        session: 0,
        operation,
        action,
        reconnect: None,
    }
}

async fn run(
    site: &Site,
    connection: &CallerConnection,
    request: &PlannedRequest,
) -> Vec<Vec<String>> {
    let statements = match StatementWriter::new(site).request(request) {
        RequestStatements::Read(statement) | RequestStatements::Write(statement) => vec![statement],
        RequestStatements::Transaction(statements) => statements,
    };
    let mut rows = Vec::new();
    for statement in statements {
        let messages = connection
            .run(&statement)
            .await
            .unwrap_or_else(|error| panic!("{statement}: {error:?}"));
        rows.extend(messages.iter().filter_map(row));
    }
    rows
}

fn row(message: &SimpleQueryMessage) -> Option<Vec<String>> {
    let SimpleQueryMessage::Row(row) = message else {
        return None;
    };
    let values = (0..row.len()).map(|column| row.get(column).unwrap_or_default().to_owned());
    Some(values.collect())
}

#[tokio::test]
async fn statements_of_each_kind_run_and_are_recorded() {
    for name in ["lintas", "krvny-most"] {
        let site = Site::named(name).expect("a valid site");
        let recorder = Recorder::new();
        let options = DatabaseOptions {
            seed: 1,
            replica_lag: Duration::ZERO,
        };
        let databases = SiteDatabases::start(&site, options, &recorder, Clock::start())
            .await
            .expect("running databases");
        let group = &databases.groups[0];
        let address = databases.addresses()[&group.members[0]];
        let credentials = Credentials::default();
        let connection = CallerConnection::open(address, group.group.as_str(), &credentials, None)
            .await
            .expect("a connection");
        for statement in StatementWriter::new(&site).set_up(&[0]) {
            connection.run(&statement).await.expect("filled tables");
        }

        let list = request(
            &site,
            1,
            OperationKind::ReadShared,
            Action::ReadShared { list: 3 },
        );
        let rows = run(&site, &connection, &list).await;
        assert_eq!(rows.len(), site.traffic.rows_per_list as usize);
        assert!(rows.iter().all(|row| row[0] == "1"));

        let write = request(
            &site,
            2,
            OperationKind::WriteOwn,
            Action::WriteOwn { row: 5 },
        );
        run(&site, &connection, &write).await;
        let read = request(&site, 3, OperationKind::ReadOwn, Action::ReadOwn { row: 5 });
        assert_eq!(
            run(&site, &connection, &read).await,
            [["3", "own-0-5", "2"]]
        );

        let purchase = request(&site, 4, OperationKind::Transaction, Action::Transaction);
        run(&site, &connection, &purchase).await;
        let record = Action::ReadRecord { record: 4 };
        let read = request(&site, 5, OperationKind::ReadOwn, record);
        assert_eq!(
            run(&site, &connection, &read).await,
            [["5", "record-4", "4"]]
        );
        connection.close().await;
        databases.shutdown().await;

        assert_eq!(statements_of(&recorder, 2), [true]);
        assert_eq!(statements_of(&recorder, 4), [false; 4]);
    }
}

/// Whether each statement of a request ran in a transaction of its own.
fn statements_of(recorder: &Recorder, number: u64) -> Vec<bool> {
    let history = recorder.history();
    let ran = history
        .records
        .iter()
        .filter_map(|record| match record.event {
            HistoryEvent::StatementRan {
                request: Some(request),
                autocommit,
                ..
            } if request == RequestId(number) => Some(autocommit),
            _ => None,
        });
    ran.collect()
}
