//! Connections that can be closed from within a handler, without a reply.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// The open connections, by the client's address.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<BTreeMap<SocketAddr, CancellationToken>>,
    all: CancellationToken,
}

impl Connections {
    /// Takes a new connection in.
    #[must_use]
    pub fn add(&self, stream: TcpStream) -> SeverableStream {
        let token = self.all.child_token();
        if let Ok(client) = stream.peer_addr() {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            open.retain(|_, token| !token.is_cancelled());
            open.insert(client, token.clone());
        }
        SeverableStream {
            stream,
            severed: Box::pin(token.clone().cancelled_owned()),
            token,
        }
    }

    /// Closes a client's connection.
    pub fn sever(&self, client: SocketAddr) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(token) = open.remove(&client) {
            token.cancel();
        }
    }

    /// Closes all connections, also those to come.
    pub fn sever_all(&self) {
        self.all.cancel();
    }
}

/// A TCP stream that fails once it has been severed.
pub struct SeverableStream {
    stream: TcpStream,
    severed: Pin<Box<WaitForCancellationFutureOwned>>,
    token: CancellationToken,
}

impl Drop for SeverableStream {
    fn drop(&mut self) {
        // Marks the entry in the list of open connections as closed.
        self.token.cancel();
    }
}

impl SeverableStream {
    fn check(&self) -> io::Result<()> {
        if self.token.is_cancelled() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for SeverableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.severed.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SeverableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
