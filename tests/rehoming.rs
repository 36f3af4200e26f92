//! Moves of jobs between shards, and requests for jobs that have moved.

mod daemon_fake;
mod store_fake;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daemon_fake::owned_shard_at;
use http_body_util::BodyExt;
use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::node::Node;
use primrosestack::daemon::owner::OwnedShard;
use primrosestack::daemon::{cancellation, entry, keys, rehoming};
use primrosestack_fleet::intake::{FreeCapacity, Load};
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{Home, Phase, Progress, StoredJob, TaskRecord, Term};
use primrosestack_fleet::rehome::JobMove;
use prost::Message;
use store_fake::{Contents, serve_store};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

const JOB: JobId = JobId(7);

fn spec() -> JobSpec {
    let step = StepSpec {
        tasks: 1,
        cpu_millis: 1_000,
        memory_mb: 1_000,
        ..StepSpec::default()
    };
    JobSpec {
        id: JOB.0,
        steps: vec![step],
        queue: Some(Queue::default()),
        ..JobSpec::default()
    }
}

/// A job with two tasks.
fn two_tasks() -> JobSpec {
    let mut spec = spec();
    spec.steps[0].tasks = 2;
    spec
}

fn home_in(failure_domain: &str) -> Vec<u8> {
    let home = Home {
        failure_domain: failure_domain.to_owned(),
        ..Home::default()
    };
    home.encode_to_vec()
}

struct Setup {
    contents: Rc<RefCell<Contents>>,
    node: Rc<Node>,
    owned: Rc<OwnedShard>,
}

/// Opens a shard without servers that has accepted a job.
async fn setup() -> Setup {
    setup_with(spec()).await
}

/// Opens a shard without servers that has accepted the job.
async fn setup_with(job: JobSpec) -> Setup {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let contents = Rc::new(RefCell::new(Contents::default()));
    {
        let mut contents = contents.borrow_mut();
        let term = Term {
            number: daemon_fake::LEADERSHIP.term,
            ..Term::default()
        };
        contents.revision = daemon_fake::LEADERSHIP.start_revision - 1;
        contents.put(&keys::term("poa"), term.encode_to_vec());
        contents.put(&keys::home(JOB), home_in("poa"));
        contents.put(&keys::job("poa", JOB), job.encode_to_vec());
    }
    tokio::task::spawn_local(serve_store(listener, Rc::clone(&contents)));
    let (node, owned) = owned_shard_at(&address).await;
    Setup {
        contents,
        node,
        owned,
    }
}

/// The move of the job, which is due after some seconds without servers.
fn take_move(owned: &OwnedShard) -> JobMove {
    let free = FreeCapacity {
        cpu_millis: 4_000,
        memory_mb: 4_000,
        ..FreeCapacity::default()
    };
    let load = Load {
        free_capacity: vec![free],
        ..Load::default()
    };
    let mut others = [("cxs".into(), load)];
    let mut shard = owned.shard.borrow_mut();
    let now = now_ms();
    shard.tick(now);
    shard.tick(now + 5_000);
    let taken = shard.take_job_move(&mut others, now + 5_000);
    taken.expect("the job has to move")
}

fn decoded<T: Message + Default>(contents: &Contents, key: &str) -> Option<T> {
    let (value, _) = contents.items.get(key)?;
    Some(T::decode(value.as_slice()).expect("a record"))
}

