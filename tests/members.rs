//! Which hosts may still answer a forwarded request.

use primrosestack::members::View;
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{Load, MemberState, MemberView};
use test_case::test_case;

fn host(incarnation: u64) -> HostId {
    HostId {
        name: "poa-entry-1".into(),
        incarnation,
    }
}

fn view(state: MemberState) -> View {
    let member = MemberView {
        host: host(7),
        failure_domain: "poa".into(),
        state,
        load: Load::default(),
        round_trip: None,
    };
    View {
        members: vec![member],
        ..View::default()
    }
}

/// Guards against a request that is never retried because it waits for its whole deadline on a host that was killed.
#[test_case(MemberState::Live, true, true)]
#[test_case(MemberState::Leaving, true, true; "a leaving host finishes its requests")]
#[test_case(MemberState::Suspected, false, true; "a paused host may answer later")]
#[test_case(MemberState::Gone, false, false)]
fn forwarding_waits_only_for_hosts_that_may_answer(
    state: MemberState,
    without_suspected: bool,
    with_suspected: bool,
) {
    let view = view(state);
    assert_eq!(view.may_still_answer(&host(7), false), without_suspected);
    assert_eq!(view.may_still_answer(&host(7), true), with_suspected);
}

/// Guards against waiting for a restarted host, which does not know the requests of its earlier incarnation.
#[test]
fn earlier_incarnation_does_not_answer() {
    let view = view(MemberState::Live);
    assert!(!view.may_still_answer(&host(6), true));
}
