//! Members service: membership of the entry hosts and the service documents in force.

use std::sync::Arc;

use primrosestack_core::digest::Document;
use primrosestack_core::documents::{DomainRevision, EditError};
use primrosestack_core::event::Event;
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{Load, MemberState, MemberView, MembershipConfig};
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::docstore::Listing;
use crate::document;
use crate::gossip;
use crate::logs::Line;
use crate::peer::{Peers, ReceivedFrame};
use crate::store::Store;

const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Failure of a call to the members service.
#[derive(Debug, Snafu)]
pub enum MembersError {
    /// The service has stopped.
    #[snafu(display("the members service has stopped"))]
    Stopped,
    /// The process has just started and is still receiving documents from peers.
    #[snafu(display("documents are still being received from peers"))]
    Joining,
    /// The edit was refused.
    #[snafu(display("{source}"))]
    Edit {
        /// Contains the current revision.
        source: EditError,
    },
}

/// A document in force, parsed.
#[derive(Clone)]
pub struct ParsedDocument {
    pub team: SmolStr,
    pub revision: u64,
    /// Text as it was accepted.
    pub text: Arc<str>,
    pub content: Arc<document::Document>,
}

/// Lowest known revision of each team's document in each failure domain.
pub type DomainRevisions = Arc<[(SmolStr, Vec<DomainRevision>)]>;

/// Snapshot of the service's state.
#[derive(Clone, Default)]
pub struct View {
    /// Whether the process has received the documents and may serve callers.
    pub serving: bool,
    /// Other entry hosts, sorted by name.
    pub members: Vec<MemberView>,
    /// Documents in force, sorted by team.
    pub documents: Arc<[ParsedDocument]>,
    /// Lowest known revision of each team's document among the entry hosts of each failure domain.
    pub domains: DomainRevisions,
}

impl View {
    /// The document of a team.
    #[must_use]
    pub fn document(&self, team: &str) -> Option<&ParsedDocument> {
        let found = self
            .documents
            .binary_search_by(|one| one.team.as_str().cmp(team));
        found.ok().map(|index| &self.documents[index])
    }

    fn has_same_documents(&self, other: &Self) -> bool {
        let pairs = self.documents.iter().zip(other.documents.iter());
        let mut same = pairs.map(|(own, other)| Arc::ptr_eq(&own.content, &other.content));
        self.documents.len() == other.documents.len() && same.all(|same| same)
    }

    /// Live members of a failure domain.
    pub fn live<'a>(&'a self, failure_domain: &'a str) -> impl Iterator<Item = &'a MemberView> {
        self.members.iter().filter(move |member| {
            member.failure_domain == failure_domain && member.state == MemberState::Live
        })
    }

    /// Whether an answer from `host` may still arrive. `include_suspected` also counts a suspected host, which may only
    /// be paused and answer later.
    #[must_use]
    pub fn may_still_answer(&self, host: &HostId, include_suspected: bool) -> bool {
        let Some(member) = self.members.iter().find(|member| member.host == *host) else {
            return false;
        };
        match member.state {
            MemberState::Live | MemberState::Leaving => true,
            MemberState::Suspected => include_suspected,
            MemberState::Unheard | MemberState::Gone => false,
        }
    }
}

pub(crate) enum Command {
    Received(Box<ReceivedFrame>),
    PrepareEdit {
        team: SmolStr,
        if_match: u64,
        stored: Option<Document>,
        text: Arc<str>,
        reply: oneshot::Sender<Result<Document, MembersError>>,
    },
    ApplyDocument(Document),
    ApplyListing(Listing),
    HostListed {
        name: SmolStr,
        leaving: bool,
    },
    Leave,
}

/// Members service; clones share the same state.
#[derive(Clone)]
pub struct Members {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<View>>,
}

pub struct MembersOptions {
    pub config: MembershipConfig,
    pub clock: Clock,
    pub peers: Peers,
    pub store: Arc<dyn Store>,
    /// Load to announce to peers.
    pub load: watch::Receiver<Load>,
    /// Receives suspicions about hosts of the own failure domain.
    pub suspicions: mpsc::Sender<Event>,
}

