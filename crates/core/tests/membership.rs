//! Suspicion, leaving and incarnations of entry hosts.

use primrosestack_core::event::Event;
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{
    Active, Load, Member, MemberAction, MemberEvent, MemberHeartbeat, MemberState, Membership,
    MembershipConfig,
};
use primrosestack_core::time::MonoMs;

fn host(name: &str, incarnation: u64) -> HostId {
    HostId {
        name: name.into(),
        incarnation,
    }
}

fn open() -> Membership<Active> {
    let member = |name: &str, domain: &str| Member {
        name: name.into(),
        failure_domain: domain.into(),
    };
    let config = MembershipConfig {
        host: host("a", 1),
        failure_domain: "poa".into(),
        members: vec![member("b", "poa"), member("a", "poa"), member("c", "cxs")],
    };
    Membership::open(config, MonoMs(0))
}

fn heartbeat(from: HostId, sent: u64, echo: Option<u64>) -> MemberEvent {
    MemberEvent::HeartbeatReceived(MemberHeartbeat {
        from,
        failure_domain: "poa".into(),
        sent: MonoMs(sent),
        echo: echo.map(MonoMs),
        leaving: false,
        load: Load::default(),
    })
}

fn tick() -> MemberEvent {
    MemberEvent::Tick {
        load: Load::default(),
    }
}

fn step(members: &mut Membership<Active>, now: u64, event: MemberEvent) -> Vec<MemberAction> {
    let mut actions = Vec::new();
    members.handle(MonoMs(now), event, &mut actions);
    actions
}

fn suspicions(actions: &[MemberAction]) -> Vec<(HostId, bool)> {
    let mut found = Vec::new();
    for action in actions {
        if let Some(Event::Suspicion { host, suspected }) = action.shard_event("poa") {
            found.push((host, suspected));
        }
    }
    found
}

/// Guards against a takeover after a single lost heartbeat, and against a silent host that is never suspected.
#[test]
fn silence_of_three_heartbeats_is_suspicion() {
    let mut members = open();
    let heard = step(&mut members, 100, heartbeat(host("b", 7), 1, None));
    assert_eq!(suspicions(&heard), [(host("b", 7), false)]);
    assert!(suspicions(&step(&mut members, 1_599, tick())).is_empty());
    let silent = step(&mut members, 1_600, tick());
    assert_eq!(suspicions(&silent), [(host("b", 7), true)]);
    let again = step(&mut members, 1_700, heartbeat(host("b", 7), 2, None));
    assert_eq!(suspicions(&again), [(host("b", 7), false)]);
}

/// Guards against more or fewer heartbeats than one every 500 ms to each host.
#[test]
fn heartbeats_go_out_each_500_ms() {
    let mut members = open();
    let mut sent = Vec::new();
    for now in (0..1_400).step_by(100) {
        for action in step(&mut members, now, tick()) {
            if let MemberAction::Send { to, .. } = action {
                sent.push((now, to));
            }
        }
    }
    let times: Vec<u64> = sent.iter().map(|(now, _)| *now).collect();
    assert_eq!(times, [0, 0, 500, 500, 1_000, 1_000]);
}

/// Guards against a delayed heartbeat of a dead process that displaces its replacement.
#[test]
fn the_incarnation_with_the_later_echo_stays() {
    let mut members = open();
    step(&mut members, 0, heartbeat(host("b", 7), 1, None));
    step(&mut members, 600, heartbeat(host("b", 7), 2, Some(500)));
    let unproven = step(&mut members, 700, heartbeat(host("b", 8), 1, None));
    assert!(unproven.is_empty());
    let replaced = step(&mut members, 1_100, heartbeat(host("b", 8), 2, Some(1_000)));
    let expected = [(host("b", 7), true), (host("b", 8), false)];
    assert_eq!(suspicions(&replaced), expected);
    let delayed = step(&mut members, 1_200, heartbeat(host("b", 7), 3, Some(500)));
    assert!(delayed.is_empty());
    assert_eq!(members.state("b"), Some(MemberState::Live));
}

/// Guards against a delayed heartbeat that revives a host which an operator declared gone.
#[test]
fn a_declared_incarnation_stays_gone() {
    let mut members = open();
    step(&mut members, 0, heartbeat(host("b", 7), 1, None));
    let gone = step(
        &mut members,
        10,
        MemberEvent::DeclaredGone { name: "b".into() },
    );
    assert_eq!(suspicions(&gone), [(host("b", 7), true)]);
    assert!(step(&mut members, 20, heartbeat(host("b", 7), 2, Some(0))).is_empty());
    assert_eq!(members.state("b"), Some(MemberState::Gone));
    step(&mut members, 600, heartbeat(host("b", 8), 1, Some(500)));
    assert_eq!(members.state("b"), Some(MemberState::Live));
}

/// Guards against a leaving host that still counts as live, or whose silence goes unnoticed.
#[test]
fn leaving_is_announced_and_heard() {
    let mut actions = Vec::new();
    let departing = open().leave(MonoMs(10), Load::default(), &mut actions);
    assert_eq!(departing.live().count(), 1);
    let announced = actions.iter().filter(
        |action| matches!(action, MemberAction::Send { heartbeat, .. } if heartbeat.leaving),
    );
    assert_eq!(announced.count(), 2);

    let mut members = open();
    step(&mut members, 0, heartbeat(host("b", 7), 1, None));
    assert_eq!(members.live().count(), 2);
    let listed = MemberEvent::Listed {
        name: "b".into(),
        leaving: true,
    };
    step(&mut members, 10, listed);
    assert_eq!(members.state("b"), Some(MemberState::Leaving));
    assert_eq!(members.live().count(), 1);
    step(&mut members, 1_500, tick());
    assert_eq!(members.state("b"), Some(MemberState::Suspected));
}
