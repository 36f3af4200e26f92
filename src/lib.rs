//! primrosestack: a scheduler for latency-critical and batch work on shared hosts.
//!
//! The decisions are in `primrosestack_core`; this crate holds the services that perform them.

pub mod api;
pub mod auth;
pub mod check;
pub mod client;
pub mod cmd;
pub mod control;
pub mod document;
pub mod extract;
pub mod kernel;
pub mod listen;
pub mod model;
pub mod openapi;
pub mod problem;
pub mod reload;
pub mod schema;
pub mod settings;
pub mod stream;
pub mod tls;
