//! Tests of tasks that crash the servers they start on.

mod common;

use common::*;
use primrosestack_core::journal::ParkReason;
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::JobState;
use test_case::test_case;

const CRASHES: JobState = JobState::Parked(ParkReason::CrashesServers);

impl Cluster {
    /// Crashes a server; it is back at once and has forgotten its attempts.
    fn crash(&mut self, server: &str) {
        let backend = self.servers.get_mut(server).expect("exists");
        backend.attempts.clear();
        backend.boot_id += 1;
    }

    /// Crashes each server on which the task runs, or cuts it off, for a time. Returns the number of its starts.
    fn crash_under(&mut self, id: TaskId, ms: u64, cut: bool) -> usize {
        let mut crashes = 0;
        let end = self.now + ms;
        while self.now < end {
            if let Some(server) = self.server_of(id) {
                self.crash(&server);
                crashes += 1;
                if cut {
                    self.isolate_server(&server);
                }
            }
            self.run(100);
        }
        crashes
    }

    fn state(&self, id: u64) -> JobState {
        let job = self.owner_shard().job(JobId(id)).expect("a known job");
        job.state
    }
}

/// Guards against a task that is started again without limit although each server that starts it crashes (incident
/// "tasks that crash their servers").
#[test_case(false, 2; "the servers come back")]
#[test_case(true, 3; "the servers stay away")]
fn parks_a_job_whose_task_crashes_server_after_server(stay_away: bool, starts: usize) {
    let mut cluster = start_cluster(6, 6);
    cluster.submit(job(1, 1));
    let crashes = cluster.crash_under(task(1, 0), 90_000, stay_away);
    assert!(crashes <= starts, "{crashes} starts");
    assert_eq!(cluster.state(1), CRASHES);
}

/// Guards against a count that ends with the term of an owner.
#[test]
fn crashes_count_across_owners() {
    let mut cluster = start_cluster(6, 6);
    cluster.submit(job(1, 1));
    while cluster.crash_under(task(1, 0), 100, false) == 0 {}
    cluster.run_until(10_000, "the suspicion", |cluster| {
        cluster.count_log_events("crash_suspected") == 1
    });
    cluster.run(100);
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    // A start that only the lost owner knew may not have been counted.
    assert!(cluster.crash_under(task(1, 0), 60_000, false) <= 2);
    assert_eq!(cluster.state(1), CRASHES);
}

/// Guards against innocent tasks that are parked because they run, or start, beside a task that crashes servers.
#[test]
fn innocent_tasks_beside_a_crashing_task_run() {
    let mut cluster = start_cluster(4, 4);
    for id in 1..=12 {
        cluster.submit(job(id, 1));
    }
    cluster.submit(job(20, 1));
    let crashes = cluster.crash_under(task(20, 0), 60_000, false);
    assert!(crashes <= 3, "{crashes} starts");
    assert_eq!(cluster.state(20), CRASHES);
    cluster.run(30_000);
    for id in 1..=12 {
        assert_eq!(cluster.state(id), JobState::Active);
        assert_eq!(cluster.running(task(id, 0)), 1);
    }
}

/// Guards against jobs that are parked because a server crashes again and again for reasons of its own.
#[test]
fn tasks_on_a_crashing_server_run_elsewhere() {
    let mut cluster = start_cluster(3, 3);
    for id in 1..=9 {
        cluster.submit(job(id, 1));
    }
    for _ in 0..60 {
        cluster.crash(&server_name(0));
        cluster.run(700);
    }
    cluster.run(30_000);
    for id in 1..=9 {
        assert_eq!(cluster.state(id), JobState::Active);
        assert_eq!(cluster.running(task(id, 0)), 1);
    }
}

/// Guards against a task that is parked for crashes between which it ran well.
#[test]
fn a_task_that_outlived_its_start_is_not_suspected() {
    let mut cluster = start_cluster(6, 6);
    cluster.submit(job(1, 1));
    for _ in 0..6 {
        cluster.run_until(20_000, "a start", |cluster| {
            cluster.running(task(1, 0)) == 1
        });
        cluster.run(5_000);
        let server = cluster.server_of(task(1, 0)).expect("the task is running");
        cluster.crash(&server);
        cluster.run(3_000);
    }
    assert_eq!(cluster.state(1), JobState::Active);
    assert_eq!(cluster.count_log_events("crash_suspected"), 0);
}
