//! Links to other entry hosts: length-delimited frames over TCP.
//!
//! A link carries frames in both directions, and each side first sends a hello. Heartbeats arrive every 500 ms, so a
//! link on which nothing arrives for `IDLE_TIMEOUT` is closed.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use primrosestack_core::ids::HostId;
use primrosestack_core::peer_frame::{self, Body, FrameError, Hello, VERSIONS};
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::metrics::{Direction, Metrics};
use crate::settings::PeerSettings;

/// Length prefix of each frame.
const LENGTH_PREFIX_BYTES: u64 = 4;
/// Largest frame: a request body or a document of 1 MiB, and its envelope.
const FRAME_MAX_BYTES: usize = 2 << 20;
/// Frames that may be queued for one link; further ones are rejected.
const LINK_QUEUE_FRAMES: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const REDIAL_INTERVAL: Duration = Duration::from_millis(250);
/// The host with the greater name waits this long for the other one to dial, so that two hosts rarely open two links.
const SECOND_DIAL_DELAY: Duration = Duration::from_secs(1);

/// Failure of a link or of the listener for peers.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The address for peers cannot be bound.
    #[snafu(display("cannot bind peer address {address}"))]
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The link broke.
    #[snafu(display("connection to the peer failed"))]
    Broken { source: std::io::Error },
    /// The peer sent an invalid frame.
    #[snafu(display("frame refused: {source}"))]
    Frame { source: FrameError },
    /// Nothing arrived in time.
    #[snafu(display("the peer timed out"))]
    TimedOut,
    /// The peer closed the link.
    #[snafu(display("the peer closed the link"))]
    Closed,
}

/// A received frame.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// Sender, as named in its hello.
    pub from: HostId,
    /// Failure domain of the sender.
    pub failure_domain: SmolStr,
    pub body: Body,
}

/// A byte stream that can carry a link.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Future of a TLS handshake.
pub type HandshakeFuture<'a> =
    Pin<Box<dyn Future<Output = std::io::Result<Box<dyn PeerStream>>> + Send + 'a>>;

/// Mutual TLS for links.
pub trait PeerSecurity: Send + Sync {
    /// Performs the server side of the handshake.
    fn accept(&self, stream: TcpStream) -> HandshakeFuture<'_>;

    /// Performs the client side of the handshake with the entry host `name`.
    fn connect<'a>(&'a self, stream: TcpStream, name: &'a str) -> HandshakeFuture<'a>;
}

struct Link {
    id: u64,
    incarnation: u64,
    sender: mpsc::Sender<Bytes>,
}

struct Inner {
    hello: Hello,
    links: Mutex<Vec<(SmolStr, Vec<Link>)>>,
    next_link: AtomicU64,
    received: mpsc::Sender<ReceivedFrame>,
    tls: Option<Arc<dyn PeerSecurity>>,
    metrics: Metrics,
}

/// Links to peers; clones share the same links.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
    address: SocketAddr,
}

pub struct PeerOptions {
    pub host: HostId,
    pub failure_domain: SmolStr,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Hosts to connect to.
    pub peers: Vec<PeerSettings>,
    /// `None` for plain text links.
    pub tls: Option<Arc<dyn PeerSecurity>>,
    pub metrics: Metrics,
}

impl Peers {
    /// Listens for peers and connects to the configured ones; sends received frames to `received`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Bind`] if the address cannot be bound.
    pub async fn bind(
        options: PeerOptions,
        received: mpsc::Sender<ReceivedFrame>,
    ) -> Result<Self, PeerError> {
        let address = options.address;
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let hello = Hello {
            versions: VERSIONS.to_vec(),
            host: options.host.name.to_string(),
            incarnation: options.host.incarnation,
            failure_domain: options.failure_domain.to_string(),
        };
        let inner = Arc::new(Inner {
            hello,
            links: Mutex::default(),
            next_link: AtomicU64::new(1),
            received,
            tls: options.tls,
            metrics: options.metrics,
        });
        tokio::spawn(accept_loop(inner.clone(), listener));
        for peer in options.peers {
            if peer.name == options.host.name {
                continue;
            }
            tokio::spawn(dial_loop(inner.clone(), peer));
        }
        Ok(Self { inner, address })
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a frame. Returns false if there is no link or its queue is full; the frame is then never sent.
    #[must_use]
    pub fn send(&self, to: &str, body: Body) -> bool {
        self.inner.send(to, None, body)
    }

    /// Queues a frame for one incarnation of a host, like [`Peers::send`].
    #[must_use]
    pub fn send_to(&self, to: &HostId, body: Body) -> bool {
        self.inner.send(&to.name, Some(to.incarnation), body)
    }
}

impl Inner {
    fn links(&self) -> MutexGuard<'_, Vec<(SmolStr, Vec<Link>)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, to: &str, incarnation: Option<u64>, body: Body) -> bool {
        // A heartbeat goes over every link, since idle links are closed.
        let on_all_links = matches!(body, Body::Heartbeat(_));
        let frame = Bytes::from(peer_frame::encode(body));
        let links = self.links();
        let found = links.binary_search_by(|(name, _)| name.as_str().cmp(to));
        let Ok(index) = found else {
            return false;
        };
        let mut sent = false;
        for link in links[index].1.iter().rev() {
            if incarnation.is_some_and(|incarnation| incarnation != link.incarnation) {
                continue;
            }
            if sent && !on_all_links {
                break;
            }
            sent |= link.sender.try_send(frame.clone()).is_ok();
        }
        sent
    }

