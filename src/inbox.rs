//! Dispatches frames from peers to the services that handle them.

use primrosestack_core::event::Event;
use primrosestack_core::ids::HostId;
use primrosestack_core::peer_frame::Body;
use primrosestack_core::time::MonoMs;
use tokio::sync::mpsc;

use crate::inspect::Inspection;
use crate::jobs::Jobs;
use crate::keys::Keys;
use crate::members::Members;
use crate::peer::ReceivedFrame;
use crate::requests::Requests;
use crate::shards::Shards;

/// Services that handle frames.
#[derive(Clone)]
pub struct FrameDispatcher {
    /// Handles heartbeats and documents.
    pub members: Members,
    /// Handles shard ownership.
    pub shards: Shards,
    pub keys: Keys,
    pub requests: Requests,
    pub jobs: Jobs,
    /// Answers queries for the administration API.
    pub inspection: Inspection,
}

impl FrameDispatcher {
    /// Starts dispatching frames.
    pub fn spawn(self, mut frames: mpsc::Receiver<ReceivedFrame>) {
        tokio::spawn(async move {
            while let Some(received) = frames.recv().await {
                self.dispatch(received).await;
            }
        });
    }

    /// Handlers that wait run in their own tasks, so that a slow request does not delay heartbeats.
    async fn dispatch(&self, received: ReceivedFrame) {
        let from = received.from.clone();
        match received.body {
            Body::Heartbeat(_)
            | Body::DocumentDigest(_)
            | Body::DocumentHeads(_)
            | Body::DocumentPush(_) => self.members.receive(received).await,
            Body::RequestAnswer(answer) => self.requests.complete_forward(answer),
            Body::KeyClaimReply(reply) => self.keys.complete_claim(reply),
            Body::KeyAnswer(answer) => self.keys.store_peer_answer(answer),
            Body::JobReply(reply) => self.jobs.complete_call(reply),
            Body::RequestForward(forward) => {
                let requests = self.requests.clone();
                tokio::spawn(async move { requests.serve_peer(&from, forward).await });
            }
            Body::KeyClaim(claim) => {
                let keys = self.keys.clone();
                tokio::spawn(async move { keys.serve_claim(&from, claim).await });
            }
            Body::InspectReply(reply) => self.inspection.complete_query(reply),
            Body::Inspect(inspect) => {
                let inspection = self.inspection.clone();
                tokio::spawn(async move { inspection.serve_peer(&from, inspect).await });
            }
            Body::JobSubmit(_) | Body::JobCancel(_) => {
                let jobs = self.jobs.clone();
                tokio::spawn(async move { jobs.serve_peer(&from, received.body).await });
            }
            body => self.dispatch_ownership(from, body).await,
        }
    }

    async fn dispatch_ownership(&self, from: HostId, body: Body) {
        let (shard, event) = match body {
            Body::PromiseRequest(request) => (
                request.shard,
                Event::PromiseRequested {
                    owner: from,
                    term: request.term,
                    sent: MonoMs(request.sent_ms),
                },
            ),
            Body::Promise(promise) => (
                promise.shard,
                Event::Promised {
                    from,
                    term: promise.term,
                    sent: MonoMs(promise.sent_ms),
                    forever: promise.forever,
                },
            ),
            Body::ReleaseRequest(request) => (
                request.shard,
                Event::ReleaseRequested {
                    owner: from,
                    term: request.term,
                },
            ),
            Body::Release(release) => (
                release.shard,
                Event::Released {
                    from,
                    term: release.term,
                },
            ),
            Body::TermAnnouncement(announcement) => (
                announcement.shard,
                Event::TermAnnounced {
                    owner: HostId {
                        name: announcement.owner.into(),
                        incarnation: announcement.incarnation,
                    },
                    term: announcement.term,
                },
            ),
            _ => return,
        };
        self.shards.send_event(shard, event).await;
    }
}
