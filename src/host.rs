//! One entry host: opens all services, registers them in the kernel, and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{Member, MembershipConfig};
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

use crate::administration::{Administration, AdministrationOptions};
use crate::api;
use crate::auth::{Auth, TokensError};
use crate::backend::{Backend, HttpBackend};
use crate::burn::{Burn, KnownHost};
use crate::clock::Clock;
use crate::front::{Front, FrontOptions};
use crate::hostlist::{HostList, HttpHostList};
use crate::inbox::Inbox;
use crate::inspect::{Inspection, InspectionOptions};
use crate::jobs::Jobs;
use crate::kernel::{Kernel, KernelError};
use crate::keys::Keys;
use crate::listen::{self, ListenError, Listener};
use crate::logs::Line;
use crate::members::{Members, MembersError, MembersOptions};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{PeerError, PeerOptions, PeerSecurity, Peers};
use crate::peertls::PeerTls;
use crate::requests::{Requests, RequestsOptions};
use crate::settings::Settings;
use crate::shards::{Shards, ShardsOptions};
use crate::slots::Slots;
use crate::store::{HttpStore, Store};
use crate::tls::{ClientCertificates, ServerTls, TlsError};
use crate::upkeep::{self, UpkeepOptions};

/// Frames of peers that wait for their service.
const FRAMES: usize = 8_192;
/// The balancer stops sending callers within this time after the health check fails.
const BALANCER_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for requests in flight; a deadline is at most 15 s.
const DRAIN_MS: u64 = 20_000;
/// Longest wait for the handover of the shards.
const HANDOVER_WAIT: Duration = Duration::from_secs(5);

/// Why an entry host could not be opened.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// Two services have one name, or one is missing.
    #[snafu(context(false), display("{source}"))]
    Kernel {
        /// Cause.
        source: KernelError,
    },
    /// A listener could not be opened.
    #[snafu(context(false), display("{source}"))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// The peer listener could not be opened.
    #[snafu(context(false), display("{source}"))]
    Peers {
        /// Cause.
        source: PeerError,
    },
    /// The metrics could not be opened.
    #[snafu(context(false), display("{source}"))]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The tokens could not be read.
    #[snafu(context(false), display("{source}"))]
    Tokens {
        /// Cause.
        source: TokensError,
    },
    /// The key material could not be read.
    #[snafu(display("{source}"))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The documents service stopped.
    #[snafu(context(false), display("{source}"))]
    Members {
        /// Cause.
        source: MembersError,
    },
}

/// A running entry host.
pub struct EntryHost {
    kernel: Kernel,
    front: Listener,
    admin: Listener,
    peer_address: SocketAddr,
}

