//! Entry host: starts all services, registers them by name, and stops them in order.

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
use crate::front::{Frontend, FrontendOptions};
use crate::hostlist::{HostList, HttpHostList};
use crate::inbox::FrameDispatcher;
use crate::inspect::{Inspection, InspectionOptions};
use crate::jobs::Jobs;
use crate::kernel::{RegistryError, ServiceRegistry};
use crate::keys::{Keys, KeysOptions};
use crate::listen::{self, ListenError, Listener};
use crate::logs::Line;
use crate::members::{Members, MembersError, MembersOptions};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{PeerError, PeerOptions, PeerSecurity, Peers, ReceivedFrame};
use crate::peertls::PeerTls;
use crate::requests::{Requests, RequestsOptions};
use crate::settings::Settings;
use crate::shards::{Shards, ShardsOptions};
use crate::slots::Slots;
use crate::store::{HttpStore, Store};
use crate::tls::{ClientCertificates, ServerTls, TlsError};
use crate::upkeep::{self, UpkeepOptions};

/// Frames from peers that may wait for dispatch.
const FRAME_QUEUE_CAPACITY: usize = 8_192;
/// The load balancer stops sending callers within this time after the health check fails.
const BALANCER_UPDATE_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for requests in flight; a deadline is at most 15 s.
const DRAIN_TIMEOUT_MS: u64 = 20_000;
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to start or stop an entry host.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// Two services have the same name, or a service is missing.
    #[snafu(context(false), display("{source}"))]
    ServiceRegistry { source: RegistryError },
    /// A listener could not be opened.
    #[snafu(context(false), display("{source}"))]
    Listen { source: ListenError },
    /// The peer listener could not be opened.
    #[snafu(context(false), display("{source}"))]
    Peers { source: PeerError },
    /// The metrics could not be opened.
    #[snafu(context(false), display("{source}"))]
    Metrics { source: MetricsError },
    /// The tokens could not be read.
    #[snafu(context(false), display("{source}"))]
    Tokens { source: TokensError },
    /// The key material could not be read.
    #[snafu(display("{source}"))]
    Tls { source: TlsError },
    /// The members service stopped.
    #[snafu(context(false), display("{source}"))]
    Members { source: MembersError },
}

/// A running entry host.
pub struct EntryHost {
    services: ServiceRegistry,
    front: Listener,
    admin: Listener,
    peer_address: SocketAddr,
}

/// Starts the services of a host, which look each other up in the registry by name.
struct HostBuilder {
    settings: Settings,
    host: HostId,
    clock: Clock,
    services: ServiceRegistry,
}

impl HostBuilder {
    fn open(settings: Settings) -> Self {
        let host = HostId {
            name: settings.name.clone(),
            incarnation: rand::random::<u64>().max(1),
        };
        Self {
            settings,
            host,
            clock: Clock::open(),
            services: ServiceRegistry::default(),
        }
    }

    fn failure_domain(&self) -> SmolStr {
        self.settings.failure_domain.clone()
    }

    fn find<T: Any + Send + Sync + Clone>(&self, name: &str) -> Result<T, RegistryError> {
        self.services.find(name)
    }

