//! Cancellations of jobs whose acceptance the store has not carried out yet.

mod daemon_fake;
mod store_fake;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daemon_fake::{LEADERSHIP, owned_shard_at};
use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::entry;
use primrosestack::daemon::ingress::limits::{CallerLimits, HostSize, Limits};
use primrosestack::daemon::node::Node;
use primrosestack::daemon::owner::OwnedShard;
use primrosestack::daemon::{keys, tombstones};
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::Term;
use primrosestack_platform::callers::DEADLINE_HEADER;
use primrosestack_platform::catalog::decode_configuration;
use prost::Message;
use store_fake::{Contents, serve_store};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LOOPBACK: &str = "127.0.0.1:0";

const JOB: JobId = JobId(0xaa);

const CONFIGURATION: &[u8] = br#"{"version":3,"routes":[{"name":"r1","host":"h","prefix":"/a/","service":"s"}],"services":[{"name":"s"}]}"#;

const BODY: &str = r#"{"spec":"do","steps":[{"count":1,"cpu":100,"memMb":100}]}"#;

struct Setup {
    contents: Rc<RefCell<Contents>>,
    node: Rc<Node>,
    owned: Rc<OwnedShard>,
    address: String,
}

impl Setup {
    /// Sends a request for the job, asserts the status of the answer, and returns it.
    async fn expect(&self, method: &str, body: &str, deadline_ms: u64, expected: u16) -> String {
        let answer = call(&self.address, method, JOB, deadline_ms, body).await;
        assert_eq!(status(&answer), expected, "{method}: {answer}");
        answer
    }
}

async fn setup() -> Setup {
    let store = TcpListener::bind(LOOPBACK).await.expect("a port");
    let store_address = store.local_addr().expect("an address").to_string();
    let contents = Rc::new(RefCell::new(Contents::default()));
    let term = Term {
        number: LEADERSHIP.term,
        ..Term::default()
    };
    let term = term.encode_to_vec();
    contents.borrow_mut().revision = LEADERSHIP.start_revision - 1;
    contents.borrow_mut().put(&keys::term("poa"), term);
    tokio::task::spawn_local(serve_store(store, Rc::clone(&contents)));
    let (node, owned) = owned_shard_at(&store_address).await;
    let configuration = decode_configuration(CONFIGURATION).expect("a configuration");
    *node.configuration.borrow_mut() = Some(Rc::new(configuration));
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let limits = Limits::for_callers(&CallerLimits::default(), HostSize::from_settings(0, 0));
    tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener, limits));
    Setup {
        contents,
        node,
        owned,
        address,
    }
}

/// Head of the answer to a request for a job, in lower case.
async fn call(address: &str, method: &str, job: JobId, deadline_ms: u64, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let length = body.len();
    let request = format!(
        "{method} /a/{job} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{DEADLINE_HEADER}: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer.to_lowercase()
}

fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).expect("a status");
    status.parse().expect("a number")
}

/// Guards against a job that is cancelled before the store carries out its acceptance, and is stored and started after that.
#[test_case(400, Duration::from_millis(600); "whose host has given up")]
#[test_case(3_000, Duration::ZERO; "whose host tries again after the cancellation")]
#[tokio::test]
async fn a_cancelled_job_is_not_accepted_later(deadline_ms: u64, cancelled_after: Duration) {
    let run = async {
        let setup = setup().await;
        setup.contents.borrow_mut().delayed_key = Some("/job/");
        let address = setup.address.clone();
        let submission = tokio::task::spawn_local(async move {
            call(&address, "POST", JOB, deadline_ms, BODY).await
        });
        let is_delayed = || !setup.contents.borrow().delayed.is_empty();
        while !is_delayed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(cancelled_after).await;
        setup.expect("DELETE", "", 3_000, 410).await;
        setup.contents.borrow_mut().delayed_key = None;
        let statuses = setup.contents.borrow_mut().carry_out_delayed();
        assert!(statuses.iter().all(|&status| status == 412), "{statuses:?}");
        let submitted = submission.await.expect("an answer");
        assert!([503, 504].contains(&status(&submitted)), "{submitted}");
        let job_key = keys::job("poa", JOB);
        let is_stored = |contents: &Contents| contents.items.contains_key(job_key.as_str());
        assert!(!is_stored(&setup.contents.borrow()));

        setup.expect("GET", "", 3_000, 410).await;
        setup.expect("DELETE", "", 3_000, 410).await;
        let repeated = setup.expect("POST", BODY, 3_000, 503).await;
        assert!(repeated.contains("retry-after: "), "{repeated}");
        assert!(!is_stored(&setup.contents.borrow()));
        assert!(setup.owned.shard.borrow().find_job(JOB).is_none());
        assert!(setup.node.cached_home(JOB).is_none());
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against tombstones that stay in the store for ever, an owner that does not know those of its predecessor, and a
/// repeated removal that takes the home of a job which was accepted in between.
#[tokio::test]
async fn a_tombstone_is_removed_but_not_the_home_of_a_later_job() {
    let run = async {
        let setup = setup().await;
        setup.expect("DELETE", "", 3_000, 410).await;
        let successor = daemon_fake::open_shard(&setup.node).await;
        let due = successor.tombstones.borrow().due(10, 0, now_ms());
        assert_eq!(due.len(), 1, "read at the beginning of a term");
        let removed = tombstones::remove(&setup.owned, &due).await;
        assert_eq!(removed, Ok(()));
        setup.expect("POST", BODY, 3_000, 200).await;
        let removed = tombstones::remove(&setup.owned, &due).await;
        assert_eq!(removed, Ok(()));
        let contents = setup.contents.borrow();
        assert!(contents.items.contains_key(keys::home(JOB).as_str()));
        assert!(contents.items.contains_key(keys::job("poa", JOB).as_str()));
        let tombstone = keys::tombstone("poa", JOB);
        assert!(!contents.items.contains_key(tombstone.as_str()));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a cancellation that is said to have had no effect, and is carried out later.
#[tokio::test]
async fn a_cancellation_in_doubt_is_not_refused() {
    let run = async {
        let setup = setup().await;
        setup.contents.borrow_mut().delayed_key = Some("/tombstone/");
        setup.contents.borrow_mut().refusals = 20;
        setup.expect("DELETE", "", 300, 503).await;
        setup.contents.borrow_mut().refusals = 0;
        setup.expect("DELETE", "", 400, 504).await;
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an ended job that is forgotten before the store can have carried out each attempt to accept it.
#[tokio::test]
async fn ended_jobs_outlast_late_acceptances() {
    let node = daemon_fake::node_with_retention("127.0.0.1:1", 5);
    assert!(node.bounds.retention_ms >= 30_000 + 12_000);
    let node = daemon_fake::node_with_retention("127.0.0.1:1", 120);
    assert_eq!(node.bounds.retention_ms, 120_000);
}
