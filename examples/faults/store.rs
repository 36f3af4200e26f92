//! A fake store: compare-and-swap on the revision of a key.

use std::collections::BTreeMap;
use std::sync::Arc;

use primrosestack_core::digest::Document;
use primrosestack_core::prelude::*;
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the keys of service documents.
const DOCUMENTS: &str = "document/";

/// Keys with their revision and value; the revision of the latest write to any key.
#[derive(Default)]
pub struct Store {
    values: BTreeMap<SmolStr, (Revision, Arc<[u8]>)>,
    revision: u64,
    backup: Vec<(SmolStr, Arc<[u8]>)>,
}

impl Store {
    /// Performs one call.
    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => {
                let held = self.values.get(key).cloned();
                let (revision, value) = held.unwrap_or_else(|| (Revision(0), Arc::from([])));
                StoreReply::Value { revision, value }
            }
            StoreCall::CompareAndSwap {
                key,
                expected,
                value,
            } => {
                let held = self.values.get(key).map_or(Revision(0), |held| held.0);
                if held != *expected {
                    return StoreReply::Conflict;
                }
                self.write(key.clone(), value.clone())
            }
            StoreCall::Delete { key } => {
                self.revision += 1;
                self.values.remove(key);
                StoreReply::Written {
                    revision: Revision(self.revision),
                }
            }
        }
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&Arc<[u8]>> {
        self.values.get(key).map(|held| &held.1)
    }

    /// Keeps a copy of the service documents.
    pub fn back_up(&mut self) {
        let documents = self
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(DOCUMENTS));
        self.backup = documents
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect();
    }

    /// Restores the service documents from the copy.
    pub fn restore(&mut self) {
        self.values.retain(|key, _| !key.starts_with(DOCUMENTS));
        for (key, value) in std::mem::take(&mut self.backup) {
            self.write(key, value);
        }
    }

    fn write(&mut self, key: SmolStr, value: Arc<[u8]>) -> StoreReply {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.values.insert(key, (revision, value));
        StoreReply::Written { revision }
    }
}

/// Key of a team's document.
pub fn document_key(team: &str) -> SmolStr {
    format_smolstr!("{DOCUMENTS}{team}")
}

/// Value under which a document is stored.
pub fn encode(document: &Document) -> Arc<[u8]> {
    let text = format!("{}\n{}", document.revision, document.text);
    Arc::from(text.into_bytes())
}

/// The document of a stored value; `None` for an absent key.
pub fn decode(team: &str, value: &[u8]) -> Option<Document> {
    let text = std::str::from_utf8(value).ok()?;
    let (revision, text) = text.split_once('\n')?;
    Some(Document {
        team: team.into(),
        revision: revision.parse().ok()?,
        text: text.into(),
    })
}
