//! HTTP endpoint for the metrics.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use crate::daemon::ingress::limiter::{Connection, Limiter};
use crate::daemon::ingress::{http, limits};
use crate::metrics::Metrics;

/// Serves `GET /metrics` until the daemon stops.
pub async fn serve(metrics: Metrics, listener: TcpListener) {
    let limiter = Limiter::open("metrics", limits::METRICS, metrics.clone());
    http::serve(limiter, listener, Rc::new(metrics)).await;
}

impl http::Service for Metrics {
    async fn answer(
        &self,
        request: Request<Incoming>,
        _: &Rc<Connection>,
    ) -> Response<Full<Bytes>> {
        let (status, text) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => match self.scrape() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            (_, "/metrics") => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut reply = Response::new(Full::from(text));
        *reply.status_mut() = status;
        let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
        reply.headers_mut().insert(CONTENT_TYPE, text_type);
        reply
    }
}
