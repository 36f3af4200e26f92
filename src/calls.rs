//! Calls that wait for their answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

struct Inner<T> {
    next: u64,
    waiting: BTreeMap<u64, oneshot::Sender<T>>,
}

/// Waiting calls by number; a clone is the same.
pub struct Calls<T> {
    inner: Arc<Mutex<Inner<T>>>,
}

impl<T> Clone for Calls<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

impl<T> Default for Calls<T> {
    fn default() -> Self {
        let inner = Inner {
            next: 1,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }
}

/// A call that waits; dropping it forgets the call, and a late answer is discarded.
pub struct Waiting<T> {
    calls: Calls<T>,
    id: u64,
    answer: oneshot::Receiver<T>,
}

impl<T> Calls<T> {
    /// Opens a call with a number that no other call of this process has had.
    #[must_use]
    pub fn open(&self) -> Waiting<T> {
        let (sender, answer) = oneshot::channel();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let id = inner.next;
        inner.next += 1;
        inner.waiting.insert(id, sender);
        Waiting {
            calls: self.clone(),
            id,
            answer,
        }
    }

    /// Answers a call; an answer to a call that no longer waits is discarded.
    pub fn answer(&self, id: u64, answer: T) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = inner.waiting.remove(&id) {
            // The caller gave up at the same moment.
            let _ = sender.send(answer);
        }
    }
}

impl<T> Waiting<T> {
    /// Number of the call.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the answer; `None` if it does not arrive in time.
    pub async fn answer(mut self, limit: Duration) -> Option<T> {
        timeout(limit, &mut self.answer).await.ok()?.ok()
    }
}

impl<T> Drop for Waiting<T> {
    fn drop(&mut self) {
        let mut inner = self
            .calls
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        inner.waiting.remove(&self.id);
    }
}
