//! TCP streams with or without TLS, and idle timeouts.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustls::client::verify_server_name;
use rustls::pki_types::ServerName;
use rustls::server::ParsedCertificate;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::{Instant, Sleep};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

use crate::tls::{ClientTls, ServerTls};

/// Failure to establish a connection; no byte of a request was sent.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The TCP connection failed.
    #[snafu(display("cannot connect"))]
    Connect { source: io::Error },
    /// The peer does not speak TLS, or a certificate is not valid.
    #[snafu(display("TLS handshake failed"))]
    Handshake { source: io::Error },
    /// The connection was not established in time.
    #[snafu(display("no connection after {limit_ms} ms"))]
    TimedOut { limit_ms: u64 },
}

/// A TCP stream with or without TLS.
#[derive(Debug)]
pub enum Stream {
    /// Plain text.
    Plain(TcpStream),
    /// TLS, client or server side.
    Tls(Box<TlsStream<TcpStream>>),
}

impl Stream {
    /// Accepts a connection, with the server side of the handshake if there is TLS.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError`] if the handshake fails or takes longer than `limit_ms`.
    pub async fn accept(
        tcp: TcpStream,
        tls: Option<&ServerTls>,
        limit_ms: u64,
    ) -> Result<Self, StreamError> {
        let Some(tls) = tls else {
            return Ok(Self::Plain(tcp));
        };
        let handshake = TlsAcceptor::from(tls.config()).accept(tcp);
        let stream = with_timeout(limit_ms, handshake)
            .await?
            .context(HandshakeSnafu)?;
        Ok(Self::Tls(Box::new(stream.into())))
    }

    /// Connects, with the client side of the handshake if there is TLS.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError`] if that fails or takes longer than `limit_ms`.
    pub async fn connect(
        address: impl ToSocketAddrs,
        tls: Option<(&ClientTls, ServerName<'static>)>,
        limit_ms: u64,
    ) -> Result<Self, StreamError> {
        let connecting = async {
            let tcp = TcpStream::connect(address).await.context(ConnectSnafu)?;
            tcp.set_nodelay(true).context(ConnectSnafu)?;
            let Some((tls, name)) = tls else {
                return Ok(Self::Plain(tcp));
            };
            let connector = TlsConnector::from(tls.config());
            let stream = connector.connect(name, tcp).await.context(HandshakeSnafu)?;
            Ok(Self::Tls(Box::new(stream.into())))
        };
        with_timeout(limit_ms, connecting).await?
    }

    /// Whether HTTP/2 was negotiated.
    #[must_use]
    pub fn is_http2(&self) -> bool {
        match self {
            Self::Plain(_) => false,
            Self::Tls(stream) => stream.get_ref().1.alpn_protocol() == Some(b"h2"),
        }
    }

    /// Whether the peer presented a certificate that is valid for `name`; false without TLS.
    ///
    /// The handshake verifies the name of a server, but not that of a client, so an entry host that accepts a
    /// connection verifies the name of its peer with this method.
    #[must_use]
    pub fn peer_certificate_matches(&self, name: &ServerName<'_>) -> bool {
        let Self::Tls(stream) = self else {
            return false;
        };
        let certificates = stream.get_ref().1.peer_certificates();
        let parsed = certificates
            .and_then(<[_]>::first)
            .and_then(|certificate| ParsedCertificate::try_from(certificate).ok());
        parsed.is_some_and(|certificate| verify_server_name(&certificate, name).is_ok())
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Plain(stream) => stream.peer_addr(),
            Self::Tls(stream) => stream.get_ref().0.peer_addr(),
        }
    }
}

async fn with_timeout<T>(limit_ms: u64, future: impl Future<Output = T>) -> Result<T, StreamError> {
    let limited = tokio::time::timeout(Duration::from_millis(limit_ms), future).await;
    limited.map_err(|_| StreamError::TimedOut { limit_ms })
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, bytes),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write_vectored(cx, slices),
            Self::Tls(stream) => Pin::new(stream).poll_write_vectored(cx, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Plain(stream) => stream.is_write_vectored(),
            Self::Tls(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

/// Stream that fails with [`io::ErrorKind::TimedOut`] if no byte is transferred in either direction within a limit.
///
/// Both directions must be polled by the same task.
pub struct IdleTimeout<S> {
    stream: S,
    limit: Duration,
    sleep: Pin<Box<Sleep>>,
}

impl<S: Unpin> IdleTimeout<S> {
    #[must_use]
    pub fn new(stream: S, limit_ms: u64) -> Self {
        let limit = Duration::from_millis(limit_ms);
        Self {
            stream,
            limit,
            sleep: Box::pin(tokio::time::sleep(limit)),
        }
    }

    fn poll_with_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.sleep.as_mut().reset(Instant::now() + self.limit);
            return poll;
        }
        ready!(self.sleep.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for IdleTimeout<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_read(cx, buffer);
        this.poll_with_timeout(cx, poll)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for IdleTimeout<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.poll_with_timeout(cx, poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.poll_with_timeout(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Flushing a stream without buffered bytes is always ready, so it does not count as progress.
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_shutdown(cx);
        this.poll_with_timeout(cx, poll)
    }
}
