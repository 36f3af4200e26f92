//! Periodic work: reads the platform's host list, and passes suspicions, quotas and link states on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::dispatch::Link;
use primrosestack_core::event::Event;
use primrosestack_core::membership::MemberState;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::hostlist::{HostList, ListedState};
use crate::logs::Line;
use crate::members::{Members, View};
use crate::metrics::Metrics;
use crate::settings::LinkSettings;
use crate::shards::Shards;
use crate::slots::Slots;

const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
const LINK_INTERVAL: Duration = Duration::from_millis(500);

/// What the periodic work needs.
#[derive(Clone)]
pub struct UpkeepOptions {
    /// Own failure domain.
    pub failure_domain: SmolStr,
    /// Links to other failure domains.
    pub links: BTreeMap<SmolStr, LinkSettings>,
    /// Members.
    pub members: Members,
    /// Shards.
    pub shards: Shards,
    /// Slots.
    pub slots: Slots,
    /// The platform's host list.
    pub host_list: Arc<dyn HostList>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Starts the periodic work for the life of the process.
pub fn spawn(options: UpkeepOptions, mut suspicions: mpsc::Receiver<Event>) {
    let shards = options.shards.clone();
    tokio::spawn(async move {
        while let Some(event) = suspicions.recv().await {
            shards.everywhere(event).await;
        }
    });
    tokio::spawn(read_hosts(options.clone()));
    tokio::spawn(follow_members(options));
}

async fn read_hosts(options: UpkeepOptions) {
    loop {
        match options.host_list.read().await {
            Ok(servers) => {
                for server in &servers {
                    let leaving = server.state == ListedState::Leaving;
                    // The list may name entry hosts too; names of backend servers are not known as members.
                    options.members.listed(server.name.clone(), leaving).await;
                }
                options.shards.listed(servers).await;
            }
            Err(error) => Line::debug("host_list_unread").with_reason(error).write(),
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

async fn follow_members(options: UpkeepOptions) {
    loop {
        let view = options.members.view();
        options.metrics.set_documents(view.documents.len() as u64);
        set_links(&options, &view);
        set_quotas(&options, &view).await;
        tokio::time::sleep(LINK_INTERVAL).await;
    }
}

/// A failure domain is reached over its freest live entry host.
fn set_links(options: &UpkeepOptions, view: &View) {
    let mut links: BTreeMap<SmolStr, Link> = BTreeMap::new();
    for member in &view.members {
        if member.failure_domain == options.failure_domain {
            continue;
        }
        let price = options.links.get(&member.failure_domain);
        let link = links.entry(member.failure_domain.clone()).or_insert(Link {
            round_trip_ms: u64::MAX,
            price_ms: price.map_or(0, |link| link.price_ms),
            wait_ms: u64::MAX,
            open: false,
        });
        let Some(round_trip) = member.round_trip else {
            continue;
        };
        if member.state != MemberState::Live || member.load.free_slots == 0 {
            continue;
        }
        link.open = true;
        link.round_trip_ms = link.round_trip_ms.min(round_trip.0);
        link.wait_ms = link.wait_ms.min(u64::from(member.load.expected_wait_ms));
    }
    for (failure_domain, link) in &links {
        options.slots.set_link(failure_domain, *link);
    }
}

/// A team's weight is its processor quota, in cores, and at least 1.
async fn set_quotas(options: &UpkeepOptions, view: &View) {
    let mut quotas = Vec::with_capacity(view.documents.len());
    for document in &view.documents {
        let quota = document.content.quota;
        options.slots.set_quota(&document.team, quota.slots.max(1));
        let weight = (quota.millicores / 1_000).max(1);
        quotas.push((document.team.clone(), weight));
    }
    options.shards.teams(quotas).await;
}
