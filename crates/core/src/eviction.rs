//! Choice of the batch tasks that make room.
