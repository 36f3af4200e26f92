//! The deployment: entry hosts as separate processes, with the settings of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::http;

pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    repository: PathBuf,
    child: Option<Child>,
}

/// Ports below those that the kernel gives to outgoing connections, which could take a port before its host binds it.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Free ports, none of which was returned before.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(97) % span;
    let mut found = Vec::new();
    while found.len() < count {
        let offset = (first + NEXT.fetch_add(1, Ordering::Relaxed)) % span;
        let port = PORTS.start + u16::try_from(offset).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            found.push(listener.local_addr().expect("an address"));
        }
    }
    found
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

impl Host {
    /// Renders the settings of a host from the template of the deploy file.
    pub fn open(
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        repository: &Path,
        folder: &Path,
    ) -> std::io::Result<Host> {
        let ports = free_ports(4);
        let template = fs::read_to_string(repository.join("deploy/settings.jsonc"))?;
        let zone_list: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let values = [
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zone_list.join(",")),
            ("{{nodeName|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", format!("\"{zone}\"")),
            (
                "{{listenAddresses.front|json}}",
                format!("\"{}\"", ports[0]),
            ),
            (
                "{{listenAddresses.readyAddress|json}}",
                format!("\"{}\"", ports[1]),
            ),
            ("{{ip}}:{{internalPortRange.0}}", ports[2].to_string()),
            ("{{ip}}:{{internalPortRange.1}}", ports[3].to_string()),
            ("{{platform.address|json}}", format!("\"{store}\"")),
            ("{{advisor}}", String::new()),
            ("{{controlMode|json}}", "\"invocation\"".into()),
            ("{{bounds.maxHoldMs}}", "10000".into()),
            ("{{bounds.stopTimeoutMs}}", "900".into()),
            ("{{bounds.status_s}}", "120".into()),
            ("{{heartbeatMs}}", "1500".into()),
            ("{{bounds.drainMs}}", "2000".into()),
            ("{{limits.cpuShare}}", "0.1".into()),
            ("{{limits.cores}}", "1".into()),
            ("{{bounds.graceS}}", "6".into()),
        ];
        let mut text = template;
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        if text.contains("{{") {
            return Err(std::io::Error::other(
                "the template has an unknown placeholder",
            ));
        }
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text)?;
        Ok(Host {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: ports[0],
            ready: ports[1],
            settings,
            log: folder.join(format!("{name}.log")),
            repository: repository.to_owned(),
            child: None,
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/primrosestack");
        // The process ends with the scenario, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("daemon")
            .current_dir(&self.repository)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("PRIMROSESTACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        http::call(self.ready, "GET", "/v1/ready", "probe", "", wait)
            .is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
