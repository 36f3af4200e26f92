//! All reads of settings and environment.
//!
//! Settings are JSON with comments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// Why settings could not be read.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read settings file {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not JSON with comments, or a field is wrong.
    #[snafu(display("settings file {}: {message}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What was expected, and where.
        message: String,
    },
}

/// One entry host as its peers reach it.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the host.
    pub name: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// A link to another failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Price of one spilled request, as the milliseconds of waiting that it is worth.
    pub price_ms: u64,
}

/// Key material for TLS.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain, PEM.
    pub certificate_file: PathBuf,
    /// Private key, PEM.
    pub key_file: PathBuf,
    /// Authorities that sign the certificates of entry hosts, PEM.
    pub authority_file: PathBuf,
}

/// A token and what its bearer may do.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// SHA-256 of the token, in hexadecimal.
    pub sha256: SmolStr,
    /// Team whose document and jobs the bearer may change; none for an operator.
    #[serde(default)]
    pub team: Option<SmolStr>,
    /// Client name under which the bearer's requests are counted.
    #[serde(default)]
    pub client: Option<SmolStr>,
    /// Whether the bearer is an operator.
    #[serde(default)]
    pub operator: bool,
}

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub name: SmolStr,
    /// Failure domain of this host.
    pub failure_domain: SmolStr,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for operators, health check and metrics.
    pub admin_address: SocketAddr,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's host list.
    pub host_list_address: SocketAddr,
    /// Entry hosts of the own failure domain and seeds of the others; this host may be among them.
    pub peers: Vec<PeerSettings>,
    /// Links to other failure domains, by name.
    #[serde(default)]
    pub links: BTreeMap<SmolStr, LinkSettings>,
    /// Key material; without it, all listeners speak plain text.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// File with the tokens, re-read on change; without it, every caller is an operator.
    #[serde(default)]
    pub tokens_file: Option<PathBuf>,
    /// Number of shards of the failure domain; 0 means one per entry host.
    #[serde(default)]
    pub shards: u32,
    /// Store writes a second that this process may use.
    #[serde(default = "default_store_writes_per_s")]
    pub store_writes_per_s: u32,
    /// Store reads a second that this process may use.
    #[serde(default = "default_store_reads_per_s")]
    pub store_reads_per_s: u32,
    /// Bound on the difference of clock rates, in parts per million.
    #[serde(default = "default_clock_drift_ppm")]
    pub clock_drift_ppm: u64,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: SmolStr,
}

fn default_store_writes_per_s() -> u32 {
    20
}

fn default_store_reads_per_s() -> u32 {
    50
}

fn default_clock_drift_ppm() -> u64 {
    10_000
}

fn default_log_level() -> SmolStr {
    SmolStr::new_static("info")
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or a field is wrong.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let parsed =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
        let value = parsed.map_err(|error| SettingsError::Parse {
            path: path.to_path_buf(),
            message: error.to_string(),
        })?;
        serde_json::from_value(value.unwrap_or_default()).map_err(|error| SettingsError::Parse {
            path: path.to_path_buf(),
            message: error.to_string(),
        })
    }
}
