//! Frames between entry hosts: malformed ones, and requests that this host must not act on.

mod daemon_fake;

use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, Once};
use std::time::Duration;

use primrosestack::daemon::node::Node;
use primrosestack::daemon::peers::{self, PeerReply, PeerRequest};
use primrosestack::daemon::settings::DaemonSettings;
use primrosestack::logs;
use primrosestack::metrics::Metrics;
use primrosestack_fleet::advice_queries::AdviceQuery;
use primrosestack_fleet::job::{Queue, StepSpec};
use primrosestack_platform::http::HttpClient;
use prost::Message;
use serde_json::json;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LOOPBACK: &str = "127.0.0.1:0";

/// Longer than any answer on the loopback interface takes.
const WAIT: Duration = Duration::from_secs(5);

/// The lines of all tests of this file; each test looks for its own addresses.
static LINES: Mutex<Vec<u8>> = Mutex::new(Vec::new());

struct Capture;

impl Write for Capture {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LINES.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn capture_lines() {
    static OPENED: Once = Once::new();
    OPENED.call_once(|| logs::open_to("info", Capture).unwrap());
}

/// Lines that contain all of the given texts.
fn lines_with(texts: &[&str]) -> Vec<String> {
    let bytes = LINES.lock().unwrap().clone();
    let all = String::from_utf8(bytes).unwrap();
    let found = all
        .lines()
        .filter(|line| texts.iter().all(|text| line.contains(text)));
    found.map(str::to_owned).collect()
}

fn node() -> Rc<Node> {
    let settings: DaemonSettings = serde_json::from_value(json!({
        "name": "entry-1",
        "failure_domain": "poa",
        "failure_domains": ["cxs", "poa"],
        "callers_address": LOOPBACK,
        "ready_address": LOOPBACK,
        "peer_address": LOOPBACK,
        "metrics_address": LOOPBACK,
        "store_address": "127.0.0.1:1",
        "control_mode": "invocation",
        "lease_max_ms": 30_000,
        "task_stop_ms": 1_000,
        "retention_s": 60,
        "heartbeat_ms": 500,
        "stop_s": 10,
    }))
    .unwrap();
    Rc::new(Node::open(
        settings,
        HttpClient::open(),
        Metrics::open().unwrap(),
    ))
}

async fn serve(node: &Rc<Node>) -> SocketAddr {
    capture_lines();
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(peers::serve(Rc::clone(node), listener));
    address
}

fn frame(request: &PeerRequest) -> Vec<u8> {
    let body = request.encode_to_vec();
    let mut bytes = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn handover_request(failure_domain: &str) -> PeerRequest {
    PeerRequest {
        failure_domain: failure_domain.to_owned(),
        successor_term: 5,
        handover_term: 4,
        ..PeerRequest::default()
    }
}

async fn read_reply(stream: &mut TcpStream) -> PeerReply {
    let length = tokio::time::timeout(WAIT, stream.read_u32());
    let length = length.await.expect("a reply").expect("a length");
    let mut body = vec![0; usize::try_from(length).unwrap()];
    stream
        .read_exact(&mut body)
        .await
        .expect("a complete frame");
    PeerReply::decode(&body[..]).expect("a reply")
}

async fn ask(address: SocketAddr, request: &PeerRequest) -> PeerReply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&frame(request)).await.unwrap();
    read_reply(&mut stream).await
}

/// Sends bytes, ends the sending direction, and waits until the connection is closed. Returns the sender's address.
async fn send_and_close(address: SocketAddr, bytes: &[u8]) -> SocketAddr {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let sender = stream.local_addr().unwrap();
    stream.write_all(bytes).await.unwrap();
    // The host may have reset the connection already.
    let _ = stream.shutdown().await;
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(WAIT, stream.read_to_end(&mut rest))
        .await
        .expect("the connection is closed");
    assert!(rest.is_empty());
    sender
}

/// Guards against a malformed frame that stops the listener, or that ends its connection without a log line.
#[test_case(&[0xff, 0xff, 0xff, 0xff, 1, 2, 3]; "oversized")]
#[test_case(&[0, 0, 1, 0, 1, 2, 3]; "truncated")]
#[test_case(&[0, 0]; "truncated length")]
#[test_case(&[0, 0, 0, 3, 0x0a, 0x7f, 0x41]; "undecodable")]
#[tokio::test]
async fn a_malformed_frame_is_logged_and_the_next_request_answered(bytes: &[u8]) {
    let run = async {
        let address = serve(&node()).await;
        let sender = send_and_close(address, bytes).await;
        let lines = lines_with(&["peer_rejected", &format!("address={sender} "), "reason="]);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(ask(address, &handover_request("poa")).await.stepped_down);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a frame sent twice that leaves the connection out of step.
#[tokio::test]
async fn a_replayed_frame_gets_the_same_reply() {
    let run = async {
        let address = serve(&node()).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let bytes = frame(&handover_request("poa")).repeat(2);
        stream.write_all(&bytes).await.unwrap();
        let first = read_reply(&mut stream).await;
        assert_eq!(first, read_reply(&mut stream).await);
        assert!(first.stepped_down);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against log output that grows with the malformed frames of one sender.
#[tokio::test]
async fn a_flood_of_malformed_frames_writes_few_lines() {
    let run = async {
        let address = serve(&node()).await;
        let mut senders = Vec::new();
        for _ in 0..100 {
            senders.push(send_and_close(address, &[0xff; 4]).await);
        }
        let mut written = 0;
        for sender in senders {
            written += lines_with(&["peer_rejected", &format!("address={sender} ")]).len();
        }
        assert!((1..=20).contains(&written), "{written}");
        assert!(ask(address, &handover_request("poa")).await.stepped_down);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against requests that name unknown failure domains, each of which takes memory for ever.
#[tokio::test]
async fn an_unknown_failure_domain_is_rejected_before_anything_is_kept() {
    let run = async {
        let node = node();
        let address = serve(&node).await;
        let reply = ask(address, &handover_request("nowhere")).await;
        assert_eq!(reply, PeerReply::default());
        assert_eq!(node.successor_term("nowhere"), 0);
        assert_eq!(lines_with(&["peer_rejected", "nowhere"]).len(), 1);
        assert!(ask(address, &handover_request("poa")).await.stepped_down);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an owner that does not look for the servers that an advisor allows on behalf of another.
#[tokio::test]
async fn an_owner_answers_queries_about_steps_with_an_advisor() {
    let run = async {
        let (node, owned) = daemon_fake::owned_shard().await;
        let queue = Queue {
            name: "advised".into(),
            advisor_decision_ms: 40,
            ..Queue::default()
        };
        owned.shard.borrow_mut().set_queues([queue]);
        let address = serve(&node).await;
        let query = |job: u64, queue: &str| AdviceQuery {
            job,
            queue: queue.into(),
            spec: Some(StepSpec::default()),
            ..AdviceQuery::default()
        };
        let request = PeerRequest {
            failure_domain: "poa".into(),
            advice_queries: vec![query(7, "advised"), query(8, "unknown")],
            ..PeerRequest::default()
        };
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&frame(&request)).await.unwrap();
        let reply = read_reply(&mut stream).await;
        let answered: Vec<u64> = reply.advice_answers.iter().map(|row| row.job).collect();
        assert_eq!(answered, [7], "{reply:?}");
    };
    LocalSet::new().run_until(run).await;
}
