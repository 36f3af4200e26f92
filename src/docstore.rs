//! Reads, writes and watches service documents in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::budget::Backoff;
use primrosestack_core::digest::Document;
use primrosestack_core::documents::EditError;
use primrosestack_core::event::{StoreCall, StoreReply};
use primrosestack_core::ids::Revision;
use primrosestack_core::time::DurationMs;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::logs::Line;
use crate::members::{Members, MembersError};
use crate::store::{KeyValue, Store, StoreError};

const PREFIX: &str = "document/";
/// The watch delivers every change; listing detects a store that was restored without breaking the watch. A listing of
/// 970 documents of 1,400 bytes takes 2 MB, which is 69 KB/s every 30 s and 7 KB/s every 300 s.
const LIST_INTERVAL: Duration = Duration::from_mins(5);
/// Lets the watch open before the first listing, so that no change is missed between the two.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(200);
/// A watch that lasted this long resets the backoff. Equals the longest delay of the backoff.
const WATCH_STABLE_AFTER: DurationMs = DurationMs(10_000);
const CHANGE_QUEUE_CAPACITY: usize = 256;

/// Failure to write a document.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The store cannot be reached; nothing was written.
    #[snafu(display("the store is unavailable; the document was not changed"))]
    Unavailable,
    /// No reply arrived; reading the document shows whether it was written.
    #[snafu(display("the store did not answer; the document may have been changed"))]
    Unknown,
    /// The edit was refused; nothing was written.
    #[snafu(display("{source}"))]
    Refused { source: MembersError },
}

/// Value of a document's key.
#[derive(Serialize, Deserialize)]
struct StoredValue {
    revision: u64,
    text: Arc<str>,
}

/// A listed or watched document.
pub struct StoredDocument {
    pub team: SmolStr,
    /// Store revision of the key, unlike [`Document::revision`], which counts the edits of the document.
    pub key_revision: Revision,
    /// `None` if the value cannot be parsed.
    pub document: Option<Document>,
}

/// Documents read from the store.
pub struct Listing {
    pub documents: Vec<StoredDocument>,
    /// Whether these are all documents in the store.
    pub complete: bool,
}

fn key(team: &str) -> SmolStr {
    format_smolstr!("{PREFIX}{team}")
}

fn parse(team: &str, value: &[u8]) -> Option<Document> {
    let stored: StoredValue = serde_json::from_slice(value).ok()?;
    Some(Document {
        team: team.into(),
        revision: stored.revision,
        text: stored.text,
    })
}

fn stored_document(kv: &KeyValue) -> Option<StoredDocument> {
    let team = kv.key.strip_prefix(PREFIX)?;
    Some(StoredDocument {
        team: team.into(),
        key_revision: kv.revision,
        document: parse(team, &kv.value),
    })
}

async fn compare_and_swap(store: &dyn Store, expected: u64, document: &Document) -> StoreReply {
    let stored = StoredValue {
        revision: document.revision,
        text: document.text.clone(),
    };
    let Ok(value) = serde_json::to_vec(&stored) else {
        return StoreReply::Unavailable;
    };
    let call = StoreCall::CompareAndSwap {
        key: key(&document.team),
        expected: Revision(expected),
        value: value.into(),
    };
    store.call(call).await
}

/// Writes a document if its key has the expected store revision. Returns whether it was written.
pub async fn write(store: &dyn Store, expected: u64, document: &Document) -> bool {
    matches!(
        compare_and_swap(store, expected, document).await,
        StoreReply::Written { .. }
    )
}

async fn read(store: &dyn Store, team: &str) -> Result<(u64, Option<Document>), WriteError> {
    let reply = store.call(StoreCall::Read { key: key(team) }).await;
    let StoreReply::Value { revision, value } = reply else {
        return UnavailableSnafu.fail();
    };
    Ok((revision.0, parse(team, &value)))
}

