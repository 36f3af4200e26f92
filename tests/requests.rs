//! What a caller is told after several attempts.

use primrosestack::requests::{NotRunCause, Reply};

fn not_run() -> Reply {
    Reply::NotRun {
        cause: NotRunCause::Refused,
        retry_after_ms: 500,
    }
}

/// A request whose first attempt ran without an answer was reported as not run when the second attempt was refused.
#[test]
fn refused_retry_leaves_the_outcome_unknown() {
    let reply = not_run().combine_with_earlier(&Reply::Unknown);
    assert!(matches!(reply, Reply::Unknown));
}

/// A request that every server refused was not run.
#[test]
fn refused_twice_is_not_run() {
    let reply = not_run().combine_with_earlier(&not_run());
    assert!(matches!(reply, Reply::NotRun { .. }));
}
