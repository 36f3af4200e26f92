//! Stand-ins for the platform: its store, its host list and its backend servers.
//!
//! They serve tests and examples only and are never linked into the product's binary. Each keeps its own records, so
//! that a test can judge the outcome without trusting the product.

pub mod backend;
pub mod hostlist;
pub mod ledger;
pub mod platform;
pub mod relay;
pub mod store;
pub mod worker;
