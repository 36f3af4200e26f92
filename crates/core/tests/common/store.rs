//! Simulated key-value store.

use std::collections::BTreeMap;
use std::sync::Arc;

use primrosestack_core::prelude::*;
use smol_str::SmolStr;

/// A store that responds immediately.
#[derive(Clone, Default)]
pub struct Store {
    pub values: BTreeMap<SmolStr, (u64, Arc<[u8]>)>,
    pub revision: u64,
    pub writes: u64,
    pub largest: usize,
}

impl Store {
    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => {
                let found = self.values.get(key).cloned();
                let (revision, value) = found.unwrap_or((0, Arc::from(Vec::new())));
                StoreReply::Value {
                    revision: Revision(revision),
                    value,
                }
            }
            StoreCall::CompareAndSwap {
                key,
                expected,
                value,
            } => {
                let present = self.values.get(key).map_or(0, |(revision, _)| *revision);
                if present != expected.0 {
                    return StoreReply::Conflict;
                }
                self.writes += 1;
                self.largest = self.largest.max(value.len());
                let value = (self.revision + 1, value.clone());
                self.values.insert(key.clone(), value);
                self.written()
            }
            StoreCall::Delete { key } => {
                self.values.remove(key);
                self.written()
            }
        }
    }

    fn written(&mut self) -> StoreReply {
        self.revision += 1;
        let revision = Revision(self.revision);
        StoreReply::Written { revision }
    }
}
