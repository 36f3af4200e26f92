//! Bounds the number of distinct values of a metric label.

use std::sync::{Arc, PoisonError, RwLock};

/// Replaces all values beyond the limit.
pub const OTHER: &str = "other";

/// Admits the first `limit` distinct values and maps every further one to [`OTHER`].
#[derive(Debug)]
pub struct LabelSet {
    limit: usize,
    other: Arc<str>,
    // Sorted, for binary search.
    values: RwLock<Vec<Arc<str>>>,
}

impl LabelSet {
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            other: Arc::from(OTHER),
            values: RwLock::new(Vec::new()),
        }
    }

    /// Returns the value itself if it is admitted, else [`OTHER`].
    #[must_use]
    pub fn bounded(&self, value: &str) -> Arc<str> {
        let values = self.values.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = values.binary_search_by(|item| (**item).cmp(value)) {
            return Arc::clone(&values[index]);
        }
        if values.len() >= self.limit {
            return Arc::clone(&self.other);
        }
        drop(values);
        self.admit(value)
    }

    fn admit(&self, value: &str) -> Arc<str> {
        let mut values = self.values.write().unwrap_or_else(PoisonError::into_inner);
        match values.binary_search_by(|item| (**item).cmp(value)) {
            Ok(index) => Arc::clone(&values[index]),
            // Another thread may have filled the set after the caller released the read lock.
            Err(_) if values.len() >= self.limit => Arc::clone(&self.other),
            Err(index) => {
                let admitted: Arc<str> = Arc::from(value);
                values.insert(index, Arc::clone(&admitted));
                admitted
            }
        }
    }
}
