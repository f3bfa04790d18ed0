//! Reads, conditional writes and watches of named objects, and the list of machines.

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

/// Longest the store may hold a watch, besides which the answer needs time on the way.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// An object and its version. Versions of an object only ever grow; an object that does not exist
/// has version 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject<T> {
    /// The version.
    pub version: u64,
    /// The object.
    pub value: T,
}

/// What the platform says of a machine. It lags behind reality.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One entry of the platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Where its process listens for peers.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub state: MachineState,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// How to talk to the store.
#[derive(Debug, Clone)]
pub struct PlatformClientSettings {
    /// The store's addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// How long one exchange may take; a watch may take its own time longer.
    pub request_timeout: Duration,
    /// When to try again.
    pub retry: RetryPolicy,
}

impl PlatformClientSettings {
    /// Default times for these addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            request_timeout: Duration::from_secs(2),
            retry: RetryPolicy::default(),
        }
    }
}

/// A client of the platform's store. It keeps nothing of what it read.
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
    /// Makes a client; it connects when first used.
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

    /// Reads an object; none when it does not exist.
    ///
    /// # Errors
    /// [`ReadError`] when all tries failed.
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

    /// Waits until an object has a version above `after_version`; none when that takes longer than
    /// `wait`. Tried once: whoever watches decides when to watch again.
    ///
    /// # Errors
    /// [`ReadError`] when the store cannot be asked.
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

    /// The platform's list of machines.
    ///
    /// # Errors
    /// [`ReadError`] when all tries failed.
    pub async fn machines(&self) -> Result<Vec<Machine>, ReadError> {
        let answer = self
            .read_with_retries("/machines", self.request_timeout)
            .await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body),
            status => unexpected(status),
        }
    }

    /// Writes an object if it is at version `if_version`; 0 if it does not exist yet. Returns the
    /// new version.
    ///
    /// A try without a reply is repeated: the condition lets at most one of the tries take effect.
    ///
    /// # Errors
    /// [`WriteError`], which tells what is certain.
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
            self.pause(failed_attempts).await;
        }
    }

    async fn put_once(&self, path: &str, body: Vec<u8>) -> Result<u64, WriteError> {
        let exchange = self
            .transport
            .exchange(Method::PUT, path, Some(body), self.request_timeout);
        let answer = match exchange.await {
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
                let version = parse::<VersionAnswer>(&answer.body).map_or(0, |held| held.version);
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
            self.pause_after_read(failed_attempts, &error).await;
        }
    }

    /// Waits as long as the retry policy says, or as long as the store asks readers to stay away,
    /// but no longer than the policy's longest delay.
    async fn pause_after_read(&self, failed_attempts: u32, error: &ReadError) {
        if let ReadError::TooManyReaders { retry_after } = error {
            tokio::time::sleep((*retry_after).min(self.retry.longest_delay)).await;
        }
        self.pause(failed_attempts).await;
    }

    /// One exchange; answers that say "not now" become errors.
    async fn read_once(&self, path: &str, timeout: Duration) -> Result<Answer, ReadError> {
        let exchange = self.transport.exchange(Method::GET, path, None, timeout);
        let answer = exchange.await.map_err(|failure| ReadError::Unavailable {
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

    async fn pause(&self, failed_attempts: u32) {
        let delay = self.retry.delay(failed_attempts, (self.jitter)());
        tokio::time::sleep(delay).await;
    }
}

/// The error of a write after its last try: unknown if any of its tries was.
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
