//! Tasks that crash the servers they start on.
//!
//! When a server crashes, the runs that had just started there are suspected. A suspected task starts alone on a server,
//! so that the next crash tells which task causes it; its job fails after a few. A task that outlives its start is no
//! longer suspected. The counts are recorded with the task, so that they outlast a change of owner.
//!
//! A server that lapses after a start may have crashed, or may be out of reach. A task with [`CRASHES_MAX`] crashes and
//! lapses together waits until one of the lapsed servers answers: for [`BRIEF_LAPSE_WAIT_MS`] at most, and from
//! [`POSSIBLE_CRASHES_MAX`] on for [`LAPSED_SERVER_WAIT_MS`].

use smol_str::SmolStr;

use crate::crash_rate::SOLE_SUSPECT_CRASHES_MIN;
use crate::record::{Phase, TaskRecord};
use crate::server::Server;
use crate::shard::{JobKey, ServerKey, Shard, TaskRef, to_u32};
use crate::task::{Run, Task};

/// Age at which a listed run has outlived its start; servers crash within a few milliseconds of it.
pub(crate) const OUTLIVED_START_MS: u64 = 500;

/// Crashes after which a task is given up even if there were other suspects, unless servers are lost often; other suspects
/// of three crashes in a row are improbable.
const CRASHES_MAX: u32 = 3;

/// Wait after which a suspected task starts beside other recent starts; on a busy server there is always one.
pub(crate) const ALONE_WAIT_MAX_MS: u64 = 1_500;

/// Wait after which a long-running task starts beside a suspect; the service contract allows 6 s without a run, and many
/// suspects would start one after the other.
const BESIDE_SUSPECT_AFTER_MS: u64 = 3_000;

/// Crashes and lapses together from which a task is not started without news of its servers; the service contract allows
/// two more starts after three crashes.
const POSSIBLE_CRASHES_MAX: u32 = 5;

/// Wait for lapsed servers before one of these two starts; the service contract allows 9 s from a crash to the next run,
/// of which the lease of a silent server takes 5 s.
const BRIEF_LAPSE_WAIT_MS: u64 = 2_000;

/// Wait for lapsed servers after these starts: a server that stays away for longer is not expected back.
const LAPSED_SERVER_WAIT_MS: u64 = 120_000;

/// Lapsed servers that are remembered; more at a time were cut off rather than crashed.
const LAPSED_SERVERS_MAX: usize = 256;

/// Server that lapsed and left the registrations, or on which an earlier owner had just started tasks. If it comes back
/// as another incarnation, it had crashed.
#[derive(Clone, Debug)]
pub(crate) struct LapsedServer {
    pub(crate) name: SmolStr,
    pub(crate) address: SmolStr,
    /// Start of the incarnation that lapsed, in milliseconds since the Unix epoch.
    pub(crate) started_unix_ms: u64,
    /// Runs that may have crashed it.
    pub(crate) suspects: Vec<(TaskRef, u32)>,
}

/// Time after the last lapse for which a task waits for its lapsed servers.
fn lapse_wait_ms(task: &Task) -> u64 {
    let possible_crashes = to_u32(task.crashed_runs.len() + task.lapsed_runs.len());
    if task.lapsed_runs.is_empty() || possible_crashes < CRASHES_MAX {
        0
    } else if possible_crashes < POSSIBLE_CRASHES_MAX {
        BRIEF_LAPSE_WAIT_MS
    } else {
        LAPSED_SERVER_WAIT_MS
    }
}

impl Shard {
    /// Runs on a server that may have crashed it: those that are known to have begun, or whose start the server cut off, and
    /// that are not known to have outlived their start. Any other start without an answer may have been sent after the crash,
    /// or before it and never received.
    pub(crate) fn crash_suspects(&self, server: ServerKey) -> Vec<(TaskRef, u32)> {
        let mut suspects = Vec::new();
        for &(task_ref, number) in &self.servers[server].runs {
            let task = self.task(task_ref);
            let is_innocent = task.run_position(server, number).is_some_and(|position| {
                let run = &task.runs[position];
                !run.may_have_begun() || run.missed_start || run.beside_suspect
            });
            if !is_innocent && self.is_recent_start(task_ref, server, number) {
                suspects.push((task_ref, number));
            }
        }
        suspects
    }

