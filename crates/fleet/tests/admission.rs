//! Admission of jobs by the open tasks of the shards.

mod common;

use common::{Harness, queue, step};
use primrosestack_fleet::admission::{Limit, Refusal, ShardState, admit};
use primrosestack_fleet::footprint::{JobSize, job_bytes};
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::job::{JobId, JobSpec, StepSpec};
use primrosestack_fleet::open_tasks::{
    OpenTasks, OpenTasksView, QUEUES_REPORTED_MAX, RECEIVED_WITHIN_MS, ShardLimits,
};
use primrosestack_fleet::record::StoredJob;
use test_case::test_case;

const LIMITS: ShardLimits = ShardLimits {
    open_tasks_max: 25_000,
    job_bytes_max: 100_000,
    ended_jobs_max: 1_000,
};
const NO_TASK_ROOM: Refusal = Refusal::NoRoom {
    index: 0,
    limit: Limit::OpenTasks,
};
const FULL: &[(u32, u64)] = &[(1, 12_500), (2, 12_500)];

fn job(priority: u32, tasks: u32) -> JobSpec {
    JobSpec {
        queue: Some(queue(priority)),
        steps: vec![step(tasks)],
        ..JobSpec::default()
    }
}

fn open(queues: &[(u32, u64)]) -> OpenTasks {
    let mut open = OpenTasks::default();
    for &(priority, tasks) in queues {
        let size = JobSize { tasks, bytes: 0 };
        open.add(&queue(priority).name, size, true);
    }
    open
}

/// Decides for a job of queue 0; `None` stands for an evacuated failure domain.
fn decide(tasks: u32, shards: &[Option<&[(u32, u64)]>]) -> Result<usize, Refusal> {
    let opens: Vec<OpenTasks> = shards
        .iter()
        .map(|shard| open(shard.unwrap_or_default()))
        .collect();
    let load = Harness::open(&["one"]).load();
    let states = shards.iter().zip(&opens).map(|(shard, open)| ShardState {
        load: Some(&load),
        open_tasks: open,
        is_evacuated: shard.is_none(),
    });
    let states: Vec<ShardState> = states.collect();
    admit(0, &states, &job(0, tasks), LIMITS).map(|admission| admission.index)
}

/// Guards against a shard that takes more tasks than its owner has memory for, against a queue that shuts out the others,
/// and against the refusal of a job that a shard can take.
#[test_case(20_000, &[Some(&[])], Ok(0); "the largest job in an empty shard")]
#[test_case(20_000, &[Some(&[(1, 5_000)])], Ok(0); "the largest job of a queue without others")]
#[test_case(1, &[Some(&[(0, 12_499)])], Ok(0); "up to half for a queue")]
#[test_case(1, &[Some(&[(0, 12_500)])], Err(NO_TASK_ROOM); "no more than half for a queue")]
#[test_case(12_500, &[Some(&[(1, 12_500)])], Ok(0); "half beside another queue")]
#[test_case(1, &[Some(FULL)], Err(NO_TASK_ROOM); "a full shard")]
#[test_case(1, &[Some(FULL), Some(&[(0, 9)])], Ok(1); "another failure domain")]
#[test_case(1, &[Some(&[(1, 30_000)]), Some(FULL)], Err(Refusal::NoRoom { index: 1, limit: Limit::OpenTasks }); "all full")]
#[test_case(1, &[Some(FULL), None], Err(NO_TASK_ROOM); "the other one evacuated")]
#[test_case(1, &[None, None], Err(Refusal::Evacuated); "all evacuated")]
fn a_job_gets_a_shard_with_room(
    tasks: u32,
    shards: &[Option<&[(u32, u64)]>],
    expected: Result<usize, Refusal>,
) {
    assert_eq!(decide(tasks, shards), expected);
}

/// Guards against a burst between two reports, of which the first report afterwards does not know either.
#[test]
fn sent_jobs_count_until_the_report_contains_them() {
    let mut view = OpenTasksView::default();
    let sent = job(0, 9_000);
    view.add(&sent, true, 1_000);
    let mut expected = OpenTasks::default();
    expected.add("queue-0", JobSize::of(&sent), true);
    assert_eq!(view.known(), &expected);
    view.apply(open(&[(1, 5)]), 1_000 + RECEIVED_WITHIN_MS - 1);
    let other = JobSize { tasks: 5, bytes: 0 };
    expected.add("queue-1", other, true);
    assert_eq!(view.known(), &expected);
    view.apply(open(&[(0, 8_000)]), 1_000 + RECEIVED_WITHIN_MS);
    assert_eq!(view.known(), &open(&[(0, 8_000)]));
}

/// Guards against reports that grow with the number of queues, or that leave out the largest.
#[test]
fn a_report_tells_the_largest_queues() {
    let mut harness = Harness::open(&[]);
    for priority in 0..20 {
        harness.submit(priority.into(), priority, vec![step(priority + 1)]);
    }
    let open = harness.load().open_tasks.expect("a report");
    assert_eq!(open.total, 210);
    assert_eq!(open.queues.len(), QUEUES_REPORTED_MAX);
    assert_eq!(open.of_queue("queue-19").tasks, 20);
    assert_eq!(open.of_queue("queue-3").tasks, 0);
}

/// A job of one task with a command of some bytes.
fn job_with_command(priority: u32, bytes: usize) -> JobSpec {
    JobSpec {
        command: "c".repeat(bytes),
        ..job(priority, 1)
    }
}

