//! Service documents in force, digests and repair.