/// Writes an edit that is based on revision `if_match`, and puts it in force.
///
/// # Errors
///
/// Returns [`WriteError::Refused`] with the current revision if a concurrent edit was first, and
/// [`WriteError::Unavailable`] or [`WriteError::Unknown`] depending on the store's reply.
pub async fn edit(
    store: &dyn Store,
    members: &Members,
    team: &str,
    if_match: u64,
    text: Arc<str>,
) -> Result<u64, WriteError> {
    let (key_revision, stored) = read(store, team).await?;
    let prepared = members
        .prepare_edit(team.into(), if_match, stored, text)
        .await;
    let document = prepared.map_err(|source| WriteError::Refused { source })?;
    match compare_and_swap(store, key_revision, &document).await {
        StoreReply::Written { .. } => {}
        StoreReply::Conflict => return report_conflict(store, team, if_match).await,
        StoreReply::Unavailable => return UnavailableSnafu.fail(),
        _ => confirm_written(store, &document).await?,
    }
    let revision = document.revision;
    members.apply_document(document).await;
    Ok(revision)
}

/// Checks after a lost reply whether the write took effect, in which case the store holds exactly this document.
async fn confirm_written(store: &dyn Store, document: &Document) -> Result<(), WriteError> {
    let (_, stored) = read(store, &document.team)
        .await
        .map_err(|_| WriteError::Unknown)?;
    if stored.as_ref() == Some(document) {
        return Ok(());
    }
    UnknownSnafu.fail()
}

async fn report_conflict(store: &dyn Store, team: &str, if_match: u64) -> Result<u64, WriteError> {
    let (_, stored) = read(store, team).await?;
    let source = MembersError::Edit {
        source: EditError::RevisionConflict {
            team: team.into(),
            if_match,
            current: stored.map_or(0, |document| document.revision),
        },
    };
    Err(WriteError::Refused { source })
}

pub(crate) struct WatchOptions {
    pub(crate) store: Arc<dyn Store>,
    /// Receives the documents.
    pub(crate) members: Members,
    pub(crate) clock: Clock,
    /// Seed of the backoff, so that processes do not retry at the same time.
    pub(crate) seed: u64,
}

/// Watches the documents until the future is dropped, retrying with backoff.
pub(crate) async fn watch(options: WatchOptions) {
    let clock = options.clock;
    let mut backoff = Backoff::new(options.seed);
    let mut broken = false;
    loop {
        let started = clock.now();
        let error = watch_once(&options, &mut broken).await;
        if !broken {
            broken = true;
            let line = Line::warn("document_watch_broken");
            line.with_reason(error).write();
        }
        let now = clock.now();
        if now.since(started) >= WATCH_STABLE_AFTER {
            backoff.record_success();
        }
        backoff.record_failure(now);
        let delay_ms = backoff.wait(now).0;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Watches and lists until one of the two fails.
async fn watch_once(options: &WatchOptions, broken: &mut bool) -> StoreError {
    let store = &*options.store;
    let members = &options.members;
    let (sender, mut changes) = mpsc::channel(CHANGE_QUEUE_CAPACITY);
    let watch_task = async {
        let ended = store.watch(PREFIX, sender).await;
        ended.err().unwrap_or(StoreError::Ended)
    };
    let apply_task = async {
        while let Some(kv) = changes.recv().await {
            let listing = Listing {
                documents: stored_document(&kv).into_iter().collect(),
                complete: false,
            };
            members.apply_listing(listing).await;
        }
        // The watch itself returns why it ended.
        std::future::pending().await
    };
    let list_task = async {
        tokio::time::sleep(FIRST_LIST_DELAY).await;
        loop {
            if let Err(error) = list(store, members).await {
                return error;
            }
            if *broken {
                *broken = false;
                Line::info("document_watch_restored").write();
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    };
    tokio::select! {
        error = watch_task => error,
        error = apply_task => error,
        error = list_task => error,
    }
}

async fn list(store: &dyn Store, members: &Members) -> Result<(), StoreError> {
    let kvs = store.list(PREFIX).await?;
    let listing = Listing {
        documents: kvs.iter().filter_map(stored_document).collect(),
        complete: true,
    };
    members.apply_listing(listing).await;
    Ok(())
}
