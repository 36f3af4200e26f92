//! The platform's list of hosts, which lags.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use primrosestack_core::capacity::Resources;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One line of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Rack.
    pub rack: SmolStr,
    /// Address of a backend server.
    pub address: SocketAddr,
    /// What the host can hold.
    pub resources: Resources,
    /// `live` or `leaving`.
    pub state: SmolStr,
}

/// The list; a clone is the same list.
#[derive(Clone, Default)]
pub struct StandinHostList {
    hosts: Arc<Mutex<Vec<ListedHost>>>,
}

impl StandinHostList {
    fn hosts(&self) -> MutexGuard<'_, Vec<ListedHost>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a host.
    pub fn add(&self, host: ListedHost) {
        self.hosts().push(host);
    }

    /// Marks a host as leaving.
    pub fn leave(&self, name: &str) {
        for host in self.hosts().iter_mut().filter(|host| host.name == name) {
            host.state = SmolStr::new_static("leaving");
        }
    }

    /// Serves on an address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn bind(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let router = Router::new()
            .route("/v1/hosts", get(list))
            .with_state(self.clone());
        crate::platform::serve(address, router).await
    }
}

async fn list(State(list): State<StandinHostList>) -> Json<Vec<ListedHost>> {
    Json(list.hosts().clone())
}
