//! What the answers of the store, and their absence, mean for a transaction.

use primrosestack_platform::http::HttpClient;
use primrosestack_platform::store::{StoreClient, StoreFailure, Transaction};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one request with a status line; closes the connection without an answer if it is empty.
async fn answer_once(listener: TcpListener, status_line: &'static str) {
    let (mut stream, _) = listener.accept().await.expect("a client connects");
    let mut request = [0; 1_024];
    let read = stream
        .read(&mut request)
        .await
        .expect("the request arrives");
    assert!(read > 0);
    if status_line.is_empty() {
        return;
    }
    let answer =
        format!("HTTP/1.1 {status_line}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    stream
        .write_all(answer.as_bytes())
        .await
        .expect("the client reads");
}

/// Guards against a caller being told that its job was not accepted although the transaction may have been committed.
#[test_case("503 Service Unavailable", true; "unavailable")]
#[test_case("429 Too Many Requests", true; "over the rate")]
#[test_case("500 Internal Server Error", false; "internal error")]
#[test_case("502 Bad Gateway", false; "bad gateway")]
#[test_case("504 Gateway Timeout", false; "gateway time-out")]
#[test_case("408 Request Timeout", false; "request time-out")]
#[test_case("", false; "connection closed")]
#[tokio::test]
async fn only_refusals_mean_that_nothing_was_done(status_line: &'static str, is_refusal: bool) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let server = tokio::spawn(answer_once(listener, status_line));
    let store = StoreClient::open(HttpClient::open(), address);
    let result = store
        .commit(&Transaction::default().put("key", Vec::new()))
        .await;
    server.await.expect("the server ends");
    match result {
        Err(StoreFailure::Unavailable { .. }) => assert!(is_refusal),
        Err(StoreFailure::NoAnswer) => assert!(!is_refusal),
        other => panic!("{other:?}"),
    }
}