    fn is_recent_start(&self, task_ref: TaskRef, server: ServerKey, number: u32) -> bool {
        let task = self.task(task_ref);
        task.run_position(server, number)
            .is_some_and(|position| !task.runs[position].outlived_start)
    }

    /// Whether a task must not start on a server at present because a crash could then have several causes.
    pub(crate) fn crash_would_be_ambiguous(
        &self,
        task_ref: TaskRef,
        server: ServerKey,
        now_ms: u64,
    ) -> bool {
        let state = &self.servers[server];
        let task = self.task(task_ref);
        let is_overdue = self.step_spec(task_ref).long_running
            && now_ms >= task.ready_since_ms + BESIDE_SUSPECT_AFTER_MS;
        if state.suspected_run.is_some() && !is_overdue {
            return true;
        }
        task.is_suspected()
            && now_ms < task.ready_since_ms + ALONE_WAIT_MAX_MS
            && state
                .runs
                .iter()
                .any(|&(other, number)| self.is_recent_start(other, server, number))
    }

    /// Suspects runs of a server that lapsed; whether it crashed is known only when it is back.
    pub(crate) fn suspect_lapsed(&mut self, server: ServerKey, now_ms: u64) {
        // A draining server was expected to leave.
        if self.servers[server].draining_since_ms.is_some() {
            return;
        }
        let suspects = self.crash_suspects(server);
        let lapsed_unix_ms = self.unix_ms_at(now_ms);
        for &(task_ref, number) in &suspects {
            let task = self.task_mut(task_ref);
            task.suspected = true;
            task.lapsed_runs.push(number);
            task.last_lapse_unix_ms = Some(lapsed_unix_ms);
            self.mark_job_changed(task_ref.job, now_ms);
            if !self.awaits_lapsed_servers(task_ref, now_ms) {
                continue;
            }
            let task = self.task(task_ref);
            let inputs = [
                ("crashes", task.crashed_runs.len() as u64),
                ("lapses", task.lapsed_runs.len() as u64),
                ("wait_ms", lapse_wait_ms(task)),
            ];
            self.log_decision("start_postponed", Some(task_ref), Some(server), inputs);
        }
        self.servers[server].lapsed_suspects = suspects;
    }

    /// Whether a task waits until it is known whether the servers of its last starts have crashed.
    fn awaits_lapsed_servers(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        let task = self.task(task_ref);
        let wait_ms = lapse_wait_ms(task);
        task.last_lapse_unix_ms
            .is_some_and(|lapsed_unix_ms| self.unix_ms_at(now_ms) < lapsed_unix_ms + wait_ms)
    }

    /// Time from which a task waits for lapsed servers according to a record; `None` if there are none, or if the record of
    /// another shard does not tell, since tasks wait before they leave.
    pub(crate) fn waiting_since_unix_ms(
        &self,
        record: &TaskRecord,
        is_of_this_shard: bool,
        now_ms: u64,
    ) -> Option<u64> {
        let is_known = record.last_lapse_unix_ms > 0;
        let has_lapsed = !record.lapsed_runs.is_empty();
        (has_lapsed && (is_known || is_of_this_shard)).then(|| self.lapse_unix_ms(record, now_ms))
    }

    /// Time of the last lapse in a record, in milliseconds since the Unix epoch; now if the record does not tell, or if the
    /// clock of the host that wrote it is ahead.
    pub(crate) fn lapse_unix_ms(&self, record: &TaskRecord, now_ms: u64) -> u64 {
        let unix_ms = self.unix_ms_at(now_ms);
        match record.last_lapse_unix_ms {
            0 => unix_ms,
            lapsed_unix_ms => lapsed_unix_ms.min(unix_ms),
        }
    }

