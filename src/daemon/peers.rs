//! Questions between entry hosts: length-delimited frames over TCP.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::prelude::JobId;
use primrosestack_fleet::shard::Standing;
use prost::Message;
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::daemon::clock::now_ms;
use crate::daemon::node::Node;
use crate::logs::Line;

/// Largest frame in bytes: a list of waiting jobs for some thousand queues.
const FRAME_MAX_BYTES: usize = 256 << 10;

/// Time for an answer in milliseconds, over any distance between failure domains.
const REQUEST_TIMEOUT_MS: u64 = 350;

/// A question to the owner of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerRequest {
    /// Failure domain of the shard.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Job whose state is asked for; 0 if the question is for the queues and the load.
    #[prost(fixed64, tag = "2")]
    pub job: u64,
    /// Era of the asking owner, if it asks its predecessor to give the shard up; else 0.
    #[prost(uint64, tag = "3")]
    pub successor_era: u64,
    /// Failure domain of the asking host if it could own shards; empty if it is stopping or does not reach the store.
    #[prost(string, tag = "4")]
    pub candidate_domain: String,
    /// Processor time that the asking host may use, in thousandths of a core.
    #[prost(uint32, tag = "5")]
    pub cpu_millis: u32,
}

/// State of a job in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Known {
    /// The owner does not know the job.
    Unknown = 0,
    /// No task has started.
    Queued = 1,
    /// A task has started.
    Running = 2,
    /// All tasks are done.
    Completed = 3,
    /// A task has failed too often.
    Failed = 4,
    /// Cancelled.
    Cancelled = 5,
}

/// Jobs of a queue of which no task has started.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingCount {
    /// Queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Number of jobs.
    #[prost(uint32, tag = "2")]
    pub jobs: u32,
}

/// Answer to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerReply {
    /// Whether the asked host owns the shard; nothing else is meant if not.
    #[prost(bool, tag = "1")]
    pub is_owner: bool,
    /// State of the job.
    #[prost(enumeration = "Known", tag = "2")]
    pub state: i32,
    /// Waiting jobs by queue, sorted.
    #[prost(message, repeated, tag = "3")]
    pub waiting: Vec<WaitingCount>,
    /// Load of the shard; none while its owner does not reach the store.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Whether the asked host gives no more orders for the shard, after a question of a successor.
    #[prost(bool, tag = "5")]
    pub stepped_down: bool,
    /// What the asked host held of the shard; none if its process was started since.
    #[prost(message, optional, tag = "6")]
    pub handover: Option<Handover>,
}

impl Known {
    /// The state as callers see it.
    #[must_use]
    pub fn standing(self) -> Option<Standing> {
        Some(match self {
            Self::Unknown => return None,
            Self::Queued => Standing::Queued,
            Self::Running => Standing::Running,
            Self::Completed => Standing::Completed,
            Self::Failed => Standing::Failed,
            Self::Cancelled => Standing::Cancelled,
        })
    }

    fn of(standing: Option<Standing>) -> Self {
        match standing {
            None => Self::Unknown,
            Some(Standing::Queued) => Self::Queued,
            Some(Standing::Running) => Self::Running,
            Some(Standing::Completed) => Self::Completed,
            Some(Standing::Failed) => Self::Failed,
            Some(Standing::Cancelled) => Self::Cancelled,
        }
    }
}

/// Why a peer did not answer.
#[derive(Debug, Snafu)]
pub enum PeerFailure {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("connection closed"))]
    Closed,
    /// The reply cannot be read.
    #[snafu(display("reply cannot be read: {source}"))]
    Malformed {
        /// Cause.
        source: prost::DecodeError,
    },
    /// There was no reply in time.
    #[snafu(display("no reply within {REQUEST_TIMEOUT_MS} ms"))]
    Timeout,
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;
type ConnectionSlot = Rc<Mutex<Option<Connection>>>;

/// Kept connections to other entry hosts.
#[derive(Default)]
pub struct Peers {
    connections: RefCell<Vec<(SmolStr, ConnectionSlot)>>,
}

