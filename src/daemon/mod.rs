//! The daemon that runs on each entry host of the users' platform.
//!
//! All services run on one thread, since hosts have a tenth of a core and decisions take microseconds. They share
//! [`node::Node`].

mod advice;
pub mod cancellation;
pub mod clock;
mod departure;
pub mod election;
pub mod entry;
pub mod evacuation;
mod follow;
pub mod inbox;
pub mod ingress;
pub mod journal;
pub mod keys;
pub mod line_limit;
mod lookup;
pub mod node;
pub mod odd_entries;
pub mod operator;
mod orders;
pub mod output;
pub mod owner;
mod peer_messages;
pub mod peers;
mod refusal;
pub mod rehoming;
mod scrape;
pub mod services;
pub mod settings;
pub mod stored_jobs;
mod succession;
pub mod tombstones;

use std::rc::Rc;
use std::time::Duration;

use primrosestack_platform::http::HttpClient;
use snafu::{ResultExt, Snafu};

use crate::daemon::ingress::limiter;
use crate::daemon::ingress::limits::{self, HostSize, Limits};
use crate::daemon::node::Node;
use crate::daemon::services::{ServiceEnded, Services};
use crate::daemon::settings::DaemonSettings;
use crate::logs::Line;
use crate::metrics::{Metrics, MetricsError};

/// Why the daemon could not be started.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    #[snafu(display("{source}"))]
    Metrics { source: MetricsError },
    #[snafu(display("cannot bind {address}"))]
    Bind {
        address: std::net::SocketAddr,
        source: std::io::Error,
    },
    /// A service ended; the daemon cannot do its work without it.
    #[snafu(display("{source}"))]
    Service { source: ServiceEnded },
}

/// Share of the stop time after which the process exits by itself, before the platform kills it.
const STOP_SHARE_PERCENT: u64 = 80;

pub struct Daemon {
    node: Rc<Node>,
    services: Services,
}

impl Daemon {
    /// Binds the listeners and spawns all services on the current `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if an address cannot be bound.
    pub fn bind(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let metrics = Metrics::open().context(MetricsSnafu)?;
        let metrics_listener = bind(settings.metrics_address, &limits::METRICS)?;
        let host = HostSize::from_settings(settings.memory_mb, settings.fds_max);
        let caller_limits = Limits::for_callers(&settings.caller_limits, host);
        let node = Rc::new(Node::open(settings, HttpClient::open(), metrics.clone()));
        let caller_listener = bind(node.settings.callers_address, &caller_limits)?;
        let probe_listener = bind(node.settings.ready_address, &limits::PROBES)?;
        let peer_listener = bind(node.settings.peer_address, &Limits::for_peers(host))?;
        let mut services = Services::default();
        services.spawn("metrics", scrape::serve(metrics, metrics_listener));
        services.spawn(
            "callers",
            entry::serve(Rc::clone(&node), caller_listener, caller_limits),
        );
        services.spawn(
            "probes",
            entry::serve_probes(Rc::clone(&node), probe_listener),
        );
        services.spawn("peers", peers::serve(Rc::clone(&node), peer_listener));
        services.spawn("load_polls", peers::poll_loads(Rc::clone(&node)));
        services.spawn("operator", operator::follow(Rc::clone(&node)));
        services.spawn("owners", election::follow(Rc::clone(&node)));
        services.spawn("election", election::run(Rc::clone(&node)));
        Line::info("daemon_started")
            .with("host", &node.settings.name)
            .with("failure_domain", &node.settings.failure_domain)
            .write();
        Ok(Self { node, services })
    }

    /// Logs whether reloaded settings differ from those in use; changes apply at the next start.
    pub fn reload(&self, settings: &DaemonSettings) {
        Line::info("settings_checked")
            .with("host", &settings.name)
            .with("changed", *settings != self.node.settings)
            .with("applies", "next_start")
            .write();
    }

    /// Waits until a service has ended, which none does by itself.
    pub async fn service_ended(&mut self) -> DaemonError {
        let source = self.services.ended().await;
        DaemonError::Service { source }
    }

    /// Waits until the lines logged so far are written.
    pub async fn flush_log() {
        tokio::time::sleep(2 * output::WRITE_INTERVAL).await;
    }

    /// Stops gracefully: reports not ready, releases all shards and finishes active requests.
    pub async fn stop(self) {
        let node = &self.node;
        node.stopping.set(true);
        Line::info("daemon_stopping")
            .with("requests", node.active_requests.get())
            .write();
        let grace = Duration::from_millis(node.settings.stop_ms * STOP_SHARE_PERCENT / 100);
        let finish = async {
            owner::release_all(node).await;
            while node.active_requests.get() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            // The load balancer needs two probes to notice that this host is not ready.
            tokio::time::sleep(Duration::from_millis(node.settings.leave_ms)).await;
            while node.active_requests.get() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let finished = tokio::time::timeout(grace, finish).await.is_ok();
        self.services.abort();
        Line::info("daemon_stopped")
            .with("finished", finished)
            .with("requests", node.active_requests.get())
            .write();
    }
}

fn bind(
    address: std::net::SocketAddr,
    limits: &Limits,
) -> Result<tokio::net::TcpListener, DaemonError> {
    limiter::listen(address, limits).context(BindSnafu { address })
}
