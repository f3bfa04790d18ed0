//! Client of the store's HTTP interface: reads, conditional writes and watches of named objects, and the list of
//! machines.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stairward_types::{RegionName, ZoneName};

use crate::error::{ConflictSnafu, MalformedSnafu, NotAppliedSnafu, UnknownSnafu};
use crate::retry::{JitterSource, RetryPolicy};
use crate::transport::{Answer, Transport};
use crate::{ReadError, WriteError};

/// Added to the wait time of a watch to get the request timeout, since the answer takes time to arrive.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// An object with its version. Versions of an object only increase; a missing object has version 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject<T> {
    /// The version.
    pub version: u64,
    /// The object.
    pub value: T,
}

/// State of a machine according to the platform, which may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// Running.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Address on which its process listens for peers.
    pub address: SocketAddr,
    /// Its state according to the platform.
    pub state: MachineState,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// Settings of a [`PlatformClient`].
#[derive(Debug, Clone)]
pub struct PlatformClientSettings {
    /// The store's addresses. After a failure the next one is used.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one request, except for watches, which have their own.
    pub request_timeout: Duration,
    /// Number of attempts and delays between them.
    pub retry: RetryPolicy,
}

impl PlatformClientSettings {
    /// Default settings for these addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            request_timeout: Duration::from_secs(2),
            retry: RetryPolicy::default(),
        }
    }
}

