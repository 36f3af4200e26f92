//! Settings of the daemon: JSON with comments, rendered by the deployment from `deploy/settings.jsonc`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use primrosestack_fleet::headroom::floor_u32;
use primrosestack_fleet::policy::Policy;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::daemon::ingress::limits::CallerLimits;

/// Owners need some heartbeats of the servers to learn that one is draining.
const DRAIN_MIN_MS: u64 = 1_500;

/// A start takes up to 0.5 s of this time, and the operator's requests have to be read several times in the rest.
const EVACUATION_MIN_MS: u64 = 1_500;

/// Bound on the time until a configuration is in force, if the deployment sets none.
const DEFAULT_CONFIGURATION_MS: u64 = 2_000;

/// Two watches and their answers have to fit into this time.
const CONFIGURATION_MIN_MS: u64 = 1_000;

/// Variables with values that the settings file leaves out, as the deployment sets them.
const CONFIGURATION_VARIABLE: &str = "PRIMROSESTACK_CONFIGURATION_MS";
const EVACUATION_VARIABLE: &str = "PRIMROSESTACK_EVACUATION_MS";
const MEMORY_VARIABLE: &str = "PRIMROSESTACK_MEMORY_MB";
const FDS_VARIABLE: &str = "PRIMROSESTACK_FDS_MAX";

/// Why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum DaemonSettingsError {
    /// Neither the command line nor the deployment names a file.
    #[snafu(display("no settings file: expected --settings FILE or the deployment's variable"))]
    NoFile,
    #[snafu(display("cannot read settings file {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not JSON with comments.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Parse {
        path: PathBuf,
        source: jsonc_parser::errors::ParseError,
    },
    /// A field is missing, unknown or of the wrong type.
    #[snafu(display("settings file {}: {source}", path.display()))]
    InvalidField {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// A variable of the environment is not a whole number.
    #[snafu(display("{variable} is {found:?}, expected a whole number"))]
    Variable {
        variable: &'static str,
        found: String,
    },
    /// A value is not allowed.
    #[snafu(display("settings file {}: {field} is {found}, expected {expected}", path.display()))]
    Range {
        path: PathBuf,
        field: &'static str,
        found: String,
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
    /// All failure domains of the deployment.
    pub failure_domains: Vec<SmolStr>,
    /// Listening address for callers.
    pub callers_address: SocketAddr,
    /// Listening address for the load balancer's readiness probes.
    pub ready_address: SocketAddr,
    /// Listening address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Listening address for `GET /metrics`.
    pub metrics_address: SocketAddr,
    pub store_address: SmolStr,
    /// Empty if there is no advisor.
    #[serde(default)]
    pub advisor_address: SmolStr,
    /// How servers receive commands; only `invocation` is supported.
    pub control_mode: SmolStr,
    /// Longest lease that a server accepts.
    pub lease_max_ms: u64,
    /// Time within which a server stops a task.
    pub task_stop_ms: u64,
    /// Time for which the status of an ended job can be queried.
    pub retention_s: u64,
    /// Interval at which servers renew their registrations.
    pub heartbeat_ms: u64,
    /// Time after a server's announcement that it is draining from which it must get no new tasks.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time after the operator's request to evacuate a failure domain from which none of its servers may get new tasks; 0 if
    /// the deployment sets no such time.
    #[serde(default)]
    pub evacuation_ms: u64,
    /// [`DaemonSettings::configuration_bound_ms`]; 0 if the deployment sets none.
    #[serde(default)]
    pub configuration_ms: u64,
    /// Share of each processor that the host may use.
    #[serde(default = "default_cpu")]
    pub cpu_share: f64,
    /// CPU of the host, in units of the deployment's standard core.
    #[serde(default = "default_cpu")]
    pub cpu_cores: f64,
    /// `cpu_share` times `cpu_cores`, in millicores.
    #[serde(skip)]
    pub cpu_millis: u32,
    /// Time allowed for a graceful stop.
    pub stop_s: u64,
    /// `stop_s` in milliseconds.
    #[serde(skip)]
    pub stop_ms: u64,
    /// Time for which a stopping host still serves requests: two probes of the load balancer.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    #[serde(default = "default_log_level")]
    pub log_level: SmolStr,
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Memory of the host; 0 if unknown.
    #[serde(default)]
    pub memory_mb: u64,
    /// File descriptors that the process may have; 0 if unknown.
    #[serde(default)]
    pub fds_max: u64,
    #[serde(default)]
    pub caller_limits: CallerLimits,
}

/// Decisions under load that the deployment turns on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Whether jobs that can no longer meet their objective wait behind those that can.
    pub orders_by_urgency: bool,
    /// Whether best-effort tasks are placed by the load that service tasks are expected to reach.
    pub plans_for_load_swings: bool,
}

