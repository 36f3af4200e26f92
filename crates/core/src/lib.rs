//! Decision logic of primrosestack.
//!
//! Typed events and a monotonic time go in, typed actions come out. Nothing in this crate reads a clock, opens a
//! socket, takes a lock or draws a random number, so that tests, replay and fuzzing drive exactly the code that ships.

pub mod allotment;
pub mod attempts;
pub mod budget;
pub mod capacity;
pub mod clone_shard;
pub mod commit;
pub mod crashes;
pub mod digest;
pub mod dispatch;
pub mod division;
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
mod learning;
pub mod lease;
pub mod membership;
pub mod ownership;
pub mod peer_frame;
pub mod peer_work;
mod pending;
pub mod placement;
pub mod prelude;
pub mod queue;
pub mod rack_pools;
mod reclaim;
pub mod recovery;
pub mod reports;
pub mod retry;
mod running;
mod server_choice;
pub mod servers;
pub mod shard;
mod sizes;
mod slots;
pub mod snapshot;
pub mod takeover;
pub mod tasks;
pub mod term;
pub mod time;
pub mod view;
