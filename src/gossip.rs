//! Actor behind the members service: exchanges heartbeats, document digests and documents with peers.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::digest::{Digest, Document, DocumentHead};
use primrosestack_core::documents::{
    ApplyOutcome, Documents, Joining, Serving, StoreComparison, watcher,
};
use primrosestack_core::event::Event;
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{
    Load, MemberAction, MemberEvent, MemberHeartbeat, MemberState, Membership, MembershipConfig,
};
use primrosestack_core::peer_frame::{
    Body, DocumentDigest, DocumentHeads, DocumentVersion, Heartbeat,
};
use primrosestack_core::time::MonoMs;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::docstore::{self, Listing, WatchOptions};
use crate::logs::Line;
use crate::members::{
    self, Command, DomainRevisions, Members, MembersError, MembersOptions, ParsedDocument, View,
};
use crate::membership_state::MembershipState;
use crate::peer::{Peers, ReceivedFrame};
use crate::push::{document_from_frame, push_frame};
use crate::store::Store;

const TICK: Duration = Duration::from_millis(100);
/// Ticks between refreshes of the document revisions of other hosts.
const DOCUMENT_REFRESH_TICKS: u64 = 20;

pub(crate) fn spawn(
    options: MembersOptions,
    service: Members,
    queue: mpsc::Receiver<Command>,
    view: watch::Sender<Arc<View>>,
) {
    let now = options.clock.now();
    let failure_domain = options.config.failure_domain.clone();
    let actor = Actor {
        service,
        host: options.config.host.clone(),
        failure_domain: failure_domain.clone(),
        membership: MembershipState::Active(Membership::open(options.config, now)),
        documents: DocumentsState::Joining(Documents::open(failure_domain, now)),
        clock: options.clock,
        peers: options.peers,
        store: options.store,
        load: options.load,
        suspicions: options.suspicions,
        watch_task: None,
        view,
        ticks: 0,
        parsed: Arc::default(),
        domains: Arc::default(),
    };
    tokio::spawn(actor.run(queue));
}

/// A host is joining until it holds all documents of a peer or a timeout has passed; only a serving host accepts edits.
enum DocumentsState {
    Joining(Documents<Joining>),
    Serving(Documents<Serving>),
}

macro_rules! with_documents {
    ($state:expr, $documents:ident => $value:expr) => {
        match $state {
            DocumentsState::Joining($documents) => $value,
            DocumentsState::Serving($documents) => $value,
        }
    };
}

