//! A node inside another program, on threads of its own, so that it can be ended like a process.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_settings::ProcessSettings;
use tokio::runtime::{Builder, Runtime};

use super::{Node, NodeAddresses, NodeError, NodeListeners};

/// Threads of an embedded node.
const WORKER_THREADS: usize = 2;

/// Why an embedded node could not start.
#[derive(Debug, Snafu)]
pub enum EmbeddedNodeError {
    /// Its threads could not be started.
    #[snafu(display("the node's threads cannot be started: {source}"))]
    Threads {
        /// What the system said.
        source: std::io::Error,
    },
    /// The node could not start.
    #[snafu(display("{source}"))]
    Node {
        /// Why.
        source: NodeError,
    },
}

/// A node on threads of its own.
pub struct EmbeddedNode {
    runtime: Runtime,
    node: Node,
}

impl EmbeddedNode {
    /// Starts a node. Blocks until its parts run; must not be called on a runtime's thread.
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

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.node.addresses()
    }

    /// Where it listens for clients.
    #[must_use]
    pub fn client_address(&self) -> SocketAddr {
        self.node.addresses().client
    }

    /// The planned stop. Blocks until it has ended; must not be called on a runtime's thread.
    pub fn stop(self, timeout: Duration) {
        self.runtime.block_on(self.node.stop(timeout));
        self.runtime.shutdown_background();
    }

    /// Ends the node at once, as the death of its process would: every socket is closed, nothing is
    /// announced.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }
}
