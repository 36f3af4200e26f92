//! Calls to other hosts that await their replies.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

struct Inner<T> {
    next: u64,
    pending: BTreeMap<u64, oneshot::Sender<T>>,
}

/// Pending calls by id; clones share the same table.
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

/// A pending call. Dropping it removes the call, and a late reply is discarded.
pub struct PendingCall<T> {
    calls: PendingCalls<T>,
    id: u64,
    reply: oneshot::Receiver<T>,
}

impl<T> PendingCalls<T> {
    /// Registers a call under an id that is never reused.
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

    /// Delivers the reply of a call; discards it if the call is no longer pending.
    pub fn complete(&self, id: u64, reply: T) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = inner.pending.remove(&id) {
            // The caller may have given up in the meantime.
            let _ = sender.send(reply);
        }
    }
}

impl<T> PendingCall<T> {
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the reply; returns `None` if it does not arrive within `limit`.
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
