//! Polls of the loads and queue lengths of all shards.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use primrosestack_fleet::load_views::{LoadQuery, LoadReport};

use crate::daemon::clock::now_ms;
use crate::daemon::node::Node;
use crate::daemon::peers::{PeerRequest, decode_queued};
use crate::logs::Line;

/// Short compared with the run time of jobs, long compared with the time that a reply takes.
const LOAD_POLL_INTERVAL_MS: u64 = 300;

/// Polls the loads and queue lengths of all shards until the daemon stops.
pub async fn poll_loads(node: Rc<Node>) {
    loop {
        let owned = refresh_owned_views(&node);
        let queries = node.load_views.borrow().due_queries(&owned, now_ms());
        join_all(queries.into_iter().map(|query| run_query(&node, query))).await;
        node.load_views.borrow_mut().expire(now_ms());
        tokio::time::sleep(Duration::from_millis(LOAD_POLL_INTERVAL_MS)).await;
    }
}

/// Updates the views of the shards that this host owns. Returns for each shard whether this host owns it.
fn refresh_owned_views(node: &Node) -> Vec<bool> {
    let now = now_ms();
    let mut owned = Vec::new();
    for (index, failure_domain) in node.settings.failure_domains.iter().enumerate() {
        let shard = node.owned_shard(failure_domain);
        owned.push(shard.is_some());
        let Some(shard) = shard.filter(|_| !node.is_store_unavailable()) else {
            continue;
        };
        let report = shard.load_report(now);
        node.load_views.borrow_mut().apply(index, report, now);
    }
    owned
}

async fn run_query(node: &Rc<Node>, query: LoadQuery) {
    let (index, wants_interference, wants_all_shards) = match query {
        LoadQuery::Shard {
            index,
            interference,
        } => (index, interference, false),
        LoadQuery::All { index } => (index, false, true),
    };
    let domains = &node.settings.failure_domains;
    let failure_domain = &domains[index];
    let Some(address) = node.owner_address(failure_domain) else {
        return;
    };
    let request = PeerRequest {
        failure_domain: failure_domain.to_string(),
        candidate_domain: if node.is_ready() {
            node.settings.failure_domain.to_string()
        } else {
            String::new()
        },
        cpu_millis: node.settings.cpu_millis,
        wants_interference,
        wants_all_shards,
        ..PeerRequest::default()
    };
    let reply = match node.peers.call(&address, &request).await {
        Ok(reply) if reply.is_owner => reply,
        Ok(_) => return,
        Err(failure) => {
            Line::info("owner_silent")
                .with("shard", failure_domain)
                .with("address", address)
                .with_reason(failure)
                .write();
            return;
        }
    };
    let now = now_ms();
    if let Some(mut load) = reply.load {
        let estimates = std::mem::take(&mut load.interference);
        let mut views = node.load_views.borrow_mut();
        if !estimates.is_empty() {
            node.merge_interference(&estimates);
            views.interference_merged(index, now);
        }
        let report = LoadReport {
            load,
            queued: decode_queued(reply.queued),
            age_ms: 0,
        };
        views.apply(index, report, now);
    }
    for relayed in reply.other_shards {
        let found = domains.binary_search_by(|domain| domain.as_str().cmp(&relayed.failure_domain));
        let (Ok(index), Some(load)) = (found, relayed.load) else {
            continue;
        };
        let report = LoadReport {
            load,
            queued: decode_queued(relayed.queued),
            age_ms: relayed.age_ms,
        };
        node.load_views.borrow_mut().apply(index, report, now);
    }
}
