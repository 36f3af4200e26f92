//! primrosestack: a scheduler for latency-critical and batch work on shared hosts.
//!
//! The decisions are in `primrosestack_core`; this crate holds the services that perform them.

pub mod backend;
pub mod burn;
pub mod burn_fetch;
pub mod burn_html;
pub mod burn_sum;
pub mod check;
pub mod clock;
pub mod cmd;
pub mod docstore;
pub mod document;
mod gossip;
pub mod hostlist;
pub mod http;
pub mod kernel;
pub mod labels;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod peer;
pub mod schema;
pub mod settings;
pub mod store;
