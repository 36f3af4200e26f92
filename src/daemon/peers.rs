//! Requests between entry hosts, in length-delimited frames over TCP.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::{SinkExt, StreamExt};
use primrosestack_fleet::advice_queries::AdviceQuery;
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::load_views::{LoadQuery, LoadReport};
use primrosestack_fleet::prelude::JobId;
use prost::Message;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::daemon::advice;
use crate::daemon::clock::now_ms;
use crate::daemon::ingress::limiter::{Limiter, Metered};
use crate::daemon::ingress::limits::{HostSize, Limits};
use crate::daemon::ingress::table::Phase;
use crate::daemon::node::Node;
pub use crate::daemon::peer_messages::{
    JobStatusCode, PeerReply, PeerRequest, QueuedCount, RelayedLoad,
};
use crate::logs::Line;

/// Enough for a handover of 15,000 tasks in flight, at some 25 bytes each.
const FRAME_MAX_BYTES: usize = 1 << 20;

/// A request has two names of failure domains and some numbers.
const REQUEST_MAX_BYTES: usize = 4_096;

/// Enough for any distance between failure domains.
const REQUEST_TIMEOUT_MS: u64 = 350;

/// Why a request to a peer failed.
#[derive(Debug, Snafu)]
pub enum PeerFailure {
    #[snafu(display("connection failed: {source}"))]
    Io { source: std::io::Error },
    #[snafu(display("connection closed by the peer"))]
    Closed,
    #[snafu(display("cannot decode the reply: {source}"))]
    Malformed { source: prost::DecodeError },
    #[snafu(display("no reply within {REQUEST_TIMEOUT_MS} ms"))]
    Timeout,
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;
type ConnectionSlot = Rc<Mutex<Option<Connection>>>;

/// Connections to other entry hosts, one per address.
#[derive(Default)]
pub struct Peers {
    connections: RefCell<Vec<(SmolStr, ConnectionSlot)>>,
}

impl Peers {
    /// Sends a request to the host at an address and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerFailure`] if there is no reply; the connection is closed then.
    pub async fn call(
        &self,
        address: &str,
        request: &PeerRequest,
    ) -> Result<PeerReply, PeerFailure> {
        let slot = self.slot(address);
        let exchange = async {
            let mut connection = slot.lock().await;
            // The connection is put back only after a complete exchange, so a late reply is never taken for the reply
            // to a later request.
            let mut framed = match connection.take() {
                Some(framed) => framed,
                None => framed_connection(
                    TcpStream::connect(address)
                        .await
                        .map_err(|source| PeerFailure::Io { source })?,
                ),
            };
            let bytes = Bytes::from(request.encode_to_vec());
            framed
                .send(bytes)
                .await
                .map_err(|source| PeerFailure::Io { source })?;
            let reply = framed.next().await.ok_or(PeerFailure::Closed)?;
            let reply = reply.map_err(|source| PeerFailure::Io { source })?;
            let reply =
                PeerReply::decode(reply).map_err(|source| PeerFailure::Malformed { source })?;
            *connection = Some(framed);
            Ok(reply)
        };
        match tokio::time::timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(PeerFailure::Timeout),
        }
    }

    fn slot(&self, address: &str) -> ConnectionSlot {
        let mut connections = self.connections.borrow_mut();
        match connections.binary_search_by(|(existing, _)| existing.as_str().cmp(address)) {
            Ok(index) => Rc::clone(&connections[index].1),
            Err(index) => {
                let slot = ConnectionSlot::default();
                connections.insert(index, (address.into(), Rc::clone(&slot)));
                slot
            }
        }
    }
}

fn set_no_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        Line::debug("no_delay_refused").with_reason(error).write();
    }
}

fn framed_connection(stream: TcpStream) -> Connection {
    set_no_delay(&stream);
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream)
}

/// Why a request of another host is not acted on.
#[derive(Debug, Snafu)]
enum Rejection {
    #[snafu(display("cannot accept a connection: {source}"))]
    Accept { source: std::io::Error },
    #[snafu(display("cannot read a frame: {source}"))]
    Frame { source: std::io::Error },
    #[snafu(display("cannot decode the request: {source}"))]
    Undecodable { source: prost::DecodeError },
    #[snafu(display("cannot send the reply: {source}"))]
    NotSent { source: std::io::Error },
    #[snafu(display("unknown failure domain {failure_domain}"))]
    UnknownDomain { failure_domain: String },
}

/// Logs why a request was rejected, unless too many were.
fn log_rejection(node: &Node, sender: impl Display, rejection: &Rejection) {
    let Some(unwritten) = node.peer_lines.admit(now_ms()) else {
        return;
    };
    Line::warn("peer_rejected")
        .with("address", sender)
        .with("unwritten", unwritten)
        .with_reason(rejection)
        .write();
}

/// Serves requests of other hosts until the daemon stops.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let settings = &node.settings;
    let host = HostSize::from_settings(settings.memory_mb, settings.fds_max);
    let limiter = Limiter::open("peers", Limits::for_peers(host), node.metrics.clone());
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, sender)) => {
                    set_no_delay(&stream);
                    if let Some(stream) = limiter.admit(stream, sender.ip()) {
                        let served = serve_connection(Rc::clone(&node), stream, sender);
                        tokio::task::spawn_local(served);
                    }
                    // Lets connections that were told to close release their descriptors.
                    tokio::task::yield_now().await;
                }
                Err(source) => {
                    let own_address = node.settings.peer_address;
                    log_rejection(&node, own_address, &Rejection::Accept { source });
                    tokio::time::sleep(Duration::from_millis(REQUEST_TIMEOUT_MS)).await;
                }
            }
        }
    };
    // Peers ask a stopping host for its handover, so their connections stay.
    tokio::join!(accept, limiter.sweep(|| false));
}

