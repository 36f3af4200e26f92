//! Services and tasks of the daemon that panic.

mod daemon_fake;

use std::future::pending;
use std::rc::Rc;

use daemon_fake::{handover, owned_shard};
use primrosestack::daemon::services::{Services, spawn_for_shard};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::StoredJob;
use tokio::task::LocalSet;

fn cancelled_job(id: u64) -> StoredJob {
    let step = StepSpec {
        tasks: 1,
        cpu_millis: 1_000,
        memory_mb: 1_000,
        ..StepSpec::default()
    };
    StoredJob {
        spec: Some(JobSpec {
            id,
            steps: vec![step],
            queue: Some(Queue::default()),
            ..JobSpec::default()
        }),
        cancelled: true,
        created_revision: 20,
        ..StoredJob::default()
    }
}

/// Guards against a process that goes on without one of its services.
#[tokio::test]
async fn a_service_that_panics_ends_the_daemon() {
    let run = async {
        let mut services = Services::default();
        services.spawn("steady", pending());
        services.spawn("broken", async { panic!("out of range") });
        let ended = services.ended().await;
        assert_eq!(ended.service, "broken");
        assert_eq!(ended.reason, "out of range");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a shard that goes on without the task that renews its announcement or writes its records, and against
/// a successor that takes the empty handover of the time before the shard was open for its state.
#[tokio::test]
async fn a_shard_whose_task_panics_is_given_up() {
    let run = async {
        let (node, owned, _store) = owned_shard().await;
        node.save_handover(&"poa".into(), Handover::unopened(4));
        spawn_for_shard(&owned, "broken", async { panic!("out of range") });
        while node.owned_shard("poa").is_some() {
            tokio::task::yield_now().await;
        }
        assert!(owned.closed.get());
        assert_eq!(handover(&node), None);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a successor that asks while the shard is being released, and gets the empty handover of the time
/// before the shard was open: it starts tasks that are running.
#[tokio::test]
async fn a_shard_that_is_being_released_hands_over_its_state() {
    let run = async {
        let (node, owned, _store) = owned_shard().await;
        node.save_handover(&"poa".into(), Handover::unopened(4));
        // The record of a cancelled job is due, and the store refuses it.
        owned.receive_job(JobId(7), cancelled_job(7));
        let releasing = Rc::clone(&owned);
        let release = tokio::task::spawn_local(async move { releasing.release(100).await });
        while !owned.closed.get() {
            tokio::task::yield_now().await;
        }
        assert!(!handover(&node).expect("a handover").unopened);
        release.await.expect("the release ends");
        assert!(!handover(&node).expect("a handover").unopened);
    };
    LocalSet::new().run_until(run).await;
}
