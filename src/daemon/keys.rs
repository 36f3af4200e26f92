//! Store keys.

use primrosestack_fleet::prelude::JobId;
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the owners' announcements.
pub const OWNERS_PREFIX: &str = "primrose/owner/";

/// Announcement of the owner of a shard.
#[must_use]
pub fn owner(failure_domain: &str) -> SmolStr {
    format_smolstr!("{OWNERS_PREFIX}{failure_domain}")
}

/// Current term of a shard.
#[must_use]
pub fn term(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/era/{failure_domain}")
}

/// Servers to which owners of a shard may have granted leases.
#[must_use]
pub fn servers(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/servers/{failure_domain}")
}

/// Prefix of a shard's inbox.
#[must_use]
pub fn inbox_prefix(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/")
}

/// An accepted job, in the inbox of its home shard.
#[must_use]
pub fn job(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/job/{id}")
}

/// Cancellation of a job.
#[must_use]
pub fn cancellation(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/cancel/{id}")
}

/// A tombstone that the owner of a shard has to remove; the value names the queue. The job's home is the tombstone itself.
#[must_use]
pub fn tombstone(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/tombstone/{id}")
}

/// Failure of a job's delegated tasks, in the inbox of its home shard.
#[must_use]
pub fn failure(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/failed/{id}")
}

/// Prefix of the progress records of a shard's jobs.
#[must_use]
pub fn progress_prefix(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/progress/{failure_domain}/")
}

/// Progress record of a job.
#[must_use]
pub fn progress(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/progress/{failure_domain}/{id}")
}

/// Home shard of a job.
#[must_use]
pub fn home(id: JobId) -> SmolStr {
    format_smolstr!("primrose/home/{id}")
}

/// A job with tasks that its home shard delegated to this shard.
#[must_use]
pub fn delegated_job(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/guest/{id}")
}

/// Tasks of a job that another shard transferred; `source` and `nth` make the key unique.
#[must_use]
pub fn transfer(failure_domain: &str, id: JobId, source: &str, nth: usize) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/part/{id}/{source}-{nth}")
}

/// Latest term of a shard, repeated in the inbox so that the store orders it with the jobs.
#[must_use]
pub fn inbox_term(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/era")
}

/// Kind of an inbox entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboxKey {
    /// An accepted job.
    Job(JobId),
    /// Cancellation of a job.
    Cancellation(JobId),
    /// Cancellation of a job that was not accepted before.
    Tombstone(JobId),
    /// Failure of a job's delegated tasks.
    Failure(JobId),
    /// A job with tasks that its home shard delegated to this shard.
    DelegatedJob(JobId),
    /// Tasks that another shard transferred.
    Transfer(JobId),
    /// A change of owner.
    Term,
}

/// Parses an inbox key; `None` if it is invalid.
#[must_use]
pub fn parse_inbox_key(key: &str) -> Option<InboxKey> {
    let mut parts = key.split('/').skip(3);
    let kind = parts.next()?;
    if kind == "era" {
        return Some(InboxKey::Term);
    }
    let id = parts.next()?.parse().ok()?;
    match kind {
        "job" => Some(InboxKey::Job(id)),
        "cancel" => Some(InboxKey::Cancellation(id)),
        "tombstone" => Some(InboxKey::Tombstone(id)),
        "failed" => Some(InboxKey::Failure(id)),
        "guest" => Some(InboxKey::DelegatedJob(id)),
        "part" => Some(InboxKey::Transfer(id)),
        _ => None,
    }
}

impl InboxKey {
    /// Order in which entries are processed: transfers, cancellations and failures need their job to be known.
    #[must_use]
    pub fn processing_order(self) -> u8 {
        match self {
            Self::Job(_) | Self::DelegatedJob(_) | Self::Tombstone(_) | Self::Term => 0,
            Self::Transfer(_) => 1,
            Self::Cancellation(_) | Self::Failure(_) => 2,
        }
    }
}