    /// Opens the platform clients, metrics and authentication.
    fn open_platform(&self) -> Result<(), HostError> {
        let settings = &self.settings;
        let store: Arc<dyn Store> = Arc::new(HttpStore::new(settings.store_address));
        let backend: Arc<dyn Backend> = Arc::new(HttpBackend::new(self.host.clone()));
        let host_list: Arc<dyn HostList> = Arc::new(HttpHostList::new(settings.host_list_address));
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
        self.services.register("store", store)?;
        self.services.register("backend", backend)?;
        self.services.register("host_list", host_list)?;
        self.services.register("auth", auth)?;
        self.services.register("metrics", Metrics::open()?)?;
        self.services.register("burn", burn)?;
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

    /// Opens the links to peers, the members service and the shards service.
    async fn open_cluster_services(&self) -> Result<mpsc::Receiver<ReceivedFrame>, HostError> {
        let settings = &self.settings;
        let (slots, load) = Slots::spawn(self.clock, self.host.incarnation);
        let (frame_sender, frames) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let peers = Peers::bind(self.peer_options()?, frame_sender).await?;
        let (suspicion_sender, suspicions) = mpsc::channel(FRAME_QUEUE_CAPACITY);
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
        self.services.register("slots", slots)?;
        self.services.register("peers", peers)?;
        self.services.register("members", members)?;
        self.services.register("shards", shards)?;
        Ok(frames)
    }

    /// Opens the services for requests, idempotency keys, jobs and inspection.
    fn open_request_services(&self) -> Result<(), HostError> {
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
        self.services.register("keys", keys)?;
        self.services.register("jobs", jobs)?;
        self.services.register("inspection", inspection)?;
        self.services.register("requests", requests)?;
        Ok(())
    }

    fn open_frame_dispatcher(
        &self,
        frames: mpsc::Receiver<ReceivedFrame>,
    ) -> Result<(), HostError> {
        let frame_dispatcher = FrameDispatcher {
            members: self.find("members")?,
            shards: self.find("shards")?,
            keys: self.find("keys")?,
            requests: self.find("requests")?,
            jobs: self.find("jobs")?,
            inspection: self.find("inspection")?,
        };
        frame_dispatcher.spawn(frames);
        Ok(())
    }

    /// Opens the listeners for callers and for operators.
    async fn open_listeners(&self) -> Result<(Listener, Listener), HostError> {
        let settings = &self.settings;
        let clock = self.clock;
        let burn: BurnCounters = self.find("burn")?;
        let front = Frontend::open(FrontendOptions {
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
            .merge(health_and_metrics_router(
                front.clone(),
                self.find("metrics")?,
            ));
        let tls = server_tls(settings)?;
        let limits = settings.limits;
        let callers = front.router();
        let front_listener =
            listen::bind(settings.front_address, callers, tls.clone(), limits).await?;
        let admin_listener =
            listen::bind(settings.admin_address, admin_router, tls, limits).await?;
        self.services.register("front", front)?;
        Ok((front_listener, admin_listener))
    }
}

impl EntryHost {
    /// Starts all services and listeners. Returns as soon as the listeners are open; the health check fails until the
    /// documents have been received from the peers.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if an address, a file or a service cannot be opened.
    pub async fn bind(settings: Settings) -> Result<Self, HostError> {
        let builder = HostBuilder::open(settings);
        builder.open_platform()?;
        let frames = builder.open_cluster_services().await?;
        builder.open_request_services()?;
        builder.open_frame_dispatcher(frames)?;
        let (front, admin) = builder.open_listeners().await?;
        let peers: Peers = builder.find("peers")?;
        let line = Line::info("host_open").with("host", &builder.host.name);
        line.with("incarnation", builder.host.incarnation).write();
        Ok(Self {
            services: builder.services,
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

    /// Returns the registry of the running services.
    #[must_use]
    pub fn services(&self) -> &ServiceRegistry {
        &self.services
    }

    /// Waits until the host serves callers.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if a service stopped.
    pub async fn wait_until_serving(&self) -> Result<(), HostError> {
        let members: Members = self.services.find("members")?;
        Ok(members.wait_until_serving().await?)
    }

    /// Stops in order: fails the health check, hands over the shards, and finishes requests in flight, including those
    /// of peers.
    ///
    /// Returns whether all requests were finished and all shards handed over in time.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if a service is missing.
    pub async fn stop(self) -> Result<bool, HostError> {
        let front: Frontend = self.services.find("front")?;
        let members: Members = self.services.find("members")?;
        let shards: Shards = self.services.find("shards")?;
        let requests: Requests = self.services.find("requests")?;
        Line::info("host_leaving").write();
        front.start_draining();
        // Shards are handed over first: peers stop forwarding to a leaving host, so its servers would be idle while it
        // drains.
        let handover = tokio::time::timeout(HANDOVER_TIMEOUT, shards.stop()).await;
        let handed_over = handover.is_ok();
        members.leave().await;
        tokio::time::sleep(BALANCER_UPDATE_WAIT).await;
        let callers_finished = self.front.stop(DRAIN_TIMEOUT_MS).await;
        let drain = Duration::from_millis(DRAIN_TIMEOUT_MS);
        let peers_finished = tokio::time::timeout(drain, requests.wait_until_drained()).await;
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

/// All configured failure domains, sorted. Every host must compute the same list.
fn all_domains(settings: &Settings) -> Vec<SmolStr> {
    let peers = settings.peers.iter();
    let mut domains: Vec<SmolStr> = peers.map(|peer| peer.failure_domain.clone()).collect();
    domains.push(settings.failure_domain.clone());
    domains.sort();
    domains.dedup();
    domains
}

/// Names of the entry hosts of the own failure domain, sorted. Every host of the domain must compute the same list.
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

fn health_and_metrics_router(front: Frontend, metrics: Metrics) -> Router {
    let health = get(|State((front, _)): State<(Frontend, Metrics)>| async move {
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

async fn scrape(State((_, metrics)): State<(Frontend, Metrics)>) -> Response {
    let content_type = [(header::CONTENT_TYPE, "text/plain; version=0.0.4")];
    match metrics.scrape() {
        Ok(text) => (content_type, text).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
