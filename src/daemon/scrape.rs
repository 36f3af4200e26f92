//! HTTP endpoint for the metrics.

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::logs::Line;
use crate::metrics::Metrics;

/// Serves `GET /metrics` until the daemon stops.
pub async fn serve(metrics: Metrics, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(scrape))
        .with_state(metrics);
    if let Err(error) = axum::serve(listener, router).await {
        Line::error("metrics_not_served").with_reason(error).write();
    }
}

async fn scrape(State(metrics): State<Metrics>) -> (StatusCode, String) {
    match metrics.scrape() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
