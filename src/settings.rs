//! Settings files, which are JSON with comments, and environment variables.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::check::{self, FaultSink, Faults};
use crate::listen::Limits;

/// Log levels in order of increasing verbosity.
const LOG_LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// Settings file, if the command line names none.
const SETTINGS_VARIABLE: &str = "PRIMROSESTACK_SETTINGS";

/// Log level; takes precedence over that of the settings file.
const LOG_LEVEL_VARIABLE: &str = "PRIMROSESTACK_LOG_LEVEL";

/// Address of the administration listener that subcommands call.
const ADDRESS_VARIABLE: &str = "PRIMROSESTACK_ADDRESS";

/// Token that subcommands send to an administration listener.
const TOKEN_VARIABLE: &str = "PRIMROSESTACK_TOKEN";

/// Certificate authorities that sign the certificates of entry hosts, PEM.
const AUTHORITY_VARIABLE: &str = "PRIMROSESTACK_AUTHORITY_FILE";

/// Why settings could not be read.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read settings file {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file has faults.
    #[snafu(display("settings file has faults:\n{}", faults.render(path)))]
    Faulty { path: PathBuf, faults: Faults },
    /// Neither the command line nor the environment names a file.
    #[snafu(display("no settings file: expected --settings FILE or {SETTINGS_VARIABLE}"))]
    NoFile,
    /// The environment names a log level that does not exist.
    #[snafu(display(
        "{LOG_LEVEL_VARIABLE} is {found:?}, expected one of error, warn, info, debug"
    ))]
    LogLevel { found: String },
}

/// Address of an entry host for its peers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the host.
    #[schemars(extend("format" = "name"))]
    pub name: SmolStr,
    /// Its failure domain.
    #[schemars(extend("format" = "name"))]
    pub failure_domain: SmolStr,
    /// Address of its peer listener.
    #[schemars(extend("format" = "socket-address"))]
    pub address: SocketAddr,
}

/// A link to another failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Cost of spilling one request over the link, as an equivalent waiting time in milliseconds.
    #[schemars(range(max = 60_000))]
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
    /// Certificate authorities that sign the certificates of entry hosts, PEM.
    pub authority_file: PathBuf,
}