    fn record_frame(&self, direction: Direction, frame_bytes: usize) {
        let bytes = LENGTH_PREFIX_BYTES + frame_bytes as u64;
        self.metrics.record_peer_frame(direction, bytes);
    }

    fn is_linked(&self, name: &str) -> bool {
        let links = self.links();
        let found = links.binary_search_by(|(known, _)| known.as_str().cmp(name));
        found.is_ok_and(|index| !links[index].1.is_empty())
    }

    fn add(&self, host: &HostId, sender: mpsc::Sender<Bytes>) -> u64 {
        let id = self.next_link.fetch_add(1, Ordering::Relaxed);
        let link = Link {
            id,
            incarnation: host.incarnation,
            sender,
        };
        let mut links = self.links();
        match links.binary_search_by(|(known, _)| known.cmp(&host.name)) {
            Ok(index) => links[index].1.push(link),
            Err(index) => links.insert(index, (host.name.clone(), vec![link])),
        }
        id
    }

    fn remove(&self, name: &SmolStr, id: u64) {
        let mut links = self.links();
        if let Ok(index) = links.binary_search_by(|(known, _)| known.cmp(name)) {
            links[index].1.retain(|link| link.id != id);
        }
    }
}

async fn accept_loop(inner: Arc<Inner>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is out of file descriptors; accepting again at once would spin.
            tokio::time::sleep(REDIAL_INTERVAL).await;
            continue;
        };
        let inner = inner.clone();
        tokio::spawn(async move {
            // One of the two sides dials again after a failure.
            let _ = handle_accepted(&inner, stream).await;
        });
    }
}

async fn handle_accepted(inner: &Inner, stream: TcpStream) -> Result<(), PeerError> {
    stream.set_nodelay(true).context(BrokenSnafu)?;
    let Some(tls) = &inner.tls else {
        return run_link(inner, stream).await;
    };
    let accepting = timeout(HELLO_TIMEOUT, tls.accept(stream)).await;
    let secured = accepting.map_err(|_| PeerError::TimedOut)?;
    run_link(inner, secured.context(BrokenSnafu)?).await
}

async fn dial_loop(inner: Arc<Inner>, peer: PeerSettings) {
    let dials_second = inner.hello.host.as_str() > peer.name.as_str();
    loop {
        if dials_second && !inner.is_linked(&peer.name) {
            tokio::time::sleep(SECOND_DIAL_DELAY).await;
        }
        if inner.is_linked(&peer.name) {
            tokio::time::sleep(REDIAL_INTERVAL).await;
            continue;
        }
        // The next iteration dials again after a failure.
        let _ = dial_once(&inner, &peer).await;
        tokio::time::sleep(REDIAL_INTERVAL).await;
    }
}

async fn dial_once(inner: &Inner, peer: &PeerSettings) -> Result<(), PeerError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address)).await;
    let stream = connecting.map_err(|_| PeerError::TimedOut)?;
    let stream = stream.context(BrokenSnafu)?;
    stream.set_nodelay(true).context(BrokenSnafu)?;
    let Some(tls) = &inner.tls else {
        return run_link(inner, stream).await;
    };
    let connecting = timeout(HELLO_TIMEOUT, tls.connect(stream, &peer.name)).await;
    let secured = connecting.map_err(|_| PeerError::TimedOut)?;
    run_link(inner, secured.context(BrokenSnafu)?).await
}

/// Exchanges frames over a link until it breaks.
async fn run_link(inner: &Inner, stream: impl PeerStream) -> Result<(), PeerError> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_MAX_BYTES);
    let (mut sink, mut source) = Framed::new(stream, codec).split();
    let hello = peer_frame::encode(Body::Hello(inner.hello.clone()));
    inner.record_frame(Direction::Sent, hello.len());
    sink.send(Bytes::from(hello)).await.context(BrokenSnafu)?;
    let first = read_frame(inner, &mut source, HELLO_TIMEOUT).await?;
    let (from, _version) = peer_frame::accept_hello(&first).context(FrameSnafu)?;
    let Body::Hello(hello) = first else {
        return Err(PeerError::Closed);
    };
    let failure_domain = SmolStr::from(hello.failure_domain);
    let (sender, mut queue) = mpsc::channel::<Bytes>(LINK_QUEUE_FRAMES);
    let id = inner.add(&from, sender);
    let writing = async {
        while let Some(frame) = queue.recv().await {
            inner.record_frame(Direction::Sent, frame.len());
            sink.feed(frame).await.context(BrokenSnafu)?;
            if queue.is_empty() {
                sink.flush().await.context(BrokenSnafu)?;
            }
        }
        Ok(())
    };
    let reading = async {
        loop {
            let body = read_frame(inner, &mut source, IDLE_TIMEOUT).await?;
            let received = ReceivedFrame {
                from: from.clone(),
                failure_domain: failure_domain.clone(),
                body,
            };
            let taken = inner.received.send(received).await;
            taken.map_err(|_| PeerError::Closed)?;
        }
    };
    let result = tokio::select! {
        result = writing => result,
        result = reading => result,
    };
    inner.remove(&from.name, id);
    result
}

async fn read_frame<S>(inner: &Inner, source: &mut S, limit: Duration) -> Result<Body, PeerError>
where
    S: StreamExt<Item = std::io::Result<bytes::BytesMut>> + Unpin,
{
    let next = timeout(limit, source.next()).await;
    let next = next.map_err(|_| PeerError::TimedOut)?;
    let bytes = next.ok_or(PeerError::Closed)?.context(BrokenSnafu)?;
    inner.record_frame(Direction::Received, bytes.len());
    peer_frame::decode(&bytes).context(FrameSnafu)
}
