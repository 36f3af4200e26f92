//! Client for the platform's host list, whose entries may be out of date.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::http::{HttpClient, HttpFailure};

const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    Live,
    /// Receives no new work.
    Leaving,
}

/// A host in the list: a backend server, or possibly an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedServer {
    pub name: SmolStr,
    pub failure_domain: SmolStr,
    pub rack: SmolStr,
    pub address: SocketAddr,
    /// Total capacity.
    pub resources: Resources,
    pub state: ListedState,
}

/// The platform's host list.
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

/// Host list read over HTTP.
pub struct HttpHostList {
    uri: String,
    client: HttpClient,
}

impl HttpHostList {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            uri: format!("http://{address}/v1/hosts"),
            client: HttpClient::default(),
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