impl EntryHost {
    /// Opens all services and listens. Returns as soon as the listeners are open; the health check fails until the
    /// documents of the peers have been received.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if an address, a file or a service cannot be opened.
    pub async fn bind(settings: Settings) -> Result<Self, HostError> {
        let host = HostId {
            name: settings.name.clone(),
            incarnation: rand::random::<u64>().max(1),
        };
        let kernel = Kernel::default();
        let clock = Clock::open();
        let metrics = Metrics::open()?;
        let store: Arc<dyn Store> = Arc::new(HttpStore::open(settings.store_address));
        let backend: Arc<dyn Backend> = Arc::new(HttpBackend::open(host.clone()));
        let host_list: Arc<dyn HostList> = Arc::new(HttpHostList::open(settings.host_list_address));
        let (slots, load) = Slots::spawn(clock, host.incarnation);
        let (frame_sender, frames) = mpsc::channel(FRAMES);
        let peers = Peers::bind(peer_options(&settings, &host)?, frame_sender).await?;
        let (suspicion_sender, suspicions) = mpsc::channel(FRAMES);
        let members = Members::spawn(MembersOptions {
            config: membership(&settings, &host),
            clock,
            peers: peers.clone(),
            store: store.clone(),
            load,
            suspicions: suspicion_sender,
        });
        let hosts = domain_hosts(&settings);
        let shards = Shards::spawn(ShardsOptions {
            host: host.clone(),
            failure_domain: settings.failure_domain.clone(),
            shards: shard_count(&settings, hosts.len()),
            hosts,
            clock_drift_ppm: settings.clock_drift_ppm,
            store_writes_per_s: settings.store_writes_per_s,
            store_reads_per_s: settings.store_reads_per_s,
            clock,
            store: store.clone(),
            backend: backend.clone(),
            peers: peers.clone(),
            slots: slots.clone(),
            metrics: metrics.clone(),
        });
        let failure_domain = settings.failure_domain.clone();
        let keys = Keys::open(
            failure_domain.clone(),
            shards.clone(),
            members.clone(),
            peers.clone(),
        );
        let jobs = Jobs::open(
            failure_domain.clone(),
            shards.clone(),
            members.clone(),
            peers.clone(),
        );
        let requests = Requests::open(RequestsOptions {
            host: host.clone(),
            failure_domain: failure_domain.clone(),
            clock,
            slots: slots.clone(),
            backend,
            peers: peers.clone(),
            members: members.clone(),
            keys: keys.clone(),
            seed: host.incarnation,
        });
        let inspection = Inspection::open(InspectionOptions {
            host: host.clone(),
            failure_domain: failure_domain.clone(),
            shards: shards.clone(),
            members: members.clone(),
            peers: peers.clone(),
            slots: slots.clone(),
            clock,
        });
        let burn = Burn::open(
            host.clone(),
            failure_domain.clone(),
            known_hosts(&settings),
            clock.now(),
        );
        let auth = match &settings.tokens_file {
            Some(file) => Auth::open(file)?,
            None => Auth::open_to_all(),
        };
        let front = Front::open(FrontOptions {
            host: host.clone(),
            failure_domain: failure_domain.clone(),
            clock,
            auth: auth.clone(),
            members: members.clone(),
            requests: requests.clone(),
            metrics: metrics.clone(),
            burn: burn.clone(),
        });
        Inbox {
            members: members.clone(),
            shards: shards.clone(),
            keys: keys.clone(),
            requests: requests.clone(),
            jobs: jobs.clone(),
            inspection: inspection.clone(),
        }
        .spawn(frames);
        upkeep::spawn(
            UpkeepOptions {
                failure_domain,
                links: settings.links.clone(),
                members: members.clone(),
                shards: shards.clone(),
                slots: slots.clone(),
                host_list,
                metrics: metrics.clone(),
            },
            suspicions,
        );
        let administration = Administration::open(AdministrationOptions {
            store: store.clone(),
            members: members.clone(),
            jobs: jobs.clone(),
            inspection: inspection.clone(),
            settings: settings.clone(),
        });
        kernel.register("metrics", metrics.clone())?;
        kernel.register("store", store)?;
        kernel.register("peers", peers.clone())?;
        kernel.register("members", members)?;
        kernel.register("shards", shards)?;
        kernel.register("slots", slots)?;
        kernel.register("keys", keys)?;
        kernel.register("jobs", jobs)?;
        kernel.register("requests", requests)?;
        kernel.register("inspection", inspection)?;
        kernel.register("burn", burn.clone())?;
        kernel.register("front", front.clone())?;
        let tls = server_tls(&settings)?;
        let admin_router = api::router(administration, auth)
            .merge(burn.router(move || clock.now()))
            .merge(observation(front.clone(), metrics));
        let limits = settings.limits;
        let front_listener =
            listen::bind(settings.front_address, front.router(), tls.clone(), limits).await?;
        let admin_listener =
            listen::bind(settings.admin_address, admin_router, tls, limits).await?;
        let line = Line::info("host_open").with("host", &host.name);
        line.with("incarnation", host.incarnation).write();
        Ok(Self {
            kernel,
            front: front_listener,
            admin: admin_listener,
            peer_address: peers.address(),
        })
    }

