//! Recovery of a new owner: it reads the snapshot and the tail, then claims the servers.

use crate::journal::{JournalError, decode_entries};
use crate::ownership::Role;
use crate::prelude::*;
use crate::servers::{Journaled, Membership};
use crate::shard::{Call, Shard};
use crate::snapshot::verify_snapshot;
use crate::tasks::{DurableState, JobState, Phase};

/// Delay before an unreadable journal is read again, in milliseconds.
const RETRY_MS: u64 = 2_000;

/// Progress in reading the chunks of the snapshot.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    bytes: Vec<u8>,
    chunks_read: u32,
    /// Whether the read of a chunk is outstanding.
    is_outstanding: bool,
    retry_at: MonoMs,
}

/// Builds the durable state from a snapshot and a tail.
///
/// # Errors
///
/// Returns [`JournalError`] if a record cannot be decoded.
pub fn rebuild(snapshot: &[u8], tail: &[u8], now: MonoMs) -> Result<DurableState, JournalError> {
    let mut durable = DurableState::default();
    for bytes in [snapshot, tail] {
        for entry in decode_entries(bytes)? {
            durable.apply(&entry, now);
        }
    }
    Ok(durable)
}

impl Shard {
    pub(crate) fn begin_recovery(&mut self) {
        self.recovery = Recovery::default();
        self.advance_recovery();
    }

    /// Reads the next chunk, or completes the recovery if all chunks are read.
    pub(crate) fn advance_recovery(&mut self) {
        if self.role != Role::Recovering
            || self.recovery.is_outstanding
            || self.now < self.recovery.retry_at
        {
            return;
        }
        let next = self
            .owner_state
            .snapshot
            .filter(|reference| self.recovery.chunks_read < reference.chunks);
        let Some(reference) = next else {
            self.finish_recovery();
            return;
        };
        if !self.budget.take_read(self.now) {
            return;
        }
        self.recovery.is_outstanding = true;
        let key = self.chunk_key(&reference, self.recovery.chunks_read);
        self.call_store(Call::ReadChunk, StoreCall::Read { key });
    }

    pub(crate) fn chunk_read(&mut self, reply: StoreReply) {
        self.recovery.is_outstanding = false;
        if let StoreReply::Value { value, .. } = reply {
            self.recovery.bytes.extend_from_slice(&value);
            self.recovery.chunks_read += 1;
        }
        self.advance_recovery();
    }

    fn finish_recovery(&mut self) {
        let bytes = std::mem::take(&mut self.recovery.bytes);
        let checked = match &self.owner_state.snapshot {
            Some(reference) => verify_snapshot(reference, &bytes),
            None => Ok(()),
        };
        let rebuilt = checked.and_then(|()| rebuild(&bytes, &self.owner_state.tail, self.now));
        if let Ok(durable) = rebuilt {
            self.become_owner(durable);
            return;
        }

        // A later owner may have replaced the snapshot. The chunks are read again, and the periodic read of the head
        // shows whether this host still owns the shard.
        self.recovery = Recovery {
            retry_at: self.now + DurationMs(RETRY_MS),
            ..Recovery::default()
        };
        self.log("journal_unreadable", None, &self.name.clone());
    }

    fn become_owner(&mut self, durable: DurableState) {
        self.durable = durable;
        self.role = Role::Owner;
        for (name, journaled) in self.durable.servers.clone() {
            let rack = self.durable.racks.get(&journaled.rack_pool).cloned();
            let key = self.fleet.key_or_add(&name, &rack.unwrap_or_default());
            if let Some(server) = self.fleet.get_mut(key) {
                server.journaled = Journaled::Yes;
                server.rack_pool = journaled.rack_pool;
                if server.size == Resources::default() {
                    server.size = journaled.size;
                }
            }
            if let Some(server) = self.fleet.get_mut(key).filter(|server| server.is_gone()) {
                // It may have returned since, and the previous owner may have started tasks there.
                server.membership = Membership::Member;
                server.declared_gone = true;
            }
            self.register_server(key);
        }
        self.restore_failures();
        self.hold_tasks();
        for key in self.fleet.keys() {
            self.journal_server(key);
        }
        self.resolve_rack_pools();
        self.log("recovered", None, &self.host.name.clone());
        self.tick_servers();
    }

    /// Holds all unfinished tasks until the servers of their rack pool have reported or their leases have expired.
    fn hold_tasks(&mut self) {
        let mut held = Vec::new();
        for (id, task) in self.durable.unfinished_tasks() {
            let size = self.durable.jobs.get(&id.job).map(|job| job.spec.size);
            held.push((id, task.rack_pool, size.unwrap_or_default()));
        }
        for (id, rack_pool, size) in held {
            let rack_pool = self.rack_pools.entry(rack_pool).or_default();
            rack_pool.demand_millicores += u64::from(size.millicores);
            rack_pool.resolved = false;
            rack_pool.held.push(id);
        }
    }

    fn resolve_rack_pools(&mut self) {
        let rack_pools: Vec<_> = self.rack_pools.keys().copied().collect();
        for rack_pool in rack_pools {
            self.resolve_rack_pool(rack_pool);
        }
    }

    /// Queues the held tasks of a rack pool once each of its servers has reported to this owner or its leases have
    /// certainly expired.
    pub(crate) fn resolve_rack_pool(&mut self, key: crate::placement::RackPoolKey) {
        let is_unresolved = self
            .rack_pools
            .get(&key)
            .is_some_and(|rack_pool| !rack_pool.resolved);
        if !is_unresolved {
            return;
        }
        let is_resolved = self.fleet.iter().all(|(_, server)| {
            let is_member = server.rack_pool == key && server.journaled == Journaled::Yes;
            !is_member || server.last_report.is_some() || server.leases_expired
        });
        if !is_resolved {
            return;
        }
        let Some(rack_pool) = self.rack_pools.get_mut(&key) else {
            return;
        };
        rack_pool.resolved = true;
        let held = std::mem::take(&mut rack_pool.held);
        for task in held {
            let is_held = self
                .durable
                .task(task)
                .is_some_and(|task| task.phase == Phase::Held && task.server.is_none());
            if !is_held {
                continue;
            }
            if self.durable.is_suspected(task) {
                self.await_start(task);
                continue;
            }
            self.requeue(task);
        }
        self.place();
    }

    /// Whether the tasks of a job may still be started.
    pub(crate) fn is_active(&self, job: JobId) -> bool {
        let job = self.durable.jobs.get(&job);
        job.is_some_and(|job| job.state == JobState::Active)
    }
}
