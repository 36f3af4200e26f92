//! What an owner tells its successor of tasks that may crash their servers.
//!
//! Crashes are counted when a server is back, which takes seconds, and recorded after that, which takes the store. An
//! owner that gives up its term in between tells its successor what it has counted, and on which servers tasks had just
//! started, so that the successor recognises the crashes of these.

use crate::crashes::LapsedServer;
use crate::handover::{Handover, InFlightTask};
use crate::job::{JobId, TaskId};
use crate::record::{Phase, TaskRecord};
use crate::shard::{ServerKey, Shard, TaskRef};

/// Task that may have crashed servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectedTask {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Crashes counted for the task; only the fields that concern these are set.
    #[prost(message, required, tag = "2")]
    pub record: TaskRecord,
}

/// Server on which runs had just started, or that lapsed after that.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecentStarts {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Address as `host:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Start of the server's incarnation, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub started_unix_ms: u64,
    /// Runs that are not known to have outlived their start; `last_run` is the run number.
    #[prost(message, repeated, tag = "4")]
    pub runs: Vec<InFlightTask>,
}

impl Shard {
    /// Tasks that may have crashed servers, with the counts of this owner.
    pub(crate) fn suspected_tasks(&self) -> Vec<SuspectedTask> {
        let mut suspected = Vec::new();
        for (key, job) in &self.jobs {
            if job.recorded_phase != Phase::Live {
                continue;
            }
            for (task_ref, task) in job.tasks(key) {
                if task.crashed_runs.is_empty() && task.lapsed_runs.is_empty() {
                    continue;
                }
                let record = TaskRecord {
                    occurrence: task_ref.occurrence,
                    step: task_ref.step,
                    index: task_ref.index,
                    crashed_runs: task.crashed_runs.clone(),
                    sole_crashes: task.sole_crashes,
                    lapsed_runs: task.lapsed_runs.clone(),
                    last_lapse_unix_ms: task.last_lapse_unix_ms.unwrap_or(0),
                    ..TaskRecord::default()
                };
                suspected.push(SuspectedTask {
                    job: job.id.0,
                    record,
                });
            }
        }
        suspected
    }

    /// Servers of which it is not known whether the last starts there crashed them.
    pub(crate) fn recent_starts(&self) -> Vec<RecentStarts> {
        let mut recent = Vec::new();
        for (key, server) in &self.servers {
            if server.draining_since_ms.is_some() {
                continue;
            }
            let mut suspects = self.crash_suspects(key);
            suspects.extend_from_slice(&server.lapsed_suspects);
            let lapsed = LapsedServer {
                name: server.entry.name.clone(),
                address: server.entry.address.clone(),
                started_unix_ms: server.started_unix_ms,
                suspects,
            };
            recent.extend(self.recent_starts_on(&lapsed));
        }
        for lapsed in &self.lapsed_servers {
            recent.extend(self.recent_starts_on(lapsed));
        }
        recent
    }

    fn recent_starts_on(&self, server: &LapsedServer) -> Option<RecentStarts> {
        let mut runs = Vec::new();
        for &(task_ref, number) in &server.suspects {
            let Some(job) = self.jobs.get(task_ref.job) else {
                continue;
            };
            runs.push(InFlightTask {
                job: job.id.0,
                occurrence: task_ref.occurrence,
                step: task_ref.step,
                index: task_ref.index,
                inherited: false,
                last_run: number,
                failed_runs: Vec::new(),
            });
        }
        (!runs.is_empty()).then(|| RecentStarts {
            server: server.name.to_string(),
            address: server.address.to_string(),
            started_unix_ms: server.started_unix_ms,
            runs,
        })
    }

    /// Takes over the counts of an earlier owner, and the servers that its last starts may have crashed.
    pub(crate) fn inherit_suspicions(&mut self, handover: &Handover, now_ms: u64) {
        for suspected in &handover.suspected_tasks {
            self.inherit_counts(suspected, now_ms);
        }
        for starts in &handover.recent_starts {
            self.inherit_starts(starts, now_ms);
        }
    }

    fn inherit_counts(&mut self, suspected: &SuspectedTask, now_ms: u64) {
        let record = &suspected.record;
        let id = TaskId {
            job: JobId(suspected.job),
            occurrence: record.occurrence,
            step: record.step,
            index: record.index,
        };
        let Some(task_ref) = self.find_started_task(id, now_ms) else {
            return;
        };
        let outlived_run = self.task(task_ref).outlived_run;
        let mut is_news = false;
        for &run in &record.crashed_runs {
            let task = self.task_mut(task_ref);
            if run <= outlived_run || task.crashed_runs.contains(&run) {
                continue;
            }
            task.crashed_runs.push(run);
            is_news = true;
        }
        let lapsed = record.lapsed_runs.iter().map(|&run| (task_ref, run));
        let lapsed_unix_ms = self.lapse_unix_ms(record, now_ms);
        self.note_lapsed_runs(lapsed, lapsed_unix_ms);
        if !is_news {
            return;
        }
        let version = self.mark_job_changed(task_ref.job, now_ms);
        let task = self.task_mut(task_ref);
        task.suspected = true;
        task.crash_version = version;
        task.sole_crashes = task.sole_crashes.max(record.sole_crashes);
        let inputs = [
            ("crashes", task.crashed_runs.len() as u64),
            ("lapses", task.lapsed_runs.len() as u64),
        ];
        self.log_decision("crashes_taken_over", Some(task_ref), None, inputs);
        self.give_up_if_due(task_ref, None, now_ms);
    }

    fn inherit_starts(&mut self, starts: &RecentStarts, now_ms: u64) {
        let mut suspects = Vec::new();
        for run in &starts.runs {
            let Some(task_ref) = self.find_started_task(run.id(), now_ms) else {
                continue;
            };
            suspects.push((task_ref, run.last_run));
        }
        if suspects.is_empty() {
            return;
        }
        self.note_lapsed_runs(suspects.iter().copied(), self.unix_ms_at(now_ms));
        self.remember_server(LapsedServer {
            name: starts.server.as_str().into(),
            address: starts.address.as_str().into(),
            started_unix_ms: starts.started_unix_ms,
            suspects,
        });
        let claimed = |&key: &ServerKey| {
            let server = &self.servers[key];
            server.claimed
                && (server.entry.name == starts.server || server.entry.address == starts.address)
        };
        if let Some(server) = self.server_keys().into_iter().find(claimed) {
            let started_unix_ms = self.servers[server].started_unix_ms;
            self.count_remembered_crash(server, started_unix_ms, now_ms);
        }
    }

    /// Notes runs whose server has not been heard of since their start.
    fn note_lapsed_runs(
        &mut self,
        runs: impl IntoIterator<Item = (TaskRef, u32)>,
        lapsed_unix_ms: u64,
    ) {
        for (task_ref, number) in runs {
            let task = self.task_mut(task_ref);
            let is_known = task.lapsed_runs.contains(&number)
                || task.crashed_runs.contains(&number)
                || number <= task.outlived_run;
            if is_known {
                continue;
            }
            task.lapsed_runs.push(number);
            task.last_lapse_unix_ms = task.last_lapse_unix_ms.max(Some(lapsed_unix_ms));
        }
    }
}
