//! Questions between entry hosts: length-delimited frames over TCP.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::prelude::JobId;
use primrosestack_fleet::shard::JobStatus;
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
const ANSWER_MS: u64 = 350;

/// A question to the owner of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Question {
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
pub struct Waiting {
    /// Queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Number of jobs.
    #[prost(uint32, tag = "2")]
    pub jobs: u32,
}

/// Answer to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// Whether the asked host owns the shard; nothing else is meant if not.
    #[prost(bool, tag = "1")]
    pub is_owner: bool,
    /// State of the job.
    #[prost(enumeration = "Known", tag = "2")]
    pub known: i32,
    /// Waiting jobs by queue, sorted.
    #[prost(message, repeated, tag = "3")]
    pub waiting: Vec<Waiting>,
    /// Load of the shard; none while its owner does not reach the store.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Whether the asked host gives no more orders for the shard, after a question of a successor.
    #[prost(bool, tag = "5")]
    pub gave_up: bool,
    /// What the asked host held of the shard; none if its process was started since.
    #[prost(message, optional, tag = "6")]
    pub handover: Option<Handover>,
}

impl Known {
    /// The state as callers see it.
    #[must_use]
    pub fn standing(self) -> Option<JobStatus> {
        Some(match self {
            Self::Unknown => return None,
            Self::Queued => JobStatus::Queued,
            Self::Running => JobStatus::Running,
            Self::Completed => JobStatus::Completed,
            Self::Failed => JobStatus::Failed,
            Self::Cancelled => JobStatus::Cancelled,
        })
    }

    fn of(standing: Option<JobStatus>) -> Self {
        match standing {
            None => Self::Unknown,
            Some(JobStatus::Queued) => Self::Queued,
            Some(JobStatus::Running) => Self::Running,
            Some(JobStatus::Completed) => Self::Completed,
            Some(JobStatus::Failed) => Self::Failed,
            Some(JobStatus::Cancelled) => Self::Cancelled,
        }
    }
}

/// Why a peer did not answer.
#[derive(Debug, Snafu)]
pub enum PeerFailure {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Broken {
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
    #[snafu(display("no reply within {ANSWER_MS} ms"))]
    TooSlow,
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;
type Slot = Rc<Mutex<Option<Link>>>;

/// Kept connections to other entry hosts.
#[derive(Default)]
pub struct Peers {
    links: RefCell<Vec<(SmolStr, Slot)>>,
}

impl Peers {
    /// Asks the host at an address.
    ///
    /// # Errors
    ///
    /// Returns [`PeerFailure`] if there is no reply; the connection is closed then.
    pub async fn ask(&self, address: &str, question: &Question) -> Result<Reply, PeerFailure> {
        let slot = self.slot(address);
        let exchange = async {
            let mut link = slot.lock().await;
            // The connection is only put back after a whole exchange, so a late reply is never taken for another.
            let mut framed = match link.take() {
                Some(framed) => framed,
                None => frame(
                    TcpStream::connect(address)
                        .await
                        .map_err(|source| PeerFailure::Broken { source })?,
                ),
            };
            let bytes = Bytes::from(question.encode_to_vec());
            framed
                .send(bytes)
                .await
                .map_err(|source| PeerFailure::Broken { source })?;
            let reply = framed.next().await.ok_or(PeerFailure::Closed)?;
            let reply = reply.map_err(|source| PeerFailure::Broken { source })?;
            let reply = Reply::decode(reply).map_err(|source| PeerFailure::Malformed { source })?;
            *link = Some(framed);
            Ok(reply)
        };
        match tokio::time::timeout(Duration::from_millis(ANSWER_MS), exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(PeerFailure::TooSlow),
        }
    }

    fn slot(&self, address: &str) -> Slot {
        let mut links = self.links.borrow_mut();
        match links.binary_search_by(|(known, _)| known.as_str().cmp(address)) {
            Ok(at) => Rc::clone(&links[at].1),
            Err(at) => {
                let slot = Slot::default();
                links.insert(at, (address.into(), Rc::clone(&slot)));
                slot
            }
        }
    }
}

fn frame(stream: TcpStream) -> Link {
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
            tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
            continue;
        };
        tokio::task::spawn_local(answer_all(Rc::clone(&node), frame(stream)));
    }
}

async fn answer_all(node: Rc<Node>, mut link: Link) {
    while let Some(Ok(frame)) = link.next().await {
        let Ok(question) = Question::decode(frame) else {
            return;
        };
        let reply = answer(&node, &question);
        if link.send(Bytes::from(reply.encode_to_vec())).await.is_err() {
            return;
        }
    }
}

fn answer(node: &Node, question: &Question) -> Reply {
    if question.successor_era > 0 {
        return Reply {
            handover: node.yield_shard(&question.failure_domain, question.successor_era),
            gave_up: true,
            ..Reply::default()
        };
    }
    let Some(owned) = node.owned_shard(&question.failure_domain) else {
        return Reply::default();
    };
    let mut reply = Reply {
        is_owner: true,
        ..Reply::default()
    };
    if question.job != 0 {
        reply.set_known(Known::of(owned.standing(JobId(question.job))));
        return reply;
    }
    owned.consider(question);
    if node.is_store_away() {
        // Without the store, an owner learns of no new jobs: it can count them no more than start them.
        return reply;
    }
    reply.load = Some(owned.shard.borrow().load_summary(now_ms()));
    for (queue, jobs) in owned.shard.borrow().queued_jobs() {
        reply.waiting.push(Waiting {
            queue: queue.to_string(),
            jobs,
        });
    }
    reply
}

/// Interval at which the owners of all shards are asked for their load, in milliseconds: short against the time that
/// jobs take, long against an answer.
const LOADS_MS: u64 = 300;

/// Follows the loads and queues of all shards until the daemon ends.
pub async fn follow_loads(node: Rc<Node>) {
    loop {
        for at in 0..node.settings.failure_domains.len() {
            let reply = ask_load(&node, at).await;
            let now = now_ms();
            let mut views = node.shard_views.borrow_mut();
            if let Some((load, reply)) =
                reply.and_then(|mut reply| Some((reply.load.take()?, reply)))
            {
                node.learn_from(&load.interference);
                views[at].load = Some(load);
                views[at].waiting = reply
                    .waiting
                    .into_iter()
                    .map(|row| (SmolStr::new(row.queue), row.jobs))
                    .collect();
                views[at].known_ms = now;
            } else if now > views[at].known_ms + LOAD_LIFE_MS {
                views[at].load = None;
            }
        }
        tokio::time::sleep(Duration::from_millis(LOADS_MS)).await;
    }
}

/// Age at which a load or a count of waiting jobs is no longer used, in milliseconds: counts may be 2 s old.
pub const LOAD_LIFE_MS: u64 = 1_500;

async fn ask_load(node: &Rc<Node>, at: usize) -> Option<Reply> {
    let failure_domain = &node.settings.failure_domains[at];
    let question = Question {
        failure_domain: failure_domain.to_string(),
        candidate_domain: if node.is_ready() {
            node.settings.failure_domain.to_string()
        } else {
            String::new()
        },
        cpu_millis: node.settings.cpu_millis,
        ..Question::default()
    };
    if node.owned_shard(failure_domain).is_some() {
        return Some(answer(node, &question));
    }
    let address = node.owner_address(failure_domain)?;
    match node.peers.ask(&address, &question).await {
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
