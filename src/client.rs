//! Client of the administration API.

use axum::body::Body;
use axum::http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::time::Duration;

use crate::extract::IDEMPOTENCY_KEY;
use crate::model::{
    CancelJobs, DocumentAccepted, DocumentHistory, DocumentPage, DocumentView, HostList,
    JobAccepted, JobName, JobPage, JobView, JobsCancelled, PageQuery, ServerGone, ServerPage,
    SubmitJob,
};
use crate::problem::{Code, Problem};
use crate::settings::ClientSettings;
use crate::stream::{Stream, StreamError};
use crate::tls::{ClientTls, TlsError, server_name};

const CONNECT_TIMEOUT_MS: u64 = 5_000;

/// Longer than the server waits for the store.
const CALL_TIMEOUT_MS: u64 = 30_000;

/// A page of 1,000 servers has about 500 KiB.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The address is missing.
    #[snafu(display("no address: expected --address or PRIMROSESTACK_ADDRESS"))]
    NoAddress,
    /// The address is not a valid URL.
    #[snafu(display("address {address:?}: expected http://HOST:PORT or https://HOST:PORT"))]
    BadAddress { address: String },
    /// An `https` address requires an authority file.
    #[snafu(display("no authority: expected --authority or PRIMROSESTACK_AUTHORITY_FILE"))]
    NoAuthority,
    /// The authority file cannot be used.
    #[snafu(display("cannot use the authority file: {source}"))]
    Tls { source: TlsError },
    /// The token is not a valid header value.
    #[snafu(display("token: expected printable ASCII characters"))]
    BadToken,
    /// A name contains characters that are not allowed in a path or query.
    #[snafu(display("{name:?}: expected letters, digits, `-`, `_`, `.` and `:`"))]
    BadName { name: String },
    /// The connection could not be made, so nothing was sent.
    #[snafu(display("not run: {source} ({address})"))]
    Connect {
        address: String,
        source: StreamError,
    },
    /// The connection failed after all or part of the call was sent.
    #[snafu(display("outcome unknown: the connection failed; the call can be repeated safely"))]
    ConnectionLost { source: hyper::Error },
    /// The answer did not arrive in time.
    #[snafu(display(
        "outcome unknown: no answer after {CALL_TIMEOUT_MS} ms; the call can be repeated safely"
    ))]
    Timeout,
    /// The answer is not one of the administration API, or too large.
    #[snafu(display("status {status}: expected an answer of primrosestack"))]
    UnreadableAnswer { status: StatusCode },
    /// The call was refused.
    #[snafu(display("{}", refusal_text(problem)))]
    Refused { problem: Box<Problem> },
}

impl ClientError {
    /// Returns whether the failure is temporary, so that the same call may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Connect { .. }
            | Self::ConnectionLost { .. }
            | Self::Timeout
            | Self::UnreadableAnswer { .. } => true,
            Self::Refused { problem } => {
                problem.code.is_not_run() || problem.code == Code::OutcomeUnknown
            }
            _ => false,
        }
    }
}

fn refusal_text(problem: &Problem) -> String {
    let mut text = problem.title.clone();
    if let Some(detail) = &problem.detail {
        text = format!("{text}: {detail}");
    }
    if let Some(revision) = problem.current_revision {
        text = format!("{text}; current revision: {revision}");
    }
    text
}

struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn with_body(mut self, body: impl Into<String>) -> Self {
        self.body = body.into();
        self
    }

    fn with_json(self, body: &impl Serialize) -> Self {
        // Serializing the API types cannot fail.
        self.with_body(serde_json::to_string(body).unwrap_or_default())
    }
}

/// Client of one administration listener, with a new connection for each call.
pub struct Client {
    host: String,
    port: u16,
    tls: Option<ClientTls>,
    token: Option<HeaderValue>,
}

impl Client {
    /// Creates a client; it connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the settings cannot be used.
    pub fn open(settings: ClientSettings) -> Result<Self, ClientError> {
        let address = settings.address.context(NoAddressSnafu)?;
        let full = if address.contains("://") {
            address.clone()
        } else {
            format!("http://{address}")
        };
        let uri: Option<Uri> = full.parse().ok();
        let uri = uri.context(BadAddressSnafu { address: &address })?;
        let host = uri.host().context(BadAddressSnafu { address: &address })?;
        let port = uri.port_u16();
        let tls = match uri.scheme_str() {
            Some("http") => None,
            Some("https") => {
                let file = settings.authority_file.context(NoAuthoritySnafu)?;
                Some(ClientTls::open_authority(file).context(TlsSnafu)?)
            }
            _ => return BadAddressSnafu { address }.fail(),
        };
        let token = match settings.token {
            None => None,
            Some(token) => {
                let bearer = HeaderValue::try_from(format!("Bearer {token}"));
                let mut bearer = bearer.ok().context(BadTokenSnafu)?;
                bearer.set_sensitive(true);
                Some(bearer)
            }
        };
        Ok(Self {
            host: host.trim_matches(['[', ']']).to_owned(),
            port: port.context(BadAddressSnafu { address: &address })?,
            tls,
            token,
        })
    }

