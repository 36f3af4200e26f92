//! Callers whose jobs are within the limits on one job, but too many, against the daemon's process on a host of 64 MB.
//!
//! Each crowd would hold about twice the host's memory, or take all of the room for open tasks. What is checked: the
//! process lives, its peak of memory with the bytes in its socket buffers and its descriptors stay within the host, and
//! one ordinary job of another queue completes afterwards, also if another process has taken the shard over.

#[allow(dead_code)]
#[path = "../platform/soak/registration.rs"]
mod registration;
#[allow(dead_code)]
#[path = "../platform/soak/runs.rs"]
mod runs;
#[allow(dead_code)]
#[path = "../platform/soak/server.rs"]
mod server;
#[allow(dead_code)]
#[path = "../platform/soak/store.rs"]
mod store;

#[allow(dead_code)]
mod callers_site;

use callers_site::{JobCrowd, Site};
use serde_json::{Value, json};
use test_case::test_case;

/// Longest command that the users' pages allow.
const COMMAND_BYTES: usize = 4_000;

const CONNECTIONS: usize = 60;

/// Together 24,000 jobs: their commands alone are 96 MB, on a host of 64 MB.
const JOBS_PER_CONNECTION: usize = 400;

/// Jobs of 250 tasks on each of two queues: together as many tasks as the shard has room for.
const UNSERVED_JOBS_PER_QUEUE: usize = 50;

/// A job that waits for as long as no server has its label.
fn unserved_job(command_bytes: usize, tasks: u32) -> Value {
    json!({
        "spec": "c".repeat(command_bytes),
        "steps": [{ "count": tasks, "cpu": 100, "memMb": 100, "estimatedMs": 50, "requirements": "no-such-kind" }],
    })
}

/// Guards against a shard that bounds the tasks of its waiting jobs but not their bytes, and against an owner that holds
/// several copies of each while it reads the shard.
#[test_case(false, "long_commands"; "at the owner that accepted them")]
#[test_case(true, "long_commands_taken_over"; "at an owner that takes the shard over")]
#[tokio::test]
async fn jobs_with_long_commands_stay_within_the_host(is_taken_over: bool, form: &str) {
    let mut site = Site::open(form).await;
    let crowd = JobCrowd {
        path: "/bulk/",
        first_id: 0x1000_0000,
        connections: CONNECTIONS,
        jobs_per_connection: JOBS_PER_CONNECTION,
        job: unserved_job(COMMAND_BYTES, 1),
        cancels: false,
        retries: 0,
    };
    site.run_job_crowd(crowd).await;
    if is_taken_over {
        site.replace_process().await;
    }
    site.assert_sound(form).await;
}

/// Guards against a shard that keeps all of a job for as long as its status is retained.
#[test_case(false, 0, "ended_jobs"; "at the owner that accepted them")]
#[test_case(true, 0, "ended_jobs_taken_over"; "at an owner that takes the shard over")]
#[test_case(true, 50, "ended_jobs_sent_again"; "of callers that send refused ones again")]
#[tokio::test]
async fn ended_jobs_stay_within_the_host(is_taken_over: bool, retries: u32, form: &str) {
    let mut site = Site::open(form).await;
    let crowd = JobCrowd {
        path: "/bulk/",
        first_id: 0x2000_0000,
        connections: CONNECTIONS,
        jobs_per_connection: JOBS_PER_CONNECTION,
        job: unserved_job(COMMAND_BYTES, 1),
        cancels: true,
        retries,
    };
    site.run_job_crowd(crowd).await;
    if is_taken_over {
        site.replace_process().await;
    }
    site.assert_sound(form).await;
}

/// A job that no server has the CPU for.
fn oversized_job(tasks: u32) -> Value {
    json!({
        "spec": "100 50 0",
        "steps": [{ "count": tasks, "cpu": 1_000_000, "memMb": 100, "estimatedMs": 50 }],
    })
}

/// Guards against jobs that no known server can run and that use up the room for open tasks, so that those of others are
/// refused while all servers are idle.
#[test_case(unserved_job(10, 250), "unserved_jobs"; "with an unknown label")]
#[test_case(oversized_job(250), "oversized_jobs"; "too large for any server")]
#[tokio::test]
async fn jobs_that_no_server_can_run_leave_room_for_others(job: Value, form: &str) {
    let mut site = Site::open(form).await;
    for (path, first_id) in [("/bulk/", 0x3000_0000), ("/quote/", 0x4000_0000)] {
        let crowd = JobCrowd {
            path,
            first_id,
            connections: 1,
            jobs_per_connection: UNSERVED_JOBS_PER_QUEUE,
            job: job.clone(),
            cancels: false,
            retries: 0,
        };
        site.run_job_crowd(crowd).await;
    }
    site.assert_sound(form).await;
}