async fn serve_connection(node: Rc<Node>, stream: Metered, sender: SocketAddr) {
    let connection = Rc::clone(&stream.connection);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(REQUEST_MAX_BYTES)
        .new_framed(stream);
    tokio::select! {
        result = serve_requests(&node, framed, sender) => {
            if let Err(rejection) = result {
                log_rejection(&node, sender, &rejection);
            }
        }
        _ = connection.told_to_close() => {}
    }
}

async fn serve_requests(
    node: &Node,
    mut framed: Framed<Metered, LengthDelimitedCodec>,
    sender: SocketAddr,
) -> Result<(), Rejection> {
    let connection = Rc::clone(&framed.get_ref().connection);
    while let Some(frame) = framed.next().await {
        let frame = frame.context(FrameSnafu)?;
        let request = PeerRequest::decode(frame).context(UndecodableSnafu)?;
        let reply = handle_request(node, &request, sender);
        connection.set_phase(Phase::Answer);
        framed.codec_mut().set_max_frame_length(FRAME_MAX_BYTES);
        framed
            .send(Bytes::from(reply.encode_to_vec()))
            .await
            .context(NotSentSnafu)?;
        framed.codec_mut().set_max_frame_length(REQUEST_MAX_BYTES);
    }
    Ok(())
}

/// Characters of an unknown failure domain that are logged.
const LOGGED_DOMAIN_CHARS: usize = 64;

pub(super) fn handle_request(node: &Node, request: &PeerRequest, sender: SocketAddr) -> PeerReply {
    let domains = &node.settings.failure_domains;
    let domain = request.failure_domain.as_str();
    if domains
        .binary_search_by(|known| known.as_str().cmp(domain))
        .is_err()
    {
        let failure_domain = domain.chars().take(LOGGED_DOMAIN_CHARS).collect();
        log_rejection(node, sender, &Rejection::UnknownDomain { failure_domain });
        return PeerReply::default();
    }
    if request.successor_term > 0 {
        return PeerReply {
            handover: requested_handover(node, request),
            stepped_down: true,
            ..PeerReply::default()
        };
    }
    let Some(owned) = node.owned_shard(&request.failure_domain) else {
        return PeerReply::default();
    };
    let mut reply = PeerReply {
        is_owner: true,
        ..PeerReply::default()
    };
    if request.job != 0 {
        reply.set_status(JobStatusCode::from_job_status(
            owned.job_status(JobId(request.job)),
        ));
        return reply;
    }
    owned.consider_candidate(request);
    if node.is_store_unavailable() {
        // Without the store, an owner does not receive new jobs, so it can neither count nor start them.
        return reply;
    }
    let now = now_ms();
    let queries = &request.advice_queries;
    reply.advice_answers = owned.shard.borrow_mut().answer_advice_queries(queries, now);
    let report = owned.load_report(now);
    reply.queued = encode_queued(&report.queued);
    reply.load = Some(report.load);
    if request.wants_interference
        && let Some(load) = &mut reply.load
    {
        load.interference = owned.shard.borrow().interference().estimates().to_vec();
    }
    if request.wants_all_shards {
        reply.other_shards = other_shards(node, &request.failure_domain, now);
    }
    reply
}

fn requested_handover(node: &Node, request: &PeerRequest) -> Option<Handover> {
    let domain = &request.failure_domain;
    if request.handover_term > 0 {
        return node.yield_shard(domain, request.successor_term, request.handover_term);
    }
    // A host of an earlier version would read the empty list of an unopened term as if nothing were in flight.
    node.yield_shard(domain, request.successor_term, request.successor_term - 1)
        .filter(|handover| !handover.unopened)
}

fn encode_queued(queued: &[(SmolStr, u32)]) -> Vec<QueuedCount> {
    let rows = queued.iter().map(|(queue, jobs)| QueuedCount {
        queue: queue.to_string(),
        jobs: *jobs,
    });
    rows.collect()
}

fn decode_queued(rows: Vec<QueuedCount>) -> Vec<(SmolStr, u32)> {
    rows.into_iter()
        .map(|row| (SmolStr::new(row.queue), row.jobs))
        .collect()
}

/// Loads of all shards but the given one, as far as this host knows them.
fn other_shards(node: &Node, failure_domain: &str, now: u64) -> Vec<RelayedLoad> {
    let domains = &node.settings.failure_domains;
    let views = node.load_views.borrow();
    let mut relayed = Vec::new();
    for (index, view, age_ms) in views.relayable(now) {
        if domains[index] == failure_domain {
            continue;
        }
        relayed.push(RelayedLoad {
            failure_domain: domains[index].to_string(),
            load: view.load.clone(),
            queued: encode_queued(&view.queued),
            age_ms,
        });
    }
    relayed
}

/// Short compared with the run time of jobs, long compared with the time that a reply takes.
const LOAD_POLL_INTERVAL_MS: u64 = 300;

/// Polls the loads and queue lengths of all shards until the daemon stops.
pub async fn poll_loads(node: Rc<Node>) {
    loop {
        let owned = refresh_owned_views(&node);
        let advice = advice::take_queries(&node);
        advice::ask_owned(&node, &advice);
        let queries = node.load_views.borrow().due_queries(&owned, now_ms());
        let queries = queries.into_iter();
        join_all(queries.map(|query| run_query(&node, query, &advice))).await;
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

async fn run_query(node: &Rc<Node>, query: LoadQuery, advice: &[(SmolStr, AdviceQuery)]) {
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
        advice_queries: advice.iter().map(|(_, query)| query.clone()).collect(),
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
    advice::apply_answers(node, failure_domain, &reply.advice_answers);
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
