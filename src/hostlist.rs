//! The platform's host list, which lags.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::http::{HttpClient, HttpFailure};

const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a listed host receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is live.
    Live,
    /// It is leaving and receives no new work.
    Leaving,
}

/// One line of the list: a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedServer {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Rack.
    pub rack: SmolStr,
    /// Address.
    pub address: SocketAddr,
    /// What it can hold.
    pub resources: Resources,
    /// Whether it receives new work.
    pub state: ListedState,
}

/// What the program needs of the platform's host list.
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// The future returns [`HttpFailure`] if the list cannot be read.
    fn read(
        &self,
    ) -> Pin<Box<dyn Future<Output = Result<Vec<ListedServer>, HttpFailure>> + Send + '_>>;
}

/// A host list reached over HTTP.
pub struct HttpHostList {
    uri: String,
    client: HttpClient,
}

impl HttpHostList {
    /// Opens a client.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            uri: format!("http://{address}/v1/hosts"),
            client: HttpClient::open(),
        }
    }
}

impl HostList for HttpHostList {
    fn read(
        &self,
    ) -> Pin<Box<dyn Future<Output = Result<Vec<ListedServer>, HttpFailure>> + Send + '_>> {
        Box::pin(async move {
            let list = self.client.get_json(&self.uri, LIST_TIMEOUT).await?;
            serde_json::from_value(list).map_err(|_| HttpFailure::Malformed)
        })
    }
}
