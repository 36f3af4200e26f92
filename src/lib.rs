//! primrosestack: a scheduler for latency-critical and batch work on shared hosts.
//!
//! The decisions are in `primrosestack_core`; this crate holds the services that perform them.

pub mod burn;
pub mod burn_fetch;
pub mod burn_html;
pub mod burn_sum;
pub mod cmd;
pub mod kernel;
pub mod labels;
pub mod logs;
pub mod metrics;
pub mod settings;
