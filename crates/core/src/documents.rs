//! Service documents in force, their digests and anti-entropy repair.
//!
//! The revision of a document is stored with its text and grows by one with each accepted edit. It is distinct from the
//! revision of the store's key, which only guards the compare-and-swap.

use std::cmp::Ordering;
use std::marker::PhantomData;
use std::sync::Arc;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::digest::{Digest, Document, DocumentHead, bucket_of, in_buckets};
use crate::ids::{Revision, rendezvous};
use crate::time::{DurationMs, MonoMs};

/// Minimum interval between two digests to one peer while the documents differ.
pub const DIGEST_INTERVAL: DurationMs = DurationMs(2_000);

/// How long a new process waits for the documents of a peer before it serves from the store alone. Longer than
/// `DIGEST_INTERVAL`, so that a document is missed only if an exchange with each peer is lost.
pub const JOIN_TIMEOUT: DurationMs = DurationMs(3_000);

/// Maximum text bytes of one push; the rest follows with the next exchange. Half the largest value of the store, so
/// that a push does not delay heartbeats on the same link.
pub const PUSH_MAX_BYTES: usize = 524_288;

/// Result of [`Documents::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document is now in force and has to be sent on to peers.
    InForce,
    /// The document was in force already.
    Unchanged,
    /// The document is older than the one in force and was ignored.
    Stale,
}

/// Result of [`Documents::read_from_store`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreComparison {
    /// The stored document is now in force and has to be sent on to peers.
    InForce,
    /// The store agrees with this process.
    Agrees,
    /// The stored document is older than the one in force and has to be replaced at the expected revision. After a
    /// stale read, the swap conflicts and changes nothing.
    WriteBack {
        /// Revision of the store's key that the swap expects.
        expected: Revision,
        document: Document,
    },
}

/// Why an edit was not prepared. Nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EditError {
    /// Another edit was accepted first.
    #[snafu(display("document of team {team:?} is at revision {current}, not {if_match}"))]
    RevisionConflict {
        team: SmolStr,
        /// Revision on which the operator based the edit.
        if_match: u64,
        /// Revision in force.
        current: u64,
    },
    /// The store holds an older document than the one in force and has to be repaired first.
    #[snafu(display("store holds revision {stored} of team {team:?}, older than {current}"))]
    StoreBehind {
        team: SmolStr,
        /// Revision in the store.
        stored: u64,
        /// Revision in force.
        current: u64,
    },
}

/// Revision in force in a failure domain, as far as this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainRevision {
    pub failure_domain: SmolStr,
    /// Lowest revision of the team's document at its known entry hosts; 0 if one of them has none.
    pub revision: u64,
    /// Number of known entry hosts.
    pub hosts: u32,
}

/// Stage of a process that still requests documents from its peers; it neither serves nor accepts edits.
#[derive(Debug)]
pub struct Joining;

/// Stage of a process that serves its documents.
#[derive(Debug)]
pub struct Serving;

struct PeerDocuments {
    host: SmolStr,
    failure_domain: SmolStr,
    revisions: Vec<(SmolStr, u64)>,
    /// Root hash when both sides last held the same documents; `revisions` then holds all documents of that root.
    common_root: Option<u64>,
    digest_sent: Option<MonoMs>,
}

/// The documents of one process, each at the highest revision that the process has seen.
pub struct Documents<Stage> {
    failure_domain: SmolStr,
    opened: MonoMs,
    entries: Vec<Document>,
    digest: Digest,
    peers: Vec<PeerDocuments>,
    stage: PhantomData<Stage>,
}

/// The live entry host that watches the store for a failure domain.
#[must_use]
pub fn watcher<'a>(
    failure_domain: &str,
    live: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    rendezvous(failure_domain, live)
}

impl Documents<Joining> {
    /// Creates the empty registry of a process that has just started.
    #[must_use]
    pub fn open(failure_domain: SmolStr, now: MonoMs) -> Self {
        Self {
            failure_domain,
            opened: now,
            entries: Vec::new(),
            digest: Digest::default(),
            peers: Vec::new(),
            stage: PhantomData,
        }
    }

    /// Whether the process may serve: it holds all documents of a peer, or `JOIN_TIMEOUT` has passed.
    #[must_use]
    pub fn may_serve(&self, now: MonoMs, peer_digest: Option<&Digest>) -> bool {
        let caught_up = peer_digest.is_some_and(|digest| *digest == self.digest);
        caught_up || now.since(self.opened) >= JOIN_TIMEOUT
    }

    #[must_use]
    pub fn serve(self) -> Documents<Serving> {
        Documents {
            failure_domain: self.failure_domain,
            opened: self.opened,
            entries: self.entries,
            digest: self.digest,
            peers: self.peers,
            stage: PhantomData,
        }
    }
}

