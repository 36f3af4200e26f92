//! Tombstones: what the cancellation of a job leaves that is not accepted yet. Without I/O.
//!
//! A tombstone takes the place of the job's home, so that an acceptance that the store carries out later fails. Anybody can
//! cancel jobs that nobody has submitted, so that the number of tombstones and the rate of their writes are bounded.

use smol_str::SmolStr;

use crate::job::JobId;
use crate::open_tasks::{OpenTasks, QUEUES_REPORTED_MAX};

/// Maximum number of tombstones of a shard. The store has some 150 bytes of each in two keys, and an owner that takes the
/// shard over lists them with the inbox.
pub const TOMBSTONES_MAX: u64 = 1_024;

/// Interval of a host's writes of tombstones. The hosts of a deployment share some hundred writes a second.
const WRITE_INTERVAL_MS: u64 = 100;

/// Writes that may follow each other without that interval after a pause.
const WRITE_BURST: u64 = 10;

/// Longest wait for the turn to write; callers give a request some seconds.
const WRITE_WAIT_MAX_MS: u64 = 1_000;

/// Spaces the writes of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritePace {
    /// When the next write would be due if none came in a burst.
    next_ms: u64,
}

impl WritePace {
    /// Time after which the next write may be sent; `None` if too many others wait already.
    pub fn reserve(&mut self, now_ms: u64) -> Option<u64> {
        let burst_ms = WRITE_INTERVAL_MS * (WRITE_BURST - 1);
        let wait_ms = self.next_ms.saturating_sub(now_ms + burst_ms);
        if wait_ms > WRITE_WAIT_MAX_MS {
            return None;
        }
        self.next_ms = self.next_ms.max(now_ms) + WRITE_INTERVAL_MS;
        Some(wait_ms)
    }
}

/// A tombstone that the owner of a shard has to remove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tombstone {
    pub id: JobId,
    /// Revision of the store at which it was written.
    pub revision: u64,
    queue: SmolStr,
    seen_ms: u64,
}

/// Tombstones that the owner of a shard has to remove.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    /// Sorted by job.
    rows: Vec<Tombstone>,
    /// Their number for each queue, sorted by queue.
    queues: Vec<(SmolStr, u64)>,
}

impl Tombstones {
    /// Adds a tombstone that was read at `now_ms`, unless it is known.
    pub fn add(&mut self, id: JobId, revision: u64, queue: impl Into<SmolStr>, now_ms: u64) {
        let queue = queue.into();
        let found = self.rows.binary_search_by_key(&id, |row| row.id);
        let row = Tombstone {
            id,
            revision,
            queue: queue.clone(),
            seen_ms: now_ms,
        };
        match found {
            Ok(index) if self.rows[index].revision >= revision => return,
            Ok(index) => {
                let earlier = std::mem::replace(&mut self.rows[index], row);
                self.uncount(&earlier.queue);
            }
            Err(index) => self.rows.insert(index, row),
        }
        match self.queues.binary_search_by(|(known, _)| known.cmp(&queue)) {
            Ok(index) => self.queues[index].1 += 1,
            Err(index) => self.queues.insert(index, (queue, 1)),
        }
    }

    fn uncount(&mut self, queue: &SmolStr) {
        let Ok(index) = self.queues.binary_search_by(|(known, _)| known.cmp(queue)) else {
            return;
        };
        self.queues[index].1 -= 1;
        if self.queues[index].1 == 0 {
            self.queues.remove(index);
        }
    }

    /// At most `count` tombstones that were read `age_ms` ago or earlier.
    #[must_use]
    pub fn due(&self, count: usize, age_ms: u64, now_ms: u64) -> Vec<Tombstone> {
        let rows = self.rows.iter();
        let due = rows.filter(|row| now_ms >= row.seen_ms + age_ms);
        due.take(count).cloned().collect()
    }

    /// Forgets tombstones that were removed from the store.
    pub fn forget(&mut self, removed: &[Tombstone]) {
        for row in removed {
            let found = self.rows.binary_search_by_key(&row.id, |known| known.id);
            let Ok(index) = found else { continue };
            if self.rows[index].revision != row.revision {
                continue;
            }
            self.rows.remove(index);
            self.uncount(&row.queue);
        }
    }

    /// Adds the number of tombstones to the report of a shard.
    pub fn report(&self, open: &mut OpenTasks) {
        let many = TOMBSTONES_MAX / QUEUES_REPORTED_MAX as u64;
        let queues = self.queues.iter();
        let queues: Vec<_> = queues
            .filter(|(_, count)| *count >= many)
            .cloned()
            .collect();
        open.set_tombstones(self.rows.len() as u64, &queues);
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
