//! The entry hosts: one child process each, with its settings file, its log and the relays of its failure domain.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use primrosestack::settings::{PeerSettings, Settings};
use primrosestack_standin::platform::Platform;
use primrosestack_standin::relay::Relay;
use smol_str::{SmolStr, format_smolstr};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::process::{Child, Command};

use crate::error::{
    BuildSnafu, DeploymentError, IoSnafu, LateSnafu, NoBinarySnafu, NoPortSnafu, NotRunningSnafu,
};

/// Failure domains of the deployment.
pub(crate) const DOMAINS: [&str; 3] = ["poa", "cxs", "pel"];
const HOSTS_PER_DOMAIN: usize = 3;

/// Ports below the range of the operating system's own choice, so that a host can bind its ports again after a restart.
const PORTS: std::ops::Range<u16> = 18_000..32_000;

/// One entry host.
pub(crate) struct Host {
    pub(crate) name: SmolStr,
    pub(crate) domain: SmolStr,
    pub(crate) front: SocketAddr,
    pub(crate) admin: SocketAddr,
    peer: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

/// A relay that one failure domain uses to reach a target.
struct Link {
    from: SmolStr,
    /// Failure domain of the target; none for the store and the host list.
    to: Option<SmolStr>,
    relay: Relay,
}

/// All entry hosts. Dropping this kills the processes.
pub(crate) struct Hosts {
    pub(crate) all: Vec<Host>,
    binary: PathBuf,
    links: Vec<Link>,
}

fn free_address(next: &mut u16) -> Result<SocketAddr, DeploymentError> {
    while PORTS.contains(next) {
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        *next += 1;
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    NoPortSnafu.fail()
}

/// The binary beside the example, built if it is missing.
fn binary() -> Result<PathBuf, DeploymentError> {
    let own = std::env::current_exe().context(IoSnafu {
        what: "find this program",
    })?;
    let folder = own.parent().and_then(Path::parent).unwrap_or(&own);
    let path = folder.join("primrosestack");
    if path.exists() {
        return Ok(path);
    }
    println!(
        "{} is missing; running cargo build --release",
        path.display()
    );
    let built = std::process::Command::new("cargo")
        .args(["build", "--release", "--bin", "primrosestack"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .context(IoSnafu { what: "run cargo" })?;
    ensure!(built.success(), BuildSnafu);
    ensure!(path.exists(), NoBinarySnafu { path });
    Ok(path)
}

async fn relay(target: SocketAddr) -> Result<Relay, DeploymentError> {
    Relay::bind(target).await.context(IoSnafu {
        what: "bind a relay",
    })
}

impl Hosts {
    /// Writes the settings files to `folder` and starts all processes.
    pub(crate) async fn open(platform: &Platform, folder: &Path) -> Result<Self, DeploymentError> {
        let spread = u16::try_from(std::process::id() % 300).unwrap_or_default();
        let mut next = PORTS.start + spread * 40;
        let mut all = Vec::new();
        for domain in DOMAINS {
            for number in 0..HOSTS_PER_DOMAIN {
                let name = format_smolstr!("{domain}-entry-{number}");
                all.push(Host {
                    domain: domain.into(),
                    front: free_address(&mut next)?,
                    admin: free_address(&mut next)?,
                    peer: free_address(&mut next)?,
                    settings_file: folder.join(format!("{name}.jsonc")),
                    log_file: folder.join(format!("{name}.log")),
                    child: None,
                    name,
                });
            }
        }
        let mut hosts = Self {
            all,
            binary: binary()?,
            links: Vec::new(),
        };
        for domain in DOMAINS {
            hosts.write_settings(platform, domain).await?;
        }
        for at in 0..hosts.all.len() {
            hosts.start(at)?;
        }
        Ok(hosts)
    }

    async fn link(
        &mut self,
        from: &str,
        to: Option<&SmolStr>,
        target: SocketAddr,
    ) -> Result<SocketAddr, DeploymentError> {
        let relay = relay(target).await?;
        let address = relay.address();
        self.links.push(Link {
            from: from.into(),
            to: to.cloned(),
            relay,
        });
        Ok(address)
    }

    /// The hosts of one failure domain share its relays to the platform and to the hosts of other failure domains.
    async fn write_settings(
        &mut self,
        platform: &Platform,
        domain: &str,
    ) -> Result<(), DeploymentError> {
        let store_address = self.link(domain, None, platform.store_address).await?;
        let host_list_address = self.link(domain, None, platform.host_list_address).await?;
        let mut peers = Vec::new();
        for at in 0..self.all.len() {
            let Host {
                name,
                domain: other,
                peer,
                ..
            } = &self.all[at];
            let (name, other, mut address) = (name.clone(), other.clone(), *peer);
            if other != domain {
                address = self.link(domain, Some(&other), address).await?;
            }
            peers.push(PeerSettings {
                name,
                failure_domain: other,
                address,
            });
        }
        for host in self.all.iter().filter(|host| host.domain == domain) {
            let settings = Settings {
                name: host.name.clone(),
                failure_domain: host.domain.clone(),
                front_address: host.front,
                admin_address: host.admin,
                peer_address: host.peer,
                store_address,
                host_list_address,
                peers: peers.clone(),
                links: BTreeMap::new(),
                log_level: "info".into(),
                ..Settings::example()
            };
            let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
            std::fs::write(&host.settings_file, text).context(IoSnafu {
                what: "write a settings file",
            })?;
        }
        Ok(())
    }

    /// Starts the process of a host, which appends to the host's log.
    pub(crate) fn start(&mut self, at: usize) -> Result<(), DeploymentError> {
        let host = &mut self.all[at];
        let log = || -> Result<File, DeploymentError> {
            let file = File::options()
                .create(true)
                .append(true)
                .open(&host.log_file);
            file.context(IoSnafu {
                what: "open a log file",
            })
        };
        let child = Command::new(&self.binary)
            .args(["serve", "--settings"])
            .arg(&host.settings_file)
            .env_remove("PRIMROSESTACK_LOG_LEVEL")
            .stdin(Stdio::null())
            .stdout(log()?)
            .stderr(log()?)
            .kill_on_drop(true)
            .spawn()
            .context(IoSnafu {
                what: "start primrosestack serve",
            })?;
        host.child = Some(child);
        Ok(())
    }

    /// Index of a host by name.
    pub(crate) fn index(&self, name: &str) -> Result<usize, DeploymentError> {
        let found = self.all.iter().position(|host| host.name == name);
        found.context(NotRunningSnafu { name })
    }

    /// Sends a signal to the process of a host.
    pub(crate) async fn signal(&self, at: usize, signal: &str) -> Result<(), DeploymentError> {
        let host = &self.all[at];
        let id = host.child.as_ref().and_then(Child::id);
        let id = id.context(NotRunningSnafu {
            name: host.name.as_str(),
        })?;
        let status = Command::new("kill")
            .args([format!("-{signal}"), id.to_string()])
            .status()
            .await
            .context(IoSnafu { what: "run kill" })?;
        ensure!(
            status.success(),
            NotRunningSnafu {
                name: host.name.as_str()
            }
        );
        Ok(())
    }

    /// Waits until the process of a host has ended.
    pub(crate) async fn ended(
        &mut self,
        at: usize,
        limit: Duration,
    ) -> Result<ExitStatus, DeploymentError> {
        let host = &mut self.all[at];
        let name = host.name.clone();
        let child = host.child.as_mut().context(NotRunningSnafu {
            name: name.as_str(),
        })?;
        let ended = tokio::time::timeout(limit, child.wait()).await;
        let Ok(status) = ended else {
            let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
            let what = format!("the end of {name}");
            return LateSnafu { what, limit_ms }.fail();
        };
        host.child = None;
        status.context(IoSnafu {
            what: "wait for a child process",
        })
    }

    /// Cuts one failure domain off from the platform and the other failure domains, or heals the links.
    pub(crate) fn set_cut(&self, domain: &str, cut: bool) {
        let touches =
            |link: &&Link| link.from == domain || link.to.as_ref().is_some_and(|to| to == domain);
        for link in self.links.iter().filter(touches) {
            link.relay.set_cut(cut);
        }
    }

    /// Asks all hosts to stop; returns how many ended with exit code 0 in time.
    pub(crate) async fn stop_all(&mut self, limit: Duration) -> usize {
        for at in 0..self.all.len() {
            // A host that has ended needs no signal.
            let _ = self.signal(at, "TERM").await;
        }
        let until = tokio::time::Instant::now() + limit;
        let mut orderly = 0;
        for at in 0..self.all.len() {
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            let ended = self.ended(at, left).await;
            orderly += usize::from(ended.is_ok_and(|status| status.success()));
        }
        orderly
    }
}
