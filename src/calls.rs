//! Calls that wait for their answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

struct Inner<T> {
    next: u64,
    pending: BTreeMap<u64, oneshot::Sender<T>>,
}

/// Waiting calls by number; a clone is the same.
pub struct PendingCalls<T> {
    inner: Arc<Mutex<Inner<T>>>,
}

impl<T> Clone for PendingCalls<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        let inner = Inner {
            next: 1,
            pending: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }
}

/// A call that waits; dropping it forgets the call, and a late answer is discarded.
pub struct PendingCall<T> {
    calls: PendingCalls<T>,
    id: u64,
    reply: oneshot::Receiver<T>,
}

impl<T> PendingCalls<T> {
    /// Opens a call with a number that no other call of this process has had.
    #[must_use]
    pub fn register(&self) -> PendingCall<T> {
        let (sender, reply) = oneshot::channel();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let id = inner.next;
        inner.next += 1;
        inner.pending.insert(id, sender);
        PendingCall {
            calls: self.clone(),
            id,
            reply,
        }
    }

    /// Answers a call; an answer to a call that no longer waits is discarded.
    pub fn complete(&self, id: u64, reply: T) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = inner.pending.remove(&id) {
            // The caller gave up at the same moment.
            let _ = sender.send(reply);
        }
    }
}

impl<T> PendingCall<T> {
    /// Number of the call.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the answer; `None` if it does not arrive in time.
    pub async fn wait(mut self, limit: Duration) -> Option<T> {
        timeout(limit, &mut self.reply).await.ok()?.ok()
    }
}

impl<T> Drop for PendingCall<T> {
    fn drop(&mut self) {
        let mut inner = self
            .calls
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        inner.pending.remove(&self.id);
    }
}
