//! Metrics: OpenTelemetry instruments, scraped as Prometheus text.

use std::sync::Arc;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use primrosestack_core::event::{
    LogEvent, NotRun, ServerCommand, ServerReply, StoreCall, StoreReply,
};
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::labels::LabelSet;

/// Most values of the label `team`; the first teams seen are kept. With 8 pairs of outcome and reason, 970 teams would
/// exceed the 2,000 series that OpenTelemetry keeps per instrument; 128 teams make 1,032 series.
pub const TEAM_LIMIT: usize = 128;

/// Most values of the label `service`.
pub const SERVICE_LIMIT: usize = 32;

/// Most values of the label `failure_domain`; the design size has 36.
pub const FAILURE_DOMAIN_LIMIT: usize = 40;

/// The last finite bucket ends at the longest deadline.
const LATENCY_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    15_000.0,
];

/// Why metrics could not be set up or scraped.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter could not be built.
    #[snafu(display("cannot build the metrics exporter"))]
    Build {
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics could not be encoded.
    #[snafu(display("cannot encode metrics"))]
    Encode { source: prometheus::Error },
}

/// Outcome of a request as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte reached a backend server, or the server refused before starting.
    NotRun(NotRun),
    /// The server answered with this HTTP status.
    Answered(u16),
    /// It is unknown whether the request ran.
    Unknown,
}

/// One finished request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord<'a> {
    /// Team of the caller.
    pub team: &'a str,
    pub service: &'a str,
    /// Failure domain that served the request, or that of this host if none did.
    pub failure_domain: &'a str,
    pub outcome: Outcome,
    /// Time from the last byte of the request head to the end of the answer, in milliseconds.
    pub latency_ms: f64,
}

/// What happened to a batch task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// An attempt started.
    Started,
    /// The task ended, with success or not.
    Ended,
    /// The task was checkpointed and stopped to free capacity.
    Evicted,
    /// An attempt started from a checkpoint; counted in addition to `Started`.
    Resumed,
    /// The task was parked.
    Parked,
}

/// Direction of a peer frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Sent,
    Received,
}

struct Instruments {
    registry: Registry,
    // Instruments stop counting when their provider is dropped.
    _provider: SdkMeterProvider,
    teams: LabelSet,
    services: LabelSet,
    failure_domains: LabelSet,
    request_ms: Histogram<f64>,
    requests: Counter<u64>,
    service_requests: Counter<u64>,
    tasks: Counter<u64>,
    store_calls: Counter<u64>,
    peer_frames: Counter<u64>,
    peer_bytes: Counter<u64>,
    documents: Gauge<u64>,
    shards: Gauge<u64>,
    configuration: ConfigurationGauges,
    evacuated_domains: Gauge<u64>,
    evacuated_work: Counter<u64>,
    events: Counter<u64>,
    answers: Counter<u64>,
    answer_ms: Histogram<f64>,
    start_wait_ms: Histogram<f64>,
    start_urgencies: Counter<u64>,
    caller_limits: Counter<u64>,
    caller_connections: Gauge<u64>,
    caller_body_bytes: Gauge<u64>,
}

struct ConfigurationGauges {
    version: Gauge<u64>,
    confirmed: Gauge<u64>,
}

impl ConfigurationGauges {
    fn open(meter: &Meter) -> Self {
        Self {
            version: gauge(
                meter,
                "primrose_configuration_version",
                "Version of the operator's configuration by which this host answers",
            ),
            confirmed: gauge(
                meter,
                "primrose_configuration_confirmed_timestamp_seconds",
                "Time at which this host last read or confirmed the configuration, in Unix seconds",
            ),
        }
    }
}

/// Opens a registry and the provider that exports to it.
fn open_provider() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .scope_info_enabled(false)
        .without_target_info()
        .build()
        .context(BuildSnafu)?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// Handle to the metrics of the process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    instruments: Arc<Instruments>,
}

