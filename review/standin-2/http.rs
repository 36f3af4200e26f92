//! HTTP/1.1 as far as the stand-ins need it: one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// Path without its query.
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Names in small letters.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(rows: &'a [(String, String)], name: &str) -> &'a str {
    rows.iter()
        .find(|(key, _)| key == name)
        .map_or("", |(_, value)| value)
}

/// Status and body; without one the connection is closed unanswered.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

const UP: u8 = 0;
const DARK: u8 = 1;
const CLOSED: u8 = 2;

/// A listener that can go away with all its connections, as that of a process that ends or of a machine without power.
pub struct Listener {
    listener: Arc<TcpListener>,
    state: Arc<AtomicU8>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

impl Listener {
    pub fn open(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = Arc::new(TcpListener::bind(address)?);
        listener.set_nonblocking(true)?;
        let state = Arc::new(AtomicU8::new(UP));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let opened = Self {
            listener: Arc::clone(&listener),
            state: Arc::clone(&state),
            streams: Arc::clone(&streams),
        };
        thread::spawn(move || {
            while state.load(Ordering::SeqCst) == UP {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _best_effort = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let Ok(copy) = stream.try_clone() else {
                    continue;
                };
                streams.lock().unwrap().push(copy);
                let handler = Arc::clone(&handler);
                let state = Arc::clone(&state);
                thread::spawn(move || serve(stream, &handler, &state));
            }
        });
        Ok(opened)
    }

    /// Answers nothing any more: open connections are silent, and new ones hang.
    pub fn darken(&self) -> std::io::Result<()> {
        self.state.store(DARK, Ordering::SeqCst);
        // With a full queue, the kernel drops the first packet of a connection.
        // SAFETY: the socket is open, and `listen` changes its queue only.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let address = self.listener.local_addr()?;
        for _ in 0..3 {
            let waiting = TcpStream::connect_timeout(&address, Duration::from_millis(50));
            self.streams.lock().unwrap().extend(waiting);
        }
        Ok(())
    }

    /// Ends the listener and its connections.
    pub fn close(self) {
        self.state.store(CLOSED, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, state: &AtomicU8) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let answer = match state.load(Ordering::SeqCst) {
            UP => handler(request),
            _ => None,
        };
        while state.load(Ordering::SeqCst) == DARK {
            thread::sleep(Duration::from_millis(5));
        }
        if state.load(Ordering::SeqCst) == CLOSED {
            break;
        }
        let Some((status, body)) = answer else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            break;
        }
    }
    let _closed = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescaped(value)))
        .collect();
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. `None` without an answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}