/// A client of the platform's store. It does not cache objects.
pub struct PlatformClient {
    transport: Transport,
    request_timeout: Duration,
    retry: RetryPolicy,
    jitter: JitterSource,
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlatformClient")
            .field("request_timeout", &self.request_timeout)
            .field("retry", &self.retry)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct VersionAnswer {
    version: u64,
}

impl PlatformClient {
    /// Creates a client, which connects on first use.
    ///
    /// # Errors
    /// [`ReadError::Unavailable`] when the HTTP client cannot be set up.
    pub fn new(settings: PlatformClientSettings, jitter: JitterSource) -> Result<Self, ReadError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.request_timeout)
            .build()
            .map_err(|error| ReadError::Unavailable {
                reason: error.to_string(),
            })?;
        Ok(Self {
            transport: Transport::new(settings.addresses, http),
            request_timeout: settings.request_timeout,
            retry: settings.retry,
            jitter,
        })
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    /// [`ReadError`] when all attempts failed.
    pub async fn get<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<VersionedObject<T>>, ReadError> {
        let path = format!("/objects/{name}");
        let answer = self.read_with_retries(&path, self.request_timeout).await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => unexpected(status),
        }
    }

    /// Waits until an object has a version above `after_version`; none if that takes longer than
    /// `wait`. Not retried: the caller decides when to watch again.
    ///
    /// # Errors
    /// [`ReadError`] when the request failed.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        name: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<VersionedObject<T>>, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/objects/{name}?watch_after={after_version}&timeout_ms={wait_ms}");
        let answer = self.read_once(&path, wait + WATCH_MARGIN).await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body).map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            status => unexpected(status),
        }
    }

    /// Reads the platform's list of machines.
    ///
    /// # Errors
    /// [`ReadError`] when all attempts failed.
    pub async fn machines(&self) -> Result<Vec<Machine>, ReadError> {
        let answer = self
            .read_with_retries("/machines", self.request_timeout)
            .await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body),
            status => unexpected(status),
        }
    }

    /// Writes an object if it is at version `if_version`, which is 0 for a missing object. Returns the
    /// new version.
    ///
    /// An attempt without a reply is repeated: the condition lets at most one attempt take effect.
    ///
    /// # Errors
    /// [`WriteError`], which states whether the write may have taken effect.
    pub async fn put_if_version<T: Serialize + Sync>(
        &self,
        name: &str,
        if_version: u64,
        value: &T,
    ) -> Result<u64, WriteError> {
        let path = format!("/objects/{name}?if_version={if_version}");
        let body = serde_json::to_vec(value).map_err(|error| WriteError::NotApplied {
            reason: error.to_string(),
        })?;
        let mut failed_attempts = 0;
        let mut may_have_been_applied = false;
        loop {
            let error = match self.put_once(&path, body.clone()).await {
                Ok(version) => return Ok(version),
                Err(WriteError::Conflict { version, .. }) => {
                    return ConflictSnafu {
                        version,
                        may_be_own: may_have_been_applied,
                    }
                    .fail();
                }
                Err(error) => error,
            };
            may_have_been_applied |= matches!(error, WriteError::Unknown { .. });
            failed_attempts += 1;
            if !self.retry.allows_another(failed_attempts) {
                return Err(last_write_error(error, may_have_been_applied));
            }
            self.wait_before_retry(failed_attempts).await;
        }
    }

    async fn put_once(&self, path: &str, body: Vec<u8>) -> Result<u64, WriteError> {
        let response = self
            .transport
            .send(Method::PUT, path, Some(body), self.request_timeout);
        let answer = match response.await {
            Ok(answer) => answer,
            Err(failure) => {
                let reason = failure.reason;
                return if failure.never_sent {
                    NotAppliedSnafu { reason }.fail()
                } else {
                    UnknownSnafu { reason }.fail()
                };
            }
        };
        let reason = format!("the store answered {}", answer.status);
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => match parse::<VersionAnswer>(&answer.body) {
                Ok(written) => Ok(written.version),
                Err(error) => UnknownSnafu {
                    reason: error.to_string(),
                }
                .fail(),
            },
            StatusCode::CONFLICT => {
                let version =
                    parse::<VersionAnswer>(&answer.body).map_or(0, |stored| stored.version);
                ConflictSnafu {
                    version,
                    may_be_own: false,
                }
                .fail()
            }
            status if status.is_client_error() => NotAppliedSnafu { reason }.fail(),
            _ => UnknownSnafu { reason }.fail(),
        }
    }

    async fn read_with_retries(&self, path: &str, timeout: Duration) -> Result<Answer, ReadError> {
        let mut failed_attempts = 0;
        loop {
            let error = match self.read_once(path, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            failed_attempts += 1;
            if !self.retry.allows_another(failed_attempts) {
                return Err(error);
            }
            self.wait_after_failed_read(failed_attempts, &error).await;
        }
    }

    /// Waits for the delay of the retry policy. If the store has too many readers, first waits for the
    /// time that it requested, limited to the policy's longest delay.
    async fn wait_after_failed_read(&self, failed_attempts: u32, error: &ReadError) {
        if let ReadError::TooManyReaders { retry_after } = error {
            tokio::time::sleep((*retry_after).min(self.retry.longest_delay)).await;
        }
        self.wait_before_retry(failed_attempts).await;
    }

    /// Makes one request. Answers that report overload or a server error are returned as errors.
    async fn read_once(&self, path: &str, timeout: Duration) -> Result<Answer, ReadError> {
        let response = self.transport.send(Method::GET, path, None, timeout);
        let answer = response.await.map_err(|failure| ReadError::Unavailable {
            reason: failure.reason,
        })?;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            return Err(ReadError::TooManyReaders {
                retry_after: answer.retry_after,
            });
        }
        if answer.status.is_server_error() {
            return Err(ReadError::Unavailable {
                reason: format!("it answered {}", answer.status),
            });
        }
        Ok(answer)
    }

    async fn wait_before_retry(&self, failed_attempts: u32) {
        let delay = self.retry.delay(failed_attempts, (self.jitter)());
        tokio::time::sleep(delay).await;
    }
}

/// The error of a write after its last attempt: unknown if the outcome of any attempt was.
fn last_write_error(error: WriteError, may_have_been_applied: bool) -> WriteError {
    match error {
        WriteError::NotApplied { reason } if may_have_been_applied => {
            WriteError::Unknown { reason }
        }
        error => error,
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ReadError> {
    serde_json::from_slice(body).map_err(|error| ReadError::Malformed {
        reason: error.to_string(),
    })
}

fn unexpected<T>(status: StatusCode) -> Result<T, ReadError> {
    MalformedSnafu {
        reason: format!("unexpected status {status}"),
    }
    .fail()
}
