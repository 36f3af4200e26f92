//! Callers who cancel jobs that nobody has submitted, against the daemon's process on a host of 64 MB.

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

use callers_site::{Site, request};
use primrosestack_fleet::tombstones::TOMBSTONES_MAX;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const CONNECTIONS: u64 = 60;

const CANCELLATIONS_PER_CONNECTION: u64 = 400;

/// Tombstones that a host writes before the report of its shard counts them.
const UNREPORTED_MAX: u64 = 40;

/// Time within which a cancellation of an accepted job has to be acknowledged: `ackTimeoutMs` of the deployments.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

/// Number of cancellations that were acknowledged.
async fn cancel_unknown_jobs(to: SocketAddr, first_id: u64) -> u64 {
    let mut acknowledged = 0;
    let mut stream = TcpStream::connect(to).await.expect("connects");
    for id in first_id..first_id + CANCELLATIONS_PER_CONNECTION {
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
    for caller in 0..CONNECTIONS {
        let first_id = 0x5000_0000 + caller * CANCELLATIONS_PER_CONNECTION;
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
    let took = sent.elapsed();
    assert!(took < ACKNOWLEDGED_WITHIN, "{took:?}");
    let mut acknowledged = 0;
    while let Some(count) = crowd.join_next().await {
        acknowledged += count.expect("a caller does not panic");
        site.sample();
    }
    println!("acknowledged={acknowledged} took={took:?}");
    let bound = TOMBSTONES_MAX / 2 + UNREPORTED_MAX;
    assert!(acknowledged <= bound, "{acknowledged}, bound {bound}");
    site.assert_sound("unknown_jobs").await;
}
