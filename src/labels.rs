//! Metric label values of bounded number.

use std::sync::{Arc, PoisonError, RwLock};

/// Value that stands for all values beyond the bound.
pub const OTHER: &str = "other";

/// Admits the first `limit` distinct values and maps every further one to [`OTHER`].
#[derive(Debug)]
pub struct LabelSet {
    limit: usize,
    other: Arc<str>,
    // Sorted, for binary search.
    known: RwLock<Vec<Arc<str>>>,
}

impl LabelSet {
    /// Opens an empty set.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            other: Arc::from(OTHER),
            known: RwLock::new(Vec::new()),
        }
    }

    /// The value itself if it is admitted, else [`OTHER`].
    #[must_use]
    pub fn bounded(&self, value: &str) -> Arc<str> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = known.binary_search_by(|item| (**item).cmp(value)) {
            return Arc::clone(&known[at]);
        }
        if known.len() >= self.limit {
            return Arc::clone(&self.other);
        }
        drop(known);
        self.admit(value)
    }

    fn admit(&self, value: &str) -> Arc<str> {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        match known.binary_search_by(|item| (**item).cmp(value)) {
            Ok(at) => Arc::clone(&known[at]),
            // Another thread may have filled the set since the caller looked.
            Err(_) if known.len() >= self.limit => Arc::clone(&self.other),
            Err(at) => {
                let admitted: Arc<str> = Arc::from(value);
                known.insert(at, Arc::clone(&admitted));
                admitted
            }
        }
    }
}
