//! Listeners: TLS, reloaded certificates and tokens, and limits on slow clients, body sizes and connections.

mod fake;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use fake::keys::Authority;
use fake::{Directory, app, tokens};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use primrosestack::auth::Auth;
use primrosestack::client::{Client, ClientError};
use primrosestack::listen::{Limits, Listener, bind};
use primrosestack::settings::ClientSettings;
use primrosestack::stream::{IdleTimeout, Stream, StreamError};
use primrosestack::tls::{ClientCertificates, ClientTls, ServerTls, server_name};
use rustls::pki_types::ServerName;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const LOOPBACK: &str = "127.0.0.1:0";

async fn listen(router: Router, tls: Option<Arc<ServerTls>>, limits: Limits) -> Listener {
    bind(LOOPBACK.parse().unwrap(), router, tls, limits)
        .await
        .unwrap()
}

/// `GET /` answers `ok`, `POST /` the length of the body.
fn echo() -> Router {
    let length = |body: Result<axum::body::Bytes, axum::extract::rejection::BytesRejection>| async move {
        body.map(|body| body.len().to_string())
    };
    Router::new()
        .route("/", get(|| async { "ok" }).post(length))
        .layer(DefaultBodyLimit::disable())
}

/// Reads everything that the listener sends until it closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // The listener may reset the connection after its response.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a new connection and returns the response.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The listener may refuse the request and close the connection before all of it is sent.
    let _ = stream.write_all(request.as_bytes()).await;
    read_to_close(&mut stream).await
}

/// A GET request after which the listener closes the connection.
fn closing_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

fn settings(listener: &Listener, authority: &Authority, token: &str) -> ClientSettings {
    ClientSettings {
        address: Some(format!("https://{}", listener.address())),
        token: Some(token.to_owned()),
        authority_file: Some(authority.file.clone()),
    }
}

fn loopback_name() -> ServerName<'static> {
    server_name("127.0.0.1").unwrap()
}

/// Guards against a client that accepts an expired certificate or one of an unknown authority, and against a listener
/// that does not load a replaced certificate.
#[tokio::test]
async fn certificates_are_checked_and_replaced() {
    let directory = Directory::open();
    let authority = Authority::open(&directory, "own");
    let other_authority = Authority::open(&directory, "other");
    let files = authority.sign(&directory, "host", true);
    let tls = Arc::new(ServerTls::open(&files, ClientCertificates::NotRequested).unwrap());
    let (_, router) = app(&directory);
    let listener = listen(router, Some(tls.clone()), Limits::default()).await;
    let client = Client::open(settings(&listener, &authority, "operator")).unwrap();
    let expired = client.hosts().await.unwrap_err();
    assert!(
        matches!(
            expired,
            ClientError::Connect {
                source: StreamError::Handshake { .. },
                ..
            }
        ),
        "{expired:?}"
    );

    std::fs::write(&files.key_file, "no key").unwrap();
    assert!(tls.refresh().is_err());
    assert!(!tls.refresh().unwrap());
    authority.sign(&directory, "host", false);
    assert!(tls.refresh().unwrap());
    assert_eq!(client.hosts().await.unwrap().hosts.len(), 1);

    let distrusting = Client::open(settings(&listener, &other_authority, "operator")).unwrap();
    assert!(matches!(
        distrusting.hosts().await,
        Err(ClientError::Connect { .. })
    ));
    let refused = Client::open(settings(&listener, &authority, "nobody"))
        .unwrap()
        .hosts()
        .await;
    assert!(matches!(refused, Err(ClientError::Refused { problem }) if problem.status == 401));
}

