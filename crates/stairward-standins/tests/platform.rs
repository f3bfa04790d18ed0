//! The platform's stand-in over HTTP.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use stairward_standins::platform::{
    PlatformStandin, PlatformStandinConfig, StoreConfig, StoreFault,
};

async fn start() -> (PlatformStandin, Client) {
    let standin = PlatformStandin::start(PlatformStandinConfig::default())
        .await
        .unwrap();
    let client = Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20))
        .build()
        .unwrap();
    (standin, client)
}

fn url(standin: &PlatformStandin, path: &str) -> String {
    format!("http://{}{path}", standin.address())
}

async fn put(
    standin: &PlatformStandin,
    client: &Client,
    if_version: u64,
    value: &Value,
) -> reqwest::Result<(StatusCode, Value)> {
    let path = format!("/objects/settings?if_version={if_version}");
    let response = client.put(url(standin, &path)).json(value).send().await?;
    Ok((response.status(), response.json().await?))
}

#[tokio::test]
async fn writes_are_conditional_on_the_version() {
    let (standin, client) = start().await;
    let created = put(&standin, &client, 0, &json!({"a": 1})).await.unwrap();
    assert_eq!(created, (StatusCode::OK, json!({"version": 1})));
    let refused = put(&standin, &client, 0, &json!({"a": 2})).await.unwrap();
    assert_eq!(refused, (StatusCode::CONFLICT, json!({"version": 1})));
    let read = client.get(url(&standin, "/objects/settings")).send().await;
    let read: Value = read.unwrap().json().await.unwrap();
    assert_eq!(read, json!({"version": 1, "value": {"a": 1}}));
    let missing = client.get(url(&standin, "/objects/other")).send().await;
    assert_eq!(missing.unwrap().status(), StatusCode::NOT_FOUND);
    standin.shutdown().await;
}

#[tokio::test]
async fn a_watch_ends_with_the_next_version_or_its_time() {
    let (standin, client) = start().await;
    put(&standin, &client, 0, &json!(1)).await.unwrap();
    let short = url(&standin, "/objects/settings?watch_after=1&timeout_ms=30");
    let ended = client.get(short).send().await.unwrap();
    assert_eq!(ended.status(), StatusCode::NO_CONTENT);
    let long = url(&standin, "/objects/settings?watch_after=1&timeout_ms=15000");
    let watch = tokio::spawn(client.get(long).send());
    put(&standin, &client, 1, &json!(2)).await.unwrap();
    let risen: Value = watch.await.unwrap().unwrap().json().await.unwrap();
    assert_eq!(risen, json!({"version": 2, "value": 2}));
    standin.shutdown().await;
}

#[tokio::test]
async fn a_lost_reply_comes_after_the_change() {
    let (standin, client) = start().await;
    standin.inject(StoreFault::LoseNextReply);
    put(&standin, &client, 0, &json!("kept"))
        .await
        .expect_err("the connection must be closed without a reply");
    let read = client.get(url(&standin, "/objects/settings")).send().await;
    let read: Value = read.unwrap().json().await.unwrap();
    assert_eq!(read, json!({"version": 1, "value": "kept"}));
    standin.shutdown().await;
}

#[tokio::test]
async fn a_store_that_is_down_does_nothing() {
    let (standin, client) = start().await;
    standin.inject(StoreFault::Down);
    let (status, _) = put(&standin, &client, 0, &json!(1)).await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    standin.inject(StoreFault::Heal);
    let read = client.get(url(&standin, "/objects/settings")).send().await;
    assert_eq!(read.unwrap().status(), StatusCode::NOT_FOUND);
    standin.shutdown().await;
}

#[tokio::test]
async fn readers_beyond_the_limit_are_told_when_to_return() {
    let config = PlatformStandinConfig {
        store: StoreConfig {
            reader_limit: 1,
            retry_after: Duration::from_secs(3),
            ..StoreConfig::default()
        },
        ..PlatformStandinConfig::default()
    };
    let standin = PlatformStandin::start(config).await.unwrap();
    let client = Client::builder().no_proxy().build().unwrap();
    let watched = url(&standin, "/objects/settings?watch_after=0&timeout_ms=15000");
    let watch = tokio::spawn(client.get(watched).send());
    let refused = loop {
        let response = client.get(url(&standin, "/objects")).send().await.unwrap();
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            break response;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!(refused.headers()["retry-after"], "3");
    let (status, _) = put(&standin, &client, 0, &json!(1)).await.unwrap();
    assert_eq!(status, StatusCode::OK, "writers are not readers");
    assert_eq!(watch.await.unwrap().unwrap().status(), StatusCode::OK);
    let allowed = client.get(url(&standin, "/objects")).send().await.unwrap();
    assert_eq!(allowed.status(), StatusCode::OK);
    standin.shutdown().await;
}

#[tokio::test]
async fn bad_requests_are_refused() {
    let (standin, client) = start().await;
    for path in [
        "/objects/settings",
        "/objects/settings?if_version=x",
        "/objects/bad%20name?if_version=0",
    ] {
        let response = client.put(url(&standin, path)).json(&json!(1)).send().await;
        assert_eq!(
            response.unwrap().status(),
            StatusCode::BAD_REQUEST,
            "{path}"
        );
    }
    let broken = client
        .put(url(&standin, "/objects/settings?if_version=0"))
        .body("{")
        .send()
        .await;
    assert_eq!(broken.unwrap().status(), StatusCode::BAD_REQUEST);
    standin.shutdown().await;
}

#[tokio::test]
async fn shutdown_frees_the_port_and_closes_connections() {
    let (standin, client) = start().await;
    let listing = url(&standin, "/objects");
    client.get(&listing).send().await.unwrap();
    let address = standin.address();
    standin.shutdown().await;
    client.get(&listing).send().await.unwrap_err();
    tokio::net::TcpListener::bind(address).await.unwrap();
}
