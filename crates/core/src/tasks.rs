//! Life cycle of a batch task.
