//! Why the example could not run to its end.

use std::path::PathBuf;

use primrosestack::http::HttpFailure;
use snafu::Snafu;

/// Why the example could not run to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DeploymentError {
    #[snafu(display("cannot {what}"))]
    Io {
        what: &'static str,
        source: std::io::Error,
    },
    #[snafu(display(
        "{} is missing: build it with `cargo build --release`",
        path.display()
    ))]
    NoBinary { path: PathBuf },
    #[snafu(display("no free loopback port between 18000 and 32000"))]
    NoPort,
    #[snafu(display("`cargo build --release` failed"))]
    Build,
    #[snafu(display("{what}: {source}"))]
    Http {
        what: &'static str,
        source: HttpFailure,
    },
    #[snafu(display("{what}: status {status}: {body}"))]
    Status {
        what: &'static str,
        status: u16,
        body: String,
    },
    #[snafu(display("{what} is not valid JSON"))]
    Json {
        what: &'static str,
        source: serde_json::Error,
    },
    #[snafu(display("{what} did not happen within {limit_ms} ms"))]
    Late { what: String, limit_ms: u64 },
    #[snafu(display("host {name} is not running"))]
    NotRunning { name: String },
    #[snafu(display("no entry host gave work to the servers of {domain}"))]
    NoOwner { domain: String },
    #[snafu(display("interrupted by a signal"))]
    Interrupted,
}