impl Peers {
    /// Asks the host at an address.
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
            // The connection is only put back after a whole exchange, so a late reply is never taken for another.
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
            Ok(at) => Rc::clone(&connections[at].1),
            Err(at) => {
                let slot = ConnectionSlot::default();
                connections.insert(at, (address.into(), Rc::clone(&slot)));
                slot
            }
        }
    }
}

fn framed_connection(stream: TcpStream) -> Connection {
    if let Err(error) = stream.set_nodelay(true) {
        Line::debug("no_delay_refused").with_reason(error).write();
    }
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream)
}

/// Answers other hosts until the daemon ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(REQUEST_TIMEOUT_MS)).await;
            continue;
        };
        tokio::task::spawn_local(serve_connection(
            Rc::clone(&node),
            framed_connection(stream),
        ));
    }
}

async fn serve_connection(node: Rc<Node>, mut connection: Connection) {
    while let Some(Ok(frame)) = connection.next().await {
        let Ok(request) = PeerRequest::decode(frame) else {
            return;
        };
        let reply = handle_request(&node, &request);
        if connection
            .send(Bytes::from(reply.encode_to_vec()))
            .await
            .is_err()
        {
            return;
        }
    }
}

fn handle_request(node: &Node, request: &PeerRequest) -> PeerReply {
    if request.successor_era > 0 {
        return PeerReply {
            handover: node.yield_shard(&request.failure_domain, request.successor_era),
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
        reply.set_state(Known::of(owned.standing(JobId(request.job))));
        return reply;
    }
    owned.consider_candidate(request);
    if node.is_store_unavailable() {
        // Without the store, an owner learns of no new jobs: it can count them no more than start them.
        return reply;
    }
    reply.load = Some(owned.shard.borrow().summary(now_ms()));
    for (queue, jobs) in owned.shard.borrow().waiting() {
        reply.waiting.push(WaitingCount {
            queue: queue.to_string(),
            jobs,
        });
    }
    reply
}

/// Interval at which the owners of all shards are asked for their load, in milliseconds: short against the time that
/// jobs take, long against an answer.
const LOAD_POLL_INTERVAL_MS: u64 = 300;

/// Follows the loads and queues of all shards until the daemon ends.
pub async fn poll_loads(node: Rc<Node>) {
    loop {
        for at in 0..node.settings.failure_domains.len() {
            let reply = query_load(&node, at).await;
            let now = now_ms();
            let mut views = node.shard_views.borrow_mut();
            if let Some((load, reply)) =
                reply.and_then(|mut reply| Some((reply.load.take()?, reply)))
            {
                node.learn_from(&load.pairs);
                views[at].load = Some(load);
                views[at].waiting = reply
                    .waiting
                    .into_iter()
                    .map(|row| (SmolStr::new(row.queue), row.jobs))
                    .collect();
                views[at].updated_ms = now;
            } else if now > views[at].updated_ms + LOAD_MAX_AGE_MS {
                views[at].load = None;
            }
        }
        tokio::time::sleep(Duration::from_millis(LOAD_POLL_INTERVAL_MS)).await;
    }
}

/// Age at which a load or a count of waiting jobs is no longer used, in milliseconds: counts may be 2 s old.
pub const LOAD_MAX_AGE_MS: u64 = 1_500;

async fn query_load(node: &Rc<Node>, at: usize) -> Option<PeerReply> {
    let failure_domain = &node.settings.failure_domains[at];
    let request = PeerRequest {
        failure_domain: failure_domain.to_string(),
        candidate_domain: if node.is_ready() {
            node.settings.failure_domain.to_string()
        } else {
            String::new()
        },
        cpu_millis: node.settings.cpu_millis,
        ..PeerRequest::default()
    };
    if node.owned_shard(failure_domain).is_some() {
        return Some(handle_request(node, &request));
    }
    let address = node.owner_address(failure_domain)?;
    match node.peers.call(&address, &request).await {
        Ok(reply) => Some(reply).filter(|reply| reply.is_owner),
        Err(failure) => {
            Line::info("owner_silent")
                .with("shard", failure_domain)
                .with("address", address)
                .with_reason(failure)
                .write();
            None
        }
    }
}