fn decide_in(open: &OpenTasks, load: Option<&Load>, job: &JobSpec) -> Result<(), Limit> {
    let state = ShardState {
        load,
        open_tasks: open,
        is_evacuated: false,
    };
    match admit(0, &[state], job, LIMITS) {
        Ok(_) => Ok(()),
        Err(Refusal::NoRoom { limit, .. }) => Err(limit),
        Err(Refusal::Evacuated) => unreachable!("no failure domain is evacuated"),
    }
}

/// Guards against few tasks whose texts exhaust the memory, and against limits that are not those of the owner.
#[test_case(0, 0, None, Ok(()); "the first job")]
#[test_case(0, 45_000, None, Ok(()); "up to half for a queue")]
#[test_case(0, 46_000, None, Err(Limit::JobBytes); "no more than half for a queue")]
#[test_case(1, 95_000, None, Ok(()); "beside another queue")]
#[test_case(1, 96_000, None, Err(Limit::JobBytes); "a full shard")]
#[test_case(1, u64::MAX, None, Err(Limit::JobBytes); "a report of more than can be")]
#[test_case(1, 15_000, Some(20_000), Ok(()); "within the limits of the owner")]
#[test_case(1, 16_000, Some(20_000), Err(Limit::JobBytes); "beyond the limits of the owner")]
fn the_bytes_of_jobs_are_bounded(
    held_by_priority: u32,
    held_bytes: u64,
    owner_max: Option<u64>,
    expected: Result<(), Limit>,
) {
    // The job takes between 4,000 and 5,000 bytes.
    let probe = job_with_command(0, 0);
    let job = job_with_command(0, 4_900 - usize::try_from(job_bytes(&probe)).unwrap());
    assert!((4_000..5_000).contains(&job_bytes(&job)));
    let mut open = OpenTasks::default();
    let held = JobSize {
        tasks: 1,
        bytes: held_bytes,
    };
    if held_bytes > 0 {
        open.add(&queue(held_by_priority).name, held, true);
    }
    open.limits = owner_max.map(|job_bytes_max| ShardLimits {
        job_bytes_max,
        ..LIMITS
    });
    let load = Harness::open(&["one"]).load();
    assert_eq!(decide_in(&open, Some(&load), &job), expected);
}

/// Guards against callers who make a shard retain any number of ended jobs.
#[test_case(999, Ok(()); "below the limit")]
#[test_case(1_000, Err(Limit::EndedJobs); "at the limit")]
fn the_number_of_ended_jobs_is_bounded(ended_jobs: u64, expected: Result<(), Limit>) {
    let open = OpenTasks {
        ended_jobs,
        ..OpenTasks::default()
    };
    assert_eq!(decide_in(&open, None, &job(0, 1)), expected);
}

fn labelled(label: &str) -> StepSpec {
    StepSpec {
        label: label.into(),
        ..step(100)
    }
}

/// Guards against jobs that no known server could complete and that use up the room of the others.
#[test_case(step(100), Ok(()); "a job that any server takes")]
#[test_case(labelled("a"), Ok(()); "a known label")]
#[test_case(labelled("b"), Err(Limit::UnservedTasks); "an unknown label")]
#[test_case(StepSpec { cpu_millis: 16_001, ..step(100) }, Err(Limit::UnservedTasks); "more CPU than a server has")]
#[test_case(StepSpec { memory_mb: 64_001, ..step(100) }, Err(Limit::UnservedTasks); "more memory than a server has")]
#[test_case(StepSpec { gpus: 1, ..step(100) }, Err(Limit::UnservedTasks); "accelerators")]
#[test_case(StepSpec { gang: true, ..step(100) }, Err(Limit::UnservedTasks); "a gang wider than all servers")]
fn jobs_without_servers_get_a_share(step: StepSpec, expected: Result<(), Limit>) {
    let load = Harness::open(&["one", "two"]).load();
    let mut open = OpenTasks::default();
    let held = JobSize {
        tasks: 6_200,
        bytes: 100,
    };
    open.add("queue-1", held, false);
    let job = JobSpec {
        steps: vec![step],
        ..job(0, 1)
    };
    assert_eq!(decide_in(&open, Some(&load), &job), expected);
    let unknown = decide_in(&open, None, &job);
    assert_eq!(unknown, Err(Limit::UnservedTasks), "no server is known");
    let none = OpenTasks::default();
    assert_eq!(
        decide_in(&none, Some(&load), &job),
        Ok(()),
        "the share is free"
    );
}

/// Guards against a share that ends with the report of the owner, or with one of its servers that is silent for a while.
#[test]
fn an_owner_reports_jobs_without_servers() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![step(3)]);
    harness.submit(2, 0, vec![step(3), labelled("b")]);
    let open = harness.load().open_tasks.expect("a report");
    assert_eq!((open.total, open.unserved_tasks), (106, 103));
    assert_eq!(open.of_queue("queue-0").unserved_tasks, 103);
    harness.now_ms += 5_000;
    let open = harness.load().open_tasks.expect("a report");
    assert_eq!(open.unserved_tasks, 103);
}

/// Guards against jobs that are due much later, and that no known server could run then, outside the share.
#[test]
fn a_job_that_is_not_due_counts_as_one_without_a_server() {
    let mut harness = Harness::open(&["one"]);
    let spec = JobSpec {
        steps: vec![labelled("b")],
        repetitions: 1,
        first_due_unix_ms: u64::MAX,
        ..job(0, 1)
    };
    let stored = StoredJob {
        spec: Some(spec),
        created_revision: 200,
        ..StoredJob::default()
    };
    harness.shard.add_job(JobId(1), stored, harness.now_ms);
    let open = harness.load().open_tasks.expect("a report");
    assert_eq!((open.total, open.unserved_tasks), (0, 0));
    assert!(open.bytes > 0);
    assert_eq!(open.unserved_bytes, open.bytes);
}
