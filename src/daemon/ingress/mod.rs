//! Limits on the connections, heads and bodies of callers.

pub mod body;
pub mod http;
pub mod limiter;
pub mod limits;
pub mod table;
