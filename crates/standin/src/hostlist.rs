//! The platform's host list, which lags behind the true state of the hosts.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use primrosestack_core::capacity::Resources;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An entry of the host list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: SmolStr,
    /// Failure domain of the host.
    pub failure_domain: SmolStr,
    /// Rack of the host.
    pub rack: SmolStr,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Resources of the host.
    pub resources: Resources,
    /// `live` or `leaving`.
    pub state: SmolStr,
}

/// The host list; a clone is a handle to the same list.
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

    /// Serves the list over HTTP and returns the bound address.
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
