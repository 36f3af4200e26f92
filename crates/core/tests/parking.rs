//! Tests of jobs that fail together on the only servers that can run them.

mod common;

use common::*;
use primrosestack_core::journal::ParkReason;
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::JobState;
use test_case::test_case;

const FAILS_EVERYWHERE: JobState = JobState::Parked(ParkReason::FailsEverywhere);

impl Cluster {
    fn state(&self, id: u64) -> JobState {
        let job = self.owner_shard().job(JobId(id)).expect("a known job");
        job.state
    }

    /// Lets the tasks of jobs 1 to `jobs` fail whenever they run, for a time.
    fn fail_jobs(&mut self, jobs: u64, tasks: u32, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            for id in 1..=jobs {
                for index in 0..tasks {
                    self.end_attempts(task(id, index), &TaskState::Failed { code: 1 });
                }
            }
            self.run(500);
        }
    }
}

/// Guards against two jobs that fail on every server, each of which is retried for ever since the other's failures make
/// the server suspect.
#[test_case(1, 1; "one server")]
#[test_case(1, 3; "one server, several tasks")]
#[test_case(2, 1; "two servers")]
#[test_case(2, 3; "two servers, several tasks")]
fn two_jobs_that_fail_on_every_server_do_not_excuse_each_other(servers: usize, tasks: u32) {
    let mut cluster = start_cluster(servers, servers);
    cluster.submit(job(1, tasks));
    cluster.submit(job(2, tasks));
    cluster.fail_jobs(2, tasks, 120_000);
    assert_eq!(cluster.state(1), FAILS_EVERYWHERE);
    assert_eq!(cluster.state(2), FAILS_EVERYWHERE);
    assert_eq!(cluster.count_log_events("server_quarantined"), 0);
}

/// Guards against jobs that are given up for the failures of the only server, which fails all tasks.
#[test]
fn jobs_of_a_server_in_quarantine_are_not_given_up() {
    let mut cluster = start_cluster(1, 1);
    let only = server_name(0);
    cluster.servers.get_mut(&only).expect("exists").fails_all = true;
    for id in 1..=3 {
        cluster.submit(job(id, 1));
    }
    cluster.run(60_000);
    assert_eq!(cluster.count_log_events("server_quarantined"), 1);
    for id in 1..=3 {
        assert_eq!(cluster.state(id), JobState::Active);
    }
}
