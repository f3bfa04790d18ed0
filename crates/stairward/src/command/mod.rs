//! The commands, one module each.

pub mod backend;
pub mod check;
pub mod demo;
pub mod serve;
pub mod settings;
pub mod status;

use std::future::Future;

use snafu::ResultExt as _;

use crate::failure::{Failure, StartSnafu};

/// Runs a command's asynchronous part on a runtime with one worker thread per core.
fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Box::new(error) as Box<dyn std::error::Error + Send + Sync>)
        .context(StartSnafu)?;
    runtime.block_on(future)
}
