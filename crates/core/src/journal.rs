//! Journal records, group commit, snapshots and recovery.
