//! Move of jobs away from a failure domain that has no server for their tasks.

mod common;

use common::moves::{LOSS_MS, MOVE_WAIT_MS, arrival, lose, moving_job, other, tick_until_move};
use common::{Harness, queue, run_end, service_step, step, task_id};
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::job::{JobId, JobSpec, StepSpec};
use primrosestack_fleet::record::{Phase, StoredJob};
use primrosestack_fleet::report::{EndKind, ServerEntry};
use test_case::test_case;

fn gang_step(tasks: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks)
    }
}

fn label_step(label: &str) -> StepSpec {
    StepSpec {
        label: label.into(),
        ..step(2)
    }
}

/// Guards against short tasks, gangs and tasks with a label waiting for ever when all servers of their home are lost.
#[test_case(&step(4); "short tasks")]
#[test_case(&gang_step(4); "gang")]
#[test_case(&label_step("r-1"); "label")]
fn a_job_moves_when_all_servers_of_its_home_are_lost(spec: &StepSpec) {
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![spec.clone()]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), spec.tasks as usize);
    // The tasks are no suspects of having crashed the server.
    source.now_ms += 600;
    source.report_running(&[job]);
    lose(&mut source, "one");
    let others = [other(&["two"])];
    let job_move = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    let job_move = job_move.expect("the job moves");
    assert_eq!(
        (job_move.id, job_move.failure_domain.as_str()),
        (job, "cxs")
    );
    let mut target = Harness::open(&["two"]);
    let stored = arrival(&job_move, 200);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    let starts = target.confirm_starts();
    assert_eq!(starts.len(), spec.tasks as usize);
    assert!(starts.iter().all(|(_, request)| request.run == 2));
}

/// Guards against a job waiting for a label or accelerators that no server of its home has, while another one has them.
#[test_case(label_step("gold"); "label")]
#[test_case(StepSpec { gpus: 1, ..step(2) }; "accelerators")]
#[test_case(StepSpec { cpu_millis: 20_000, ..step(1) }; "size")]
#[test_case(gang_step(20); "gang of more than fit")]
fn a_job_moves_when_the_servers_of_its_home_never_suffice(spec: StepSpec) {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![spec]);
    source.plan();
    assert!(source.starts.is_empty());
    let mut target = Harness::open(&["two"]);
    let entry = ServerEntry {
        cpu_millis: 64_000,
        gpus: 4,
        labels: vec!["gold".into()],
        ..common::entry("two")
    };
    target.shard.set_server(entry, target.now_ms);
    let others = [("cxs".into(), target.load())];
    for _ in 0..(MOVE_WAIT_MS / 500) {
        source.claim("one");
        if tick_until_move(&mut source, &others, 500).is_some() {
            return;
        }
    }
    panic!("the job does not move");
}

/// Guards against jobs leaving a home whose servers were out of touch for a moment, or whose owner stood still.
#[test]
fn no_job_moves_while_servers_are_silent_for_a_moment() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![step(17)]);
    source.plan();
    source.confirm_starts();
    let others = [other(&["two"])];
    for _ in 0..5 {
        source.now_ms += 3_000;
        assert!(tick_until_move(&mut source, &others, 1_000).is_none());
        source.report_running(&[JobId(7)]);
        assert!(tick_until_move(&mut source, &others, 200).is_none());
    }
}

/// Guards against a second start of a task whose run may still exist in the home that its job leaves.
#[test]
fn no_job_moves_while_a_run_may_exist() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![step(17)]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16);
    source.confirms_term = false;
    lose(&mut source, "one");
    let others = [other(&["two"])];
    let taken = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    assert!(taken.is_none(), "a successor may have renewed the leases");
    source.confirms_term = true;
    assert!(tick_until_move(&mut source, &others, MOVE_WAIT_MS).is_some());
}

/// Guards against a second start of tasks that an earlier owner of the home may have started.
#[test]
fn no_job_moves_before_the_leases_of_earlier_owners_have_ended() {
    let mut source = Harness::open_term(2, &["gone"], &[]);
    source.submit_at(7, 0, vec![step(1)], 50);
    source.plan();
    let others = [other(&["two"])];
    let opened_ms = source.now_ms;
    let job_move = tick_until_move(&mut source, &others, 20_000).expect("the job moves");
    assert!(source.now_ms >= opened_ms + 6_000 + 3_000);
    let mut target = Harness::open(&["two"]);
    let stored = arrival(&job_move, 200);
    target.shard.add_job(job_move.id, stored, target.now_ms);
    target.plan();
    assert!(
        target.starts[0].1.run > 1_000,
        "above runs of earlier terms"
    );
}

