//! The decisions of primrosestack.
//!
//! Typed events and a monotonic time go in, typed actions come out. Nothing in this crate reads a clock, opens a
//! socket, takes a lock or draws a random number, so tests, replay and fuzzing drive exactly the code that ships.

pub mod admission;
pub mod budget;
pub mod capacity;
mod choice;
pub mod dispatch;
pub mod documents;
pub mod event;
pub mod eviction;
pub mod fairness;
pub mod ids;
pub mod interference;
pub mod journal;
pub mod lease;
pub mod membership;
pub mod ownership;
mod pending;
pub mod placement;
pub mod prelude;
pub mod queue;
mod relief;
mod running;
pub mod shard;
mod sizes;
mod slots;
pub mod tasks;
pub mod time;
