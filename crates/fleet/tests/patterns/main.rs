//! Patterns of load and faults, each answered by a decision that needs no network.

#[path = "../common/mod.rs"]
mod common;
mod load_reports;
mod outdated_registrations;
