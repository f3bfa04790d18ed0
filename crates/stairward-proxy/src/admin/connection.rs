//! A connection of the admin interface: limited in number and idle time, and closed on stop.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{Instant, Sleep};
use tokio_rustls::server::TlsStream;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Plain text or TLS.
pub(super) enum Transport {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// A connection whose reads return end of file once the service stops or the idle timeout passes.
pub(super) struct AdminConnection {
    transport: Transport,
    idle: Pin<Box<Sleep>>,
    stopped: Pin<Box<dyn Future<Output = ()> + Send>>,
    _permit: OwnedSemaphorePermit,
}

impl AdminConnection {
    pub(super) fn new(
        transport: Transport,
        permit: OwnedSemaphorePermit,
        mut stopped: watch::Receiver<bool>,
    ) -> Self {
        Self {
            transport,
            idle: Box::pin(tokio::time::sleep(IDLE_TIMEOUT)),
            stopped: Box::pin(async move {
                let _ = stopped.wait_for(|stopped| *stopped).await;
            }),
            _permit: permit,
        }
    }

    fn should_close(&mut self, context: &mut Context<'_>) -> bool {
        self.stopped.as_mut().poll(context).is_ready()
            || self.idle.as_mut().poll(context).is_ready()
    }
}

impl AsyncRead for AdminConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Transport::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        };
        if polled.is_ready() {
            self.idle.as_mut().reset(Instant::now() + IDLE_TIMEOUT);
            return polled;
        }
        if self.should_close(context) {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for AdminConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Transport::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_flush(context),
            Transport::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        match &mut self.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Transport::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