    /// Whether a task must not start at present: one that may crash servers waits for those that lapsed, or for the record of its
    /// crashes, and one with an abandoned start for the refusal of it.
    pub(crate) fn is_start_postponed(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        self.task(task_ref).crash_version > self.jobs[task_ref.job].recorded_version
            || self.awaits_lapsed_servers(task_ref, now_ms)
            || self.awaits_refusal(task_ref, now_ms)
    }

    /// Ends the suspicion against runs on a server that had lapsed and turns out not to have crashed.
    pub(crate) fn clear_lapse(
        &mut self,
        suspects: impl IntoIterator<Item = (TaskRef, u32)>,
        now_ms: u64,
    ) {
        for (task_ref, number) in suspects {
            if !self.jobs.contains_key(task_ref.job) {
                continue;
            }
            let task = self.task_mut(task_ref);
            let lapses = task.lapsed_runs.len();
            task.lapsed_runs.retain(|&lapsed| lapsed != number);
            // Lapses that were only handed over are not recorded.
            if task.lapsed_runs.len() == lapses || !task.suspected {
                continue;
            }
            task.suspected = !(task.lapsed_runs.is_empty() && task.crashed_runs.is_empty());
            self.mark_job_changed(task_ref.job, now_ms);
        }
    }

    /// Remembers the suspects of a server that is dropped, in case it comes back.
    pub(crate) fn remember_lapsed(&mut self, server: &Server) {
        if server.lapsed_suspects.is_empty() {
            return;
        }
        self.remember_server(LapsedServer {
            name: server.entry.name.clone(),
            address: server.entry.address.clone(),
            started_unix_ms: server.started_unix_ms,
            suspects: server.lapsed_suspects.clone(),
        });
    }

    pub(crate) fn remember_server(&mut self, server: LapsedServer) {
        self.lapsed_servers.push(server);
        let excess = self.lapsed_servers.len().saturating_sub(LAPSED_SERVERS_MAX);
        self.lapsed_servers.drain(..excess);
    }

    /// Counts the crash of a server that is heard of again after it was dropped, perhaps by another name, or after a
    /// change of owner. One that was only cut off is forgotten.
    pub(crate) fn count_remembered_crash(
        &mut self,
        server: ServerKey,
        started_unix_ms: u64,
        now_ms: u64,
    ) {
        if started_unix_ms == 0 {
            return;
        }
        let entry = self.servers[server].entry.clone();
        let is_same = |lapsed: &mut LapsedServer| {
            lapsed.name == entry.name || lapsed.address == entry.address
        };
        let found: Vec<LapsedServer> = self.lapsed_servers.extract_if(.., is_same).collect();
        for lapsed in found {
            if lapsed.started_unix_ms < started_unix_ms {
                self.count_crash(server, &lapsed.suspects, now_ms);
            } else {
                self.clear_lapse(lapsed.suspects, now_ms);
            }
        }
    }

    /// Forgets that a server may have crashed, since it is expected to leave.
    pub(crate) fn forget_remembered(&mut self, server: ServerKey, now_ms: u64) {
        let name = self.servers[server].entry.name.clone();
        let is_same = |lapsed: &mut LapsedServer| lapsed.name == name;
        let found: Vec<LapsedServer> = self.lapsed_servers.extract_if(.., is_same).collect();
        for lapsed in found {
            self.clear_lapse(lapsed.suspects, now_ms);
        }
    }