impl Documents<Serving> {
    /// The document in force.
    #[must_use]
    pub fn get(&self, team: &str) -> Option<&Document> {
        self.entry(team)
    }

    /// All documents in force, sorted by team.
    #[must_use]
    pub fn all(&self) -> &[Document] {
        &self.entries
    }

    /// Prepares an edit against the stored document. The result has to be swapped in at the revision of the store's key
    /// that came with `stored`.
    ///
    /// # Errors
    ///
    /// `RevisionConflict` if the operator's base is not the current revision, `StoreBehind` if the store was restored
    /// to an older state and is not repaired yet. The caller answers both with 409 and the current revision.
    pub fn edit(
        &self,
        team: &str,
        if_match: u64,
        stored: Option<&Document>,
        text: Arc<str>,
    ) -> Result<Document, EditError> {
        let known = self.entry(team).map(Document::head);
        let stored = stored.map(Document::head);
        let rank = |head: &Option<DocumentHead>| head.as_ref().map_or((0, 0), DocumentHead::rank);
        let current = rank(&known).0.max(rank(&stored).0);
        let team = SmolStr::new(team);
        if rank(&stored) < rank(&known) {
            return StoreBehindSnafu {
                team,
                stored: rank(&stored).0,
                current,
            }
            .fail();
        }
        if if_match != current {
            return RevisionConflictSnafu {
                team,
                if_match,
                current,
            }
            .fail();
        }
        Ok(Document {
            team,
            revision: current + 1,
            text,
        })
    }

    /// Known revision of a team's document in each failure domain, sorted by name of the failure domain.
    #[must_use]
    pub fn in_force(&self, team: &str) -> Vec<DomainRevision> {
        let own = self.entry(team).map_or(0, |document| document.revision);
        let mut domains = vec![DomainRevision {
            failure_domain: self.failure_domain.clone(),
            revision: own,
            hosts: 1,
        }];
        for peer in &self.peers {
            let revision = peer.revision(team);
            match domains.binary_search_by(|domain| domain.failure_domain.cmp(&peer.failure_domain))
            {
                Ok(at) => {
                    domains[at].revision = domains[at].revision.min(revision);
                    domains[at].hosts += 1;
                }
                Err(at) => domains.insert(
                    at,
                    DomainRevision {
                        failure_domain: peer.failure_domain.clone(),
                        revision,
                        hosts: 1,
                    },
                ),
            }
        }
        domains
    }
}

impl<Stage> Documents<Stage> {
    /// Applies a document from a peer, the watch or an accepted edit.
    pub fn apply(&mut self, document: Document) -> ApplyOutcome {
        let head = document.head();
        match self.position(&document.team) {
            Err(at) => {
                self.digest.documents += 1;
                self.add_to_digest(&head);
                self.entries.insert(at, document);
                ApplyOutcome::InForce
            }
            Ok(at) => {
                let known = self.entries[at].head();
                match head.rank().cmp(&known.rank()) {
                    Ordering::Less => ApplyOutcome::Stale,
                    Ordering::Equal => ApplyOutcome::Unchanged,
                    Ordering::Greater => {
                        self.remove_from_digest(&known);
                        self.add_to_digest(&head);
                        self.entries[at] = document;
                        ApplyOutcome::InForce
                    }
                }
            }
        }
    }

    /// Compares a read of `document/<team>` with the document in force; `stored` is `None` if the key does not exist.
    pub fn read_from_store(
        &mut self,
        team: &str,
        key_revision: Revision,
        stored: Option<Document>,
    ) -> StoreComparison {
        let stored_revision = stored.as_ref().map_or(0, |document| document.revision);
        let outcome = match stored {
            Some(document) => self.apply(document),
            None if self.entry(team).is_some() => ApplyOutcome::Stale,
            None => ApplyOutcome::Unchanged,
        };
        match (outcome, self.entry(team)) {
            (ApplyOutcome::InForce, _) => StoreComparison::InForce,
            (ApplyOutcome::Stale, Some(document)) => {
                let mut document = document.clone();
                document.revision = document.revision.max(stored_revision + 1);
                StoreComparison::WriteBack {
                    expected: key_revision,
                    document,
                }
            }
            _ => StoreComparison::Agrees,
        }
    }

