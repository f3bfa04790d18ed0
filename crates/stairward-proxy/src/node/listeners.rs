//! A node's listening sockets.

use std::io;
use std::net::SocketAddr;

use snafu::ResultExt as _;
use stairward_settings::ProcessSettings;
use tokio::net::{TcpListener, UdpSocket};

use super::NodeAddresses;
use super::error::{NodeError, SocketSnafu};

/// Maximum attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 16;

/// Bound sockets that are not served yet.
pub struct NodeListeners {
    /// For clients.
    pub client: TcpListener,
    /// For streams and calls of other nodes.
    pub peer: TcpListener,
    /// For membership datagrams, at the same address as `peer`.
    pub membership: UdpSocket,
    /// For the admin interface.
    pub admin: TcpListener,
}

impl NodeListeners {
    /// Binds the addresses of a process file. Port 0 selects any free port.
    ///
    /// # Errors
    /// [`NodeError::Socket`].
    pub async fn bind(settings: &ProcessSettings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        let (peer, membership) = bind_tcp_and_udp(listen.peer).await.context(SocketSnafu)?;
        Ok(Self {
            client: TcpListener::bind(listen.client)
                .await
                .context(SocketSnafu)?,
            peer,
            membership,
            admin: TcpListener::bind(listen.admin).await.context(SocketSnafu)?,
        })
    }

    /// The local addresses of the sockets.
    ///
    /// # Errors
    /// [`NodeError::Socket`].
    pub fn addresses(&self) -> Result<NodeAddresses, NodeError> {
        Ok(NodeAddresses {
            client: self.client.local_addr().context(SocketSnafu)?,
            peer: self.peer.local_addr().context(SocketSnafu)?,
            admin: self.admin.local_addr().context(SocketSnafu)?,
        })
    }
}

/// Binds TCP and UDP on the same port, retrying with other ports if the port is free to choose.
async fn bind_tcp_and_udp(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 {
        PORT_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts -= 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
