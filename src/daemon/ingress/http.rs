//! HTTP over the connections of a listener.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::daemon::ingress::limiter::{Connection, Limiter, Metered};
use crate::daemon::ingress::table::{Limit, Phase};
use crate::logs::Line;

/// Limit that hyper has by itself. Setting one, also the same, makes it allocate for each request.
const HEADERS_BUILT_IN: usize = 100;

const ACCEPT_RETRY_MS: u64 = 100;

/// What is discarded of a connection after its last response, before it is reset: more than a body within the limits.
const DRAIN_MAX_BYTES: usize = 512 << 10;

/// Answers the requests of a listener.
pub trait Service: 'static {
    fn answer(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> impl Future<Output = Response<Full<Bytes>>>;

    fn head_max_bytes(&self) -> usize {
        16_384
    }

    /// Whether connections have to end.
    fn is_stopping(&self) -> bool {
        false
    }
}

/// Serves a listener until the process ends.
pub async fn serve(limiter: Rc<Limiter>, listener: TcpListener, service: Rc<impl Service>) {
    let accept = async {
        loop {
            let (stream, sender) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    Line::warn("accept_failed").with_reason(error).write();
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                Line::debug("no_delay_refused").with_reason(error).write();
            }
            if let Some(stream) = limiter.admit(stream, sender.ip()) {
                tokio::task::spawn_local(serve_connection(stream, Rc::clone(&service)));
            }
            // Lets connections that were told to close release their descriptors.
            tokio::task::yield_now().await;
        }
    };
    tokio::join!(accept, limiter.sweep(|| service.is_stopping()));
}

async fn serve_connection<S: Service>(stream: Metered, service: Rc<S>) {
    let connection = Rc::clone(&stream.connection);
    let limits = connection.limiter().limits;
    let head_max_bytes = service.head_max_bytes().max(8_192);
    let respond = service_fn(|request| {
        let service = Rc::clone(&service);
        let connection = Rc::clone(&connection);
        Box::pin(async move {
            let is_last = connection.begin_request();
            let mut reply = service.answer(request, &connection).await;
            if is_last {
                connection.limiter().report(Limit::Pipelined);
            }
            if is_last || service.is_stopping() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            connection.set_phase(Phase::Answer);
            Ok::<_, Infallible>(reply)
        })
    });
    // The times for heads and for idle connections are those of the limiter.
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(head_max_bytes);
    if limits.headers_max != HEADERS_BUILT_IN {
        builder.max_headers(limits.headers_max);
    }
    let mut http = builder.serve_connection(TokioIo::new(stream), respond);
    let result = loop {
        tokio::select! {
            result = poll_fn(|cx| http.poll_without_shutdown(cx)) => break result,
            at_once = connection.told_to_close() => {
                if at_once {
                    return;
                }
                Pin::new(&mut http).graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        Line::debug("connection_ended").with_reason(&error).write();
        if error.is_parse_too_large() {
            connection.limiter().report(Limit::HeadSize);
        }
        if !error.is_parse() {
            return;
        }
    }
    drain(http.into_parts().io.into_inner(), &connection).await;
}

/// Ends a connection after its last response. The operating system would reset one with unread bytes, and the caller could
/// lose the response.
async fn drain(mut stream: Metered, connection: &Connection) {
    connection.set_phase(Phase::Draining);
    let discard = async {
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut buffer = vec![0; 4_096];
        let mut discarded = 0;
        while discarded < DRAIN_MAX_BYTES {
            let Ok(read @ 1..) = stream.read(&mut buffer).await else {
                return;
            };
            discarded += read;
        }
    };
    // A stop of the process does not end this: it takes a second at most.
    let told_at_once = async { while !connection.told_to_close().await {} };
    tokio::select! {
        () = discard => {}
        () = told_at_once => {}
    }
}
