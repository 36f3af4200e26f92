//! Connections of a listener under its limits.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::daemon::clock::now_ms;
use crate::daemon::ingress::limits::{Limits, RECEIVE_BUFFER_BYTES};
use crate::daemon::ingress::table::{Admission, ConnectionKey, Limit, Phase, Table};
use crate::logs::Line;
use crate::metrics::Metrics;

const SWEEP_MS: u64 = 500;

/// A sweep that begins later than this closes nothing: what callers sent in time may not have been read.
const SWEEP_LATE_MS: u64 = 1_000;

const LINE_INTERVAL_MS: u64 = 1_000;

/// Binds a listener whose connections get bounded buffers.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn listen(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes. The kernel doubles them for its own overhead.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(limits.send_buffer_bytes)?;
    socket.bind(address)?;
    // Connections that wait to be accepted have receive buffers too.
    let backlog = (limits.connections_max / 2).clamp(32, 512);
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

#[derive(Clone, Copy, Default)]
struct LimitLine {
    written_ms: Option<u64>,
    suppressed: u64,
}

/// Counts and bounds the connections of a listener.
pub struct Limiter {
    name: &'static str,
    pub limits: Limits,
    table: RefCell<Table>,
    /// Wakes the connection of each key when it has to close.
    wakers: RefCell<Vec<Rc<Notify>>>,
    lines: RefCell<[LimitLine; Limit::COUNT]>,
    metrics: Metrics,
}

impl Limiter {
    #[must_use]
    pub fn open(name: &'static str, limits: Limits, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            name,
            limits,
            table: RefCell::new(Table::open(limits)),
            wakers: RefCell::default(),
            lines: RefCell::default(),
            metrics,
        })
    }

    /// Admits a connection; `None` if it is refused, which closes it.
    pub fn admit(self: &Rc<Self>, stream: TcpStream, address: IpAddr) -> Option<Metered> {
        let admission = self.table.borrow_mut().admit(address, now_ms());
        let (key, shed) = match admission {
            Admission::Admitted { key, shed } => (key, shed),
            Admission::Refused(limit) => {
                self.report(limit);
                return None;
            }
        };
        if let Some((victim, limit)) = shed {
            self.report(limit);
            self.wake(victim);
        }
        let waker = Rc::new(Notify::new());
        let mut wakers = self.wakers.borrow_mut();
        if wakers.len() <= key.index() {
            wakers.resize_with(key.index() + 1, Rc::default);
        }
        wakers[key.index()] = Rc::clone(&waker);
        let connection = Rc::new(Connection {
            limiter: Rc::clone(self),
            key,
            waker,
        });
        Some(Metered { stream, connection })
    }

    fn wake(&self, key: ConnectionKey) {
        self.wakers.borrow()[key.index()].notify_one();
    }

    /// Counts a limit that was reached, and logs it unless that was done within the last second.
    pub fn report(&self, limit: Limit) {
        self.metrics.record_caller_limit(self.name, limit.name());
        if limit.is_usual() {
            return;
        }
        let now = now_ms();
        let line = &mut self.lines.borrow_mut()[limit as usize];
        if line
            .written_ms
            .is_some_and(|written| now < written + LINE_INTERVAL_MS)
        {
            line.suppressed += 1;
            return;
        }
        line.written_ms = Some(now);
        Line::warn("caller_limit")
            .with("port", self.name)
            .with("limit", limit.name())
            .with("suppressed", std::mem::take(&mut line.suppressed))
            .write();
    }

    /// Closes connections that are over a time limit, and idle ones while the process stops.
    pub async fn sweep(&self, is_stopping: impl Fn() -> bool) {
        let mut due_ms = now_ms();
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
            due_ms += SWEEP_MS;
            let now = now_ms();
            let is_late = now > due_ms + SWEEP_LATE_MS;
            due_ms = now;
            if is_stopping() {
                // A new connection gets time for its first request.
                let idle = self.table.borrow().idle_for(SWEEP_MS, now);
                for key in idle {
                    self.wake(key);
                }
            }
            if !is_late {
                let overdue = self.table.borrow_mut().close_overdue(now);
                for (key, limit) in overdue {
                    self.report(limit);
                    self.wake(key);
                }
            }
            let table = self.table.borrow();
            self.metrics
                .set_caller_load(self.name, table.connections(), table.body_bytes());
        }
    }
}

/// A connection that was admitted. Dropping the last handle removes it.
pub struct Connection {
    limiter: Rc<Limiter>,
    key: ConnectionKey,
    waker: Rc<Notify>,
}

impl Connection {
    pub fn set_phase(&self, phase: Phase) {
        let mut table = self.limiter.table.borrow_mut();
        table.set_phase(self.key, phase, now_ms());
    }

    /// Begins a request. Returns whether it is the last one that the connection may send ahead.
    #[must_use]
    pub fn begin_request(&self) -> bool {
        let mut table = self.limiter.table.borrow_mut();
        table.begin_request(self.key, now_ms())
    }

    /// Waits until the connection has to close. Returns whether that is at once, not after the present request.
    pub async fn told_to_close(&self) -> bool {
        self.waker.notified().await;
        self.limiter.table.borrow().is_closing(self.key)
    }

    #[must_use]
    pub fn limiter(&self) -> &Rc<Limiter> {
        &self.limiter
    }

    /// Reserves bytes for a body, if they are within the budget.
    #[must_use]
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            connection: Rc::clone(self),
            bytes: 0,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.limiter.table.borrow_mut().remove(self.key);
    }
}

/// Bytes of the budget for bodies. Dropping it returns them.
pub struct Reservation {
    connection: Rc<Connection>,
    bytes: usize,
}

impl Reservation {
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes. Returns whether they are within the budget.
    #[must_use]
    pub fn resize(&mut self, bytes: usize, is_complete: bool) -> bool {
        let mut table = self.connection.limiter.table.borrow_mut();
        let is_reserved = table.reserve(self.bytes, bytes, is_complete);
        if is_reserved {
            self.bytes = bytes;
        }
        is_reserved
    }

    /// As [`Reservation::resize`] for an incomplete body, in place of others that have waited longer.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let limiter = Rc::clone(&self.connection.limiter);
        while !self.resize(bytes, false) {
            let victim = limiter.table.borrow_mut().shed_body(self.connection.key);
            limiter.report(Limit::BodyBytes);
            let Some(victim) = victim else { return false };
            limiter.wake(victim);
            // Lets the other connection be closed, which releases its bytes.
            tokio::task::yield_now().await;
        }
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut table = self.connection.limiter.table.borrow_mut();
        table.reserve(self.bytes, 0, true);
    }
}

/// Stream of an admitted connection, which records its progress.
pub struct Metered {
    stream: TcpStream,
    pub connection: Rc<Connection>,
}

impl AsyncRead for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        if read > 0 {
            let Connection { limiter, key, .. } = &*this.connection;
            let mut table = limiter.table.borrow_mut();
            table.received(*key, read as u64, now_ms());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        let Connection { limiter, key, .. } = &*this.connection;
        limiter.table.borrow_mut().sent(*key, now_ms());
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        let Connection { limiter, key, .. } = &*this.connection;
        limiter.table.borrow_mut().flushed(*key, now_ms());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