/// Guards against a home that starts tasks of a job, or records it, while its move may be carried out.
#[test]
fn a_job_stands_still_while_it_moves() {
    let (mut source, job_move) = moving_job(vec![step(2)]);
    source
        .shard
        .set_server(common::entry("three"), source.now_ms);
    source.claim("three");
    source.write_records();
    let cancelled = StoredJob {
        cancelled: true,
        ..StoredJob::default()
    };
    source.plan();
    assert!(source.starts.is_empty());
    source.shard.add_job(job_move.id, cancelled, source.now_ms);
    let batch = source.shard.take_batch(source.now_ms);
    assert!(batch.jobs.is_empty());
}

/// Guards against a job that is not moved after all and never starts or ends again.
#[test]
fn a_job_that_is_kept_goes_on() {
    let (mut source, job_move) = moving_job(vec![step(2)]);
    source.shard.job_kept(job_move.key, source.now_ms);
    source
        .shard
        .set_server(common::entry("three"), source.now_ms);
    source.claim("three");
    source.write_records();
    source.plan();
    assert_eq!(source.confirm_starts().len(), 1);
}

/// Guards against a done task that starts again in the new home, and against steps that open too early or never there.
#[test]
fn a_job_goes_on_in_its_new_home_where_it_was() {
    let last = StepSpec {
        after: vec![0],
        ..step(1)
    };
    let (mut source, job_move) = moving_job(vec![step(2), last]);
    source.shard.job_moved(job_move.key, 300, source.now_ms);
    let job = job_move.id;
    assert!(source.shard.job_status(job).is_none());
    let mut target = Harness::open(&["two"]);
    let stored = arrival(&job_move, 300);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    let starts = target.confirm_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task, task_id(job, 0, 1));
    let run = starts[0].1.run;
    target.report_end("two", &run_end(1, task_id(job, 0, 1), run, EndKind::Done));
    target.plan();
    let starts = target.confirm_starts();
    assert_eq!(starts[0].1.task, task_id(job, 1, 0));
    let run = starts[0].1.run;
    target.report_end("two", &run_end(2, task_id(job, 1, 0), run, EndKind::Done));
    let batch = target.shard.take_batch(target.now_ms);
    assert_eq!(batch.jobs[0].progress.phase(), Phase::Completed);
}

/// Guards against an entry of the inbox that was read before the move and brings the job back to its old home.
#[test]
fn an_old_entry_does_not_bring_a_moved_job_back() {
    let (mut source, job_move) = moving_job(vec![step(2)]);
    source.shard.job_moved(job_move.key, 300, source.now_ms);
    let spec = JobSpec {
        recorded: None,
        ..job_move.spec.clone()
    };
    let stored = |created_revision| StoredJob {
        spec: Some(spec.clone()),
        created_revision,
        ..StoredJob::default()
    };
    source
        .shard
        .add_job(job_move.id, stored(200), source.now_ms);
    assert!(source.shard.find_job(job_move.id).is_none());
    source
        .shard
        .add_job(job_move.id, stored(400), source.now_ms);
    assert!(
        source.shard.find_job(job_move.id).is_some(),
        "it has moved back"
    );
}

/// Guards against a done task that starts again since the entry of its job's return is taken for news of the old copy,
/// which still stands still.
#[test]
fn a_job_that_comes_back_while_its_move_is_unanswered_is_as_the_other_home_left_it() {
    let (mut source, job_move) = moving_job(vec![step(3)]);
    let mut returned = arrival(&job_move, 400);
    let progress = returned.progress.as_mut().expect("carried");
    for task in &mut progress.tasks {
        task.done = task.index < 2;
        task.last_run = 9;
    }
    progress.run_base = 9;
    source.shard.add_job(job_move.id, returned, source.now_ms);
    source.shard.job_moved(job_move.key, 399, source.now_ms);
    source
        .shard
        .set_server(common::entry("three"), source.now_ms);
    source.claim("three");
    source.write_records();
    source.plan();
    let starts = source.confirm_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task, task_id(job_move.id, 0, 2));
    assert!(starts[0].1.run > 9);
}

/// Guards against an attempt count that begins anew in the new home.
#[test]
fn failed_attempts_count_over_both_homes() {
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![step(1)]);
    for number in 1..3 {
        source.now_ms += 2_000;
        source.claim("one");
        source.plan();
        let starts = source.confirm_starts();
        assert_eq!(starts.len(), 1);
        let end = run_end(number, task_id(job, 0, 0), starts[0].1.run, EndKind::Failed);
        source.report_end("one", &end);
        source.write_records();
    }
    lose(&mut source, "one");
    let others = [other(&["two"])];
    let job_move = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    let stored = arrival(&job_move.expect("the job moves"), 200);
    let mut target = Harness::open(&["two"]);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    let starts = target.confirm_starts();
    let end = run_end(1, task_id(job, 0, 0), starts[0].1.run, EndKind::Failed);
    target.report_end("two", &end);
    let batch = target.shard.take_batch(target.now_ms);
    assert_eq!(batch.jobs[0].progress.phase(), Phase::Failed);
}

