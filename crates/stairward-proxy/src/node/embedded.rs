//! A node embedded in another program, with its own runtime threads, so that it can be killed like
//! a process.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_settings::ProcessSettings;
use tokio::runtime::{Builder, Runtime};

use super::{Node, NodeAddresses, NodeError, NodeListeners};

/// Worker threads of an embedded node.
const WORKER_THREADS: usize = 2;

/// Why an embedded node could not start.
#[derive(Debug, Snafu)]
pub enum EmbeddedNodeError {
    /// The runtime could not be started.
    #[snafu(display("cannot start the node's threads: {source}"))]
    Threads {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The node could not start.
    #[snafu(display("{source}"))]
    Node {
        /// The node's error.
        source: NodeError,
    },
}

/// A node with its own runtime threads.
pub struct EmbeddedNode {
    runtime: Runtime,
    node: Node,
}

impl EmbeddedNode {
    /// Starts a node and blocks until its parts run. Must not be called on a runtime thread.
    ///
    /// # Errors
    /// [`EmbeddedNodeError`].
    pub fn start(settings: &ProcessSettings) -> Result<Self, EmbeddedNodeError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("node")
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let started = runtime.block_on(async {
            let listeners = NodeListeners::bind(settings).await?;
            Node::start(settings, listeners).await
        });
        match started {
            Ok(node) => Ok(Self { runtime, node }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error).context(NodeSnafu)
            }
        }
    }

    /// The node.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The addresses at which it listens.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.node.addresses()
    }

    /// The address at which it listens for clients.
    #[must_use]
    pub fn client_address(&self) -> SocketAddr {
        self.node.addresses().client
    }

    /// Performs a planned stop and blocks until it has finished. Must not be called on a runtime
    /// thread.
    pub fn stop(self, timeout: Duration) {
        self.runtime.block_on(self.node.stop(timeout));
        self.runtime.shutdown_background();
    }

    /// Kills the node like a process crash: all sockets are closed and nothing is announced.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }
}