struct Actor {
    service: Members,
    host: HostId,
    failure_domain: SmolStr,
    membership: MembershipState,
    documents: DocumentsState,
    clock: Clock,
    peers: Peers,
    store: Arc<dyn Store>,
    load: watch::Receiver<Load>,
    suspicions: mpsc::Sender<Event>,
    watch_task: Option<JoinHandle<()>>,
    view: watch::Sender<Arc<View>>,
    ticks: u64,
    parsed: Arc<[ParsedDocument]>,
    domains: DomainRevisions,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => self.tick().await,
                command = queue.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
            }
        }
    }

    async fn tick(&mut self) {
        let load = *self.load.borrow();
        self.handle_member_event(MemberEvent::Tick { load }).await;
        self.try_serve(None);
        self.update_document_watch();
        self.ticks += 1;
        // The revisions of other hosts change without an event; reading them for all teams at each tick is expensive.
        if self.ticks.is_multiple_of(DOCUMENT_REFRESH_TICKS) {
            self.refresh_documents();
        }
        self.publish();
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Received(received) => self.handle_frame(*received).await,
            Command::PrepareEdit {
                team,
                if_match,
                stored,
                text,
                reply,
            } => {
                let prepared = self.prepare_edit(&team, if_match, stored.as_ref(), text);
                // The caller may have gone away.
                let _ = reply.send(prepared);
            }
            Command::ApplyDocument(document) => self.apply_document(&document, true),
            Command::ApplyListing(listing) => self.apply_listing(listing),
            Command::HostListed { name, leaving } => {
                self.handle_member_event(MemberEvent::Listed { name, leaving })
                    .await;
            }
            Command::Leave => self.leave().await,
        }
    }

    async fn leave(&mut self) {
        let mut actions = Vec::new();
        let load = *self.load.borrow();
        let now = self.clock.now();
        let placeholder = MembershipState::Active(Membership::open(self.empty_config(), now));
        let state_before = std::mem::replace(&mut self.membership, placeholder);
        self.membership = state_before.leave(now, load, &mut actions);
        self.perform_actions(actions).await;
    }

    fn empty_config(&self) -> MembershipConfig {
        MembershipConfig {
            host: self.host.clone(),
            failure_domain: self.failure_domain.clone(),
            members: Vec::new(),
        }
    }

    async fn handle_member_event(&mut self, event: MemberEvent) {
        let mut actions = Vec::new();
        self.membership
            .handle(self.clock.now(), event, &mut actions);
        self.perform_actions(actions).await;
    }

    async fn perform_actions(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            if let Some(event) = action.shard_event(&self.failure_domain) {
                // The receiver lives as long as the process.
                let _ = self.suspicions.send(event).await;
            }
            match action {
                MemberAction::Send { to, heartbeat } => self.send_heartbeat(&to, &heartbeat),
                MemberAction::Changed { host, state, .. } => {
                    let line = Line::info("member_changed").with("host", &host.name);
                    line.with("state", format!("{state:?}")).write();
                    if state == MemberState::Gone {
                        with_documents!(&mut self.documents, documents => documents.remove_host(&host.name));
                    }
                }
            }
        }
    }

    fn send_heartbeat(&self, to: &str, heartbeat: &MemberHeartbeat) {
        let digest = with_documents!(&self.documents, documents => documents.digest());
        let frame = Heartbeat {
            sent_ms: heartbeat.sent.0,
            echo_ms: heartbeat.echo.map(|echo| echo.0),
            leaving: heartbeat.leaving,
            free_slots: heartbeat.load.free_slots,
            queued: heartbeat.load.queued,
            expected_wait_ms: heartbeat.load.expected_wait_ms,
            claims: Vec::new(),
            digest_root: Some(digest.root()),
        };
        // An unreachable host gets the next heartbeat after the link is restored.
        let _ = self.peers.send(to, Body::Heartbeat(frame));
    }

    async fn handle_frame(&mut self, received: ReceivedFrame) {
        let ReceivedFrame {
            from,
            failure_domain,
            body,
        } = received;
        match body {
            Body::Heartbeat(heartbeat) => {
                self.handle_heartbeat(from, failure_domain, heartbeat).await;
            }
            Body::DocumentDigest(digest) => {
                self.handle_digest(&from.name, &failure_domain, &digest);
            }
            Body::DocumentHeads(heads) => self.handle_heads(&from.name, &failure_domain, heads),
            Body::DocumentPush(push) => {
                // A sender of this failure domain has already pushed to the other ones.
                let from_other_domain = failure_domain != self.failure_domain;
                for pushed in push.documents {
                    self.apply_document(&document_from_frame(pushed), from_other_domain);
                }
            }
            _ => {}
        }
    }

    async fn handle_heartbeat(&mut self, from: HostId, failure_domain: SmolStr, frame: Heartbeat) {
        let heartbeat = MemberHeartbeat {
            from: from.clone(),
            failure_domain: failure_domain.clone(),
            sent: MonoMs(frame.sent_ms),
            echo: frame.echo_ms.map(MonoMs),
            leaving: frame.leaving,
            load: Load {
                free_slots: frame.free_slots,
                queued: frame.queued,
                expected_wait_ms: frame.expected_wait_ms,
            },
        };
        self.handle_member_event(MemberEvent::HeartbeatReceived(heartbeat))
            .await;
        self.handle_digest_root(&from.name, &failure_domain, frame.digest_root);
    }

    fn handle_digest_root(&mut self, from: &str, failure_domain: &str, root: Option<u64>) {
        let own = with_documents!(&self.documents, documents => documents.digest().clone());
        if root == Some(own.root()) {
            self.try_serve(Some(&own));
        }
        let now = self.clock.now();
        let differs = with_documents!(&mut self.documents, documents =>
            documents.compare_root(now, from, failure_domain, root));
        if differs {
            let digest = Body::DocumentDigest(DocumentDigest::from(&own));
            // If this is lost, the peer's next heartbeat triggers it again.
            let _ = self.peers.send(from, digest);
        }
    }

    fn handle_digest(&mut self, from: &str, failure_domain: &str, digest: &DocumentDigest) {
        let Ok(peer_digest) = Digest::try_from(digest) else {
            return;
        };
        self.try_serve(Some(&peer_digest));
        let buckets = with_documents!(&mut self.documents, documents =>
            documents.compare(from, failure_domain, &peer_digest));
        if buckets.is_empty() {
            return;
        }
        let heads = with_documents!(&self.documents, documents => documents.heads(&buckets));
        let heads = heads.into_iter().map(|head| DocumentVersion {
            team: head.team.to_string(),
            revision: head.revision,
            text_hash: head.text_hash,
        });
        let heads = DocumentHeads {
            buckets,
            heads: heads.collect(),
        };
        let _ = self.peers.send(from, Body::DocumentHeads(heads));
    }

    fn handle_heads(&mut self, from: &str, failure_domain: &str, heads: DocumentHeads) {
        let peer_heads = heads.heads.into_iter().map(|head| DocumentHead {
            team: head.team.into(),
            revision: head.revision,
            text_hash: head.text_hash,
        });
        let peer_heads: Vec<DocumentHead> = peer_heads.collect();
        let newer = with_documents!(&mut self.documents, documents =>
            documents.newer_than(from, failure_domain, &heads.buckets, &peer_heads));
        if !newer.is_empty() {
            let push = push_frame(&newer);
            let _ = self.peers.send(from, push);
        }
    }

    fn prepare_edit(
        &self,
        team: &str,
        if_match: u64,
        stored: Option<&Document>,
        text: Arc<str>,
    ) -> Result<Document, MembersError> {
        let DocumentsState::Serving(documents) = &self.documents else {
            return Err(MembersError::Joining);
        };
        let prepared = documents.edit(team, if_match, stored, text);
        prepared.map_err(|source| MembersError::Edit { source })
    }

    fn apply_document(&mut self, document: &Document, to_other_domains: bool) {
        let outcome =
            with_documents!(&mut self.documents, documents => documents.apply(document.clone()));
        if outcome != ApplyOutcome::InForce {
            return;
        }
        let line = Line::info("document_in_force").with("team", &document.team);
        line.with("revision", document.revision).write();
        self.push_to_peers(document, to_other_domains);
        self.refresh_documents();
        self.publish();
    }

    /// Sends a document to all live entry hosts of this failure domain and, with `to_other_domains`, to one live entry
    /// host of each other failure domain.
    fn push_to_peers(&self, document: &Document, to_other_domains: bool) {
        let mut reached_domains: Vec<SmolStr> = Vec::new();
        for member in self.membership.members() {
            if member.state != MemberState::Live {
                continue;
            }
            let is_own_domain = member.failure_domain == self.failure_domain;
            if !is_own_domain
                && (!to_other_domains || reached_domains.contains(&member.failure_domain))
            {
                continue;
            }
            let sent = self.peers.send(
                &member.host.name,
                push_frame(std::slice::from_ref(document)),
            );
            if sent && !is_own_domain {
                reached_domains.push(member.failure_domain);
            }
        }
    }

    fn apply_listing(&mut self, listing: Listing) {
        let mut teams = Vec::new();
        for stored in listing.documents {
            let team = stored.team;
            let comparison = with_documents!(&mut self.documents, documents =>
                documents.read_from_store(&team, stored.key_revision, stored.document.clone()));
            match comparison {
                StoreComparison::InForce => {
                    if let Some(document) = stored.document {
                        self.push_to_peers(&document, true);
                    }
                }
                StoreComparison::Agrees => {}
                StoreComparison::WriteBack { expected, document } => {
                    self.write_back(expected.0, document);
                }
            }
            teams.push(team);
        }
        let DocumentsState::Serving(documents) = &self.documents else {
            return;
        };
        if listing.complete {
            for team in documents.absent_from(&teams) {
                if let Some(document) = documents.get(&team) {
                    self.write_back(0, document.clone());
                }
            }
        }
        self.refresh_documents();
        self.publish();
    }

    /// Writes a document to the store, which holds an older revision or none.
    fn write_back(&self, expected: u64, document: Document) {
        let line = Line::warn("document_written_back").with("team", &document.team);
        line.with("revision", document.revision).write();
        let store = self.store.clone();
        let service = self.service.clone();
        tokio::spawn(async move {
            if docstore::write(&*store, expected, &document).await {
                service.apply_document(document).await;
            }
        });
    }

    /// Starts serving if this host holds the documents in `peer_digest`, or if joining has timed out.
    fn try_serve(&mut self, peer_digest: Option<&Digest>) {
        let now = self.clock.now();
        let DocumentsState::Joining(documents) = &self.documents else {
            return;
        };
        if !documents.may_serve(now, peer_digest) {
            return;
        }
        let empty = DocumentsState::Joining(Documents::open(self.failure_domain.clone(), now));
        if let DocumentsState::Joining(documents) = std::mem::replace(&mut self.documents, empty) {
            self.documents = DocumentsState::Serving(documents.serve());
        }
        Line::info("documents_serving").write();
        self.refresh_documents();
        self.publish();
    }

    /// Starts or stops the watch of the store, which one host of each failure domain runs.
    fn update_document_watch(&mut self) {
        let watcher_name = watcher(&self.failure_domain, self.membership.live());
        let is_watcher = watcher_name == Some(self.host.name.as_str());
        let running = self
            .watch_task
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if is_watcher && !running {
            let document_watch = docstore::watch(WatchOptions {
                store: self.store.clone(),
                members: self.service.clone(),
                clock: self.clock,
                seed: self.host.incarnation,
            });
            self.watch_task = Some(tokio::spawn(document_watch));
        }
        if !is_watcher && let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }

    fn refresh_documents(&mut self) {
        let DocumentsState::Serving(documents) = &self.documents else {
            return;
        };
        self.parsed = members::parse_documents(&self.parsed, documents.all()).into();
        let domains = documents.all().iter().map(|document| {
            let team = document.team.clone();
            (team, documents.in_force(&document.team))
        });
        self.domains = domains.collect();
    }

    fn publish(&mut self) {
        self.view.send_replace(Arc::new(View {
            serving: matches!(self.documents, DocumentsState::Serving(_)),
            members: self.membership.members(),
            documents: self.parsed.clone(),
            domains: self.domains.clone(),
        }));
    }
}
