//! Scheduling of multi-step jobs on a fleet of backend servers.
//!
//! A [`shard::Shard`] manages the jobs and backend servers of one failure domain. It is a deterministic state machine:
//! it takes events with a monotonic time and returns actions, without reading clocks, doing I/O or drawing random
//! numbers.

mod abandoned_starts;
pub mod action;
pub mod admission;
pub mod advice;
pub mod advice_queries;
mod advice_share;
mod arrival;
pub mod bounds;
pub mod claim;
pub mod copy_age;
pub mod crash_handover;
mod crash_rate;
mod crashes;
mod cut_off;
mod drain;
mod ended;
pub mod evacuation;
pub mod expiry;
pub mod footprint;
pub mod handover;
pub mod headroom;
pub mod incarnation;
pub mod intake;
pub mod interference;
pub mod job;
pub mod largest;
pub mod ledger;
mod listed_runs;
pub mod load_views;
mod need;
mod occurrences;
pub mod open_tasks;
mod overdue;
pub mod place;
pub mod plan;
pub mod policy;
pub mod prelude;
pub mod record;
mod registry;
pub mod rehome;
pub mod report;
mod run_ends;
mod runs;
pub mod server;
pub mod shard;
pub mod step_advice;
pub mod store_health;
pub mod suspension;
pub mod task;
pub mod throttle;
pub mod tombstones;
pub mod transfer;
pub mod urgency;
pub mod vacate;
