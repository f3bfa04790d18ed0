//! HTTP requests to the store, with failover between its addresses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::header::RETRY_AFTER;
use reqwest::{Method, StatusCode};

/// Maximum size of an answer, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 32 << 20;

/// Retry delay when the store refuses a reader without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An HTTP response.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Duration,
    pub(crate) body: Vec<u8>,
}

/// Why a request got no usable response.
#[derive(Debug)]
pub(crate) struct RequestFailure {
    /// Whether the request certainly was not sent.
    pub(crate) never_sent: bool,
    pub(crate) reason: String,
}

/// Sends requests to one address, and switches to the next one after a failure.
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

    /// Sends a request and reads the response. After a failure or a server error, later requests use
    /// the next address.
    pub(crate) async fn send(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, RequestFailure> {
        let index = self.current.load(Ordering::Relaxed);
        let Some(address) = self.addresses.get(index % self.addresses.len().max(1)) else {
            return Err(RequestFailure {
                never_sent: true,
                reason: "no address of the store is known".to_owned(),
            });
        };
        let url = format!("http://{address}{path_and_query}");
        let request = self.http.request(method, url).timeout(timeout);
        let result = send_request(request, body).await;
        let is_down = |answer: &Answer| answer.status.is_server_error();
        if result.as_ref().map_or(true, is_down) {
            self.switch_address(index);
        }
        result
    }

    /// Switches to the next address, unless another request already has.
    fn switch_address(&self, index: usize) {
        let next = index.wrapping_add(1);
        // Fails only if another request has already switched, which needs no action.
        let _ = self
            .current
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

async fn send_request(
    mut request: reqwest::RequestBuilder,
    body: Option<Vec<u8>>,
) -> Result<Answer, RequestFailure> {
    if let Some(body) = body {
        request = request
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body);
    }
    let response = request.send().await.map_err(failure)?;
    read_answer(response).await
}

fn failure(error: reqwest::Error) -> RequestFailure {
    RequestFailure {
        never_sent: error.is_connect() || error.is_builder(),
        reason: error.to_string(),
    }
}

async fn read_answer(mut response: reqwest::Response) -> Result<Answer, RequestFailure> {
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
            return Err(RequestFailure {
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

fn failure_after_send(error: reqwest::Error) -> RequestFailure {
    RequestFailure {
        never_sent: false,
        reason: error.to_string(),
    }
}