    /// Address for callers.
    #[must_use]
    pub fn front_address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Address for other entry hosts.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// The services by name.
    #[must_use]
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Waits until the host serves callers.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if a service stopped.
    pub async fn serving(&self) -> Result<(), HostError> {
        let members: Members = self.kernel.find("members")?;
        Ok(members.serving().await?)
    }

    /// Stops in order: fails the health check, finishes requests in flight, hands over the shards.
    ///
    /// Returns whether all requests were finished and all shards handed over in time.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if a service is missing.
    pub async fn stop(self) -> Result<bool, HostError> {
        let front: Front = self.kernel.find("front")?;
        let members: Members = self.kernel.find("members")?;
        let shards: Shards = self.kernel.find("shards")?;
        Line::info("host_leaving").write();
        front.leave();
        members.leave().await;
        tokio::time::sleep(BALANCER_WAIT).await;
        let finished = self.front.stop(DRAIN_MS).await;
        let handed_over = tokio::time::timeout(HANDOVER_WAIT, shards.stop()).await.is_ok();
        let admin_finished = self.admin.stop(1_000).await;
        let line = Line::info("host_closed").with("requests_finished", finished);
        let line = line.with("handed_over", handed_over);
        line.with("admin_finished", admin_finished).write();
        Ok(finished && handed_over)
    }
}

fn peer_options(settings: &Settings, host: &HostId) -> Result<PeerOptions, HostError> {
    let tls = match &settings.tls {
        None => None,
        Some(files) => {
            let tls = PeerTls::open(files).context(TlsSnafu)?;
            Some(Arc::new(tls) as Arc<dyn PeerSecurity>)
        }
    };
    Ok(PeerOptions {
        host: host.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.peer_address,
        peers: settings.peers.clone(),
        tls,
    })
}

fn server_tls(settings: &Settings) -> Result<Option<Arc<ServerTls>>, HostError> {
    let Some(files) = &settings.tls else {
        return Ok(None);
    };
    let tls = ServerTls::open(files, ClientCertificates::None).context(TlsSnafu)?;
    Ok(Some(Arc::new(tls)))
}

fn membership(settings: &Settings, host: &HostId) -> MembershipConfig {
    let members = settings.peers.iter().map(|peer| Member {
        name: peer.name.clone(),
        failure_domain: peer.failure_domain.clone(),
    });
    MembershipConfig {
        host: host.clone(),
        failure_domain: settings.failure_domain.clone(),
        members: members.collect(),
    }
}

/// Names of the entry hosts of the own failure domain, sorted; every host of it must find the same.
fn domain_hosts(settings: &Settings) -> Vec<SmolStr> {
    let own = settings.peers.iter();
    let own = own.filter(|peer| peer.failure_domain == settings.failure_domain);
    let mut names: Vec<SmolStr> = own.map(|peer| peer.name.clone()).collect();
    names.push(settings.name.clone());
    names.sort();
    names.dedup();
    names
}

fn shard_count(settings: &Settings, hosts: usize) -> u32 {
    if settings.shards > 0 {
        return settings.shards;
    }
    u32::try_from(hosts).unwrap_or(u32::MAX)
}

fn known_hosts(settings: &Settings) -> Vec<KnownHost> {
    let peers = settings.peers.iter().map(|peer| KnownHost {
        failure_domain: peer.failure_domain.clone(),
        host: peer.name.clone(),
    });
    let own = KnownHost {
        failure_domain: settings.failure_domain.clone(),
        host: settings.name.clone(),
    };
    peers.chain([own]).collect()
}

fn observation(front: Front, metrics: Metrics) -> Router {
    let health = get(|State((front, _)): State<(Front, Metrics)>| async move {
        if front.is_healthy() {
            return StatusCode::OK;
        }
        StatusCode::SERVICE_UNAVAILABLE
    });
    Router::new()
        .route("/healthz", health)
        .route("/metrics", get(scrape))
        .with_state((front, metrics))
}

async fn scrape(State((_, metrics)): State<(Front, Metrics)>) -> Response {
    let content_type = [(header::CONTENT_TYPE, "text/plain; version=0.0.4")];
    match metrics.scrape() {
        Ok(text) => (content_type, text).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
