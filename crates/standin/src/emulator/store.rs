//! Model of the store: one revision counter, conditional transactions, and a history that watches read.

use std::collections::BTreeMap;
use std::rc::Rc;

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{Progress, ServerSet, StoredJob, Term, Transfer};
use smol_str::{SmolStr, format_smolstr};

/// Value of a key.
#[derive(Clone, Debug)]
pub enum Value {
    /// Failure domain whose shard keeps a job.
    Home(usize),
    /// A job in the inbox of its home shard.
    Job(JobSpec),
    /// A job with delegated tasks in the inbox of another shard.
    DelegatedJob(JobSpec),
    Transfer(Transfer),
    Cancellation,
    /// Delegated tasks of a job were given up.
    Failure,
    Term(Term),
    Servers(ServerSet),
    Progress(Progress),
    /// Announcement of an owner; it ends with its lease.
    Announcement,
    Registration(ServerEntry),
    /// Request of the operator to evacuate a failure domain.
    Evacuation,
}

/// A key with its value.
#[derive(Clone, Debug)]
pub struct Item {
    pub value: Rc<Value>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation.
    pub created_revision: u64,
}

/// Change of a key in the history; `item` is `None` after a removal.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: SmolStr,
    pub revision: u64,
    pub item: Option<Item>,
}

/// Changes that take effect together if all expected revisions hold; a revision of 0 expects no such key.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    expected: Vec<(SmolStr, u64)>,
    written: Vec<(SmolStr, Value)>,
    removed: Vec<SmolStr>,
}

impl Transaction {
    #[must_use]
    pub fn expect(mut self, key: SmolStr, revision: u64) -> Self {
        self.expected.push((key, revision));
        self
    }

    #[must_use]
    pub fn put(mut self, key: SmolStr, value: Value) -> Self {
        self.written.push((key, value));
        self
    }

    #[must_use]
    pub fn remove(mut self, key: SmolStr) -> Self {
        self.removed.push(key);
        self
    }
}

/// An expected revision did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict;

/// Keys, values and history.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    items: BTreeMap<SmolStr, Item>,
    history: Vec<Change>,
}

impl Store {
    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    #[must_use]
    pub fn read(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Keys with a prefix, in order.
    pub fn list(&self, prefix: &str) -> impl Iterator<Item = (&SmolStr, &Item)> {
        let prefix = prefix.to_owned();
        self.items
            .range(SmolStr::new(&prefix)..)
            .take_while(move |(key, _)| key.starts_with(&prefix))
    }

    /// Changes after a revision.
    #[must_use]
    pub fn changes_after(&self, revision: u64) -> &[Change] {
        let first = self
            .history
            .partition_point(|change| change.revision <= revision);
        &self.history[first..]
    }

    /// Commits a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`Conflict`], without any change, if an expected revision does not hold.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Conflict> {
        for (key, revision) in &transaction.expected {
            if self.items.get(key).map_or(0, |item| item.revision) != *revision {
                return Err(Conflict);
            }
        }
        self.revision += 1;
        let revision = self.revision;
        for key in &transaction.removed {
            if self.items.remove(key).is_some() {
                self.history.push(Change {
                    key: key.clone(),
                    revision,
                    item: None,
                });
            }
        }
        for (key, value) in &transaction.written {
            let created = self.items.get(key).map(|item| item.created_revision);
            let item = Item {
                value: Rc::new(value.clone()),
                revision,
                created_revision: created.unwrap_or(revision),
            };
            self.items.insert(key.clone(), item.clone());
            self.history.push(Change {
                key: key.clone(),
                revision,
                item: Some(item),
            });
        }
        Ok(revision)
    }

    /// Current term of a shard; number 0 if it never had an owner.
    #[must_use]
    pub fn term(&self, domain: usize) -> (Term, u64) {
        match self.read(&term_key(domain)) {
            Some(item) => match &*item.value {
                Value::Term(term) => (term.clone(), item.revision),
                _ => (Term::default(), item.revision),
            },
            None => (Term::default(), 0),
        }
    }

    /// Progress record of a job.
    #[must_use]
    pub fn progress(&self, domain: usize, id: JobId) -> Option<Progress> {
        match &*self.read(&progress_key(domain, id))?.value {
            Value::Progress(progress) => Some(progress.clone()),
            _ => None,
        }
    }

