//! One entry host: opens all services, registers them in the kernel, and stops them in order.

use std::any::Any;
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
use crate::burn::{BurnCounters, KnownHost};
use crate::clock::Clock;
use crate::front::{Front, FrontOptions};
use crate::hostlist::{HostList, HttpHostList};
use crate::inbox::Inbox;
use crate::inspect::{Inspection, InspectionOptions};
use crate::jobs::Jobs;
use crate::kernel::{Kernel, KernelError};
use crate::keys::{Keys, KeysOptions};
use crate::listen::{self, ListenError, Listener};
use crate::logs::Line;
use crate::members::{Members, MembersError, MembersOptions};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{PeerError, PeerOptions, PeerSecurity, Peers, Received};
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

/// What every service of a host is opened with. The services find each other in the kernel by name.
struct Base {
    settings: Settings,
    host: HostId,
    clock: Clock,
    kernel: Kernel,
}

impl Base {
    fn open(settings: Settings) -> Self {
        let host = HostId {
            name: settings.name.clone(),
            incarnation: rand::random::<u64>().max(1),
        };
        Self {
            settings,
            host,
            clock: Clock::open(),
            kernel: Kernel::default(),
        }
    }

    fn failure_domain(&self) -> SmolStr {
        self.settings.failure_domain.clone()
    }

    fn find<T: Any + Send + Sync + Clone>(&self, name: &str) -> Result<T, KernelError> {
        self.kernel.find(name)
    }

    /// The platform, metrics and authentication.
    fn open_platform(&self) -> Result<(), HostError> {
        let settings = &self.settings;
        let store: Arc<dyn Store> = Arc::new(HttpStore::open(settings.store_address));
        let backend: Arc<dyn Backend> = Arc::new(HttpBackend::open(self.host.clone()));
        let host_list: Arc<dyn HostList> = Arc::new(HttpHostList::open(settings.host_list_address));
        let auth = match &settings.tokens_file {
            Some(file) => Auth::open(file)?,
            None => Auth::allow_all(),
        };
        let burn = BurnCounters::open(
            self.host.clone(),
            self.failure_domain(),
            known_hosts(settings),
            self.clock.now(),
        );
        self.kernel.register("store", store)?;
        self.kernel.register("backend", backend)?;
        self.kernel.register("host_list", host_list)?;
        self.kernel.register("auth", auth)?;
        self.kernel.register("metrics", Metrics::open()?)?;
        self.kernel.register("burn", burn)?;
        Ok(())
    }

    fn peer_options(&self) -> Result<PeerOptions, HostError> {
        let settings = &self.settings;
        let tls = match &settings.tls {
            None => None,
            Some(files) => {
                let tls = PeerTls::open(files).context(TlsSnafu)?;
                Some(Arc::new(tls) as Arc<dyn PeerSecurity>)
            }
        };
        Ok(PeerOptions {
            host: self.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.peer_address,
            peers: settings.peers.clone(),
            tls,
            metrics: self.find("metrics")?,
        })
    }

    /// Links, members and shards.
    async fn open_coordination(&self) -> Result<mpsc::Receiver<Received>, HostError> {
        let settings = &self.settings;
        let (slots, load) = Slots::spawn(self.clock, self.host.incarnation);
        let (frame_sender, frames) = mpsc::channel(FRAMES);
        let peers = Peers::bind(self.peer_options()?, frame_sender).await?;
        let (suspicion_sender, suspicions) = mpsc::channel(FRAMES);
        let members = Members::spawn(MembersOptions {
            config: membership(settings, &self.host),
            clock: self.clock,
            peers: peers.clone(),
            store: self.find("store")?,
            load,
            suspicions: suspicion_sender,
        });
        let hosts = domain_hosts(settings);
        let shards = Shards::spawn(ShardsOptions {
            host: self.host.clone(),
            failure_domain: self.failure_domain(),
            shards: settings.shards.max(1),
            hosts,
            clock_drift_ppm: settings.clock_drift_ppm,
            store_writes_per_s: settings.store_writes_per_s,
            store_reads_per_s: settings.store_reads_per_s,
            clock: self.clock,
            store: self.find("store")?,
            backend: self.find("backend")?,
            peers: peers.clone(),
            slots: slots.clone(),
            metrics: self.find("metrics")?,
        });
        let upkeep = UpkeepOptions {
            failure_domain: self.failure_domain(),
            links: settings.links.clone(),
            members: members.clone(),
            shards: shards.clone(),
            slots: slots.clone(),
            host_list: self.find("host_list")?,
            metrics: self.find("metrics")?,
        };
        upkeep::spawn(upkeep, suspicions);
        self.kernel.register("slots", slots)?;
        self.kernel.register("peers", peers)?;
        self.kernel.register("members", members)?;
        self.kernel.register("shards", shards)?;
        Ok(frames)
    }

