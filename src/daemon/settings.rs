//! Settings of the daemon: JSON with comments, rendered by the deployment from `deploy/settings.jsonc`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use primrosestack_fleet::headroom::floor_u32;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum DaemonSettingsError {
    /// Nobody names a file.
    #[snafu(display("no settings file: expected --settings FILE or the deployment's variable"))]
    NoFile,
    /// The file cannot be read.
    #[snafu(display("cannot read settings file {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not JSON with comments.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: jsonc_parser::errors::ParseError,
    },
    /// A value has another form than expected.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[snafu(display("settings file {}: {field} is {found}, expected {expected}", path.display()))]
    Range {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        expected: &'static str,
    },
}

/// Settings of the daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the entry host.
    pub name: SmolStr,
    /// Failure domain of the entry host.
    pub failure_domain: SmolStr,
    /// All failure domains.
    pub failure_domains: Vec<SmolStr>,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for the balancer's probes.
    pub ready_address: SocketAddr,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Address on which the metrics are served, under `/metrics`.
    pub metrics_address: SocketAddr,
    /// Address of the store.
    pub store_address: SmolStr,
    /// Address of the advisor; empty if there is none.
    #[serde(default)]
    pub advisor_address: SmolStr,
    /// How servers receive orders.
    pub control_mode: SmolStr,
    /// Longest lease that a server grants, in milliseconds.
    pub lease_max_ms: u64,
    /// Time within which a server stops a task, in milliseconds.
    pub task_stop_ms: u64,
    /// Time for which the state of an ended job can be asked for, in seconds.
    pub retention_s: u64,
    /// Interval of the servers' registrations, in milliseconds.
    pub heartbeat_ms: u64,
    /// Share of each processor that the host may use.
    #[serde(default = "default_cpu")]
    pub cpu_share: f64,
    /// Processors of the host, in units of the deployment's usual one.
    #[serde(default = "default_cpu")]
    pub cpu_cores: f64,
    /// Processor time that the host may use, in thousandths of a core; computed.
    #[serde(skip)]
    pub cpu_millis: u32,
    /// Time for an orderly stop, in seconds.
    pub stop_s: u64,
    /// The same in milliseconds; computed.
    #[serde(skip)]
    pub stop_ms: u64,
    /// Time for which a stopping host still answers, in milliseconds: two probes of the balancer.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    /// Log level.
    #[serde(default = "default_log_level")]
    pub log_level: SmolStr,
}

fn default_cpu() -> f64 {
    1.0
}

fn default_leave_ms() -> u64 {
    2_200
}

fn default_log_level() -> SmolStr {
    "info".into()
}

impl DaemonSettings {
    /// Reads the file named by the command line, or else by the deployment.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonSettingsError`] if there is no file that can be used.
    pub fn open_named(path: Option<PathBuf>) -> Result<Self, DaemonSettingsError> {
        let path = path
            .or_else(primrosestack_platform::settings_path)
            .context(NoFileSnafu)?;
        Self::open(&path)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonSettingsError`] if the file cannot be used.
    pub fn open(path: &Path) -> Result<Self, DaemonSettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let value =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
        let value = value.context(ParseSnafu { path })?.unwrap_or_default();
        let mut settings: Self = serde_json::from_value(value).context(FormSnafu { path })?;
        settings.stop_ms = settings.stop_s * 1_000;
        settings.cpu_millis = floor_u32(settings.cpu_share * settings.cpu_cores * 1_000.0);
        settings.failure_domains.sort();
        ensure!(
            settings.control_mode == "invocation",
            RangeSnafu {
                path,
                field: "control_mode",
                found: &*settings.control_mode,
                expected: "invocation"
            }
        );
        ensure!(
            settings.lease_max_ms >= 2_000,
            RangeSnafu {
                path,
                field: "lease_max_ms",
                found: settings.lease_max_ms.to_string(),
                expected: "2000 or more"
            }
        );
        ensure!(
            settings
                .failure_domains
                .binary_search(&settings.failure_domain)
                .is_ok(),
            RangeSnafu {
                path,
                field: "failure_domain",
                found: &*settings.failure_domain,
                expected: "one of failure_domains"
            }
        );
        Ok(settings)
    }
}
