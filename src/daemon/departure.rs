//! Ends of a term: a release, the loss of the term, and a panic.

use std::rc::Rc;

use primrosestack_fleet::record::Owner;
use primrosestack_platform::store::Transaction;
use prost::Message;

use crate::daemon::clock::now_ms;
use crate::daemon::owner::OwnedShard;
use crate::daemon::{journal, keys};
use crate::logs::Line;

impl OwnedShard {
    /// Stops commanding the shard at once, without writing the remaining records.
    pub fn step_down(&self, reason: &'static str) {
        if self.closed.replace(true) {
            return;
        }
        Line::warn("shard_lost")
            .with("shard", &self.failure_domain)
            .with("era", self.leadership.term)
            .with_reason(reason)
            .write();
        self.save_handover();
        self.leave();
    }

    /// Stops commanding the shard after a panic. Its state may be incomplete, so the successor gets no handover and
    /// waits for the leases, as after a restart.
    pub fn abandon_after_panic(&self, reason: &'static str) {
        self.node
            .forget_handover(&self.failure_domain, self.leadership.term);
        self.closed.set(true);
        self.panicked.set(true);
        Line::error("shard_lost")
            .with("shard", &self.failure_domain)
            .with("era", self.leadership.term)
            .with_reason(reason)
            .write();
        self.leave();
    }

    /// Releases the shard: stops commanding it, writes all records and marks the announcement as released. `cpu_millis`
    /// is the CPU of the host that should take over.
    pub async fn release(self: &Rc<Self>, cpu_millis: u32) {
        self.closed.set(true);
        // A successor may ask while records are being written.
        self.save_handover();
        journal::flush(self).await;
        self.save_handover();
        if self.panicked.get() {
            return;
        }
        let owner = Owner {
            cpu_millis,
            ..Owner::default()
        }
        .encode_to_vec();
        let transaction = Transaction::default().put_with_lease(
            keys::owner(&self.failure_domain),
            owner,
            self.lease.get(),
        );
        let result = self.write_in_term("release", &transaction).await;
        Line::info("shard_released")
            .with("shard", &self.failure_domain)
            .with("era", self.leadership.term)
            .with("announced", result.is_ok())
            .with("follower_millis", cpu_millis)
            .write();
        self.leave();
    }

    fn save_handover(&self) {
        if self.panicked.get() {
            return;
        }
        self.node
            .save_handover(&self.failure_domain, self.shard.borrow().handover(now_ms()));
    }

    /// Removes the shard from the owned ones, and wakes its tasks, which end.
    fn leave(&self) {
        self.node
            .owned_shards
            .borrow_mut()
            .retain(|owned| owned.leadership.start_revision != self.leadership.start_revision);
        self.records_due.notify_waiters();
        self.recorded.notify_waiters();
    }
}
