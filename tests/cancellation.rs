//! Cancellation of jobs whose home shard may have no owner.

mod daemon_fake;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use daemon_fake::owned_shard_at;
use primrosestack::daemon::cancellation;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{Home, Progress};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

const JOB: JobId = JobId(7);

/// Value of the item that a request reads, if the store has one.
fn read_value(request: &str) -> Option<Vec<u8>> {
    let home = Home {
        failure_domain: "cxs".into(),
        ..Home::default()
    };
    let progress = Progress {
        delegate_domains: vec!["pel".into()],
        ..Progress::default()
    };
    if request.contains("home") {
        return Some(home.encode_to_vec());
    }
    let is_progress = request.contains("progress") && request.contains(&JOB.to_string());
    is_progress.then(|| progress.encode_to_vec())
}

/// Serves a store with a job at home in `cxs` and delegated to `pel`, and keeps the requests that write.
async fn serve_store(listener: TcpListener, writes: Rc<RefCell<Vec<String>>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 8_192];
        let read = stream.read(&mut request).await.unwrap();
        let request = String::from_utf8_lossy(&request[..read]).into_owned();
        let (status, body) = if request.starts_with("POST") {
            writes.borrow_mut().push(request);
            ("200 OK", r#"{"revision":12}"#.to_owned())
        } else if request.contains("prefix=") {
            ("200 OK", r#"{"items":[],"at":9}"#.to_owned())
        } else if let Some(value) = read_value(&request) {
            let value = BASE64.encode(value);
            let item = format!(
                r#"{{"key":"k","value":"{value}","revision":8,"created":8,"lease":0,"at":9}}"#
            );
            ("200 OK", item)
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

/// Guards against delegates that start tasks of a cancelled job because its home shard has no owner that tells them.
#[tokio::test]
async fn delegates_are_told_of_a_cancellation_by_the_host_that_accepts_it() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let writes = Rc::new(RefCell::new(Vec::new()));
        tokio::task::spawn_local(serve_store(listener, Rc::clone(&writes)));
        let (node, _owned) = owned_shard_at(&address).await;
        let deadline = Instant::now() + Duration::from_secs(10);
        let reply = cancellation::cancel(&node, JOB, &Queue::default(), deadline).await;
        assert!(reply.status().is_success());
        let writes = writes.borrow();
        let cancellation = writes.last().expect("the cancellation is written");
        for failure_domain in ["cxs", "pel"] {
            let key = format!("primrose/inbox/{failure_domain}/cancel/{JOB}");
            assert!(cancellation.contains(&key), "{cancellation}");
        }
    };
    LocalSet::new().run_until(run).await;
}
