//! Callers that nobody controls, against the daemon's process on a host of 64 MB.
//!
//! Each crowd would hold two to three times the host's memory, or more descriptors than it has. What is checked: the
//! process lives, its peak of memory with the bytes in its socket buffers and its descriptors stay within the host, and
//! one ordinary job completes afterwards. Of the crowds, `no_route` and `ready` stayed within the bounds without limits too.

#[allow(dead_code)]
#[path = "../platform/soak/registration.rs"]
mod registration;
#[allow(dead_code)]
#[path = "../platform/soak/runs.rs"]
mod runs;
#[allow(dead_code)]
#[path = "../platform/soak/server.rs"]
mod server;
#[allow(dead_code)]
#[path = "../platform/soak/store.rs"]
mod store;

#[allow(dead_code)]
mod callers_site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use callers_site::{HOST, Sending, Site, crowd, request};
use primrosestack::daemon::peers::PeerRequest;
use primrosestack_fleet::tombstones::TOMBSTONES_MAX;
use prost::Message;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Largest body that the configuration allows.
const BODY_MAX: usize = 262_144;

/// Callers with bodies of legal size: together 160 MB, on a host of 64 MB.
const BODY_CROWD: usize = 640;

/// Connections of callers that send little: more than the host has descriptors.
const SLOW_CROWD: usize = 1_200;

/// Callers that each send up to 2 MB of requests ahead.
const PIPELINED_CROWD: usize = 500;

/// Callers whose jobs of many short fields would together take three times the host's memory.
const SHORT_FIELDS_CROWD: usize = 40;

/// Callers whose jobs of 20,000 tasks would together take four times the host's memory.
const LARGE_JOBS_CROWD: usize = 40;

/// Callers that cancel jobs which nobody has submitted, and how many each.
const CANCELLING_CROWD: u64 = 60;
const CANCELLATIONS_PER_CALLER: u64 = 400;

/// Tombstones that a host writes before the report of its shard counts them.
const UNREPORTED_MAX: u64 = 40;

/// Time within which a cancellation of an accepted job has to be acknowledged: `ackTimeoutMs` of the deployments.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

const HOLD: Duration = Duration::from_secs(4);

#[derive(Clone, Copy)]
enum Port {
    Callers,
    Ready,
    Metrics,
    Peer,
}

impl Port {
    fn of(self, site: &Site) -> SocketAddr {
        match self {
            Self::Callers => site.callers,
            Self::Ready => site.ready,
            Self::Metrics => site.metrics,
            Self::Peer => site.peer,
        }
    }
}

#[derive(Clone, Copy)]
enum Shape {
    OnePiece,
    SmallPieces,
    Chunks,
}

fn post(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{framing}\r\n\r\n")
}

/// A body of `bytes` that stops before its end.
fn unfinished(path: &str, shape: Shape, bytes: usize) -> Sending {
    let length = format!("content-length: {bytes}");
    let almost = bytes - 16;
    let (framing, piece, pieces, pause_ms) = match shape {
        Shape::OnePiece => (length, vec![b' '; almost], 1, 0),
        Shape::SmallPieces => (length, vec![b' '; almost / 64], 64, 10),
        Shape::Chunks => {
            let mut chunk = b"1000\r\n".to_vec();
            chunk.extend([b' '; 0x1000]);
            chunk.extend(b"\r\n");
            let framing = "transfer-encoding: chunked".to_owned();
            (framing, chunk, bytes / 0x1000 - 1, 0)
        }
    };
    Sending {
        head: post(path, &framing),
        piece,
        pieces,
        pause: Duration::from_millis(pause_ms),
        reads: false,
    }
}

