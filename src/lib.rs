//! primrosestack: a scheduler for latency-critical and batch work on shared hosts.
//!
//! The decisions are in `primrosestack_core`; this crate holds the services that perform them.

pub mod api;
pub mod auth;
pub mod backend;
pub mod burn;
pub mod burn_fetch;
pub mod burn_html;
pub mod burn_sum;
pub mod check;
pub mod client;
pub mod clock;
pub mod cmd;
pub mod control;
pub mod docstore;
pub mod document;
pub mod extract;
mod gossip;
pub mod hostlist;
pub mod http;
pub mod kernel;
pub mod labels;
pub mod listen;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod model;
pub mod openapi;
pub mod peer;
pub mod problem;
pub mod reload;
pub mod schema;
pub mod settings;
pub mod store;
pub mod stream;
pub mod tls;