/// Guards against a job that has two homes or none after a move.
#[tokio::test]
async fn a_move_changes_the_home_in_one_transaction() {
    let run = async {
        let setup = setup().await;
        let job_move = take_move(&setup.owned);
        rehoming::move_job(&setup.owned, &job_move).await;
        let contents = setup.contents.borrow();
        assert_eq!(contents.commits, 1);
        let home: Home = decoded(&contents, &keys::home(JOB)).expect("a home");
        assert_eq!(home.failure_domain, "cxs");
        let moved: JobSpec = decoded(&contents, &keys::job("cxs", JOB)).expect("the job");
        assert!(moved.recorded.is_some());
        assert!(
            contents
                .items
                .contains_key(keys::progress("cxs", JOB).as_str())
        );
        assert!(!contents.items.contains_key(keys::job("poa", JOB).as_str()));
        assert!(setup.owned.shard.borrow().find_job(JOB).is_none());
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a job that goes to a failure domain which is known to be evacuated when its move is written, and one that
/// leaves an evacuated failure domain uncounted.
#[tokio::test]
async fn a_job_does_not_move_to_a_failure_domain_that_was_evacuated_meanwhile() {
    let run = async {
        let setup = setup().await;
        let job_move = take_move(&setup.owned);
        setup.node.evacuations.borrow_mut().request("cxs", 20);
        assert!(!rehoming::move_job(&setup.owned, &job_move).await);
        assert_eq!(setup.contents.borrow().commits, 0);
        assert!(setup.owned.shard.borrow().find_job(JOB).is_some());
        setup.node.evacuations.borrow_mut().take_back("cxs", 21);
        setup.node.evacuations.borrow_mut().request("poa", 22);
        assert!(rehoming::move_job(&setup.owned, &take_move(&setup.owned)).await);
        let metrics = setup.node.metrics.scrape().expect("metrics");
        assert!(metrics.contains(r#"primrose_evacuated_work_total{kind="job"} 1"#));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a repeated move that overwrites what the new home has recorded since.
#[tokio::test]
async fn a_move_whose_answer_was_lost_is_not_carried_out_twice() {
    let run = async {
        let setup = setup().await;
        setup.contents.borrow_mut().answers_lost = 1;
        let job_move = take_move(&setup.owned);
        rehoming::move_job(&setup.owned, &job_move).await;
        assert_eq!(setup.contents.borrow().commits, 1);
        assert!(setup.owned.shard.borrow().find_job(JOB).is_none());
        assert!(!setup.owned.closed.get());
    };
    LocalSet::new().run_until(run).await;
}

/// A job that the new home has returned before the answer to its move, with its task done, and the revision of its return.
async fn return_during_move(setup: &Setup) -> u64 {
    while setup.contents.borrow().commits == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let done = TaskRecord {
        done: true,
        last_run: 5,
        ..TaskRecord::default()
    };
    let progress = Progress {
        started: true,
        run_base: 5,
        tasks: vec![done],
        ..Progress::default()
    };
    let returned = JobSpec {
        recorded: Some(progress.clone()),
        ..two_tasks()
    };
    let mut contents = setup.contents.borrow_mut();
    contents.items.remove(keys::job("cxs", JOB).as_str());
    contents.items.remove(keys::progress("cxs", JOB).as_str());
    contents.put(&keys::progress("poa", JOB), progress.encode_to_vec());
    contents.put(&keys::job("poa", JOB), returned.encode_to_vec());
    contents.put(&keys::home(JOB), home_in("poa"));
    contents.revision
}

/// Moves the job without an answer while it comes back. `is_read_first` is whether the owner reads its return before it
/// knows the outcome of its own move.
async fn move_and_return(is_read_first: bool) {
    let setup = setup_with(two_tasks()).await;
    setup.contents.borrow_mut().answers_lost = 1;
    let job_move = take_move(&setup.owned);
    let read_return = |revision| {
        let stored = StoredJob {
            spec: Some(two_tasks()),
            progress: decoded(&setup.contents.borrow(), &keys::progress("poa", JOB)),
            created_revision: revision,
            ..StoredJob::default()
        };
        setup.owned.receive_job(JOB, stored);
    };
    let come_back = async {
        let revision = return_during_move(&setup).await;
        if is_read_first {
            read_return(revision);
        }
        revision
    };
    let moving = rehoming::move_job(&setup.owned, &job_move);
    let (_, revision) = tokio::join!(moving, come_back);
    if !is_read_first {
        read_return(revision);
    }
    let contents = setup.contents.borrow();
    let home: Home = decoded(&contents, &keys::home(JOB)).expect("a home");
    assert_eq!(home.failure_domain, "poa", "it has not moved again");
    let progress: Progress = decoded(&contents, &keys::progress("poa", JOB)).expect("progress");
    assert!(progress.tasks[0].done);
    let job_move = take_move(&setup.owned);
    let tasks = &job_move.progress.tasks;
    assert!(tasks[0].done, "the done task starts again: {tasks:?}");
}

/// Guards against a done task that starts again after its job came back from a move without an answer: the owner reads
/// itself as the home and takes its own old copy for the job.
#[tokio::test]
async fn a_job_that_came_back_before_the_outcome_of_its_move_keeps_its_progress() {
    LocalSet::new().run_until(move_and_return(false)).await;
}

/// Guards against the same when the owner has read the entry of the return before it knows the outcome.
#[tokio::test]
async fn a_job_whose_return_is_read_before_the_outcome_of_its_move_keeps_its_progress() {
    LocalSet::new().run_until(move_and_return(true)).await;
}

/// The end of the first task, told by its server after the job was taken to be moved.
fn tell_late_end(owned: &OwnedShard) {
    let task = TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let end = RunEnd {
        number: 1,
        task,
        run: 1,
        kind: EndKind::Done,
        checkpoint: "".into(),
    };
    let entry = ServerEntry {
        name: "late".into(),
        started_unix_ms: 1,
        service: "".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "poa".into(),
        draining: false,
        leaves_in_ms: None,
        cold_for_ms: 0,
        cpu_millis: 0,
        memory_mb: 0,
        gpus: 0,
        labels: Vec::new(),
    };
    let now = now_ms();
    let report = Report {
        sent_ms: now,
        started_unix_ms: 1,
        ended: vec![end],
        ..Report::default()
    };
    let mut shard = owned.shard.borrow_mut();
    shard.set_server(entry, now);
    let key = shard.server_keys()[0];
    shard.apply_report(key, &report, now);
}

/// Guards against a done task that starts again in the new home, since its end came after the job was taken to be moved.
#[tokio::test]
async fn a_move_carries_the_progress_as_of_its_transaction() {
    let run = async {
        let setup = setup_with(two_tasks()).await;
        let job_move = take_move(&setup.owned);
        tell_late_end(&setup.owned);
        rehoming::move_job(&setup.owned, &job_move).await;
        let contents = setup.contents.borrow();
        let progress: Progress = decoded(&contents, &keys::progress("cxs", JOB)).expect("moved");
        assert!(progress.tasks.iter().any(|task| task.done));
        let moved: JobSpec = decoded(&contents, &keys::job("cxs", JOB)).expect("moved");
        assert_eq!(moved.recorded, Some(progress));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an ended job that becomes live again in another home.
#[tokio::test]
async fn a_job_that_ends_before_its_move_is_written_stays() {
    let run = async {
        let setup = setup().await;
        let job_move = take_move(&setup.owned);
        tell_late_end(&setup.owned);
        rehoming::move_job(&setup.owned, &job_move).await;
        assert_eq!(setup.contents.borrow().commits, 0);
        let batch = setup.owned.shard.borrow_mut().take_batch(now_ms());
        assert_eq!(batch.jobs[0].progress.phase(), Phase::Completed);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a job that moves away from its cancellation, and whose tasks start in the new home.
#[tokio::test]
async fn a_job_with_a_cancellation_does_not_move() {
    let run = async {
        let setup = setup().await;
        let job_move = take_move(&setup.owned);
        let key = keys::cancellation("poa", JOB);
        setup.contents.borrow_mut().put(&key, Vec::new());
        rehoming::move_job(&setup.owned, &job_move).await;
        assert_eq!(setup.contents.borrow().commits, 0);
        assert!(!setup.owned.closed.get());
        let cancelled = StoredJob {
            cancelled: true,
            ..StoredJob::default()
        };
        setup.owned.receive_job(JOB, cancelled);
        let batch = setup.owned.shard.borrow_mut().take_batch(now_ms());
        assert!(batch.jobs[0].deletes_spec, "the cancellation is recorded");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against an owner that gives a job away after its successor has read it.
#[tokio::test]
async fn an_earlier_owner_does_not_move_jobs() {
    let run = async {
        let setup = setup().await;
        let job_move = take_move(&setup.owned);
        let term = Term {
            number: daemon_fake::LEADERSHIP.term + 1,
            ..Term::default()
        };
        let value = term.encode_to_vec();
        setup.contents.borrow_mut().put(&keys::term("poa"), value);
        rehoming::move_job(&setup.owned, &job_move).await;
        assert_eq!(setup.contents.borrow().commits, 0);
        assert!(setup.owned.closed.get());
    };
    LocalSet::new().run_until(run).await;
}

/// Writes that the job has moved to `cxs` although hosts remember `poa` as its home.
fn move_behind_the_cache(setup: &Setup) {
    setup.node.cache_home(JOB, &"poa".into());
    let mut contents = setup.contents.borrow_mut();
    contents.items.remove(keys::job("poa", JOB).as_str());
    contents.put(&keys::home(JOB), home_in("cxs"));
    contents.put(&keys::job("cxs", JOB), spec().encode_to_vec());
    let progress = Progress {
        started: true,
        ..Progress::default()
    };
    contents.put(&keys::progress("cxs", JOB), progress.encode_to_vec());
}

/// Guards against an accepted job that is said not to exist, since a host remembers its old home.
#[tokio::test]
async fn the_status_of_a_moved_job_is_that_in_its_new_home() {
    let run = async {
        let setup = setup().await;
        let job = setup.owned.shard.borrow().find_job(JOB).expect("the job");
        setup.owned.shard.borrow_mut().job_moved(job, 99, now_ms());
        move_behind_the_cache(&setup);
        let reply = entry::job_status(&setup.node, JOB).await;
        assert!(reply.status().is_success(), "{}", reply.status());
        let body = reply
            .into_body()
            .collect()
            .await
            .expect("a body")
            .to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(text.contains("running"), "{text}");
        let missing = entry::job_status(&setup.node, JobId(8)).await;
        assert_eq!(missing.status().as_u16(), 410);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a cancellation that is written for the old home of a job, where nobody reads it.
#[tokio::test]
async fn a_moved_job_is_cancelled_in_its_new_home() {
    let run = async {
        let setup = setup().await;
        move_behind_the_cache(&setup);
        let deadline = Instant::now() + Duration::from_secs(10);
        let reply = cancellation::cancel(&setup.node, JOB, &Queue::default(), deadline).await;
        assert!(reply.status().is_success(), "{}", reply.status());
        let contents = setup.contents.borrow();
        let is_written = |domain| {
            let key = keys::cancellation(domain, JOB);
            contents.items.contains_key(key.as_str())
        };
        assert!(is_written("cxs"));
        assert!(!is_written("poa"));
    };
    LocalSet::new().run_until(run).await;
}