    /// Counts a crash for the runs that may have caused it, and gives up tasks that keep crashing servers.
    pub(crate) fn count_crash(
        &mut self,
        server: ServerKey,
        suspects: &[(TaskRef, u32)],
        now_ms: u64,
    ) {
        self.clear_lapse(suspects.iter().copied(), now_ms);
        for &(task_ref, number) in suspects {
            if !self.jobs.contains_key(task_ref.job) {
                continue;
            }
            let task = self.task(task_ref);
            if task.remote || number <= task.outlived_run {
                continue;
            }
            let version = self.mark_job_changed(task_ref.job, now_ms);
            let task = self.task_mut(task_ref);
            task.suspected = true;
            task.crash_version = version;
            if !task.crashed_servers.contains(&server) {
                task.crashed_servers.push(server);
            }
            if !task.crashed_runs.contains(&number) {
                task.crashed_runs.push(number);
                task.sole_crashes += u32::from(suspects.len() == 1);
            }
            let crashes = to_u32(task.crashed_runs.len());
            self.log_decision(
                "crash_suspected",
                Some(task_ref),
                Some(server),
                [
                    ("run", u64::from(number)),
                    ("crashes", u64::from(crashes)),
                    ("suspects", suspects.len() as u64),
                ],
            );
            self.give_up_if_due(task_ref, Some(server), now_ms);
        }
    }

    /// Fails the job of a task that has crashed too many servers.
    pub(crate) fn give_up_if_due(
        &mut self,
        task_ref: TaskRef,
        server: Option<ServerKey>,
        now_ms: u64,
    ) {
        let task = self.task(task_ref);
        let crashes = to_u32(task.crashed_runs.len());
        let sole_crashes = task.sole_crashes;
        if crashes < CRASHES_MAX && sole_crashes < SOLE_SUSPECT_CRASHES_MIN {
            return;
        }
        let (limit, losses) = self.sole_suspect_crashes_limit(now_ms);
        let is_due = crashes >= limit.max(CRASHES_MAX) || sole_crashes >= limit;
        if !is_due || self.task(task_ref).done || !self.jobs[task_ref.job].is_live() {
            return;
        }
        let inputs = [
            ("crashes", u64::from(crashes)),
            ("sole_crashes", u64::from(sole_crashes)),
            ("limit", u64::from(limit)),
            ("unexplained_losses", losses),
        ];
        self.log_decision("job_given_up", Some(task_ref), server, inputs);
        self.end_job(task_ref.job, Phase::Failed, now_ms);
    }

    /// Schedules a record of the job and returns the version that it will have.
    pub(crate) fn mark_job_changed(&mut self, job: JobKey, now_ms: u64) -> u64 {
        self.changed.push(job);
        let job = &mut self.jobs[job];
        job.mark_changed(now_ms);
        job.version
    }

    /// Ends the suspicion against a task, since a server has outlived a start of it.
    pub(crate) fn clear_suspicion(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
        now_ms: u64,
    ) {
        if self.servers[server].suspected_run == Some((task_ref, number)) {
            self.servers[server].suspected_run = None;
        }
        let task = self.task_mut(task_ref);
        task.outlived_run = task.outlived_run.max(number);
        task.lapsed_runs.retain(|&lapsed| lapsed > number);
        if !task.suspected {
            return;
        }
        task.suspected = false;
        task.crashed_runs.clear();
        task.crashed_servers.clear();
        task.sole_crashes = 0;
        self.mark_job_changed(task_ref.job, now_ms);
        self.log_decision(
            "suspicion_ended",
            Some(task_ref),
            Some(server),
            [("run", u64::from(number))],
        );
    }
}

impl Run {
    /// Whether the server answered the start request, has listed the run, or ended while it had the request.
    fn may_have_begun(&self) -> bool {
        self.start_answered_ms.is_some() || self.listed_ms.is_some() || self.cut_off_ms.is_some()
    }

    /// Whether a report at `now_ms` that lists the run shows that it has outlived its start.
    pub(crate) fn outlives_start(&self, now_ms: u64) -> bool {
        self.outlived_start || now_ms >= self.start_sent_ms + OUTLIVED_START_MS
    }
}