    /// Lists documents.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn documents(&self, query: &PageQuery) -> Result<DocumentPage, ClientError> {
        self.get(list_path("/v1/documents", query)?).await
    }

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn document(&self, team: &str) -> Result<DocumentView, ClientError> {
        self.get(format!("/v1/documents/{}", check_name(team)?))
            .await
    }

    /// Writes a document in place of revision `expected`, or the first one of a team.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn put_document(
        &self,
        team: &str,
        expected: Option<u64>,
        text: impl Into<String>,
    ) -> Result<DocumentAccepted, ClientError> {
        let path = format!("/v1/documents/{}", check_name(team)?);
        let mut call = Call::new(Method::PUT, path).with_body(text);
        if let Some(expected) = expected {
            call = call.with_header("if-match", format!("\"{expected}\""));
        }
        self.send(call).await
    }

    /// Returns the revision of a document in force in each failure domain.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn document_history(&self, team: &str) -> Result<DocumentHistory, ClientError> {
        let path = format!("/v1/documents/{}/history", check_name(team)?);
        self.get(path).await
    }

    /// Submits a job under an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn submit(&self, key: &str, job: &SubmitJob) -> Result<JobAccepted, ClientError> {
        let call = Call::new(Method::POST, "/v1/jobs")
            .with_header(IDEMPOTENCY_KEY, key)
            .with_json(job);
        self.send(call).await
    }

    /// Lists jobs.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn jobs(&self, query: &PageQuery) -> Result<JobPage, ClientError> {
        self.get(list_path("/v1/jobs", query)?).await
    }

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn job(&self, job: JobName) -> Result<JobView, ClientError> {
        self.get(format!("/v1/jobs/{job}")).await
    }

    /// Cancels jobs.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn cancel(&self, jobs: Vec<JobName>) -> Result<JobsCancelled, ClientError> {
        let call = Call::new(Method::POST, "/v1/jobs/cancel").with_json(&CancelJobs { jobs });
        self.send(call).await
    }

    /// Lists the entry hosts.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn hosts(&self) -> Result<HostList, ClientError> {
        self.get("/v1/hosts".to_owned()).await
    }

    /// Lists backend servers.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn servers(&self, query: &PageQuery) -> Result<ServerPage, ClientError> {
        self.get(list_path("/v1/servers", query)?).await
    }

    /// Declares that a backend server is gone.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the call fails or is refused.
    pub async fn declare_gone(&self, server: &str) -> Result<ServerGone, ClientError> {
        let path = format!("/v1/servers/{}/gone", check_name(server)?);
        self.send(Call::new(Method::POST, path)).await
    }

    async fn get<T: DeserializeOwned>(&self, path: String) -> Result<T, ClientError> {
        self.send(Call::new(Method::GET, path)).await
    }

    async fn send<T: DeserializeOwned>(&self, call: Call) -> Result<T, ClientError> {
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let exchanged = tokio::time::timeout(limit, self.exchange(call)).await;
        let (status, body) = exchanged.map_err(|_| ClientError::Timeout)??;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .ok()
                .context(UnreadableAnswerSnafu { status });
        }
        let problem: Option<Problem> = serde_json::from_slice(&body).ok();
        let problem = Box::new(problem.context(UnreadableAnswerSnafu { status })?);
        RefusedSnafu { problem }.fail()
    }

    async fn exchange(&self, call: Call) -> Result<(StatusCode, Bytes), ClientError> {
        let request = self.request(call)?;
        let address = format!("{}:{}", self.host, self.port);
        let tls = match &self.tls {
            None => None,
            Some(tls) => {
                let name = server_name(&self.host);
                let name = name.context(BadAddressSnafu { address: &address })?;
                Some((tls, name))
            }
        };
        let target = (self.host.as_str(), self.port);
        let connected = Stream::connect(target, tls, CONNECT_TIMEOUT_MS).await;
        let stream = connected.context(ConnectSnafu { address })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(ConnectionLostSnafu)?;
        let connection = tokio::spawn(connection);
        let answer = sender
            .send_request(request)
            .await
            .context(ConnectionLostSnafu)?;
        let status = answer.status();
        let body = Limited::new(Body::new(answer.into_body()), ANSWER_MAX_BYTES);
        let collected = body.collect().await;
        connection.abort();
        let collected = collected.ok().context(UnreadableAnswerSnafu { status })?;
        Ok((status, collected.to_bytes()))
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(&call.path)
            .header(header::HOST, format!("{}:{}", self.host, self.port));
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token);
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let built = request.body(Full::new(Bytes::from(call.body)));
        built.ok().context(BadNameSnafu { name: call.path })
    }
}

/// Checks that a name needs no escaping in a path or query.
fn check_name(name: &str) -> Result<&str, ClientError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    let is_plain = !name.is_empty() && name.bytes().all(allowed) && name != "." && name != "..";
    ensure!(is_plain, BadNameSnafu { name });
    Ok(name)
}

fn list_path(path: &str, query: &PageQuery) -> Result<String, ClientError> {
    let limit = query.limit.map(|limit| SmolStr::from(limit.to_string()));
    let fields = [
        ("team", &query.team),
        ("failure_domain", &query.failure_domain),
        ("after", &query.after),
        ("limit", &limit),
    ];
    let mut full = path.to_owned();
    let mut separator = '?';
    for (name, value) in fields {
        let Some(value) = value else {
            continue;
        };
        full.push(separator);
        full.push_str(name);
        full.push('=');
        full.push_str(check_name(value)?);
        separator = '&';
    }
    Ok(full)
}
