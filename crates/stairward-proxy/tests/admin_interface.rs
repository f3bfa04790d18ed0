//! The admin interface over HTTP.

mod configuration_support;

use std::net::SocketAddr;
use std::sync::Arc;

use configuration_support::{TestFleet, wait_until};
use metrics_exporter_prometheus::PrometheusBuilder;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use stairward_proxy::admin::{
    AdminOptions, AdminService, AdminToken, BackendActivity, NodeActivity, StatusSource,
};
use stairward_standins::platform::StoreFault;
use stairward_types::{AdminState, BackendId, ResultCode, Revision};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const BACKEND: &str = "reader-core-1-kul-a";
const GROUP: &str = "region/malaysia/service/reader-core/group/reader-core-1";

struct Activity {
    draining: bool,
}

impl StatusSource for Activity {
    fn activity(&self) -> NodeActivity {
        NodeActivity {
            draining: self.draining,
            sessions: 3,
            backends: vec![BackendActivity {
                backend: BackendId::new(BACKEND).expect("a name"),
                role: "owner",
                lease_held: true,
                reachable: true,
                primary: true,
                connections: 2,
                running: 1,
                queued: 4,
            }],
        }
    }
}

struct Admin {
    service: AdminService,
    http: Client,
}

impl Admin {
    async fn start(fleet: &TestFleet, draining: bool) -> Self {
        let options = options(fleet, draining);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self {
            service: AdminService::start(listener, options).expect("started"),
            http: Client::builder().no_proxy().build().expect("a client"),
        }
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        self.send(Method::GET, path, None, None).await
    }

    async fn post(&self, path: &str, body: &Value) -> (StatusCode, Value) {
        self.send(Method::POST, path, Some(body), None).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        token: Option<&str>,
    ) -> (StatusCode, Value) {
        let url = format!("http://{}{path}", self.service.address());
        let mut request = self.http.request(method, url);
        if let Some(body) = body {
            request = request.json(body);
        }
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        let response = request.send().await.expect("an answer");
        let status = response.status();
        (status, response.json().await.expect("JSON"))
    }
}

fn options(fleet: &TestFleet, draining: bool) -> AdminOptions {
    let node = &fleet.nodes[0];
    AdminOptions {
        token: Some(AdminToken::new("right")),
        tls: None,
        cluster: node.cluster.clone(),
        configuration: node.configuration.clone(),
        status: Arc::new(Activity { draining }),
        metrics: PrometheusBuilder::new().build_recorder().handle(),
    }
}

fn code(body: &Value) -> Option<ResultCode> {
    let number = body["code"].as_u64()?;
    ResultCode::from_number(u16::try_from(number).ok()?)
}

fn deadline_edit(change_id: u64, based_on: u64, value: &Value) -> Value {
    json!({
        "change_id": change_id,
        "based_on": based_on,
        "changes": [{"path": GROUP, "option": "request_timeout_ms", "value": value}],
    })
}

#[tokio::test]
async fn health_readiness_and_metrics_report_the_node_state() {
    let fleet = TestFleet::start_without_settings(1).await;
    let admin = Admin::start(&fleet, false).await;
    assert_eq!(admin.get("/health").await.0, StatusCode::OK);
    let (status, body) = admin.get("/ready").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(code(&body), Some(ResultCode::NotReady));
    let metrics = format!("http://{}/metrics", admin.service.address());
    let metrics = admin.http.get(metrics).send().await.expect("an answer");
    assert_eq!(metrics.status(), StatusCode::OK);

    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let (status, body) = admin.get("/ready").await;
    assert_eq!((status, &body["revision"]), (StatusCode::OK, &json!(1)));
    let stopping = Admin::start(&fleet, true).await;
    let (status, body) = stopping.get("/ready").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(code(&body), Some(ResultCode::ProxyStopping));
}

#[tokio::test]
async fn status_reports_members_settings_and_back_ends() {
    let fleet = TestFleet::start(2).await;
    let admin = Admin::start(&fleet, false).await;
    let (status, body) = admin.get("/status").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body["node"], 1);
    assert_eq!(body["ready"], true);
    assert_eq!(body["settings"]["revision"], 1);
    assert_eq!(body["settings"]["source"], "current");
    assert!(body["settings"]["age_ms"].is_u64());
    assert_eq!(body["members"].as_array().map(Vec::len), Some(2));
    assert_eq!(body["sessions"], 3);
    assert_eq!(body["backends"][0]["backend"], BACKEND);
    assert_eq!(body["backends"][0]["queued"], 4);
}

#[tokio::test]
async fn a_value_is_shown_with_its_origin() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let (status, body) = admin.get(&format!("/settings?path={GROUP}")).await;
    assert_eq!(status, StatusCode::OK);
    let options = body["options"].as_array().expect("a list");
    let option = |name: &str| {
        let found = options.iter().find(|option| option["option"] == name);
        found.expect("the option")
    };
    assert_eq!(option("freshness_wait_ms")["value"], 50);
    assert_eq!(option("freshness_wait_ms")["origin"]["set_at"], "root");
    assert_eq!(option("fence")["origin"], "default");
    assert_eq!(body["children"].as_array().map(Vec::len), Some(3));
    let (_, whole) = admin.get("/settings").await;
    assert_eq!(whole["tree"]["root"]["freshness_wait_ms"], 50);
    let (status, body) = admin.get("/settings?path=region/nowhere").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(code(&body), Some(ResultCode::InvalidAdminRequest));
}

