//! Tasks that run as long as the daemon, and tasks that run as long as it owns a shard.

use std::future::Future;
use std::rc::Rc;

use futures_util::future::select_all;
use snafu::Snafu;
use tokio::task::{JoinError, JoinHandle, spawn_local};

use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// A service ended, which none does by itself.
#[derive(Debug, Snafu)]
#[snafu(display("service {service} ended: {reason}"))]
pub struct ServiceEnded {
    pub service: &'static str,
    /// Message of the panic, if it panicked.
    pub reason: String,
}

/// Services without which the daemon cannot do its work.
#[derive(Default)]
pub struct Services {
    tasks: Vec<(&'static str, JoinHandle<()>)>,
}

impl Services {
    /// Spawns a service on the current `LocalSet`.
    pub fn spawn(&mut self, service: &'static str, task: impl Future<Output = ()> + 'static) {
        self.tasks.push((service, spawn_local(task)));
    }

    /// Waits until one of the services has ended; without services, for ever.
    pub async fn ended(&mut self) -> ServiceEnded {
        if self.tasks.is_empty() {
            std::future::pending::<()>().await;
        }
        let tasks = self.tasks.iter_mut().map(|(_, task)| task);
        let (result, index, _) = select_all(tasks).await;
        let (service, _) = self.tasks.swap_remove(index);
        let reason = result.map_or_else(end_reason, |()| "it returned".to_owned());
        Line::error("service_ended")
            .with("service", service)
            .with_reason(&reason)
            .write();
        ServiceEnded { service, reason }
    }

    pub fn abort(&self) {
        for (_, task) in &self.tasks {
            task.abort();
        }
    }
}

/// Spawns a task of an owned shard. If it panics, the shard is given up: the other tasks would go on without it.
pub fn spawn_for_shard(
    owned: &Rc<OwnedShard>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let task = spawn_local(task);
    let owned = Rc::clone(owned);
    spawn_local(async move {
        let Err(error) = task.await else { return };
        Line::error("shard_task_ended")
            .with("shard", &owned.failure_domain)
            .with("era", owned.leadership.term)
            .with("task", name)
            .with_reason(end_reason(error))
            .write();
        owned.abandon_after_panic("task_panicked");
    });
}

/// Message of a panic, or that the task was aborted.
fn end_reason(error: JoinError) -> String {
    let text = error.to_string();
    let Ok(payload) = error.try_into_panic() else {
        return text;
    };
    if let Some(message) = payload.downcast_ref::<&'static str>() {
        return (*message).to_owned();
    }
    payload.downcast_ref::<String>().cloned().unwrap_or(text)
}