/// Guards against an entry host that accepts a peer without a valid certificate of the configured authority.
#[test_case(Some(("own", false)), true; "valid")]
#[test_case(Some(("own", true)), false; "expired")]
#[test_case(Some(("other", false)), false; "unknown authority")]
#[test_case(None, false; "no certificate")]
#[tokio::test]
async fn peer_presents_a_certificate(presented: Option<(&str, bool)>, is_accepted: bool) {
    let directory = Directory::open();
    let own = Authority::open(&directory, "own");
    let server = ServerTls::open(
        &own.sign(&directory, "server", false),
        ClientCertificates::Required,
    )
    .unwrap();
    let client = match presented {
        None => ClientTls::open_authority(&own.file).unwrap(),
        Some((name, is_expired)) => {
            let other_authority = Authority::open(&directory, "other");
            let signer = if name == "own" {
                &own
            } else {
                &other_authority
            };
            let mut files = signer.sign(&directory, "client", is_expired);
            files.authority_file.clone_from(&own.file);
            ClientTls::open(&files).unwrap()
        }
    };
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (tcp, _) = listener.accept().await.unwrap();
        Stream::accept(tcp, Some(&server), 5_000).await
    };
    let connecting = Stream::connect(address, Some((&client, loopback_name())), 5_000);
    let (accepted, connected) = tokio::join!(accepting, connecting);
    assert_eq!(accepted.is_ok(), is_accepted);
    if is_accepted {
        let (mut accepted, mut connected) = (accepted.unwrap(), connected.unwrap());
        connected.write_all(b"frame").await.unwrap();
        connected.flush().await.unwrap();
        assert!(accepted.peer_certificate_matches(&loopback_name()));
        assert!(!accepted.peer_certificate_matches(&server_name("127.0.0.2").unwrap()));
        let mut frame = [0; 5];
        accepted.read_exact(&mut frame).await.unwrap();
        assert_eq!(&frame, b"frame");
    }
}

/// Guards against a TLS port that answers plain HTTP, or that stops accepting connections after it.
#[tokio::test]
async fn plain_text_to_a_tls_port_is_refused() {
    let directory = Directory::open();
    let authority = Authority::open(&directory, "own");
    let files = authority.sign(&directory, "host", false);
    let tls = Arc::new(ServerTls::open(&files, ClientCertificates::NotRequested).unwrap());
    let (_, router) = app(&directory);
    let listener = listen(router, Some(tls), Limits::default()).await;
    assert!(
        !exchange(listener.address(), &closing_request("/v1/openapi.json"))
            .await
            .contains("HTTP")
    );
    let client = Client::open(settings(&listener, &authority, "operator")).unwrap();
    client.hosts().await.unwrap();
}

