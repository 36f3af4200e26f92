//! Answers by the operator's configuration, of which a host has a copy that may be old.

mod daemon_fake;

use std::rc::Rc;

use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::entry;
use primrosestack::daemon::ingress::limits::{CallerLimits, HostSize, Limits};
use primrosestack_fleet::copy_age::CopyAge;
use primrosestack_platform::catalog::decode_configuration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const REQUEST: &[u8] = b"GET /added/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

/// Guards against a 404 for a route that was added, from a host that has not been able to learn of it within the bound: callers
/// take it as final.
#[test_case(1_000, false, "http/1.1 404"; "recent copy")]
#[test_case(2_500, false, "http/1.1 503"; "copy older than the bound")]
#[test_case(2_500, true, "http/1.1 503"; "later version unreadable")]
#[tokio::test]
async fn a_route_is_unknown_only_by_a_recent_copy(
    age_ms: u64,
    is_superseded: bool,
    expected: &str,
) {
    let run = async {
        let node = daemon_fake::node("127.0.0.1:1");
        let configuration = decode_configuration(br#"{"version":1,"routes":[]}"#);
        *node.configuration.borrow_mut() = configuration.map(Rc::new);
        node.confirm_configuration(now_ms() - age_ms);
        if is_superseded {
            node.update_configuration_age(CopyAge::supersede);
            node.confirm_configuration(now_ms());
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let limits = Limits::for_callers(&CallerLimits::default(), HostSize::from_settings(0, 0));
        tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener, limits));
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(REQUEST).await.expect("the host reads");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.expect("a reply");
        let reply = reply.to_lowercase();
        assert!(reply.starts_with(expected), "{reply}");
        assert_eq!(reply.contains("retry-after: 1\r\n"), age_ms > 2_000);
    };
    LocalSet::new().run_until(run).await;
}
