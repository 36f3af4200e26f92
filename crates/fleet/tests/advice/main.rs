//! Steps whose queue has an advisor that allows only some servers to run them.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use common::moves::{evacuate, take_back};
use common::{service_step, step};
use fleet::{Fleet, IDLE_MAX_MS};
use primrosestack_fleet::job::{StepSpec, TaskId};
use test_case::test_case;

/// Time after the traffic by which jobs have to be done, by the users' rules.
const FINISH_MS: u64 = 14_000;

fn is_in_rack_of_domain_1(_: TaskId, name: &str) -> bool {
    ("s1-0000"..="s1-0007").contains(&name)
}

/// Guards against a job that is never started, since only servers of a failure domain to which it does not move may run it.
#[test]
fn a_job_goes_to_the_failure_domain_that_its_advisor_allows() {
    let mut fleet = Fleet::open(&[16, 16, 16], is_in_rack_of_domain_1);
    for id in 0..4 {
        fleet.submit(0, 7 + id, vec![step(2)]);
    }
    fleet.assert_started_in_time(8);
    assert!(fleet.starts.iter().all(|(shard, _, _)| *shard == 1));
    assert_eq!(fleet.moves, [(0, 1); 4]);
}

/// Guards against a search that names the same servers over and over: of 40 servers of a failure domain, one is allowed.
#[test]
fn the_only_allowed_server_of_a_failure_domain_is_found() {
    let mut fleet = Fleet::open(&[40, 0, 0], |_, name| name == "s0-0037");
    for id in 0..4 {
        fleet.submit(0, 7 + id, vec![step(2)]);
    }
    fleet.assert_started_in_time(8);
    assert!(fleet.starts.iter().all(|(_, name, _)| name == "s0-0037"));
    let named = fleet.advisor.servers_named;
    assert!(named <= 160, "each server once for each step");
}

/// Guards against a step that waits in the home of the one before it, which its advisor allows to run there.
#[test]
fn a_later_step_goes_to_the_failure_domain_that_its_advisor_allows() {
    let policy = |task: TaskId, name: &str| {
        if task.step == 0 {
            name.starts_with("s0-")
        } else {
            name == "s2-0011"
        }
    };
    let mut fleet = Fleet::open(&[16, 16, 16], policy);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    fleet.submit(0, 7, vec![step(1), second]);
    assert!(fleet.run_until_started(1, FINISH_MS).is_some());
    fleet.end_started();
    fleet.assert_started_in_time(2);
    assert_eq!(fleet.starts[1].1, "s2-0011");
}

/// Guards against long-running tasks, and gangs, that are passed on to and fro between failure domains that may not run them.
#[test_case(service_step(6, "web"); "tasks")]
#[test_case(StepSpec { gang: true, ..service_step(6, "web") }; "a long-running gang")]
#[test_case(StepSpec { gang: true, ..step(6) }; "a gang")]
#[test_case(StepSpec { gang: true, same_rack: true, ..step(6) }; "a gang in a rack")]
#[test_case(StepSpec { label: "r-1-0".into(), ..step(6) }; "tasks with a label")]
fn others_go_where_their_advisor_allows_them(waiting: StepSpec) {
    let mut fleet = Fleet::open(&[16, 16, 16], is_in_rack_of_domain_1);
    fleet.submit(0, 7, vec![waiting]);
    fleet.assert_started_in_time(6);
    assert!(fleet.starts.iter().all(|(shard, _, _)| *shard == 1));
    let moves = fleet.moves;
    assert!(moves.iter().all(|&(_, to)| to == 1), "{moves:?}");
}

/// Guards against a search that takes longer than a job may stand still although the advisor is fast enough. The only server is the
/// last one of the last failure domain; the advisor takes 40 ms for a call and 5 ms for each server.
#[test_case([16, 17, 17]; "50 servers")]
#[test_case([116, 117, 117]; "350 servers")]
#[test_case([366, 367, 367]; "1100 servers")]
fn the_search_takes_less_time_than_a_job_may_stand_still(servers: [usize; 3]) {
    for waiting in [step(1), service_step(1, "web")] {
        let last = format!("s2-{:04}", servers[2] - 1);
        let mut fleet = Fleet::open(&servers, move |_, name| name == last);
        // The search begins after the last server with this identifier.
        fleet.submit(0, 0, vec![waiting.clone()]);
        let waited_ms = fleet.assert_started_in_time(1);
        let calls = fleet.advisor.calls_answered;
        println!(
            "servers={servers:?} long_running={} waited_ms={waited_ms} calls={calls}",
            waiting.long_running
        );
    }
}

/// Guards against a step with a long search that keeps others from being asked for, or against many such that keep each other
/// from it.
#[test]
fn a_long_search_does_not_keep_other_steps_waiting() {
    let mut fleet = Fleet::open(&[366, 1, 1], |task, _| task.job.0 == 100);
    for id in 0..10 {
        fleet.submit(0, 7 + id, vec![step(1)]);
    }
    assert_eq!(fleet.run_until_started(1, 2_500), None);
    fleet.submit(0, 100, vec![step(1)]);
    fleet.assert_started_in_time(1);
}

/// Guards against calls that name many servers although most are allowed, while other steps wait for theirs.
#[test]
fn many_steps_at_once_get_their_tickets_in_time() {
    let mut fleet = Fleet::open(&[48, 48, 48], |_, name| name.as_bytes()[6] % 2 == 0);
    for id in 0..25 {
        fleet.submit(0, 7 + id, vec![step(1)]);
    }
    let waited_ms = fleet.assert_started_in_time(25);
    println!(
        "waited_ms={waited_ms} calls={}",
        fleet.advisor.calls_answered
    );
}