    /// Failure domain whose shard keeps a job.
    #[must_use]
    pub fn home(&self, id: JobId) -> Option<usize> {
        match *self.read(&home_key(id))?.value {
            Value::Home(domain) => Some(domain),
            _ => None,
        }
    }

    /// Everything the store has of the jobs of a shard, sorted by job.
    #[must_use]
    pub fn stored_jobs(&self, domain: usize) -> Vec<(JobId, StoredJob)> {
        let mut jobs: BTreeMap<JobId, StoredJob> = BTreeMap::new();
        for (key, item) in self.list(&inbox_prefix(domain)) {
            let Some((_, id, entry)) = inbox_entry(key, item) else {
                continue;
            };
            let job = jobs.entry(id).or_default();
            let is_own = entry.spec.is_some() && !entry.is_delegated;
            if job.spec.is_none() || is_own {
                job.is_delegated = entry.is_delegated && entry.spec.is_some();
                job.spec = entry.spec.or(job.spec.take());
                job.created_revision = job.created_revision.max(entry.created_revision);
            }
            job.progress = entry.progress.or(job.progress.take());
            job.cancelled |= entry.cancelled;
            job.delegates_failed |= entry.delegates_failed;
            job.transfers.extend(entry.transfers);
            job.transfer_keys.extend(entry.transfer_keys);
        }
        for (key, item) in self.list(&format!("progress/{domain}/")) {
            let Value::Progress(progress) = &*item.value else {
                continue;
            };
            let id = key.rsplit('/').next().and_then(|id| id.parse().ok());
            let Some(id) = id else { continue };
            jobs.entry(id).or_default().progress = Some(progress.clone());
        }
        jobs.into_iter().collect()
    }
}

/// Decodes an inbox entry about a job: its place among the entries of one update, the job, and what is told of it.
#[must_use]
pub fn inbox_entry(key: &SmolStr, item: &Item) -> Option<(u8, JobId, StoredJob)> {
    let id = key.split('/').nth(3)?.parse().ok()?;
    let mut stored = StoredJob {
        created_revision: item.created_revision,
        ..StoredJob::default()
    };
    let order = match &*item.value {
        Value::Job(spec) => {
            let mut spec = spec.clone();
            stored.progress = spec.recorded.take();
            stored.spec = Some(spec);
            0
        }
        Value::DelegatedJob(spec) => {
            stored.spec = Some(spec.clone());
            stored.is_delegated = true;
            0
        }
        Value::Transfer(transfer) => {
            stored.transfers.push(transfer.clone());
            stored.transfer_keys.push(key.clone());
            1
        }
        Value::Cancellation => {
            stored.cancelled = true;
            2
        }
        Value::Failure => {
            stored.delegates_failed = true;
            2
        }
        _ => return None,
    };
    Some((order, id, stored))
}

pub fn owner_key(domain: usize) -> SmolStr {
    format_smolstr!("owner/{domain}")
}

pub fn term_key(domain: usize) -> SmolStr {
    format_smolstr!("term/{domain}")
}

pub fn servers_key(domain: usize) -> SmolStr {
    format_smolstr!("servers/{domain}")
}

pub fn home_key(id: JobId) -> SmolStr {
    format_smolstr!("home/{id}")
}

pub fn progress_key(domain: usize, id: JobId) -> SmolStr {
    format_smolstr!("progress/{domain}/{id}")
}

pub fn registration_key(domain: usize, name: &str) -> SmolStr {
    format_smolstr!("registration/{domain}/{name}")
}

/// Prefix of a shard's inbox.
pub fn inbox_prefix(domain: usize) -> SmolStr {
    format_smolstr!("inbox/{domain}/")
}

/// The latest term, in the inbox so that the store orders it with the jobs.
pub fn inbox_term_key(domain: usize) -> SmolStr {
    format_smolstr!("inbox/{domain}/term")
}

/// An entry of a shard's inbox about a job: `job`, `guest`, `cancel`, `failed` or `part`.
pub fn inbox_key(domain: usize, kind: &str, id: JobId) -> SmolStr {
    format_smolstr!("inbox/{domain}/{kind}/{id}")
}
