//! Evacuations of failure domains, as one host knows them from the operator's requests in the store.
//!
//! The store orders requests and take-backs by revision. A host applies listings and events in any order and ends up with
//! the newest state of each failure domain.

use smol_str::SmolStr;

/// Request of the operator that nothing more is sent to the servers of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Revision of the newest request.
    pub since_revision: u64,
}

/// Evacuated failure domains known to a host.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Evacuated failure domains with the revision of the newest request, sorted.
    evacuated: Vec<(SmolStr, u64)>,
    /// Failure domains taken back since the last listing, with the revision of the take-back, sorted.
    taken_back: Vec<(SmolStr, u64)>,
    /// Revision of the last listing.
    listed_revision: u64,
    /// Time as of which the state is known; `None` before the first listing.
    as_of_ms: Option<u64>,
}

fn find(list: &[(SmolStr, u64)], domain: &str) -> Result<usize, usize> {
    list.binary_search_by(|(known, _)| known.as_str().cmp(domain))
}

fn upsert(list: &mut Vec<(SmolStr, u64)>, domain: &str, revision: u64) {
    match find(list, domain) {
        Ok(index) => list[index].1 = revision,
        Err(index) => list.insert(index, (domain.into(), revision)),
    }
}

impl Evacuations {
    /// Applies a listing of all requests as of `revision`, which was requested at `as_of_ms`. Returns whether it is at
    /// least as new as what is known; otherwise it has no effect.
    pub fn replace(
        &mut self,
        domains: impl IntoIterator<Item = (SmolStr, u64)>,
        revision: u64,
        as_of_ms: u64,
    ) -> bool {
        if revision < self.revision() {
            return false;
        }
        self.evacuated.clear();
        self.taken_back.clear();
        for (domain, since_revision) in domains {
            upsert(&mut self.evacuated, &domain, since_revision);
        }
        self.listed_revision = revision;
        self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
        true
    }

    /// Applies a request. Returns whether the failure domain was not evacuated before.
    pub fn request(&mut self, domain: &str, revision: u64) -> bool {
        if self.is_known(domain, revision) {
            return false;
        }
        if let Ok(index) = find(&self.taken_back, domain) {
            self.taken_back.remove(index);
        }
        let is_new = !self.is_evacuated(domain);
        upsert(&mut self.evacuated, domain, revision);
        is_new
    }

    /// Applies a take-back. Returns whether the failure domain was evacuated before.
    pub fn take_back(&mut self, domain: &str, revision: u64) -> bool {
        if self.is_known(domain, revision) {
            return false;
        }
        upsert(&mut self.taken_back, domain, revision);
        let found = find(&self.evacuated, domain);
        if let Ok(index) = found {
            self.evacuated.remove(index);
        }
        found.is_ok()
    }

    /// Records that a watch which was requested at `as_of_ms` has returned, and that its events have been applied.
    pub fn confirm(&mut self, as_of_ms: u64) {
        if self.as_of_ms.is_some() {
            self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
        }
    }

    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        find(&self.evacuated, domain).is_ok()
    }

    /// Revision of the newest request; `None` if the failure domain is not evacuated.
    #[must_use]
    pub fn since_revision(&self, domain: &str) -> Option<u64> {
        let index = find(&self.evacuated, domain).ok()?;
        Some(self.evacuated[index].1)
    }

    #[must_use]
    pub fn evacuation(&self, domain: &str) -> Option<Evacuation> {
        let since_revision = self.since_revision(domain)?;
        Some(Evacuation { since_revision })
    }

    /// Evacuated failure domains, sorted.
    pub fn domains(&self) -> impl Iterator<Item = &SmolStr> {
        self.evacuated.iter().map(|(domain, _)| domain)
    }

    /// Time as of which the state is known; `None` before the first listing.
    #[must_use]
    pub fn as_of_ms(&self) -> Option<u64> {
        self.as_of_ms
    }

    /// Age of the state; `None` before the first listing.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.as_of_ms?))
    }

    /// Highest revision that was applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let changes = self.evacuated.iter().chain(&self.taken_back);
        let newest = changes.map(|&(_, revision)| revision).max();
        newest.unwrap_or(0).max(self.listed_revision)
    }

    /// Whether an event of a failure domain is no newer than what is known of it.
    fn is_known(&self, domain: &str, revision: u64) -> bool {
        let lists = [&self.evacuated, &self.taken_back];
        let mut known = lists.into_iter().filter_map(|list| {
            let index = find(list, domain).ok()?;
            Some(list[index].1)
        });
        revision <= self.listed_revision || known.any(|known| revision <= known)
    }
}
