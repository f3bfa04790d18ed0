//! HTTP client of a node's admin interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use reqwest::{Client, Method, StatusCode};
use serde_json::Value;
use snafu::ResultExt as _;

use crate::arguments::Arguments;
use crate::failure::{Failure, FileSnafu, RefusedSnafu};

/// Address of the admin interface if `--admin` is not given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:6480";

/// Help text of the options that [`AdminOptions::parse_option`] accepts.
pub const OPTIONS_HELP: &str = "  --admin IP:PORT     a node's admin interface [127.0.0.1:6480]
  --token-file FILE   file with the admin token, needed away from loopback
  --json              print JSON
";

/// The options common to all commands that use the admin interface.
pub struct AdminOptions {
    address: SocketAddr,
    token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

impl AdminOptions {
    /// The default options.
    pub fn new() -> Self {
        let address = DEFAULT_ADDRESS
            .parse()
            .expect("the default address is valid");
        Self {
            address,
            token_file: None,
            json: false,
        }
    }

    /// Parses an option if it is one of the common options; returns whether it is.
    pub fn parse_option(
        &mut self,
        option: &str,
        arguments: &mut Arguments,
    ) -> Result<bool, Failure> {
        match option {
            "admin" => self.address = arguments.parsed()?,
            "token-file" => self.token_file = Some(arguments.value()?.into()),
            "json" => self.json = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Creates a client with these options; reads the token file.
    pub fn client(&self) -> Result<AdminClient, Failure> {
        let token = match &self.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
                Some(text.trim().to_owned())
            }
        };
        Ok(AdminClient {
            address: self.address,
            token,
            http: Client::new(),
        })
    }
}

/// A client of one node's admin interface.
pub struct AdminClient {
    address: SocketAddr,
    token: Option<String>,
    http: Client,
}

impl AdminClient {
    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.send(Method::GET, path, None).await
    }

    /// Sends a POST request with a JSON document.
    pub async fn post(&self, path: &str, document: &Value) -> Result<Value, Failure> {
        self.send(Method::POST, path, Some(document)).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        document: Option<&Value>,
    ) -> Result<Value, Failure> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.http.request(method, url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(document) = document {
            request = request.json(document);
        }
        let response = request.send().await?;
        let status = response.status();
        let text = response.text().await?;
        parse_response(status, &text)
    }
}

fn parse_response(status: StatusCode, text: &str) -> Result<Value, Failure> {
    let document = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    if status.is_success() {
        return Ok(document);
    }
    let message = serde_json::to_string_pretty(&document).unwrap_or_else(|_| text.to_owned());
    RefusedSnafu {
        message: format!("the node answered {status}: {message}"),
    }
    .fail()
}