/// Guards against a process that keeps the unfinished bodies of all callers, in its memory or in its socket buffers.
#[test_case(Port::Callers, "/quote/00000000000000b1", Shape::OnePiece, "one_piece"; "in one piece")]
#[test_case(Port::Callers, "/quote/00000000000000b1", Shape::SmallPieces, "small_pieces"; "in small pieces")]
#[test_case(Port::Callers, "/quote/00000000000000b1", Shape::Chunks, "chunks"; "in chunks")]
#[test_case(Port::Callers, "/nowhere", Shape::OnePiece, "no_route"; "on a path without a route")]
#[test_case(Port::Ready, "/v1/ready", Shape::OnePiece, "ready"; "on the readiness port")]
#[test_case(Port::Callers, "/nowhere", Shape::Chunks, "no_route_chunks"; "in chunks on a path without a route")]
#[test_case(Port::Ready, "/v1/ready", Shape::SmallPieces, "ready_pieces"; "in small pieces on the readiness port")]
#[test_case(Port::Ready, "/v1/ready", Shape::Chunks, "ready_chunks"; "in chunks on the readiness port")]
#[test_case(Port::Metrics, "/metrics", Shape::Chunks, "metrics_chunks"; "in chunks on the metrics port")]
#[tokio::test]
async fn unfinished_bodies_stay_within_the_host(port: Port, path: &str, shape: Shape, form: &str) {
    let mut site = Site::open(form).await;
    let _crowd = crowd(
        port.of(&site),
        BODY_CROWD,
        &unfinished(path, shape, BODY_MAX),
    );
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against a process that reads bodies over the limit. Each caller sends 4 MB.
#[test_case(Port::Callers, "/quote/00000000000000b2", "content-length: 4194304", "over_length"; "with a length")]
#[test_case(Port::Callers, "/quote/00000000000000b2", "transfer-encoding: chunked", "over_chunks"; "in chunks")]
#[test_case(Port::Callers, "/nowhere", "transfer-encoding: chunked", "over_no_route"; "on a path without a route")]
#[test_case(Port::Ready, "/v1/ready", "transfer-encoding: chunked", "over_ready"; "on the readiness port")]
#[test_case(Port::Metrics, "/metrics", "transfer-encoding: chunked", "over_metrics"; "on the metrics port")]
#[tokio::test]
async fn bodies_over_the_limit_stay_within_the_host(
    port: Port,
    path: &str,
    framing: &str,
    form: &str,
) {
    let mut site = Site::open(form).await;
    let mut sending = unfinished(path, Shape::Chunks, 4 << 20);
    sending.head = post(path, framing);
    let _crowd = crowd(port.of(&site), BODY_CROWD / 2, &sending);
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against a process that holds the answers, or the requests, of a caller that does not read.
#[test_case("GET", "/nowhere", "pipelined"; "on a path without a route")]
#[test_case("DELETE", "/quote/00000000000000b3", "pipelined_jobs"; "on jobs")]
#[tokio::test]
async fn requests_sent_ahead_stay_within_the_host(method: &str, path: &str, form: &str) {
    let mut site = Site::open(form).await;
    let request = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    let sending = Sending {
        head: String::new(),
        piece: request.repeat(100).into_bytes(),
        pieces: 400,
        pause: Duration::ZERO,
        reads: false,
    };
    let _crowd = crowd(site.callers, PIPELINED_CROWD, &sending);
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against the same on the ports for probes and peers.
#[test_case(Port::Ready, b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), "pipelined_ready"; "probes")]
#[test_case(Port::Peer, load_query(), "pipelined_peer"; "queries of loads")]
#[tokio::test]
async fn requests_sent_ahead_on_other_ports_stay_within_the_host(
    port: Port,
    request: Vec<u8>,
    form: &str,
) {
    let mut site = Site::open(form).await;
    let sending = Sending {
        head: String::new(),
        piece: request.repeat(100),
        pieces: 400,
        pause: Duration::ZERO,
        reads: false,
    };
    let _crowd = crowd(port.of(&site), PIPELINED_CROWD, &sending);
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// A frame that asks an owner for its load.
fn load_query() -> Vec<u8> {
    let request = PeerRequest {
        failure_domain: "poa".into(),
        wants_all_shards: true,
        ..PeerRequest::default()
    };
    let body = request.encode_to_vec();
    let length = u32::try_from(body.len()).expect("a short frame");
    [length.to_be_bytes().as_slice(), body.as_slice()].concat()
}

/// Guards against a process that holds heads of legal size with very many short fields.
#[test_case(Port::Callers, "short_headers"; "on the port for callers")]
#[test_case(Port::Ready, "short_headers_ready"; "on the readiness port")]
#[test_case(Port::Metrics, "short_headers_metrics"; "on the metrics port")]
#[tokio::test]
async fn many_short_headers_stay_within_the_host(port: Port, form: &str) {
    let mut site = Site::open(form).await;
    let fields = "a: b\r\n".repeat(2_500);
    let request = format!("GET /quote/ HTTP/1.1\r\nhost: {HOST}\r\n{fields}\r\n");
    let sending = Sending {
        head: String::new(),
        piece: request.into_bytes(),
        pieces: 40,
        pause: Duration::ZERO,
        reads: false,
    };
    let _crowd = crowd(port.of(&site), SLOW_CROWD, &sending);
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against a process that crowds with slow bodies deprive of descriptors or memory.
#[test_case("/quote/00000000000000b4", "slow_bodies"; "of jobs")]
#[test_case("/nowhere", "slow_bodies_no_route"; "on a path without a route")]
#[tokio::test]
async fn slow_bodies_stay_within_the_host(path: &str, form: &str) {
    let mut site = Site::open(form).await;
    let sending = Sending {
        head: post(path, &format!("content-length: {BODY_MAX}")),
        piece: vec![b' '; 40],
        pieces: 20,
        pause: Duration::from_millis(200),
        reads: false,
    };
    let _crowd = crowd(site.callers, SLOW_CROWD, &sending);
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against a process that crowds of slow callers deprive of descriptors or memory.
#[test_case(15_000, 1, 0, "half_heads"; "that stop in a long head")]
#[test_case(40, 20, 200, "slow_heads"; "that send heads slowly")]
#[test_case(0, 0, 0, "silent"; "that send nothing")]
#[tokio::test]
async fn slow_crowds_stay_within_the_host(
    piece_bytes: usize,
    pieces: usize,
    pause_ms: u64,
    form: &str,
) {
    let mut site = Site::open(form).await;
    let sending = Sending {
        head: "GET /nowhere HTTP/1.1\r\nx: ".into(),
        piece: vec![b'x'; piece_bytes],
        pieces,
        pause: Duration::from_millis(pause_ms),
        reads: false,
    };
    let mut crowds = Vec::new();
    for to in [site.callers, site.ready, site.peer, site.metrics] {
        crowds.push(crowd(to, SLOW_CROWD / 4, &sending));
    }
    crowds.push(crowd(site.callers, SLOW_CROWD, &sending));
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Guards against a process that crowds of slow readers deprive of descriptors or memory: each asks for the metrics
/// over and over.
#[tokio::test]
async fn slow_readers_stay_within_the_host() {
    let mut site = Site::open("slow_readers").await;
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
    let sending = Sending {
        head: String::new(),
        piece: request.repeat(100).into_bytes(),
        pieces: 20,
        pause: Duration::from_millis(10),
        reads: false,
    };
    let _crowd = crowd(site.metrics, PIPELINED_CROWD, &sending);
    site.watch(HOLD).await;
    site.assert_sound("slow_readers").await;
}

/// Guards against a process that allocates whole frames for senders on the peer port that stop before their end.
#[tokio::test]
async fn unfinished_peer_frames_stay_within_the_host() {
    let mut site = Site::open("peer_frames").await;
    let mut piece = 0xf_f000_u32.to_be_bytes().to_vec();
    piece.resize(0xf_0000, b' ');
    let sending = Sending {
        head: String::new(),
        piece,
        pieces: 1,
        pause: Duration::ZERO,
        reads: false,
    };
    let _crowd = crowd(site.peer, 160, &sending);
    site.watch(HOLD).await;
    site.assert_sound("peer_frames").await;
}

/// Sends a request and returns the start of the answer, in lower case; empty if the connection was closed.
async fn exchange(stream: &mut TcpStream) -> String {
    let request = format!("GET /nowhere HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut answer = vec![0; 4_096];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).to_lowercase()
}

/// Guards against a stopping host that keeps idle connections, on which callers go on to send until it ends.
#[tokio::test]
async fn a_stopping_host_closes_idle_connections() {
    let mut site = Site::open("stop").await;
    let mut stream = TcpStream::connect(site.callers).await.expect("connects");
    let answer = exchange(&mut stream).await;
    assert!(answer.starts_with("http/1.1 404"), "{answer}");
    assert!(!answer.contains("connection: close"), "{answer}");
    site.terminate();
    let end = stream.read(&mut [0; 16]).await;
    assert!(matches!(end, Ok(0)), "{end:?}");
    assert!(site.is_running(), "closed by the end of the process only");
}

/// Guards against a stopping host that invites the callers of new connections to send more.
#[tokio::test]
async fn a_stopping_host_closes_new_connections_after_a_request() {
    let mut site = Site::open("stop_new").await;
    let mut idle = TcpStream::connect(site.callers).await.expect("connects");
    exchange(&mut idle).await;
    site.terminate();
    // The end of an older connection shows that the host is stopping.
    let _closed = idle.read(&mut [0; 16]).await;
    let mut stream = TcpStream::connect(site.callers).await.expect("connects");
    let answer = exchange(&mut stream).await;
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(site.is_running());
}

/// Guards against a shard that takes many large jobs, each within the limits on one job, and against callers of one queue
/// that shut out those of the others.
#[tokio::test]
async fn many_large_jobs_stay_within_the_host() {
    let mut site = Site::open("large_jobs").await;
    let body = r#"{"steps":[{"count":20000}]}"#;
    let mut crowds = Vec::new();
    for caller in 0..LARGE_JOBS_CROWD {
        let path = format!("/bulk/{caller:016x}");
        let sending = Sending {
            head: post(&path, &format!("content-length: {}", body.len())),
            piece: body.into(),
            pieces: 1,
            pause: Duration::ZERO,
            reads: true,
        };
        crowds.push(crowd(site.callers, 1, &sending));
    }
    site.watch(HOLD).await;
    site.assert_sound("large_jobs").await;
}

/// Guards against a process that decodes, and a shard that plans, bodies of legal size with very many short fields.
#[test_case(r#"{"count":1}"#, 20_000, "short_steps"; "steps")]
#[test_case(r#"{"count":1,"after":[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]}"#, 4_500, "short_dependencies"; "dependencies")]
#[tokio::test]
async fn many_short_fields_stay_within_the_host(step: &str, steps: usize, form: &str) {
    let mut site = Site::open(form).await;
    let mut body = vec![step; steps];
    body[0] = r#"{"count":1}"#;
    let body = format!(r#"{{"steps":[{}]}}"#, body.join(","));
    assert!(body.len() <= BODY_MAX);
    let mut crowds = Vec::new();
    for caller in 0..SHORT_FIELDS_CROWD {
        let path = format!("/quote/{caller:016x}");
        let sending = Sending {
            head: post(&path, &format!("content-length: {}", body.len())),
            piece: body.clone().into_bytes(),
            pieces: 1,
            pause: Duration::ZERO,
            reads: true,
        };
        crowds.push(crowd(site.callers, 1, &sending));
    }
    site.watch(HOLD).await;
    site.assert_sound(form).await;
}

/// Number of cancellations that were acknowledged.
async fn cancel_unknown_jobs(to: SocketAddr, first_id: u64) -> u64 {
    let mut acknowledged = 0;
    let mut stream = TcpStream::connect(to).await.expect("connects");
    for id in first_id..first_id + CANCELLATIONS_PER_CALLER {
        let path = format!("/bulk/{id:016x}");
        match request(&mut stream, "DELETE", &path, "").await {
            Some(410) => acknowledged += 1,
            Some(status) => assert_eq!(status, 503, "{path}"),
            None => return acknowledged,
        }
    }
    acknowledged
}

/// Guards against callers who fill the store and use up its writes, and against a cancellation of an accepted job that waits
/// behind them.
#[tokio::test]
async fn cancellations_of_unknown_jobs_are_bounded() {
    let mut site = Site::open("unknown_jobs").await;
    let to = site.callers;
    let mut crowd = JoinSet::new();
    for caller in 0..CANCELLING_CROWD {
        let first_id = 0x5000_0000 + caller * CANCELLATIONS_PER_CALLER;
        crowd.spawn(cancel_unknown_jobs(to, first_id));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut stream = TcpStream::connect(to).await.expect("connects");
    let job = r#"{"spec":"100 50 0","steps":[{"count":1,"cpu":100,"requirements":"none"}]}"#;
    let path = "/quote/00000000000000c1";
    let status = request(&mut stream, "POST", path, job).await;
    assert_eq!(status, Some(200));
    let sent = Instant::now();
    let status = request(&mut stream, "DELETE", path, "").await;
    assert_eq!(status, Some(200));
    assert!(sent.elapsed() < ACKNOWLEDGED_WITHIN);
    let mut acknowledged = 0;
    while let Some(count) = crowd.join_next().await {
        acknowledged += count.expect("a caller does not panic");
        site.sample();
    }
    let bound = TOMBSTONES_MAX / 2 + UNREPORTED_MAX;
    assert!(acknowledged <= bound, "{acknowledged}, bound {bound}");
    site.assert_sound("unknown_jobs").await;
}