impl Metrics {
    /// Sets up the metrics of one process.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Build`] if the exporter cannot be built.
    pub fn open() -> Result<Self, MetricsError> {
        let (registry, provider) = open_provider()?;
        let meter = provider.meter("primrosestack");
        let instruments = Instruments {
            registry,
            _provider: provider,
            teams: LabelSet::new(TEAM_LIMIT),
            services: LabelSet::new(SERVICE_LIMIT),
            failure_domains: LabelSet::new(FAILURE_DOMAIN_LIMIT),
            request_ms: latency_histogram(
                &meter,
                "primrose_request_duration_ms",
                "Latency of requests in milliseconds",
            ),
            requests: counter(
                &meter,
                "primrose_requests",
                "Requests by team, outcome and reason",
            ),
            service_requests: counter(
                &meter,
                "primrose_service_requests",
                "Requests by service and outcome",
            ),
            tasks: counter(&meter, "primrose_tasks", "Task events by kind"),
            store_calls: counter(
                &meter,
                "primrose_store_calls",
                "Store calls by kind and result",
            ),
            peer_frames: counter(&meter, "primrose_peer_frames", "Peer frames by direction"),
            peer_bytes: counter(
                &meter,
                "primrose_peer_frame_bytes",
                "Bytes of peer frames by direction",
            ),
            documents: gauge(
                &meter,
                "primrose_documents_in_force",
                "Service documents in force",
            ),
            shards: gauge(
                &meter,
                "primrose_shards_owned",
                "Shards that this host owns",
            ),
            configuration: ConfigurationGauges::open(&meter),
            evacuated_domains: gauge(
                &meter,
                "primrose_evacuated_failure_domains",
                "Evacuated failure domains known to this host",
            ),
            evacuated_work: counter(
                &meter,
                "primrose_evacuated_work",
                "Jobs and tasks that left evacuated failure domains by kind",
            ),
            events: counter(&meter, "primrose_events", "Decisions by event"),
            answers: counter(
                &meter,
                "primrose_answers",
                "Answers to callers by method and status",
            ),
            answer_ms: latency_histogram(
                &meter,
                "primrose_answer_duration_ms",
                "Time of answers to callers in milliseconds",
            ),
            start_wait_ms: latency_histogram(
                &meter,
                "primrose_start_wait_ms",
                "Time from readiness to the order of a start in milliseconds",
            ),
            start_urgencies: counter(
                &meter,
                "primrose_starts_by_urgency",
                "Starts by what their jobs can still reach",
            ),
            caller_limits: counter(
                &meter,
                "primrose_caller_limits",
                "Limits reached by callers, by port and limit",
            ),
            caller_connections: gauge(
                &meter,
                "primrose_caller_connections",
                "Open connections by port",
            ),
            caller_body_bytes: gauge(
                &meter,
                "primrose_caller_body_bytes",
                "Bytes of bodies that are read or being stored, by port",
            ),
        };
        Ok(Self {
            instruments: Arc::new(instruments),
        })
    }

    /// Counts a finished request.
    pub fn record_request(&self, record: &RequestRecord<'_>) {
        let instruments = &*self.instruments;
        let service = label("service", instruments.services.bounded(record.service));
        let domain = instruments.failure_domains.bounded(record.failure_domain);
        let team = label("team", instruments.teams.bounded(record.team));
        let outcome = KeyValue::new("outcome", outcome_name(record.outcome));
        let reason = KeyValue::new("reason", reason_name(record.outcome));
        let labels = [service.clone(), label("failure_domain", domain)];
        instruments.request_ms.record(record.latency_ms, &labels);
        instruments
            .service_requests
            .add(1, &[service, outcome.clone()]);
        instruments.requests.add(1, &[team, outcome, reason]);
    }

    /// Counts a decision by its event name.
    pub fn record_decision(&self, event: &'static str) {
        self.instruments
            .events
            .add(1, &[KeyValue::new("event", event)]);
    }

    /// Records the time for which a task was ready before its start was ordered, in milliseconds.
    pub fn record_start_wait(&self, wait_ms: f64) {
        self.instruments.start_wait_ms.record(wait_ms, &[]);
    }

    /// Counts a start by the urgency of its job, as logged.
    pub fn record_start_urgency(&self, urgency: u64) {
        let name = match urgency {
            0 => "on_time",
            1 => "late",
            _ => "expired",
        };
        let urgency = KeyValue::new("urgency", name);
        self.instruments.start_urgencies.add(1, &[urgency]);
    }

    /// Records an answer to a caller.
    pub fn record_answer(&self, method: &'static str, status: u16, took_ms: f64) {
        let method = KeyValue::new("method", method);
        let status = KeyValue::new("status", i64::from(status));
        self.instruments.answers.add(1, &[method.clone(), status]);
        self.instruments.answer_ms.record(took_ms, &[method]);
    }

    /// Counts a limit that callers reached.
    pub fn record_caller_limit(&self, port: &'static str, limit: &'static str) {
        let labels = [KeyValue::new("port", port), KeyValue::new("limit", limit)];
        self.instruments.caller_limits.add(1, &labels);
    }

