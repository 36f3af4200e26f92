//! Patterns of load and faults, each answered by a decision that needs no network.

mod load_reports;
