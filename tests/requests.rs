//! The outcome that a caller gets after several attempts at a request.

use primrosestack::requests::{NotRunCause, Reply};

fn not_run() -> Reply {
    Reply::NotRun {
        cause: NotRunCause::Refused,
        retry_after_ms: 500,
    }
}

/// Guards against a request that is reported as not run because its retry was refused, although the first attempt may
/// have run.
#[test]
fn refused_retry_leaves_the_outcome_unknown() {
    let reply = not_run().combine_with_earlier(&Reply::Unknown);
    assert!(matches!(reply, Reply::Unknown));
}

/// Guards against an unknown outcome for a request that all attempts refused.
#[test]
fn refused_twice_is_not_run() {
    let reply = not_run().combine_with_earlier(&not_run());
    assert!(matches!(reply, Reply::NotRun { .. }));
}