    /// The paths of requests, keys, jobs and inspections.
    fn open_paths(&self) -> Result<(), HostError> {
        let shards: Shards = self.find("shards")?;
        let members: Members = self.find("members")?;
        let peers: Peers = self.find("peers")?;
        let keys = Keys::open(KeysOptions {
            failure_domain: self.failure_domain(),
            failure_domains: all_domains(&self.settings),
            shards: shards.clone(),
            members: members.clone(),
            peers: peers.clone(),
        });
        let jobs = Jobs::open(
            self.failure_domain(),
            shards.clone(),
            members.clone(),
            peers.clone(),
        );
        let inspection = Inspection::open(InspectionOptions {
            host: self.host.clone(),
            failure_domain: self.failure_domain(),
            peer_address: peers.address(),
            shards,
            members: members.clone(),
            peers: peers.clone(),
            slots: self.find("slots")?,
        });
        let requests = Requests::open(RequestsOptions {
            host: self.host.clone(),
            failure_domain: self.failure_domain(),
            clock: self.clock,
            slots: self.find("slots")?,
            backend: self.find("backend")?,
            peers,
            members,
            keys: keys.clone(),
            seed: self.host.incarnation,
        });
        self.kernel.register("keys", keys)?;
        self.kernel.register("jobs", jobs)?;
        self.kernel.register("inspection", inspection)?;
        self.kernel.register("requests", requests)?;
        Ok(())
    }

    fn open_inbox(&self, frames: mpsc::Receiver<Received>) -> Result<(), HostError> {
        let inbox = Inbox {
            members: self.find("members")?,
            shards: self.find("shards")?,
            keys: self.find("keys")?,
            requests: self.find("requests")?,
            jobs: self.find("jobs")?,
            inspection: self.find("inspection")?,
        };
        inbox.spawn(frames);
        Ok(())
    }

    /// The listeners for callers and for operators.
    async fn open_listeners(&self) -> Result<(Listener, Listener), HostError> {
        let settings = &self.settings;
        let clock = self.clock;
        let burn: BurnCounters = self.find("burn")?;
        let front = Front::open(FrontOptions {
            host: self.host.clone(),
            failure_domain: self.failure_domain(),
            clock,
            auth: self.find("auth")?,
            members: self.find("members")?,
            requests: self.find("requests")?,
            metrics: self.find("metrics")?,
            burn: burn.clone(),
        });
        let administration = Administration::open(AdministrationOptions {
            store: self.find("store")?,
            members: self.find("members")?,
            jobs: self.find("jobs")?,
            inspection: self.find("inspection")?,
        });
        let admin_router = api::router(administration, self.find("auth")?)
            .merge(burn.router(move || clock.now()))
            .merge(observation(front.clone(), self.find("metrics")?));
        let tls = server_tls(settings)?;
        let limits = settings.limits;
        let callers = front.router();
        let front_listener =
            listen::bind(settings.front_address, callers, tls.clone(), limits).await?;
        let admin_listener =
            listen::bind(settings.admin_address, admin_router, tls, limits).await?;
        self.kernel.register("front", front)?;
        Ok((front_listener, admin_listener))
    }
}

impl EntryHost {
    /// Opens all services and listens. Returns as soon as the listeners are open; the health check fails until the
    /// documents of the peers have been received.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if an address, a file or a service cannot be opened.
    pub async fn bind(settings: Settings) -> Result<Self, HostError> {
        let base = Base::open(settings);
        base.open_platform()?;
        let frames = base.open_coordination().await?;
        base.open_paths()?;
        base.open_inbox(frames)?;
        let (front, admin) = base.open_listeners().await?;
        let peers: Peers = base.find("peers")?;
        let line = Line::info("host_open").with("host", &base.host.name);
        line.with("incarnation", base.host.incarnation).write();
        Ok(Self {
            kernel: base.kernel,
            front,
            admin,
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

    /// Stops in order: fails the health check, hands over the shards, finishes requests in flight, also those of peers.
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
        let requests: Requests = self.kernel.find("requests")?;
        Line::info("host_leaving").write();
        front.leave();
        // Handed over first: peers stop forwarding to a leaving host, so its servers would idle until the end.
        let handover = tokio::time::timeout(HANDOVER_WAIT, shards.stop()).await;
        let handed_over = handover.is_ok();
        members.leave().await;
        tokio::time::sleep(BALANCER_WAIT).await;
        let callers_finished = self.front.stop(DRAIN_MS).await;
        let drain = Duration::from_millis(DRAIN_MS);
        let peers_finished = tokio::time::timeout(drain, requests.drained()).await;
        let finished = callers_finished && peers_finished.is_ok();
        let admin_finished = self.admin.stop(1_000).await;
        let line = Line::info("host_closed").with("requests_finished", finished);
        let line = line.with("handed_over", handed_over);
        line.with("admin_finished", admin_finished).write();
        Ok(finished && handed_over)
    }
}

fn server_tls(settings: &Settings) -> Result<Option<Arc<ServerTls>>, HostError> {
    let Some(files) = &settings.tls else {
        return Ok(None);
    };
    let tls = ServerTls::open(files, ClientCertificates::NotRequested).context(TlsSnafu)?;
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

/// All failure domains of the settings, sorted; every host must find the same.
fn all_domains(settings: &Settings) -> Vec<SmolStr> {
    let peers = settings.peers.iter();
    let mut domains: Vec<SmolStr> = peers.map(|peer| peer.failure_domain.clone()).collect();
    domains.push(settings.failure_domain.clone());
    domains.sort();
    domains.dedup();
    domains
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

fn known_hosts(settings: &Settings) -> Vec<KnownHost> {
    let peers = settings.peers.iter().map(|peer| KnownHost {
        failure_domain: peer.failure_domain.clone(),
        name: peer.name.clone(),
    });
    let own = KnownHost {
        failure_domain: settings.failure_domain.clone(),
        name: settings.name.clone(),
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
