//! Answers by the operator's configuration, of which a host has a copy that may be old.

mod daemon_fake;

use std::rc::Rc;

use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::entry;
use primrosestack::daemon::ingress::limits::{CallerLimits, HostSize, Limits};
use primrosestack::daemon::node::Node;
use primrosestack_platform::catalog::decode_configuration;
use serde_json::json;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Nothing listens there.
const NO_STORE: &str = "127.0.0.1:1";

fn set_configuration(node: &Node, version: u64, as_of_ms: u64) {
    let route = json!({"name": "q", "host": "h", "prefix": "/q/", "service": ""});
    let value = json!({"version": version, "routes": [route]}).to_string();
    let configuration = decode_configuration(value.as_bytes()).expect("a configuration");
    *node.configuration.borrow_mut() = Some(Rc::new(configuration));
    node.confirm_configuration(as_of_ms);
}

/// Head of the reply to a GET request, in lower case.
async fn get(address: &str, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the host reads");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.expect("a reply");
    reply.to_lowercase()
}

async fn serve_callers(node: &Rc<Node>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let limits = Limits::for_callers(&CallerLimits::default(), HostSize::from_settings(0, 0));
    tokio::task::spawn_local(entry::serve(Rc::clone(node), listener, limits));
    address
}

/// Guards against a 404 for a route that was added, from a host that has not been able to learn of it within the bound: callers
/// take it as final.
#[test_case(1_000, "http/1.1 404"; "recent copy")]
#[test_case(2_500, "http/1.1 503"; "copy older than the bound")]
#[tokio::test]
async fn a_route_is_unknown_only_by_a_recent_copy(age_ms: u64, expected: &str) {
    let run = async {
        let node = daemon_fake::node(NO_STORE);
        set_configuration(&node, 1, now_ms() - age_ms);
        let callers = serve_callers(&node).await;
        let reply = get(&callers, "/added/").await;
        assert!(reply.starts_with(expected), "{reply}");
        assert_eq!(reply.contains("retry-after: 1\r\n"), age_ms > 2_000);
    };
    LocalSet::new().run_until(run).await;
}
