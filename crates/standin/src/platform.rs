//! Starts all stand-ins of a deployment.

use std::net::{Ipv4Addr, SocketAddr};

use axum::Router;
use primrosestack_core::capacity::Resources;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;

use crate::backend::StandinBackend;
use crate::hostlist::{ListedHost, StandinHostList};
use crate::ledger::Ledger;
use crate::store::StandinStore;
use crate::worker::Worker;

/// Loopback address that binds any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Serves a router in the background and returns the bound address.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve(address: SocketAddr, router: Router) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(bound)
}

/// Size of the simulated platform.
pub struct PlatformOptions {
    /// Names of the failure domains.
    pub failure_domains: Vec<SmolStr>,
    /// Number of backend servers in each failure domain.
    pub servers_per_domain: u32,
    /// Number of backend servers in each rack.
    pub servers_per_rack: u32,
    /// Resources of each backend server.
    pub resources: Resources,
    /// Duration of a request.
    pub service_ms: u64,
    /// Resources that a request uses while it runs.
    pub request_size: Resources,
}

/// The running stand-ins.
pub struct Platform {
    /// The store.
    pub store: StandinStore,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// The host list.
    pub host_list: StandinHostList,
    /// Address of the host list.
    pub host_list_address: SocketAddr,
    /// Backend servers with their names.
    pub servers: Vec<(SmolStr, StandinBackend)>,
    /// Record of what the servers executed.
    pub ledger: Ledger,
}

impl Platform {
    /// Starts all stand-ins on loopback.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address cannot be bound.
    pub async fn bind(options: &PlatformOptions) -> std::io::Result<Self> {
        let store = StandinStore::default();
        let store_address = store.bind(ANY_PORT).await?;
        let host_list = StandinHostList::default();
        let host_list_address = host_list.bind(ANY_PORT).await?;
        let ledger = Ledger::default();
        let mut servers = Vec::new();
        for domain in &options.failure_domains {
            for number in 0..options.servers_per_domain {
                let name = format_smolstr!("{domain}-server-{number}");
                let worker = Worker::open(name.clone(), 1, options.resources, ledger.clone())
                    .with_request_size(options.request_size);
                let (backend, address) = StandinBackend::bind(
                    ANY_PORT,
                    name.clone(),
                    worker,
                    ledger.clone(),
                    options.service_ms,
                )
                .await?;
                let rack = number / options.servers_per_rack.max(1);
                host_list.add(ListedHost {
                    name: name.clone(),
                    failure_domain: domain.clone(),
                    rack: format_smolstr!("{domain}-rack-{rack}"),
                    address,
                    resources: options.resources,
                    state: SmolStr::new_static("live"),
                });
                servers.push((name, backend));
            }
        }
        Ok(Self {
            store,
            store_address,
            host_list,
            host_list_address,
            servers,
            ledger,
        })
    }

    /// Marks a backend server as leaving, both in the host list and at the server itself.
    pub fn leave(&self, name: &str) {
        self.host_list.leave(name);
        for (_, backend) in self.servers.iter().filter(|(known, _)| known == name) {
            backend.worker().leave();
        }
    }
}