    /// Teams with a document in force that are absent from a complete listing of the store.
    #[must_use]
    pub fn absent_from(&self, listed: &[SmolStr]) -> Vec<SmolStr> {
        let teams = self.entries.iter().map(|document| &document.team);
        teams
            .filter(|team| !listed.contains(team))
            .cloned()
            .collect()
    }

    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Compares the root hash of a peer's digest; `None` if it sent none. Returns whether to send it the own digest:
    /// the roots differ, and the last digest to it is at least `DIGEST_INTERVAL` old.
    pub fn compare_root(
        &mut self,
        now: MonoMs,
        host: &str,
        failure_domain: &str,
        theirs: Option<u64>,
    ) -> bool {
        let own = self.digest.root();
        if theirs != Some(own) {
            let peer = self.peer_entry(host, failure_domain);
            let recent = peer
                .digest_sent
                .is_some_and(|sent| now.since(sent) < DIGEST_INTERVAL);
            if !recent {
                peer.digest_sent = Some(now);
            }
            return !recent;
        }
        if self.peer_entry(host, failure_domain).common_root != theirs {
            let same = self.digest.clone();
            self.compare(host, failure_domain, &same);
            self.peer_entry(host, failure_domain).common_root = theirs;
        }
        false
    }

    /// Compares a peer's digest. Returns the buckets that differ, for `heads`; none if both hold the same documents.
    pub fn compare(&mut self, host: &str, failure_domain: &str, theirs: &Digest) -> Vec<u32> {
        let mut differing = Vec::new();
        for (bucket, (own, their)) in (0_u32..).zip(self.digest.buckets.iter().zip(&theirs.buckets))
        {
            if own != their {
                differing.push(bucket);
            }
        }
        let same = self
            .entries
            .iter()
            .filter(|document| !in_buckets(&document.team, &differing));
        let same: Vec<(SmolStr, u64)> = same
            .map(|document| (document.team.clone(), document.revision))
            .collect();
        let peer = self.peer_entry(host, failure_domain);
        for (team, revision) in same {
            peer.record(&team, revision);
        }
        differing
    }

    /// Versions held in these buckets; the peer answers them with `newer_than`.
    #[must_use]
    pub fn heads(&self, buckets: &[u32]) -> Vec<DocumentHead> {
        let chosen = self
            .entries
            .iter()
            .filter(|document| in_buckets(&document.team, buckets));
        chosen.map(Document::head).collect()
    }

    /// Records a peer's versions in these buckets. Returns the documents that the peer lacks, at most `PUSH_MAX_BYTES`
    /// of text but always at least one.
    pub fn newer_than(
        &mut self,
        host: &str,
        failure_domain: &str,
        buckets: &[u32],
        theirs: &[DocumentHead],
    ) -> Vec<Document> {
        let peer = self.peer_entry(host, failure_domain);
        for head in theirs {
            peer.record(&head.team, head.revision);
        }
        let mut push = Vec::new();
        let mut bytes = 0;
        for document in &self.entries {
            if !in_buckets(&document.team, buckets) {
                continue;
            }
            let held = theirs.iter().find(|head| head.team == document.team);
            if held.is_some_and(|head| head.rank() >= document.head().rank()) {
                continue;
            }
            bytes += document.text.len();
            if bytes > PUSH_MAX_BYTES && !push.is_empty() {
                break;
            }
            push.push(document.clone());
        }
        push
    }

    /// Removes the records of an entry host that is gone.
    pub fn remove_host(&mut self, host: &str) {
        self.peers.retain(|peer| peer.host != host);
    }

    fn position(&self, team: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|document| document.team.as_str().cmp(team))
    }

    fn entry(&self, team: &str) -> Option<&Document> {
        let at = self.position(team).ok()?;
        self.entries.get(at)
    }

    fn add_to_digest(&mut self, head: &DocumentHead) {
        let sum = &mut self.digest.buckets[bucket_of(&head.team)];
        *sum = sum.wrapping_add(head.digest_hash());
    }

    fn remove_from_digest(&mut self, head: &DocumentHead) {
        let sum = &mut self.digest.buckets[bucket_of(&head.team)];
        *sum = sum.wrapping_sub(head.digest_hash());
    }

    fn peer_entry(&mut self, host: &str, failure_domain: &str) -> &mut PeerDocuments {
        let found = self
            .peers
            .binary_search_by(|peer| peer.host.as_str().cmp(host));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let peer = PeerDocuments {
                    host: SmolStr::new(host),
                    failure_domain: SmolStr::new(failure_domain),
                    revisions: Vec::new(),
                    common_root: None,
                    digest_sent: None,
                };
                self.peers.insert(at, peer);
                at
            }
        };
        &mut self.peers[at]
    }
}

impl PeerDocuments {
    fn position(&self, team: &str) -> Result<usize, usize> {
        self.revisions
            .binary_search_by(|(known, _)| known.as_str().cmp(team))
    }

    fn revision(&self, team: &str) -> u64 {
        self.position(team).map_or(0, |at| self.revisions[at].1)
    }

    fn record(&mut self, team: &str, revision: u64) {
        match self.position(team) {
            Ok(at) => self.revisions[at].1 = revision,
            Err(at) => self.revisions.insert(at, (SmolStr::new(team), revision)),
        }
    }
}
