//! The decisions of primrosestack.
//!
//! Typed events and a monotonic time go in, typed actions come out. Nothing in this crate reads a clock, opens a
//! socket, takes a lock or draws a random number, so tests, replay and fuzzing drive exactly the code that ships.

pub mod admission;
pub mod budget;
pub mod capacity;
pub mod cells;
pub mod commit;
pub mod digest;
pub mod dispatch;
pub mod documents;
pub mod event;
pub mod eviction;
pub mod fairness;
pub mod head;
pub mod health;
pub mod ids;
pub mod interference;
pub mod jobs;
pub mod journal;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod ownership;
pub mod peer_frame;
pub mod peer_work;
pub mod placement;
pub mod prelude;
pub mod recovery;
pub mod reports;
pub mod servers;
pub mod shard;
pub mod snapshot;
pub mod takeover;
pub mod tasks;
pub mod term;
pub mod time;
pub mod view;