impl From<SchedulingSettings> for Policy {
    fn from(settings: SchedulingSettings) -> Self {
        Self {
            orders_by_urgency: settings.orders_by_urgency,
            plans_for_load_swings: settings.plans_for_load_swings,
        }
    }
}

fn default_cpu() -> f64 {
    1.0
}

fn default_drain_ms() -> u64 {
    2_000
}

fn default_leave_ms() -> u64 {
    2_200
}

fn default_log_level() -> SmolStr {
    "info".into()
}

impl DaemonSettings {
    /// Time after the acknowledgement of a configuration from which requests must be handled by it.
    #[must_use]
    pub fn configuration_bound_ms(&self) -> u64 {
        match self.configuration_ms {
            0 => DEFAULT_CONFIGURATION_MS,
            bound_ms => bound_ms,
        }
    }

    /// Reads the file at `path`, or else the file that the deployment names.
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

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonSettingsError`] if the file cannot be used.
    pub fn open(path: &Path) -> Result<Self, DaemonSettingsError> {
        Self::open_with(path, |variable| std::env::var(variable).ok())
    }

    /// Reads and validates a settings file, and fills in what it leaves out with variables of an environment.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonSettingsError`] if the file or a variable cannot be used.
    pub fn open_with(
        path: &Path,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, DaemonSettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let value =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
        let value = value.context(ParseSnafu { path })?.unwrap_or_default();
        let mut settings: Self =
            serde_json::from_value(value).context(InvalidFieldSnafu { path })?;
        settings.stop_ms = settings.stop_s * 1_000;
        settings.cpu_millis = floor_u32(settings.cpu_share * settings.cpu_cores * 1_000.0);
        settings.failure_domains.sort();
        settings.complete(variable)?;
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
            settings.drain_ms >= DRAIN_MIN_MS,
            RangeSnafu {
                path,
                field: "drain_ms",
                found: settings.drain_ms.to_string(),
                expected: "1500 or more"
            }
        );
        ensure!(
            settings.evacuation_ms == 0 || settings.evacuation_ms >= EVACUATION_MIN_MS,
            RangeSnafu {
                path,
                field: "evacuation_ms",
                found: settings.evacuation_ms.to_string(),
                expected: "0, or 1500 or more"
            }
        );
        ensure!(
            settings.configuration_ms == 0 || settings.configuration_ms >= CONFIGURATION_MIN_MS,
            RangeSnafu {
                path,
                field: "configuration_ms",
                found: settings.configuration_ms.to_string(),
                expected: "0, or 1000 or more"
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

    /// Fills in what the file leaves out. A variable that is empty counts as unset, as the deployment renders it if it has no
    /// such value.
    fn complete(
        &mut self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(), DaemonSettingsError> {
        let values = [
            (CONFIGURATION_VARIABLE, &mut self.configuration_ms),
            (EVACUATION_VARIABLE, &mut self.evacuation_ms),
            (MEMORY_VARIABLE, &mut self.memory_mb),
            (FDS_VARIABLE, &mut self.fds_max),
        ];
        for (name, value) in values {
            let Some(found) = variable(name).filter(|found| !found.is_empty()) else {
                continue;
            };
            if *value != 0 {
                continue;
            }
            let parsed = found.parse().ok();
            *value = parsed.context(VariableSnafu {
                variable: name,
                found,
            })?;
        }
        Ok(())
    }
}