/// A token and the permissions of its bearer.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// SHA-256 of the token, in hexadecimal.
    #[schemars(extend("format" = "sha256"))]
    pub sha256: SmolStr,
    /// Team whose document and jobs the bearer may change; none for an operator.
    #[serde(default)]
    #[schemars(extend("format" = "name"))]
    pub team: Option<SmolStr>,
    /// Client name under which the bearer's requests are counted.
    #[serde(default)]
    #[schemars(extend("format" = "name"))]
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
    #[schemars(extend("format" = "name"))]
    pub name: SmolStr,
    /// Failure domain of this host.
    #[schemars(extend("format" = "name"))]
    pub failure_domain: SmolStr,
    /// Address for callers.
    #[schemars(extend("format" = "socket-address"))]
    pub front_address: SocketAddr,
    /// Address for operators, health check and metrics.
    #[schemars(extend("format" = "socket-address"))]
    pub admin_address: SocketAddr,
    /// Address for other entry hosts.
    #[schemars(extend("format" = "socket-address"))]
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    #[schemars(extend("format" = "socket-address"))]
    pub store_address: SocketAddr,
    /// Address of the platform's host list.
    #[schemars(extend("format" = "socket-address"))]
    pub host_list_address: SocketAddr,
    /// Entry hosts of this failure domain and seed hosts of the others; may include this host.
    pub peers: Vec<PeerSettings>,
    /// Links to other failure domains, by name.
    #[serde(default)]
    #[schemars(extend("propertyNames" = {"format": "name"}))]
    pub links: BTreeMap<SmolStr, LinkSettings>,
    /// Key material; without it, no listener uses TLS.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// File with the tokens, reloaded on change; without it, every caller is an operator.
    #[serde(default)]
    pub tokens_file: Option<PathBuf>,
    /// Limits on the resources that a sender may use at a listener.
    #[serde(default)]
    pub limits: Limits,
    /// Number of shards of the failure domain, the same on all its hosts; 0 means 1.
    #[serde(default)]
    #[schemars(range(max = 1024))]
    pub shards: u32,
    /// Store writes per second that this process may make.
    #[serde(default = "default_store_writes_per_s")]
    #[schemars(range(min = 1, max = 100_000))]
    pub store_writes_per_s: u32,
    /// Store reads per second that this process may make.
    #[serde(default = "default_store_reads_per_s")]
    #[schemars(range(min = 1, max = 100_000))]
    pub store_reads_per_s: u32,
    /// Bound on the difference between clock rates, in parts per million.
    #[serde(default = "default_clock_drift_ppm")]
    #[schemars(range(min = 1, max = 100_000))]
    pub clock_drift_ppm: u64,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    #[schemars(extend("enum" = ["error", "warn", "info", "debug"]))]
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
    /// Reads settings from a file; the log level of the environment takes precedence over that of the file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with every fault if the file cannot be read or does not pass the check.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let mut settings = Self::read(&text).map_err(|faults| SettingsError::Faulty {
            path: path.to_path_buf(),
            faults,
        })?;
        if let Some(level) = env_variable(LOG_LEVEL_VARIABLE) {
            let is_level = LOG_LEVELS.contains(&level.as_str());
            snafu::ensure!(is_level, LogLevelSnafu { found: level });
            settings.log_level = level.into();
        }
        Ok(settings)
    }

    /// Reads settings from the file named by the command line, or else by the environment.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] as [`Settings::open`] does, or if no file is named.
    pub fn open_named(path: Option<PathBuf>) -> Result<Self, SettingsError> {
        let named = path.or_else(|| env_variable(SETTINGS_VARIABLE).map(PathBuf::from));
        Self::open(named.context(NoFileSnafu)?)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every fault with its position and the expected value.
    pub fn read(text: &str) -> Result<Self, Faults> {
        check::read(text, Self::rules)
    }

    /// The JSON Schema of settings.
    #[must_use]
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }

    /// Returns settings of a single entry host on loopback, with the default of every field that has one.
    #[must_use]
    pub fn example() -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry-1".into(),
            failure_domain: "local".into(),
            front_address: address(7_400),
            admin_address: address(7_401),
            peer_address: address(7_402),
            store_address: address(2_379),
            host_list_address: address(7_500),
            peers: vec![PeerSettings {
                name: "entry-1".into(),
                failure_domain: "local".into(),
                address: address(7_402),
            }],
            links: BTreeMap::new(),
            tls: None,
            tokens_file: None,
            limits: Limits::default(),
            shards: 0,
            store_writes_per_s: default_store_writes_per_s(),
            store_reads_per_s: default_store_reads_per_s(),
            clock_drift_ppm: default_clock_drift_ppm(),
            log_level: default_log_level(),
        }
    }

    fn rules(&self, sink: &mut FaultSink<'_>) {
        let own = [
            ("front_address", self.front_address),
            ("admin_address", self.admin_address),
            ("peer_address", self.peer_address),
        ];
        for (at, (field, address)) in own.iter().enumerate() {
            let earlier = own[..at].iter().find(|(_, other)| other == address);
            let Some((other, _)) = earlier else {
                continue;
            };
            // Port 0 asks for any free port.
            if address.port() != 0 {
                let found = format!("{address}, which is also {other}");
                sink.add(&[*field], found, "an address of its own");
            }
        }
        let limits = self.limits;
        if limits.bodies_bytes < limits.body_bytes {
            let found = format!("{}, which is less than one body", limits.bodies_bytes);
            let expected = format!("at least body_bytes, {}", limits.body_bytes);
            sink.add(&["limits", "bodies_bytes"], found, expected);
        }
        for (at, peer) in self.peers.iter().enumerate() {
            self.check_peer(at, peer, sink);
        }
        for name in self.links.keys() {
            if *name == self.failure_domain {
                let found = "a link to the own failure domain";
                sink.add(&["links", name], found, "another failure domain");
            }
        }
    }

    fn check_peer(&self, at: usize, peer: &PeerSettings, sink: &mut FaultSink<'_>) {
        let index = at.to_string();
        let earlier = &self.peers[..at];
        if earlier.iter().any(|other| other.name == peer.name) {
            let found = format!("{:?} twice", peer.name);
            sink.add(&["peers", &index, "name"], found, "each entry host once");
        }
        if earlier.iter().any(|other| other.address == peer.address) {
            let found = format!("{} twice", peer.address);
            let expected = "an address of its own for each entry host";
            sink.add(&["peers", &index, "address"], found, expected);
        }
        if peer.name == self.name && peer.failure_domain != self.failure_domain {
            let found = format!("{:?} for this host", peer.failure_domain);
            let path = ["peers", &index, "failure_domain"];
            let expected = format!("failure_domain of this host, {:?}", self.failure_domain);
            sink.add(&path, found, expected);
        }
    }
}

/// Contents of the tokens file.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokensFile {
    /// The tokens.
    pub tokens: Vec<TokenSettings>,
}

impl TokensFile {
    /// Parses and validates a tokens file.
    ///
    /// # Errors
    ///
    /// Returns every fault with its position and the expected value.
    pub fn read(text: &str) -> Result<Self, Faults> {
        check::read(text, Self::rules)
    }

    /// The JSON Schema of tokens files.
    #[must_use]
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }

    fn rules(&self, sink: &mut FaultSink<'_>) {
        for (at, token) in self.tokens.iter().enumerate() {
            let index = at.to_string();
            let same = |other: &TokenSettings| other.sha256.eq_ignore_ascii_case(&token.sha256);
            if self.tokens[..at].iter().any(same) {
                let path = ["tokens", &index, "sha256"];
                sink.add(&path, "the same token twice", "each token once");
            }
            if token.team.is_none() && !token.operator {
                let path = ["tokens", index.as_str()];
                let expected = "`team`, or `operator` as true";
                sink.add(&path, "a token that allows nothing", expected);
            }
        }
    }
}

/// Connection settings of a client of an administration listener.
#[derive(Clone, Debug, Default)]
pub struct ClientSettings {
    /// `http://HOST:PORT` or `https://HOST:PORT`; `http://` may be left out.
    pub address: Option<String>,
    /// Bearer token.
    pub token: Option<String>,
    /// Certificate authorities that sign the certificates of entry hosts, PEM.
    pub authority_file: Option<PathBuf>,
}

impl ClientSettings {
    /// Fills missing fields from the environment.
    #[must_use]
    pub fn or_environment(self) -> Self {
        let authority_file = || env_variable(AUTHORITY_VARIABLE).map(PathBuf::from);
        Self {
            address: self.address.or_else(|| env_variable(ADDRESS_VARIABLE)),
            token: self.token.or_else(|| env_variable(TOKEN_VARIABLE)),
            authority_file: self.authority_file.or_else(authority_file),
        }
    }
}

/// Returns an environment variable if it is set and not empty.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
