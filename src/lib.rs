//! primrosestack: a scheduler for latency-critical and batch work on shared hosts.
//!
//! The decisions are in `primrosestack_core`; this crate holds the services that perform them.

pub mod check;
pub mod document;
pub mod kernel;
pub mod schema;
pub mod settings;
