//! Lease arithmetic on echoed stamps.