/// Guards against HTTP/2 that cannot be negotiated or bypasses the limit on body sizes.
#[tokio::test]
async fn http2_is_negotiated_and_limited() {
    let directory = Directory::open();
    let authority = Authority::open(&directory, "own");
    let files = authority.sign(&directory, "host", false);
    let tls = Arc::new(ServerTls::open(&files, ClientCertificates::NotRequested).unwrap());
    let limits = Limits {
        body_bytes: 1_024,
        ..Limits::default()
    };
    let listener = listen(echo(), Some(tls), limits).await;
    let mut config = (*ClientTls::open_authority(&authority.file).unwrap().config()).clone();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let tcp = TcpStream::connect(listener.address()).await.unwrap();
    let io = TokioIo::new(connector.connect(loopback_name(), tcp).await.unwrap());
    let (mut sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    tokio::spawn(connection);
    for (length, status) in [(1_024, 200), (1_025, 413)] {
        let uri = format!("https://{}/", listener.address());
        let request = hyper::Request::post(uri)
            .body(Full::new(bytes::Bytes::from(vec![b'x'; length])))
            .unwrap();
        let response = sender.send_request(request).await.unwrap();
        assert_eq!(response.status().as_u16(), status);
        response.into_body().collect().await.unwrap();
    }
}

/// Guards against a token that stays valid after its removal, and against a malformed file that revokes all tokens.
#[tokio::test(start_paused = true)]
async fn tokens_change_without_restart() {
    let directory = Directory::open();
    let file = tokens(&directory);
    let auth = Auth::open(&file).unwrap();
    let headers = |token: &str| {
        let mut headers = axum::http::HeaderMap::new();
        headers.insert("authorization", format!("Bearer {token}").parse().unwrap());
        headers
    };
    assert_eq!(
        auth.authenticate(&headers("other")).unwrap().team.unwrap(),
        "other"
    );
    std::fs::write(&file, "{\"tokens\": [").unwrap();
    assert!(auth.refresh().is_err());
    auth.authenticate(&headers("operator")).unwrap();
    let hash = primrosestack::auth::token_sha256("operator").to_uppercase();
    // This entry's hash has the same first bytes as the operator's and precedes it.
    let near = format!("{}{}", &hash[..4], "0".repeat(60));
    let entries = format!(
        "{{\"sha256\": \"{near}\", \"team\": \"near\"}}, {{\"sha256\": \"{hash}\", \"operator\": true}}"
    );
    std::fs::write(&file, format!("{{\"tokens\": [{entries}]}}")).unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(auth.authenticate(&headers("other")).is_err());
    assert!(auth.authenticate(&headers("operator")).unwrap().is_operator);
    assert!(auth.authenticate(&headers(&"x".repeat(1_000))).is_err());
}

/// Guards against large bodies that are read whole. A body is refused unread if its Content-Length exceeds the limit,
/// and a chunked body once the limit is reached.
#[tokio::test]
async fn body_of_1_gb_is_not_read() {
    let listener = listen(echo(), None, Limits::default()).await;
    let announced = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1073741824\r\n\r\n";
    let answer = exchange(listener.address(), announced).await;
    assert!(
        answer.starts_with("HTTP/1.1 413 ") && answer.contains("body_too_large"),
        "{answer}"
    );

    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let chunk = [b"10000\r\n".as_slice(), &vec![b'x'; 0x1_0000], b"\r\n"].concat();
    let mut sent = 0_usize;
    while sent < 1 << 30 && stream.write_all(&chunk).await.is_ok() {
        sent += chunk.len();
    }
    // The kernel's buffers on both sides of the loopback connection add to the limit of 1 MiB.
    assert!(sent < 64 << 20, "{sent} bytes were taken");
}

/// Guards against slow clients that block other requests or keep their connection without a time limit.
#[test_case("", ""; "nothing")]
#[test_case("GET / HT", ""; "slow headers")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab", "HTTP/1.1 400 "; "slow body")]
#[tokio::test]
async fn slow_senders_block_no_other_request(sent: &str, answer: &str) {
    let listener = listen(echo(), None, Limits::default()).await;
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    assert!(
        exchange(listener.address(), &closing_request("/"))
            .await
            .ends_with("ok")
    );
    tokio::time::pause();
    let paused_at = tokio::time::Instant::now();
    for mut stream in slow {
        assert!(read_to_close(&mut stream).await.starts_with(answer));
    }
    // Simulated time: the limit is 10,000 ms, well below the one for idle connections.
    assert!(paused_at.elapsed() <= Duration::from_millis(10_100));
}

/// Guards against an API that reports a slow body as a malformed one.
#[tokio::test]
async fn slow_body_has_its_own_code() {
    let directory = Directory::open();
    let (_, router) = app(&directory);
    let listener = listen(router, None, Limits::default()).await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let request = "POST /v1/jobs HTTP/1.1\r\nhost: a\r\nauthorization: Bearer other\r\ncontent-length: 9\r\n\r\n{";
    stream.write_all(request.as_bytes()).await.unwrap();
    exchange(listener.address(), &closing_request("/")).await;
    tokio::time::pause();
    let answer = read_to_close(&mut stream).await;
    assert!(
        answer.starts_with("HTTP/1.1 408 ") && answer.contains("body_too_slow"),
        "{answer}"
    );
}

/// Guards against concurrent bodies that together exhaust the memory of a small host.
#[tokio::test]
async fn bodies_are_limited_together() {
    let limits = Limits {
        body_bytes: 1_024,
        bodies_bytes: 1_500,
        ..Limits::default()
    };
    let listener = listen(echo(), None, limits).await;
    let post = |length: usize| {
        format!(
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        )
    };
    let mut slow = TcpStream::connect(listener.address()).await.unwrap();
    let head = post(1_000).replace("connection: close", "expect: 100-continue");
    slow.write_all(head.as_bytes()).await.unwrap();
    // The listener has answered "100 Continue", so it has reserved the memory for the body.
    slow.read_exact(&mut [0; 12]).await.unwrap();
    let refused = exchange(listener.address(), &post(600)).await;
    assert!(
        refused.starts_with("HTTP/1.1 429 ") && refused.contains("primrose-outcome: not-run"),
        "{refused}"
    );
    let small = exchange(listener.address(), &(post(4) + "abcd")).await;
    assert!(small.ends_with('4'), "{small}");
    drop(slow);
    let body = "x".repeat(600);
    while !exchange(listener.address(), &(post(600) + &body))
        .await
        .ends_with("600")
    {
        tokio::task::yield_now().await;
    }
}

/// Guards against a TLS handshake without a time limit.
#[tokio::test]
async fn silent_handshake_ends() {
    let directory = Directory::open();
    let files = Authority::open(&directory, "own").sign(&directory, "host", false);
    let tls = Arc::new(ServerTls::open(&files, ClientCertificates::NotRequested).unwrap());
    let listener = listen(echo(), Some(tls), Limits::default()).await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    tokio::time::pause();
    let paused_at = tokio::time::Instant::now();
    assert_eq!(read_to_close(&mut stream).await, "");
    assert!(paused_at.elapsed() <= Duration::from_millis(5_100));
}

/// Guards against headers without a limit on their number and size.
#[test_case(&"x: y\r\n".repeat(64); "many headers")]
#[test_case(&format!("x: {}\r\n", "y".repeat(20_000)); "large header")]
#[tokio::test]
async fn large_headers_are_refused(headers: &str) {
    let listener = listen(echo(), None, Limits::default()).await;
    let request = format!("GET / HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    let answer = exchange(listener.address(), &request).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

/// Guards against an unlimited number of connections, and against a listener that stays full after some have closed.
#[tokio::test]
async fn connections_are_limited() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let listener = listen(echo(), None, limits).await;
    let mut held = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .await
            .unwrap();
        stream.read_exact(&mut [0; 12]).await.unwrap();
        held.push(stream);
    }
    assert_eq!(
        exchange(listener.address(), &closing_request("/")).await,
        ""
    );
    held.pop();
    while !exchange(listener.address(), &closing_request("/"))
        .await
        .ends_with("ok")
    {
        tokio::task::yield_now().await;
    }
}

/// Guards against a shutdown that aborts a request in flight or accepts new connections.
#[tokio::test]
async fn stop_lets_requests_finish() {
    let (request_started, finish_request) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let waiting = {
        let (request_started, finish_request) = (request_started.clone(), finish_request.clone());
        || async move {
            request_started.notify_one();
            finish_request.notified().await;
            "finished"
        }
    };
    let listener = listen(
        Router::new().route("/", post(waiting)),
        None,
        Limits::default(),
    )
    .await;
    let address = listener.address();
    let request = "POST / HTTP/1.1\r\nhost: a\r\n\r\n";
    let in_flight = tokio::spawn(async move { exchange(address, request).await });
    request_started.notified().await;
    let stopping = tokio::spawn(listener.stop(20_000));
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    finish_request.notify_one();
    assert!(in_flight.await.unwrap().ends_with("finished"));
    assert!(stopping.await.unwrap());
}

/// Guards against idle connections that stay open, and against active connections that are closed as idle.
#[tokio::test(start_paused = true)]
async fn idle_stream_ends() {
    let (mut near, far) = tokio::io::duplex(16);
    let mut idle = IdleTimeout::new(far, 1_000);
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_millis(900)).await;
        near.write_all(b"x").await.unwrap();
        assert_eq!(idle.read_u8().await.unwrap(), b'x');
    }
    let limit = Duration::from_millis(1_100);
    let read = tokio::time::timeout(limit, idle.read_u8()).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    idle.write_all(&[0; 16]).await.unwrap();
    let written = tokio::time::timeout(limit, idle.write_all(&[0; 1])).await;
    assert_eq!(
        written.unwrap().unwrap_err().kind(),
        std::io::ErrorKind::TimedOut
    );
}
