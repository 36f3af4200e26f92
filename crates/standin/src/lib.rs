//! Stand-ins for the platform's store, host list and backend servers.
//!
//! Only tests and examples use them; the product's binary does not link them. They record what they did
//! independently of the product, so that a test can verify its outcome.

pub mod advisor;
pub mod backend;
pub mod emulator;
pub mod hostlist;
pub mod ledger;
pub mod platform;
pub mod relay;
pub mod store;
pub mod worker;
