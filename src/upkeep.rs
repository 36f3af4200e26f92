//! Background tasks: poll the platform's host list, and forward suspicions, scheduling policy and link states.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use primrosestack_core::dispatch::Link;
use primrosestack_core::event::Event;
use primrosestack_core::membership::MemberState;
use primrosestack_core::placement::Objective;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::hostlist::{HostList, ListedState};
use crate::logs::Line;
use crate::members::{Members, View};
use crate::metrics::Metrics;
use crate::settings::LinkSettings;
use crate::shards::{Policy, Shards};
use crate::slots::Slots;

const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
const LINK_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct UpkeepOptions {
    pub failure_domain: SmolStr,
    /// Settings of the links to other failure domains.
    pub links: BTreeMap<SmolStr, LinkSettings>,
    pub members: Members,
    pub shards: Shards,
    pub slots: Slots,
    pub host_list: Arc<dyn HostList>,
    pub metrics: Metrics,
}

/// Starts the tasks, which run for the life of the process.
pub fn spawn(options: UpkeepOptions, mut suspicions: mpsc::Receiver<Event>) {
    let shards = options.shards.clone();
    tokio::spawn(async move {
        while let Some(event) = suspicions.recv().await {
            shards.broadcast(event).await;
        }
    });
    tokio::spawn(poll_host_list(options.clone()));
    tokio::spawn(refresh_links_and_policy(options));
}

async fn poll_host_list(options: UpkeepOptions) {
    loop {
        match options.host_list.read().await {
            Ok(servers) => {
                for server in &servers {
                    let leaving = server.state == ListedState::Leaving;
                    // The list may contain entry hosts too; the members service ignores names of backend servers.
                    options
                        .members
                        .set_listed(server.name.clone(), leaving)
                        .await;
                }
                options.shards.set_listed_servers(servers).await;
            }
            Err(error) => Line::debug("host_list_unread").with_reason(error).write(),
        }
        tokio::time::sleep(HOST_LIST_POLL_INTERVAL).await;
    }
}

async fn refresh_links_and_policy(options: UpkeepOptions) {
    loop {
        let view = options.members.view();
        options.metrics.set_documents(view.documents.len() as u64);
        set_links(&options, &view);
        set_policy(&options, &view).await;
        // Document changes are applied at once: batch would fill all servers if the size of a request became known
        // only after the first submissions.
        tokio::select! {
            () = options.members.wait_for_document_change(&view) => {}
            () = tokio::time::sleep(LINK_REFRESH_INTERVAL) => {}
        }
    }
}

/// Sets the link to each other failure domain, with the best values among its live entry hosts that have free slots.
fn set_links(options: &UpkeepOptions, view: &View) {
    let mut links: BTreeMap<SmolStr, Link> = BTreeMap::new();
    for member in &view.members {
        if member.failure_domain == options.failure_domain {
            continue;
        }
        let link_settings = options.links.get(&member.failure_domain);
        let link = links.entry(member.failure_domain.clone()).or_insert(Link {
            round_trip_ms: u64::MAX,
            price_ms: link_settings.map_or(0, |link| link.price_ms),
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

/// Sets the weights of teams, each at least 1: the slot quota for requests, and the CPU quota in cores for batch.
/// Objectives are averaged by the weight for batch, since teams share servers.
async fn set_policy(options: &UpkeepOptions, view: &View) {
    let mut team_weights = Vec::with_capacity(view.documents.len());
    let mut slot_size = Resources::default();
    let mut objective_sums = [0_u64; 3];
    for document in view.documents.iter() {
        let content = &document.content;
        options
            .slots
            .set_team_weight(&document.team, content.quota.slots.max(1));
        let weight = (content.quota.millicores / 1_000).max(1);
        team_weights.push((document.team.clone(), weight));
        for service in content.services.values() {
            if service.failure_domains.contains(&options.failure_domain) {
                slot_size = slot_size.greater(service.size.into());
            }
        }
        let objective = content.objective;
        objective_sums[0] += u64::from(weight) * u64::from(objective.latency_permille);
        objective_sums[1] += u64::from(weight) * u64::from(objective.throughput_permille);
        objective_sums[2] += u64::from(weight) * u64::from(objective.eviction_permille);
    }
    let total: u64 = team_weights
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return;
    }
    let average = |sum: u64| u32::try_from(sum / total).unwrap_or(1_000);
    let policy = Policy {
        team_weights,
        objective: Objective {
            latency_permille: average(objective_sums[0]),
            throughput_permille: average(objective_sums[1]),
            eviction_permille: average(objective_sums[2]),
        },
        slot_size,
    };
    options.shards.set_policy(policy).await;
}
