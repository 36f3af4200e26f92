//! Idempotency keys of non-idempotent requests and their kept answers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::journal::{Entry, KeyEntry};
use crate::prelude::*;
use crate::tasks::RETENTION_MS;

/// Most bytes of kept answers. Beyond it the oldest answers are dropped and a repeat is told that the outcome cannot
/// be told; without a limit, 100 answers of 4 KiB a second would take 240 MB in 10 minutes.
pub const ANSWERS_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Keys in the order of their claims.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    known: BTreeMap<RequestKey, Option<Arc<[u8]>>>,
    claimed: VecDeque<(MonoMs, RequestKey)>,
    answered: VecDeque<RequestKey>,
    answer_bytes: usize,
}

impl Keys {
    /// What a repeat of `key` is told, or `None` if it is not known.
    #[must_use]
    pub fn reply(&self, key: RequestKey) -> Option<KeyReply> {
        let answer = self.known.get(&key)?;
        Some(answer.clone().map_or(KeyReply::Unknown, KeyReply::Answered))
    }

    /// Records a claim.
    pub fn claim(&mut self, key: RequestKey, now: MonoMs) {
        if self.known.insert(key, None).is_none() {
            self.claimed.push_back((now, key));
        }
    }

    /// Keeps the answer of a key.
    pub fn answer(&mut self, key: RequestKey, answer: Arc<[u8]>, now: MonoMs) {
        if !self.known.contains_key(&key) {
            self.claim(key, now);
        }
        self.answer_bytes += answer.len();
        let replaced = self.known.insert(key, Some(answer)).flatten();
        match replaced {
            Some(old) => self.answer_bytes -= old.len(),
            None => self.answered.push_back(key),
        }
        while self.answer_bytes > ANSWERS_MAX_BYTES {
            let Some(oldest) = self.answered.pop_front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, key: RequestKey) {
        let Some(kept) = self.known.get_mut(&key) else {
            return;
        };
        if let Some(answer) = kept.take() {
            self.answer_bytes -= answer.len();
        }
    }

    /// Forgets keys after `RETENTION_MS`.
    pub fn expire(&mut self, now: MonoMs) {
        while let Some(&(claimed, key)) = self.claimed.front() {
            if now < claimed + DurationMs(RETENTION_MS) {
                break;
            }
            self.claimed.pop_front();
            self.drop_answer(key);
            self.known.remove(&key);
        }
        while let Some(key) = self.answered.front() {
            if self.known.get(key).is_some_and(Option::is_some) {
                return;
            }
            self.answered.pop_front();
        }
    }

    /// Number of known keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Appends the records that build these keys again.
    pub fn write(&self, entries: &mut Vec<Entry>) {
        for (_, key) in &self.claimed {
            let Some(answer) = self.known.get(key) else {
                continue;
            };
            entries.push(match answer {
                None => Entry::Claimed(KeyEntry::new(*key, Vec::new())),
                Some(answer) => Entry::Answered(KeyEntry::new(*key, answer.to_vec())),
            });
        }
    }
}
