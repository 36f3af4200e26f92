//! Fetches burn counts from entry hosts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, RootCertStore};
use smol_str::ToSmolStr as _;
use snafu::{IntoError as _, ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use crate::burn::{BurnReply, REPLY_VERSION};
use crate::burn_sum::HostResult;

/// 1,025 services make a reply of 3 MB at one request a second, and at most 6 MB with counters of ten digits.
const REPLY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Why a client could not be opened.
#[derive(Debug, Snafu)]
pub enum BurnClientError {
    /// A file could not be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file holds no usable certificate.
    #[snafu(display("{} holds no usable certificate", path.display()))]
    Certificate { path: PathBuf },
    /// The TLS settings are not supported.
    #[snafu(display("cannot set up TLS"))]
    Tls { source: rustls::Error },
}

/// Why the counts of a host could not be fetched.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The connection could not be made.
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    /// The TLS handshake failed.
    #[snafu(display("TLS failed: {source}"))]
    Handshake { source: std::io::Error },
    /// The connection failed after it was made.
    #[snafu(display("the connection failed: {source}"))]
    Exchange { source: hyper::Error },
    /// The request could not be built, for example because the token holds a line break.
    #[snafu(display("cannot build the request: {source}"))]
    Build { source: hyper::http::Error },
    /// The body was truncated or too large.
    #[snafu(display("the reply is truncated or exceeds {REPLY_MAX_BYTES} bytes"))]
    Body,
    /// Another status than 200.
    #[snafu(display("unexpected status {status}"))]
    Status { status: StatusCode },
    /// The body is not a valid reply.
    #[snafu(display("cannot decode the reply: {source}"))]
    Decode { source: serde_json::Error },
    /// The reply is of another version.
    #[snafu(display("unsupported reply version {version}, expected {REPLY_VERSION}"))]
    Version { version: u32 },
    /// No answer in time.
    #[snafu(display("no answer within {timeout_ms} ms"))]
    Timeout { timeout_ms: u64 },
}

/// Client of the burn route of entry hosts.
pub struct BurnClient {
    timeout_ms: u64,
    token: Option<String>,
    tls: Option<TlsConnector>,
}

impl BurnClient {
    /// Creates a client that connects without TLS and sends no token.
    #[must_use]
    pub fn open(timeout_ms: u64) -> Self {
        Self {
            timeout_ms,
            token: None,
            tls: None,
        }
    }

    /// Sends the token in the file, trimmed of white space.
    ///
    /// # Errors
    ///
    /// Returns [`BurnClientError::Read`] if the file cannot be read.
    pub fn with_token_file(mut self, path: &Path) -> Result<Self, BurnClientError> {
        let token = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        self.token = Some(token.trim().to_owned());
        Ok(self)
    }

    /// Connects over TLS and trusts the certificate authorities in the PEM file.
    ///
    /// # Errors
    ///
    /// Returns [`BurnClientError`] if the file cannot be read or holds no certificate.
    pub fn with_authority_file(mut self, path: &Path) -> Result<Self, BurnClientError> {
        let bytes = std::fs::read(path).context(ReadSnafu { path })?;
        let mut roots = RootCertStore::empty();
        let mut rest = bytes.as_slice();
        let certificates = rustls_pemfile::certs(&mut rest).flatten();
        let (added, _ignored) = roots.add_parsable_certificates(certificates);
        ensure!(added > 0, CertificateSnafu { path });
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .context(TlsSnafu)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        self.tls = Some(TlsConnector::from(Arc::new(config)));
        Ok(self)
    }

    /// Fetches the counts of all hosts concurrently.
    pub async fn fetch_all(&self, addresses: &[SocketAddr]) -> Vec<HostResult> {
        let fetch = |address: &SocketAddr| {
            let address = *address;
            async move {
                let result = self.fetch(address).await;
                HostResult {
                    address: address.to_smolstr(),
                    result: result.map_err(|error| error.to_smolstr()),
                }
            }
        };
        join_all(addresses.iter().map(fetch)).await
    }

    /// Fetches the counts of one host.
    ///
    /// # Errors
    ///
    /// Returns [`FetchError`] if there is no usable answer within the time limit.
    pub async fn fetch(&self, address: SocketAddr) -> Result<BurnReply, FetchError> {
        let limit = Duration::from_millis(self.timeout_ms);
        let timeout_ms = self.timeout_ms;
        match tokio::time::timeout(limit, self.connect_and_fetch(address)).await {
            Ok(result) => result,
            Err(_elapsed) => TimeoutSnafu { timeout_ms }.fail(),
        }
    }

    async fn connect_and_fetch(&self, address: SocketAddr) -> Result<BurnReply, FetchError> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        let Some(tls) = &self.tls else {
            return self.exchange(address, stream).await;
        };
        let name = ServerName::IpAddress(address.ip().into());
        let stream = tls.connect(name, stream).await.context(HandshakeSnafu)?;
        self.exchange(address, stream).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> Result<BurnReply, FetchError> {
        let mut request = Request::get("/v1/burn").header(HOST, address.to_string());
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Empty::<Bytes>::new()).context(BuildSnafu)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu)?;
        // Ends when `sender` is dropped; its errors also fail the request.
        tokio::spawn(connection);
        let answer = sender.send_request(request).await.context(ExchangeSnafu)?;
        let status = answer.status();
        ensure!(status == StatusCode::OK, StatusSnafu { status });
        let body = Limited::new(answer.into_body(), REPLY_MAX_BYTES);
        let Ok(body) = body.collect().await else {
            return BodySnafu.fail();
        };
        decode(&body.to_bytes())
    }
}

/// Decodes a reply.
///
/// # Errors
///
/// Returns [`FetchError`] if the bytes are not a reply of [`REPLY_VERSION`].
pub fn decode(bytes: &[u8]) -> Result<BurnReply, FetchError> {
    // The version is checked first, since a reply of another version may not fit the type.
    let value: serde_json::Value = serde_json::from_slice(bytes).context(DecodeSnafu)?;
    let version = value.get("version").and_then(serde_json::Value::as_u64);
    let version = version.and_then(|version| u32::try_from(version).ok());
    if let Some(version) = version {
        ensure!(version == REPLY_VERSION, VersionSnafu { version });
    }
    serde_json::from_value(value).map_err(|error| DecodeSnafu.into_error(error))
}