/// Guards against searches in other failure domains for a step whose own has servers for it that are merely busy, and that go on
/// after the step has started.
#[test]
fn others_search_only_for_steps_that_need_them() {
    let mut fleet = Fleet::open(&[16, 367, 367], |_, name| name == "s0-0003");
    fleet.submit(0, 7, vec![step(17)]);
    assert!(fleet.run_until_started(16, FINISH_MS).is_some());
    let named = fleet.advisor.servers_named;
    assert_eq!(fleet.run_until_started(17, 500), None);
    assert_eq!(fleet.advisor.servers_named, named);
    fleet.end_started();
    assert!(fleet.run_until_started(17, FINISH_MS).is_some());
    let named_before = fleet.advisor.servers_named;
    assert_eq!(fleet.run_until_started(18, 5_000), None);
    let named = fleet.advisor.servers_named;
    assert!(named <= named_before + 2 * 367, "{named}");
}

/// Guards against a search on behalf of another shard whose answers go to the tasks of the step that are here already.
#[test]
fn further_tasks_of_a_delegated_step_are_searched_for() {
    let policy = |_: TaskId, name: &str| ["s1-0010", "s1-0006"].contains(&name);
    let mut fleet = Fleet::open(&[16, 320, 16], policy);
    fleet.submit(0, 7, vec![service_step(20, "web")]);
    fleet.assert_started_in_time(20);
    let named = fleet.advisor.servers_named;
    assert!(named <= 600, "{named}");
}

/// Guards against calls that pile up at an advisor that refuses them, and against a search that ends with it.
#[test]
fn a_search_goes_on_when_the_advisor_answers_again() {
    let mut fleet = Fleet::open(&[16, 16, 16], is_in_rack_of_domain_1);
    fleet.advisor.is_refusing = true;
    fleet.submit(0, 7, vec![step(2)]);
    assert_eq!(fleet.run_until_started(1, 10_000), None);
    fleet.advisor.is_refusing = false;
    let waited_ms = fleet.run_until_started(2, FINISH_MS);
    assert!(
        waited_ms.is_some_and(|waited_ms| waited_ms <= 2 * IDLE_MAX_MS),
        "{waited_ms:?}"
    );
}

/// Guards against calls without end for a step that no server may run.
#[test]
fn a_step_that_no_server_may_run_costs_one_search() {
    let mut fleet = Fleet::open(&[16, 16, 16], |_, _| false);
    fleet.submit(0, 7, vec![step(2)]);
    assert_eq!(fleet.run_until_started(1, 30_000), None);
    assert_eq!(fleet.moves, []);
    assert_eq!(fleet.advisor.servers_named, 48);
}

/// Guards against a search that its owner's successor does not begin anew, in the home or in the failure domain that is allowed.
#[test_case(0; "in the home")]
#[test_case(1; "in the failure domain that is allowed")]
fn a_search_goes_on_under_a_new_owner(shard: usize) {
    let mut fleet = Fleet::open(&[40, 40, 40], is_in_rack_of_domain_1);
    let job = fleet.submit(0, 7, vec![step(2)]);
    assert_eq!(fleet.run_until_started(1, 400), None);
    fleet.replace_owner(shard, 40, &[job]);
    fleet.assert_started_in_time(2);
    assert_eq!(fleet.moves, [(0, 1)]);
}

/// Guards against a job that goes to an evacuated failure domain, or not to it once that is taken back.
#[test]
fn a_job_waits_for_the_take_back_of_its_failure_domain() {
    let mut fleet = Fleet::open(&[16, 16, 16], is_in_rack_of_domain_1);
    evacuate(&mut fleet.shards[1]);
    fleet.submit(0, 7, vec![step(2)]);
    assert_eq!(fleet.run_until_started(1, 10_000), None);
    assert_eq!(fleet.moves, []);
    take_back(&mut fleet.shards[1]);
    fleet.assert_started_in_time(2);
}

/// Guards against a job that its evacuated home sends from one failure domain to the next, none of which may run it.
#[test]
fn a_job_that_leaves_an_evacuated_home_gets_where_it_is_allowed() {
    let mut fleet = Fleet::open(&[16, 16, 16], is_in_rack_of_domain_1);
    evacuate(&mut fleet.shards[0]);
    fleet.submit(0, 7, vec![step(2)]);
    fleet.assert_started_in_time(2);
    assert!(fleet.moves.len() <= 2, "{:?}", fleet.moves);
}

/// Guards against a server whose restart voids its tickets, and that gets no start, or one after the other, after that.
#[test]
fn a_refused_ticket_is_renewed() {
    let mut fleet = Fleet::open(&[1, 0, 0], |_, _| true);
    fleet.refused_tickets = 1;
    fleet.submit(0, 7, vec![step(1)]);
    fleet.assert_started_in_time(1);
    assert_eq!(fleet.advisor.calls_answered, 2);
}

/// Guards against a search that begins anew for the next tasks of a step, once its tickets have expired.
#[test]
fn expired_tickets_are_renewed_for_known_servers() {
    let mut fleet = Fleet::open(&[40, 0, 0], |_, name| name == "s0-0037");
    fleet.submit(0, 7, vec![step(17)]);
    assert!(fleet.run_until_started(16, FINISH_MS).is_some());
    let started_ms = fleet.run_until_started(17, 6_000);
    assert_eq!(started_ms, None, "the server is full");
    let named = fleet.advisor.servers_named;
    fleet.end_started();
    fleet.assert_started_in_time(17);
    assert_eq!(fleet.advisor.servers_named, named + 1);
}
