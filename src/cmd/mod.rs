//! Subcommands, one file each.

pub mod report;
