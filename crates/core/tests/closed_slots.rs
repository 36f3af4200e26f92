//! Servers without covered slots.

use primrosestack_core::dispatch::{
    Admission, Dispatcher, DispatcherConfig, Refusal, RefusalReason, Request,
};
use primrosestack_core::ids::ServerKey;
use primrosestack_core::time::MonoMs;
use test_case::test_case;

fn request(id: u64) -> Request {
    Request {
        id,
        team: "team".into(),
        client: "client".into(),
        kind: "kind".into(),
        deadline: MonoMs(60_000),
        spilled: true,
    }
}

/// Guards against a slow start or a probe that sends a request to a server whose slots are all taken by batch tasks,
/// which overfilled each such server by one request.
#[test_case(false; "in slow start")]
#[test_case(true; "when a probe is due")]
fn a_server_without_slots_gets_no_request(failing: bool) {
    let mut dispatcher = Dispatcher::open(DispatcherConfig::with_seed(7));
    let server = ServerKey(1);
    dispatcher.put_server(MonoMs(0), server, 4);
    dispatcher.open_server(MonoMs(0), server, false);
    dispatcher.open_server(MonoMs(0), server, true);
    if failing {
        for id in 0..5 {
            let now = MonoMs(10_000 + id);
            assert_eq!(dispatcher.admit(now, request(id)), Admission::Send(server));
            dispatcher.finished(now, server, id, 1, true);
        }
    }
    dispatcher.put_server(MonoMs(20_000), server, 0);
    let admission = dispatcher.admit(MonoMs(30_000), request(9));
    assert!(matches!(
        admission,
        Admission::Refused(Refusal {
            reason: RefusalReason::NoServer,
            ..
        })
    ));
}
