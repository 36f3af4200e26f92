//! Micro-kernel: services find each other by name.
