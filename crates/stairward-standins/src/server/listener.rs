//! A member's listener: takes connections while the member runs.

use std::net::SocketAddr;
use std::time::Duration;

use stairward_types::BackendId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::driver::DriverHandle;
use super::session::serve_connection;

/// How long to wait before trying again to listen on an address that is still taken.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// What a listener needs to know.
#[derive(Debug)]
pub struct Listener {
    /// The member.
    pub member: BackendId,
    /// The only database it serves.
    pub database: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the member runs.
    pub available: watch::Receiver<bool>,
    /// The group's thread.
    pub driver: DriverHandle,
}

/// Serves a member until the task is aborted, which closes all its connections.
pub async fn serve_member(listener: Listener, first_socket: TcpListener) {
    let mut available = listener.available.clone();
    let mut connections = JoinSet::new();
    let mut socket = Some(first_socket);
    loop {
        let Some(bound) = &socket else {
            if available.wait_for(|available| *available).await.is_err() {
                return;
            }
            socket = TcpListener::bind(listener.address).await.ok();
            if socket.is_none() {
                tokio::time::sleep(LISTEN_RETRY).await;
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => {
                if let Ok((stream, _)) = accepted {
                    accept(&listener, stream, &mut connections);
                }
            }
            stopped = available.wait_for(|available| !*available) => {
                if stopped.is_err() {
                    return;
                }
                socket = None;
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

fn accept(listener: &Listener, stream: TcpStream, connections: &mut JoinSet<()>) {
    // Without it answers wait for acknowledgements; a socket that refuses is about to fail anyway.
    drop(stream.set_nodelay(true));
    connections.spawn(serve_connection(
        stream,
        listener.member.clone(),
        listener.database.clone(),
        listener.driver.clone(),
    ));
}
