//! Token bucket and back-off for calls to the store.