/// Guards against a checkpoint that is lost with the move.
#[test]
fn a_moved_task_resumes_from_its_checkpoint() {
    let spec = StepSpec {
        checkpointable: true,
        ..step(1)
    };
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![spec]);
    source.plan();
    source.confirm_starts();
    let status = primrosestack_fleet::report::RunStatus {
        checkpoint: "half".into(),
        ..common::run_status(task_id(job, 0, 0), 1)
    };
    source.report("one", &[status], &[]);
    lose(&mut source, "one");
    let others = [other(&["two"])];
    let job_move = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    let stored = arrival(&job_move.expect("the job moves"), 200);
    let mut target = Harness::open(&["two"]);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    assert_eq!(target.starts[0].1.checkpoint, "half");
}

/// Guards against a new owner of the new home that numbers runs below or equal to those of the owner before it, whose
/// starts were not recorded.
#[test]
fn run_numbers_rise_over_owners_of_the_new_home() {
    let (_, job_move) = moving_job(vec![step(2)]);
    let mut moved = job_move.clone();
    let far = 5_000;
    for progress in [
        &mut moved.progress,
        moved.spec.recorded.as_mut().expect("carried"),
    ] {
        progress.run_base = far;
        for task in &mut progress.tasks {
            task.last_run = far;
        }
    }
    let mut numbers = Vec::new();
    for term in 1..4 {
        let mut target = Harness::open_term(term, &[], &["two"]);
        target.claim("two");
        target.write_records();
        let created_revision = if term == 1 { 200 } else { 50 };
        let stored = arrival(&moved, created_revision);
        target.shard.add_job(moved.id, stored, target.now_ms);
        target.plan();
        numbers.push(target.starts[0].1.run);
    }
    assert!(numbers[0] > far, "{numbers:?}");
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

/// Guards against tasks of a moved job that an earlier owner of the new home may have started and that start twice.
#[test]
fn a_new_owner_of_the_new_home_waits_for_the_runs_of_the_one_before() {
    let (_, job_move) = moving_job(vec![step(2)]);
    let mut target = Harness::open_term(2, &["gone", "two"], &["two"]);
    target.claim("two");
    target.write_records();
    let stored = arrival(&job_move, 50);
    target.shard.add_job(job_move.id, stored, target.now_ms);
    target.plan();
    assert!(target.starts.is_empty());
}

/// Guards against a job that moves to a failure domain without room for it, or back and forth between two without servers.
#[test]
fn a_job_waits_until_another_failure_domain_has_room() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![gang_step(10)]);
    source.plan();
    lose(&mut source, "one");
    let mut full = Harness::open(&["two"]);
    full.submit(8, 0, vec![step(10)]);
    full.plan();
    let others = [("cxs".into(), full.load()), ("pel".into(), Load::default())];
    assert!(tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS).is_none());
    assert!(tick_until_move(&mut source, &[other(&["three"])], 200).is_some());
}

/// Guards against a job with delegated tasks that moves: an end of these would be told to its old home.
#[test]
fn no_job_with_delegated_tasks_moves() {
    let mut source = Harness::open(&["one"]);
    let spec = JobSpec {
        id: 7,
        steps: vec![service_step(1, "a"), step(1)],
        queue: Some(queue(0)),
        ..JobSpec::default()
    };
    lose(&mut source, "one");
    source.now_ms += LOSS_MS;
    source.tick();
    let stored = StoredJob {
        spec: Some(spec),
        created_revision: 200,
        ..StoredJob::default()
    };
    source.shard.add_job(JobId(7), stored, source.now_ms);
    source.now_ms += common::DELEGATION_WAIT_MS;
    let mut others = vec![other(&["two"])];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    source.write_records();
    assert!(tick_until_move(&mut source, &others, MOVE_WAIT_MS).is_none());
}

/// Guards against jobs of one lost failure domain that all count on the same free server.
#[test]
fn a_move_takes_the_room_that_was_reported() {
    let mut source = Harness::open(&["one"]);
    for id in 7..12 {
        source.submit(id, 0, vec![step(8)]);
    }
    lose(&mut source, "one");
    source.now_ms += LOSS_MS;
    let others = [other(&["two"])];
    assert!(tick_until_move(&mut source, &others, MOVE_WAIT_MS).is_some());
    let mut others = others.to_vec();
    let mut moves = 0;
    while source
        .shard
        .take_job_move(&mut others, source.now_ms)
        .is_some()
    {
        moves += 1;
    }
    assert_eq!(moves, 2, "16 cores take two jobs");
}