    /// Sets the connections of a port and the bytes of their bodies.
    pub fn set_caller_load(&self, port: &'static str, connections: usize, body_bytes: usize) {
        let labels = [KeyValue::new("port", port)];
        let instruments = &*self.instruments;
        instruments
            .caller_connections
            .record(connections as u64, &labels);
        instruments
            .caller_body_bytes
            .record(body_bytes as u64, &labels);
    }

    /// Counts an event of a batch task.
    pub fn record_task(&self, event: TaskEvent) {
        let name = match event {
            TaskEvent::Started => "started",
            TaskEvent::Ended => "ended",
            TaskEvent::Evicted => "evicted",
            TaskEvent::Resumed => "resumed",
            TaskEvent::Parked => "parked",
        };
        self.instruments
            .tasks
            .add(1, &[KeyValue::new("event", name)]);
    }

    /// Counts a start that a backend server confirmed.
    pub fn record_command(&self, command: &ServerCommand, reply: &ServerReply) {
        let ServerCommand::Start { resume, .. } = command else {
            return;
        };
        if *reply != ServerReply::Done {
            return;
        }
        self.record_task(TaskEvent::Started);
        if resume.is_some() {
            self.record_task(TaskEvent::Resumed);
        }
    }

    /// Counts the task event that a log event of a shard reports, if any.
    pub fn record_log_event(&self, log_event: &LogEvent) {
        match log_event.event {
            "task_evicted" => self.record_task(TaskEvent::Evicted),
            "job_parked" => self.record_task(TaskEvent::Parked),
            _ => {}
        }
    }

    /// Counts a store call by kind and result.
    pub fn record_store_call(&self, call: &StoreCall, reply: &StoreReply) {
        let kind = match call {
            StoreCall::Read { .. } => "read",
            StoreCall::CompareAndSwap { .. } => "swap",
            StoreCall::Delete { .. } => "delete",
        };
        let result = match reply {
            StoreReply::Value { .. } => "value",
            StoreReply::Written { .. } => "written",
            StoreReply::Conflict => "conflict",
            StoreReply::Unavailable => "unavailable",
            StoreReply::Lost => "lost",
        };
        self.record_store(kind, result);
    }

    /// Counts a store call outside the core, such as `range` or `watch`.
    pub fn record_store(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.instruments.store_calls.add(1, &labels);
    }

    /// Counts a peer frame of `bytes` bytes including its length prefix.
    pub fn record_peer_frame(&self, direction: Direction, bytes: u64) {
        let name = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        let labels = [KeyValue::new("direction", name)];
        self.instruments.peer_frames.add(1, &labels);
        self.instruments.peer_bytes.add(bytes, &labels);
    }

    /// Sets the number of service documents in force.
    pub fn set_documents(&self, count: u64) {
        self.instruments.documents.record(count, &[]);
    }

    /// Sets the number of shards that this host owns.
    pub fn set_shards(&self, count: u64) {
        self.instruments.shards.record(count, &[]);
    }

    pub fn set_configuration_version(&self, version: u64) {
        self.instruments.configuration.version.record(version, &[]);
    }

    /// Sets when the configuration was last read or confirmed.
    pub fn set_configuration_confirmed(&self, unix_s: u64) {
        self.instruments.configuration.confirmed.record(unix_s, &[]);
    }

    /// Sets the number of evacuated failure domains that this host knows of.
    pub fn set_evacuated_domains(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.instruments.evacuated_domains.record(count, &[]);
    }

    /// Counts a `job` or `task` that left an evacuated failure domain.
    pub fn record_evacuated_work(&self, kind: &'static str) {
        self.instruments
            .evacuated_work
            .add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Encode`] if a metric cannot be encoded.
    pub fn scrape(&self) -> Result<String, MetricsError> {
        let families = self.instruments.registry.gather();
        let mut bytes = Vec::new();
        TextEncoder::new()
            .encode(&families, &mut bytes)
            .context(EncodeSnafu)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn latency_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
        .build()
}

fn label(key: &'static str, value: Arc<str>) -> KeyValue {
    KeyValue::new(key, StringValue::from(value))
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun(_) => "not_run",
        Outcome::Answered(_) => "answered",
        Outcome::Unknown => "unknown",
    }
}

fn reason_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun(NotRun::NotOwner) => "not_owner",
        Outcome::NotRun(NotRun::StoreUnavailable) => "store_unavailable",
        Outcome::NotRun(NotRun::Overloaded) => "overloaded",
        Outcome::NotRun(NotRun::TooLarge) => "too_large",
        Outcome::NotRun(NotRun::ShuttingDown) => "shutting_down",
        Outcome::Answered(status) if status >= 500 => "server_error",
        Outcome::Answered(_) | Outcome::Unknown => "none",
    }
}
