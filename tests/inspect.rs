//! What an entry host reports about jobs to the administration API.

use primrosestack::inspect::find_local_jobs;
use primrosestack::jobs::job_in_domain;
use primrosestack::model::JobName;
use primrosestack_core::ids::{HostId, JobId};
use primrosestack_core::placement::Objective;
use primrosestack_core::shard::{Shard, ShardConfig};
use primrosestack_core::time::MonoMs;

/// Guards against an accepted job that is reported as unknown (404) while the new owner of its shard still recovers.
#[test]
fn a_host_that_is_not_the_recovered_owner_reports_no_job() {
    let host = HostId {
        name: "poa-entry-0".into(),
        incarnation: 1,
    };
    let config = ShardConfig {
        failure_domain: "poa".into(),
        number: 0,
        hosts: vec![host.name.clone()],
        objective: Objective {
            latency_permille: 500,
            throughput_permille: 300,
            eviction_permille: 200,
        },
        seed: 1,
        clock_drift_ppm: 10_000,
    };
    let shard = Shard::new(config, host, MonoMs(1_000));
    let job = JobName(job_in_domain(JobId(7), "poa"));
    let jobs = find_local_jobs(&[shard], &[job], &"poa".into());
    assert!(jobs.is_empty(), "{jobs:?}");
}
