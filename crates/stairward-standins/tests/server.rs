//! The TCP server, spoken to with `tokio-postgres`.

mod support;

use support::{connect, start_group};
use tokio_postgres::SimpleQueryMessage;

#[tokio::test]
async fn simple_protocol_creates_writes_and_reads() {
    let (group, members) = start_group(3).await;
    let client = connect(&group, &members[0]).await;
    client
        .batch_execute(
            "CREATE TABLE unlocks (reader int, chapter text, coins bigint, PRIMARY KEY (reader, chapter)); \
             INSERT INTO unlocks VALUES (1, 'a', 5), (2, 'b', 7);",
        )
        .await
        .unwrap();
    let messages = client
        .simple_query("SELECT chapter, coins FROM unlocks WHERE reader = 2")
        .await
        .unwrap();
    let rows: Vec<(String, String)> = messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some((row.get(0)?.to_owned(), row.get(1)?.to_owned())),
            _ => None,
        })
        .collect();
    assert_eq!(rows, [("b".to_owned(), "7".to_owned())]);
    group.shutdown().await;
}

#[tokio::test]
async fn extended_protocol_binds_typed_parameters() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    client
        .batch_execute(
            "CREATE TABLE slots (id int PRIMARY KEY, donor bigint, note text, open bool)",
        )
        .await
        .unwrap();
    let changed = client
        .execute(
            "INSERT INTO slots (id, donor, note, open) VALUES ($1, $2, $3, $4)",
            &[&7_i32, &70_i64, &"first", &true],
        )
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let row = client
        .query_one("SELECT * FROM slots WHERE id = $1", &[&7_i32])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("donor"), 70);
    assert_eq!(row.get::<_, &str>("note"), "first");
    assert!(row.get::<_, bool>("open"));
    group.shutdown().await;
}