#[tokio::test]
async fn a_repeated_edit_is_applied_once_and_a_conflicting_one_is_rejected() {
    let fleet = TestFleet::start(2).await;
    let admin = Admin::start(&fleet, false).await;
    let edit = deadline_edit(1, 1, &json!(14_000));
    for _ in 0..2 {
        let (status, body) = admin.post("/settings/edits", &edit).await;
        assert_eq!((status, &body["revision"]), (StatusCode::OK, &json!(2)));
    }
    let rival = deadline_edit(2, 1, &json!(16_000));
    let (status, body) = admin.post("/settings/edits", &rival).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(code(&body), Some(ResultCode::EditConflict));
    assert_eq!(body["conflict"]["newest"], 2);
    let since = &body["conflict"]["changed_since"];
    assert_eq!(since[0]["edit"]["change_id"], 1);
    fleet.wait_until_all_at(Revision(2)).await;
    let (_, history) = admin.get("/settings/history").await;
    assert_eq!(history["edits"].as_array().map(Vec::len), Some(1));
}

#[tokio::test]
async fn all_problems_of_an_edit_are_reported() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let mut edit = deadline_edit(1, 1, &json!(14_000));
    edit["changes"] = json!([
        {"path": GROUP, "option": "no_such_option", "value": 1},
        {"path": "nowhere", "option": "weight", "value": 1},
    ]);
    let (status, body) = admin.post("/settings/edits", &edit).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(code(&body), Some(ResultCode::InvalidSettings));
    assert_eq!(body["problems"].as_array().map(Vec::len), Some(2));
    assert_eq!(body["problems"][0]["option"], "no_such_option");

    let out_of_range = deadline_edit(2, 1, &json!(0));
    let (status, body) = admin.post("/settings/edits", &out_of_range).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(body["problems"][0]["path"], GROUP);
    assert_eq!(body["problems"][0]["option"], "request_timeout_ms");
    assert_eq!(fleet.nodes[0].cluster.settings().revision, Revision(1));
}

#[tokio::test]
async fn a_back_end_is_marked_as_leaving() {
    let fleet = TestFleet::start(2).await;
    let admin = Admin::start(&fleet, false).await;
    let leaving = json!({"admin_state": "leaving"});
    let (status, _) = admin.post(&format!("/backends/{BACKEND}"), &leaving).await;
    assert_eq!(status, StatusCode::OK);
    let backend = BackendId::new(BACKEND).expect("a name");
    for node in &fleet.nodes {
        wait_until(|| {
            let settings = node.cluster.settings();
            let found = settings.backend(&backend);
            found.is_some_and(|(_, backend)| backend.admin_state == AdminState::Leaving)
        })
        .await;
    }
    let (status, _) = admin.post("/backends/unknown", &leaving).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let nonsense = json!({"admin_state": "resting"});
    let (status, body) = admin.post(&format!("/backends/{BACKEND}"), &nonsense).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(code(&body), Some(ResultCode::InvalidSettings));
}

#[tokio::test]
async fn an_edit_while_the_store_is_down_fails_with_store_unavailable() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    fleet.store.inject(StoreFault::Down);
    let edit = deadline_edit(1, 1, &json!(14_000));
    let (status, body) = admin.post("/settings/edits", &edit).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(code(&body), Some(ResultCode::StoreUnavailable));
}

#[tokio::test]
async fn malformed_requests_are_rejected_with_a_result_code() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let (status, body) = admin.get("/nowhere").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(code(&body), Some(ResultCode::InvalidAdminRequest));
    let (status, body) = admin.post("/status", &json!({})).await;
    assert_eq!(status, StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(code(&body), Some(ResultCode::InvalidAdminRequest));
    let (status, _) = admin.post("/settings/edits", &json!({"edits": 1})).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);

    let url = format!("http://{}/settings/edits", admin.service.address());
    let plain = admin.http.post(&url).body("{}").send().await;
    let plain = plain.expect("an answer");
    assert_eq!(plain.status(), StatusCode::BAD_REQUEST);
    let huge = admin
        .http
        .post(&url)
        .header("content-type", "application/json")
        .body("x".repeat(5 << 20))
        .send()
        .await
        .expect("an answer");
    assert_eq!(huge.status(), StatusCode::PAYLOAD_TOO_LARGE);
}

#[tokio::test]
async fn a_wrong_token_is_refused_even_on_loopback() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let shown = async |token| admin.send(Method::GET, "/status", None, Some(token)).await;
    assert_eq!(shown("right").await.0, StatusCode::OK);
    let (status, body) = shown("wrong").await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(code(&body), Some(ResultCode::AdminForbidden));
}

#[tokio::test]
async fn stopping_closes_the_listener_and_open_connections() {
    let fleet = TestFleet::start(1).await;
    let admin = Admin::start(&fleet, false).await;
    let address: SocketAddr = admin.service.address();
    let mut idle = TcpStream::connect(address).await.expect("connected");
    idle.write_all(b"GET /health HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("sent");
    let mut byte = [0];
    idle.read_exact(&mut byte).await.expect("an answer");
    admin.service.stop();
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.expect("closed");
    wait_until(|| std::net::TcpStream::connect(address).is_err()).await;
}
