//! Service documents in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::digest::Document;
use primrosestack_core::documents::EditError;
use primrosestack_core::event::{StoreCall, StoreReply};
use primrosestack_core::ids::Revision;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::logs::Line;
use crate::members::{Members, MembersError};
use crate::store::{KeyValue, Store};

const PREFIX: &str = "document/";
/// The watch repairs most losses; a listing each 30 s finds a restored store.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Time for the watch to open before the first listing, so that no change falls between the two.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(200);
const REWATCH_DELAY: Duration = Duration::from_secs(1);
const CHANGES: usize = 256;

/// Why a document was not written.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The store cannot be reached; nothing was written.
    #[snafu(display("the store is unavailable; the document was not changed"))]
    Unavailable,
    /// No answer arrived; reading the document tells whether it was written.
    #[snafu(display("the store did not answer; the document may have been changed"))]
    Unknown,
    /// The edit was refused; nothing was written.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause.
        source: MembersError,
    },
}

/// A document as stored.
#[derive(Serialize, Deserialize)]
struct Stored {
    revision: u64,
    text: Arc<str>,
}

/// One key of a listing.
pub struct StoredDocument {
    /// Team.
    pub team: SmolStr,
    /// Revision of the key.
    pub key_revision: Revision,
    /// The document; `None` if the value cannot be read.
    pub document: Option<Document>,
}

/// Documents read from the store.
pub struct Listing {
    /// The documents.
    pub documents: Vec<StoredDocument>,
    /// Whether these are all.
    pub complete: bool,
}

fn key(team: &str) -> SmolStr {
    format_smolstr!("{PREFIX}{team}")
}

fn parse(team: &str, value: &[u8]) -> Option<Document> {
    let stored: Stored = serde_json::from_slice(value).ok()?;
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

async fn swap(store: &dyn Store, expected: u64, document: &Document) -> StoreReply {
    let stored = Stored {
        revision: document.revision,
        text: document.text.clone(),
    };
    let Ok(value) = serde_json::to_vec(&stored) else {
        return StoreReply::Unavailable;
    };
    let call = StoreCall::Swap {
        key: key(&document.team),
        expected: Revision(expected),
        value: value.into(),
    };
    store.call(call).await
}

/// Writes a document if its key has the expected revision; false if it did not.
pub async fn write(store: &dyn Store, expected: u64, document: &Document) -> bool {
    matches!(
        swap(store, expected, document).await,
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

/// Writes an edit that is based on revision `if_match` and puts it in force.
///
/// # Errors
///
/// [`WriteError::Refused`] with the current revision if another edit was first; [`WriteError::Unavailable`] and
/// [`WriteError::Unknown`] as the store answered.
pub async fn edit(
    store: &dyn Store,
    members: &Members,
    team: &str,
    if_match: u64,
    text: Arc<str>,
) -> Result<u64, WriteError> {
    let (key_revision, stored) = read(store, team).await?;
    let prepared = members.prepare(team.into(), if_match, stored, text).await;
    let document = prepared.map_err(|source| WriteError::Refused { source })?;
    match swap(store, key_revision, &document).await {
        StoreReply::Written { .. } => {}
        StoreReply::Conflict => return raced(store, team, if_match).await,
        StoreReply::Unavailable => return UnavailableSnafu.fail(),
        _ => recognise(store, &document).await?,
    }
    let revision = document.revision;
    members.offer(document).await;
    Ok(revision)
}

/// After a lost answer, the store holds this very document exactly if the write took effect.
async fn recognise(store: &dyn Store, document: &Document) -> Result<(), WriteError> {
    let (_, stored) = read(store, &document.team)
        .await
        .map_err(|_| WriteError::Unknown)?;
    if stored.as_ref() == Some(document) {
        return Ok(());
    }
    UnknownSnafu.fail()
}

async fn raced(store: &dyn Store, team: &str, if_match: u64) -> Result<u64, WriteError> {
    let (_, stored) = read(store, team).await?;
    let source = MembersError::Edit {
        source: EditError::Raced {
            team: team.into(),
            if_match,
            current: stored.map_or(0, |document| document.revision),
        },
    };
    Err(WriteError::Refused { source })
}

/// Watches the documents for as long as the future is polled.
pub async fn watch(store: Arc<dyn Store>, members: Members) {
    loop {
        let (sender, mut changes) = mpsc::channel(CHANGES);
        let watching = store.watch(PREFIX, sender);
        let taking = async {
            while let Some(kv) = changes.recv().await {
                let documents = stored_document(&kv).into_iter().collect();
                let complete = false;
                members
                    .take_listing(Listing {
                        documents,
                        complete,
                    })
                    .await;
            }
        };
        let listing = async {
            tokio::time::sleep(FIRST_LIST_DELAY).await;
            loop {
                list(&*store, &members).await;
                tokio::time::sleep(LIST_INTERVAL).await;
            }
        };
        tokio::select! {
            result = watching => {
                if let Err(error) = result {
                    Line::warn("document_watch_broken").with_reason(error).write();
                }
            }
            () = taking => {}
            () = listing => {}
        }
        tokio::time::sleep(REWATCH_DELAY).await;
    }
}

async fn list(store: &dyn Store, members: &Members) {
    let Ok(kvs) = store.list(PREFIX).await else {
        return;
    };
    let documents = kvs.iter().filter_map(stored_document).collect();
    let complete = true;
    members
        .take_listing(Listing {
            documents,
            complete,
        })
        .await;
}