impl Members {
    /// Starts the service.
    #[must_use]
    pub fn spawn(options: MembersOptions) -> Self {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (view_sender, view) = watch::channel(Arc::default());
        let members = Self { commands, view };
        gossip::spawn(options, members.clone(), queue, view_sender);
        members
    }

    /// Returns the current snapshot.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Waits until [`View::may_still_answer`] is false for a host.
    pub async fn wait_until_unreachable(&self, host: &HostId, include_suspected: bool) {
        let mut view = self.view.clone();
        // If the service has stopped, there are no links either.
        let _ = view
            .wait_for(|view| !view.may_still_answer(host, include_suspected))
            .await;
    }

    /// Waits until the process may serve callers.
    ///
    /// # Errors
    ///
    /// Returns [`MembersError::Stopped`] if the service has stopped.
    pub async fn wait_until_serving(&self) -> Result<(), MembersError> {
        let mut view = self.view.clone();
        let waited = view.wait_for(|view| view.serving).await;
        waited.map(drop).map_err(|_| MembersError::Stopped)
    }

    /// Waits until the documents in force differ from those of `known`; never returns if the service has stopped.
    pub async fn wait_for_document_change(&self, known: &View) {
        let mut view = self.view.clone();
        let changed = view.wait_for(|view| !view.has_same_documents(known));
        let has_stopped = changed.await.is_err();
        if has_stopped {
            std::future::pending::<()>().await;
        }
    }

    /// Passes a frame from a peer to the service.
    pub async fn receive(&self, received: ReceivedFrame) {
        // The receiver lives as long as the process.
        let _ = self
            .commands
            .send(Command::Received(Box::new(received)))
            .await;
    }

    /// Announces to peers that this process is leaving.
    pub async fn leave(&self) {
        let _ = self.commands.send(Command::Leave).await;
    }

    /// Sets the state of an entry host in the platform's host list.
    pub async fn set_listed(&self, name: SmolStr, leaving: bool) {
        let _ = self
            .commands
            .send(Command::HostListed { name, leaving })
            .await;
    }

    /// Returns the document that results from an edit of the stored one.
    ///
    /// # Errors
    ///
    /// Returns [`MembersError::Edit`] with the current revision if a concurrent edit was first.
    pub async fn prepare_edit(
        &self,
        team: SmolStr,
        if_match: u64,
        stored: Option<Document>,
        text: Arc<str>,
    ) -> Result<Document, MembersError> {
        let (reply, answer) = oneshot::channel();
        let command = Command::PrepareEdit {
            team,
            if_match,
            stored,
            text,
            reply,
        };
        let sent = self.commands.send(command).await;
        sent.map_err(|_| MembersError::Stopped)?;
        answer.await.map_err(|_| MembersError::Stopped)?
    }

    /// Puts a document in force if it is newer than the known one, and pushes it to peers.
    pub async fn apply_document(&self, document: Document) {
        let _ = self.commands.send(Command::ApplyDocument(document)).await;
    }

    pub(crate) async fn apply_listing(&self, listing: Listing) {
        let _ = self.commands.send(Command::ApplyListing(listing)).await;
    }
}

/// Parses the documents that differ from `known`. Leaves out those that this version cannot read, since a later version
/// may have accepted them.
pub(crate) fn parse_documents(
    known: &[ParsedDocument],
    documents: &[Document],
) -> Vec<ParsedDocument> {
    let mut parsed = Vec::with_capacity(documents.len());
    for document in documents {
        let found = known.binary_search_by(|one| one.team.cmp(&document.team));
        let same = found.ok().map(|index| &known[index]);
        if let Some(same) = same.filter(|same| Arc::ptr_eq(&same.text, &document.text)) {
            parsed.push(same.clone());
            continue;
        }
        let Ok(content) = document::Document::read(&document.text) else {
            Line::error("document_unreadable")
                .with("team", &document.team)
                .write();
            continue;
        };
        parsed.push(ParsedDocument {
            team: document.team.clone(),
            revision: document.revision,
            text: document.text.clone(),
            content: Arc::new(content),
        });
    }
    parsed
}
