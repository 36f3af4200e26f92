//! Keys of this project in the store.

use primrosestack_fleet::prelude::JobId;
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the announcements of owners.
pub const OWNERS_PREFIX: &str = "primrose/owner/";

/// Announcement of the owner of a shard.
#[must_use]
pub fn owner(failure_domain: &str) -> SmolStr {
    format_smolstr!("{OWNERS_PREFIX}{failure_domain}")
}

/// Era of a shard.
#[must_use]
pub fn term(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/era/{failure_domain}")
}

/// Servers of a shard.
#[must_use]
pub fn servers(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/servers/{failure_domain}")
}

/// Prefix of the accepted jobs and cancellations of a shard.
#[must_use]
pub fn inbox_prefix(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/")
}

/// An accepted job.
#[must_use]
pub fn job(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/job/{id}")
}

/// A cancellation.
#[must_use]
pub fn cancellation(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/cancel/{id}")
}

/// Prefix of the progress of a shard's jobs.
#[must_use]
pub fn progress_prefix(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/progress/{failure_domain}/")
}

/// Progress of a job.
#[must_use]
pub fn progress(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/progress/{failure_domain}/{id}")
}

/// Where a job is kept.
#[must_use]
pub fn home(id: JobId) -> SmolStr {
    format_smolstr!("primrose/home/{id}")
}

/// A job that another shard keeps.
#[must_use]
pub fn delegated_job(failure_domain: &str, id: JobId) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/guest/{id}")
}

/// Tasks of a job that another shard handed over; the source and the number tell transfers apart.
#[must_use]
pub fn transfer(failure_domain: &str, id: JobId, source: &str, nth: usize) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/part/{id}/{source}-{nth}")
}

/// The last change of owner, as the owner reads it between the jobs.
#[must_use]
pub fn inbox_term(failure_domain: &str) -> SmolStr {
    format_smolstr!("primrose/inbox/{failure_domain}/era")
}

/// A key of an inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboxKey {
    /// An accepted job.
    Job(JobId),
    /// A cancellation.
    Cancellation(JobId),
    /// A job that another shard keeps.
    DelegatedJob(JobId),
    /// Tasks that another shard handed over.
    Transfer(JobId),
    /// A change of owner.
    Term,
}

/// Reads a key of an inbox.
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
        "guest" => Some(InboxKey::DelegatedJob(id)),
        "part" => Some(InboxKey::Transfer(id)),
        _ => None,
    }
}

impl InboxKey {
    /// Order in which keys are taken: tasks and cancellations only make sense once their job is known.
    #[must_use]
    pub fn processing_order(self) -> u8 {
        match self {
            Self::Job(_) | Self::DelegatedJob(_) | Self::Term => 0,
            Self::Transfer(_) => 1,
            Self::Cancellation(_) => 2,
        }
    }
}
