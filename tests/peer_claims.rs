//! Claims of successors that reach an owner over its peer port.

mod daemon_fake;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use daemon_fake::{LEADERSHIP, owned_shard_at};
use primrosestack::daemon::node::Node;
use primrosestack::daemon::owner::OwnedShard;
use primrosestack::daemon::peers::{self, PeerReply, PeerRequest};
use primrosestack_fleet::record::Term;
use prost::Message;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LOOPBACK: &str = "127.0.0.1:0";

/// Answers reads with a record of the current term.
async fn serve_store(listener: TcpListener, term: Rc<Cell<u64>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 2_048];
        let read = stream.read(&mut request).await.unwrap();
        let request = String::from_utf8_lossy(&request[..read]).into_owned();
        let (status, body) = if request.contains("prefix=") {
            ("200 OK", json!({"items": [], "at": 9}).to_string())
        } else if request.contains("era") {
            let record = Term {
                number: term.get(),
                ..Term::default()
            };
            let value = STANDARD.encode(record.encode_to_vec());
            let item = json!({"key": "primrose/era/poa", "value": value, "revision": 9});
            ("200 OK", item.to_string())
        } else {
            ("404 Not Found", String::new())
        };
        let length = body.len();
        let reply = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(reply.as_bytes()).await.unwrap();
    }
}

struct Owner {
    node: Rc<Node>,
    owned: Rc<OwnedShard>,
    peer_address: SocketAddr,
    /// Term that the store names.
    term: Rc<Cell<u64>>,
}

async fn owner() -> Owner {
    let store = TcpListener::bind(LOOPBACK).await.unwrap();
    let store_address = store.local_addr().unwrap().to_string();
    let term = Rc::new(Cell::new(LEADERSHIP.term));
    tokio::task::spawn_local(serve_store(store, Rc::clone(&term)));
    let (node, owned) = owned_shard_at(&store_address).await;
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let peer_address = listener.local_addr().unwrap();
    tokio::task::spawn_local(peers::serve(Rc::clone(&node), listener));
    Owner {
        node,
        owned,
        peer_address,
        term,
    }
}

async fn claim(owner: &Owner, successor_term: u64) -> PeerReply {
    let request = PeerRequest {
        failure_domain: "poa".to_owned(),
        successor_term,
        handover_term: LEADERSHIP.term,
        ..PeerRequest::default()
    };
    let body = request.encode_to_vec();
    let mut stream = TcpStream::connect(owner.peer_address).await.unwrap();
    let length = u32::try_from(body.len()).unwrap();
    stream.write_u32(length).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let length = stream.read_u32().await.unwrap();
    let mut reply = vec![0; usize::try_from(length).unwrap()];
    stream.read_exact(&mut reply).await.unwrap();
    PeerReply::decode(&reply[..]).unwrap()
}

/// Guards against an owner that gives its shard up because a process on the network says that it is the successor.
#[tokio::test]
async fn a_claim_that_the_store_does_not_confirm_is_refused() {
    let run = async {
        let owner = owner().await;
        for successor_term in [LEADERSHIP.term + 1, u64::MAX] {
            let reply = claim(&owner, successor_term).await;
            assert_eq!(reply, PeerReply::default());
            assert!(!owner.owned.closed.get());
        }
        assert!(owner.node.owned_shard("poa").is_some());
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a successor that has to wait for all leases to end because its predecessor does not believe it.
#[tokio::test]
async fn a_claim_that_the_store_confirms_gets_the_handover() {
    let run = async {
        let owner = owner().await;
        owner.term.set(LEADERSHIP.term + 1);
        let reply = claim(&owner, LEADERSHIP.term + 1).await;
        assert!(reply.stepped_down);
        assert!(reply.handover.is_some());
        assert!(owner.owned.closed.get());
    };
    LocalSet::new().run_until(run).await;
}
