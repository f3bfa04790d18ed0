//! One HTTP exchange with one of the store's addresses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::header::RETRY_AFTER;
use reqwest::{Method, StatusCode};

/// Largest answer accepted, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 32 << 20;

/// Wait when the store refuses a reader without saying for how long.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What came back.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Duration,
    pub(crate) body: Vec<u8>,
}

/// Why nothing usable came back.
#[derive(Debug)]
pub(crate) struct ExchangeFailure {
    /// Whether the request certainly never left this process.
    pub(crate) never_sent: bool,
    pub(crate) reason: String,
}

/// Sends requests to one address at a time, and to the next one after a failure.
pub(crate) struct Transport {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
}

impl Transport {
    pub(crate) fn new(addresses: Vec<SocketAddr>, http: reqwest::Client) -> Self {
        Self {
            http,
            addresses,
            current: AtomicUsize::new(0),
        }
    }

    /// Makes one exchange. When it fails, or the store answers that it is down, later exchanges use
    /// the next address.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, ExchangeFailure> {
        let index = self.current.load(Ordering::Relaxed);
        let Some(address) = self.addresses.get(index % self.addresses.len().max(1)) else {
            return Err(ExchangeFailure {
                never_sent: true,
                reason: "no address of the store is known".to_owned(),
            });
        };
        let url = format!("http://{address}{path_and_query}");
        let request = self.http.request(method, url).timeout(timeout);
        let result = send(request, body).await;
        let is_down = |answer: &Answer| answer.status.is_server_error();
        if result.as_ref().map_or(true, is_down) {
            self.leave_address(index);
        }
        result
    }

    /// Turns to the next address, unless another exchange has done so already.
    fn leave_address(&self, index: usize) {
        let next = index.wrapping_add(1);
        // Fails only when another exchange was quicker, which is as good.
        let _ = self
            .current
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

async fn send(
    mut request: reqwest::RequestBuilder,
    body: Option<Vec<u8>>,
) -> Result<Answer, ExchangeFailure> {
    if let Some(body) = body {
        request = request
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body);
    }
    let response = request.send().await.map_err(failure)?;
    read_answer(response).await
}

fn failure(error: reqwest::Error) -> ExchangeFailure {
    ExchangeFailure {
        never_sent: error.is_connect() || error.is_builder(),
        reason: error.to_string(),
    }
}

async fn read_answer(mut response: reqwest::Response) -> Result<Answer, ExchangeFailure> {
    let status = response.status();
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(failure_after_send)? {
        if body.len() + chunk.len() > MAXIMUM_ANSWER_BYTES {
            return Err(ExchangeFailure {
                never_sent: false,
                reason: format!("the answer is larger than {MAXIMUM_ANSWER_BYTES} bytes"),
            });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Answer {
        status,
        retry_after,
        body,
    })
}

fn failure_after_send(error: reqwest::Error) -> ExchangeFailure {
    ExchangeFailure {
        never_sent: false,
        reason: error.to_string(),
    }
}
