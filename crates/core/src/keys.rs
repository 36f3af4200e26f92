//! Idempotency keys of non-idempotent requests, and the answers stored for repeats.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::journal::{Entry, KeyEntry};
use crate::prelude::*;
use crate::tasks::RETENTION_MS;

/// Upper bound of the stored answers. Beyond it, the oldest answers are dropped and a repeat gets the reply that the
/// outcome is unknown. Without a bound, 100 answers of 4 KiB a second would take 240 MB in 10 minutes.
pub const ANSWERS_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Known keys and stored answers.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    answers: BTreeMap<RequestKey, Option<Arc<[u8]>>>,
    claim_order: VecDeque<(MonoMs, RequestKey)>,
    answer_order: VecDeque<RequestKey>,
    answer_bytes: usize,
}

impl Keys {
    /// Reply to a repeat of `key`, or `None` if the key is not known.
    #[must_use]
    pub fn reply(&self, key: RequestKey) -> Option<KeyReply> {
        let answer = self.answers.get(&key)?;
        Some(answer.clone().map_or(KeyReply::Unknown, KeyReply::Answered))
    }

    /// Records the claim of a key, which has no answer yet.
    pub fn claim(&mut self, key: RequestKey, now: MonoMs) {
        if self.answers.insert(key, None).is_none() {
            self.claim_order.push_back((now, key));
        }
    }

    /// Stores the answer of a key and drops the oldest answers beyond the bound.
    pub fn answer(&mut self, key: RequestKey, answer: Arc<[u8]>, now: MonoMs) {
        if !self.answers.contains_key(&key) {
            self.claim(key, now);
        }
        self.answer_bytes += answer.len();
        let replaced = self.answers.insert(key, Some(answer)).flatten();
        match replaced {
            Some(old) => self.answer_bytes -= old.len(),
            None => self.answer_order.push_back(key),
        }
        while self.answer_bytes > ANSWERS_MAX_BYTES {
            let Some(oldest) = self.answer_order.pop_front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, key: RequestKey) {
        let Some(stored) = self.answers.get_mut(&key) else {
            return;
        };
        if let Some(answer) = stored.take() {
            self.answer_bytes -= answer.len();
        }
    }

    /// Removes keys `RETENTION_MS` after their claim.
    pub fn expire(&mut self, now: MonoMs) {
        while let Some(&(claimed_at, key)) = self.claim_order.front() {
            if now < claimed_at + DurationMs(RETENTION_MS) {
                break;
            }
            self.claim_order.pop_front();
            self.drop_answer(key);
            self.answers.remove(&key);
        }
        while let Some(key) = self.answer_order.front() {
            if self.answers.get(key).is_some_and(Option::is_some) {
                return;
            }
            self.answer_order.pop_front();
        }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Appends the records from which these keys can be rebuilt.
    pub fn write(&self, entries: &mut Vec<Entry>) {
        for (_, key) in &self.claim_order {
            let Some(answer) = self.answers.get(key) else {
                continue;
            };
            entries.push(match answer {
                None => Entry::Claimed(KeyEntry::new(*key, Vec::new())),
                Some(answer) => Entry::Answered(KeyEntry::new(*key, answer.to_vec())),
            });
        }
    }
}
