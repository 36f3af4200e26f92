//! Planning: which waiting tasks are started next.

use std::collections::BTreeSet;
use std::mem;

use smol_str::SmolStr;

use crate::bounds::Bounds;
use crate::job::StepSpec;
use crate::place::Choice;
use crate::shard::{JobKey, ServerKey, Shard, TaskRef};
use crate::task::Move;
use crate::urgency::Place;

/// Tasks with limits of their own that a plan passes over without their step; for each, all servers are examined.
const OWN_LIMITS_TRIED_MAX: usize = 32;

/// Minimum lease with which a task is started.
const START_LEASE_MIN_MS: u64 = 1_000;

/// Wait after which a best-effort task is started throttled; without it, its job would be late.
const THROTTLED_START_AFTER_MS: u64 = 5_000;

/// Wait after which a long-running task is started before short ones; the service contract allows 6 s without a run.
const OVERDUE_MS: u64 = 2_000;

/// Wait after which one best-effort task of a job without runs is started throttled; the service contract allows 3 s.
const IDLE_JOB_START_AFTER_MS: u64 = 2_000;

/// Unanswered start requests per server; more would wait in the queue of calls.
const UNANSWERED_STARTS_MAX: usize = 6;

/// Waiting tasks per millisecond of plan interval; sorting and placing that many takes some tenths of a millisecond on
/// the larger hosts.
const TASKS_PER_PLAN_INTERVAL_MS: usize = 50;

/// Maximum interval between plans, equal to the owner's timer interval.
const PLAN_INTERVAL_MAX_MS: u64 = 100;

impl Shard {
    /// Minimum interval between plans. With thousands of waiting tasks, planning after each report and reply would
    /// saturate the CPU.
    #[must_use]
    pub fn plan_interval_min_ms(&self) -> u64 {
        let interval_ms = (self.ready.len() / TASKS_PER_PLAN_INTERVAL_MS) as u64;
        interval_ms.min(PLAN_INTERVAL_MAX_MS)
    }

    /// Starts all tasks that can be started. `unix_ms` is the time of day, for recurring jobs.
    pub fn plan(&mut self, authority_end_ms: u64, unix_ms: u64, now_ms: u64) {
        self.settle(now_ms);
        let remaining_ms = authority_end_ms.saturating_sub(now_ms);
        let lease_ms = self
            .bounds
            .lease_ms()
            .min(Bounds::lease_within_ms(remaining_ms));
        if lease_ms < START_LEASE_MIN_MS {
            return;
        }
        self.open_due_occurrences(unix_ms, now_ms);
        let are_registrations_outdated = self.update_registrations_outdated(now_ms);
        let is_evacuation_outdated = self.update_evacuation_outdated(now_ms);
        if self.is_evacuated() {
            self.reserved_servers.clear();
            let mut ready = mem::take(&mut self.ready);
            ready.retain(|&task_ref| self.is_startable(task_ref));
            self.ready = ready;
            self.sort_ready(unix_ms, now_ms);
            return;
        }
        if are_registrations_outdated || is_evacuation_outdated {
            return;
        }
        if self.ready.is_empty() {
            self.ask_advisor(now_ms);
            return;
        }
        self.sort_ready(unix_ms, now_ms);
        self.reserve_servers(now_ms);
        let reservations = self.reserve_promised_room(now_ms);
        let ready = mem::take(&mut self.ready);
        let mut unplaced = Vec::with_capacity(ready.len());
        let mut blocked_steps: BTreeSet<(JobKey, u32, u32)> = BTreeSet::new();
        let mut own_limits_tried = 0;
        let mut is_any_advised = !self.advisor.searches.is_empty();
        for task_ref in ready {
            let step_key = (task_ref.job, task_ref.occurrence, task_ref.step);
            if !self.is_startable(task_ref) {
                continue;
            }
            let is_held = self.jobs[task_ref.job].stands_still(now_ms)
                || self.is_start_postponed(task_ref, now_ms);
            if self.has_advisor(task_ref) {
                is_any_advised = true;
                self.adopt_search(task_ref);
            }
            if blocked_steps.contains(&step_key) || is_held {
                unplaced.push(task_ref);
                continue;
            }
            if !self.has_any_ticket(task_ref, now_ms) {
                blocked_steps.insert(step_key);
                unplaced.push(task_ref);
                continue;
            }
            let spec = self.step_spec(task_ref);
            if spec.gang {
                blocked_steps.insert(step_key);
                if !self.start_gang(task_ref, lease_ms, now_ms) {
                    unplaced.push(task_ref);
                }
                continue;
            }
            match self.choose(task_ref, None, now_ms) {
                Choice::Server(server) => self.start_on(task_ref, server, lease_ms, None, now_ms),
                Choice::NoCapacity if self.start_throttled(task_ref, lease_ms, now_ms) => {}
                Choice::NoCapacity => {
                    let has_own_limits = self.task(task_ref).has_own_limits(now_ms);
                    if has_own_limits && own_limits_tried < OWN_LIMITS_TRIED_MAX {
                        own_limits_tried += 1;
                    } else {
                        blocked_steps.insert(step_key);
                    }
                    unplaced.push(task_ref);
                }
            }
        }
        self.release_reservations(reservations);
        unplaced.retain(|&task_ref| self.is_startable(task_ref));
        self.ready.extend(unplaced);
        if is_any_advised {
            self.ask_advisor(now_ms);
        }
    }

    fn is_startable(&self, task_ref: TaskRef) -> bool {
        let Some(job) = self.jobs.get(task_ref.job) else {
            return false;
        };
        let task = self.task(task_ref);
        job.is_live() && !task.done && task.queued && task.runs.is_empty()
    }

    /// Sorts waiting tasks by priority. Within a priority, short tasks precede long-running ones, since callers wait
    /// for them, unless a long-running task is overdue and there is capacity for two like it, so that some is left for
    /// short tasks. Tasks that were moved to reserved room come first. Jobs on time precede late ones; those whose
    /// result is no longer of use come last.
    fn sort_ready(&mut self, unix_ms: u64, now_ms: u64) {
        let jobs = &self.jobs;
        self.ready
            .retain(|task_ref| jobs.contains_key(task_ref.job));
        let mut ready = mem::take(&mut self.ready);
        ready.sort_by_cached_key(|&task_ref| {
            let job = &self.jobs[task_ref.job];
            let spec = self.step_spec(task_ref);
            let task = self.task(task_ref);
            let waited_ms = now_ms.saturating_sub(task.ready_since_ms);
            let is_overdue = spec.long_running
                && (job.is_delegated || task.moved != Move::None || waited_ms >= OVERDUE_MS)
                && self.fits_two(spec);
            let rank = match (spec.long_running, is_overdue) {
                _ if task.moved == Move::Reserved => 0,
                (true, true) => 1,
                (false, _) => 2,
                (true, false) => 3,
            };
            let place = if spec.long_running {
                Place::FIRST
            } else if self.policy.orders_by_urgency {
                job.place(task_ref.step, unix_ms)
            } else {
                job.place_by_age(unix_ms)
            };
            (
                job.queue.priority,
                rank,
                place,
                job.spec.accepted_unix_ms,
                task_ref,
            )
        });
        self.ready = ready;
    }

    /// Whether the free capacity suffices for two tasks of a step.
    fn fits_two(&self, spec: &StepSpec) -> bool {
        let mut count = 0;
        for server in self.servers.values() {
            let by_cpu = server.cpu_free_millis() / spec.cpu_millis.max(1);
            let by_memory = server.memory_free_mb() / spec.memory_mb.max(1);
            if server.is_placeable() {
                count += by_cpu.min(by_memory);
            }
        }
        count >= 2
    }

    fn start_on(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        lease_ms: u64,
        run_number: Option<u32>,
        now_ms: u64,
    ) {
        let number = run_number.unwrap_or(self.task(task_ref).last_run.saturating_add(1));
        let lease_end_ms = self.servers[server].clock_at(now_ms) + lease_ms;
        self.record_lease(server, Bounds::lease_upper_bound_ms(lease_ms), now_ms);
        self.start(task_ref, server, number, lease_end_ms, now_ms);
        self.update_headroom(server);
    }

    /// Starts a best-effort task that has waited too long, at a rate that the service tasks tolerate.
    fn start_throttled(&mut self, task_ref: TaskRef, lease_ms: u64, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(self.task(task_ref).ready_since_ms);
        // A job without runs gets one throttled task, so that no job waits forever.
        let is_idle = self.jobs[task_ref.job].run_count == 0;
        let limit_ms = match (is_idle, self.policy.plans_for_load_swings) {
            (true, _) => IDLE_JOB_START_AFTER_MS,
            (false, false) => THROTTLED_START_AFTER_MS,
            // A throttled task raises the load of its server further at the next swing, and takes many times as long there.
            (false, true) => return false,
        };
        if !self.step_spec(task_ref).best_effort || waited_ms < limit_ms {
            return false;
        }
        let Some((server, percent)) = self.choose_throttled(task_ref, is_idle, now_ms) else {
            return false;
        };
        self.start_on(task_ref, server, lease_ms, None, now_ms);
        if let Some(run) = self.task_mut(task_ref).runs.last_mut() {
            run.rate_percent = percent;
        }
        self.update_headroom(server);
        true
    }

    /// Starts all tasks of a gang if all of them fit.
    fn start_gang(&mut self, task_ref: TaskRef, lease_ms: u64, now_ms: u64) -> bool {
        let spec = self.step_spec(task_ref).clone();
        let members: Vec<TaskRef> = (0..spec.tasks)
            .map(|index| TaskRef { index, ..task_ref })
            .collect();
        let is_startable_member = |member: &TaskRef| {
            let task = self.task(*member);
            task.runs.is_empty() && !task.unresolved && !self.is_start_postponed(*member, now_ms)
        };
        if !members.iter().all(is_startable_member) {
            return false;
        }
        let racks: Vec<Option<SmolStr>> = if spec.same_rack {
            self.racks()
        } else {
            vec![None]
        };
        let run = members
            .iter()
            .map(|&member| self.task(member).last_run)
            .max()
            .unwrap_or(0)
            .saturating_add(1);
        for rack in racks.iter().chain(spec.same_rack.then_some(&None)) {
            let Some(placements) = self.reserve_gang(&members, rack.as_deref(), run, now_ms) else {
                continue;
            };
            let checkpoint = members
                .iter()
                .map(|&member| self.task(member).checkpoint.clone())
                .max();
            for (&member, server) in members.iter().zip(placements) {
                self.undo_reservation(member, server, run);
                self.task_mut(member).checkpoint = checkpoint.clone().unwrap_or_default();
                self.start_on(member, server, lease_ms, Some(run), now_ms);
            }
            return true;
        }
        false
    }

    /// Reserves capacity for each member in turn; undoes all reservations if one does not fit.
    fn reserve_gang(
        &mut self,
        members: &[TaskRef],
        rack: Option<&str>,
        run: u32,
        now_ms: u64,
    ) -> Option<Vec<ServerKey>> {
        let mut placements = Vec::new();
        for &member in members {
            let Choice::Server(server) = self.choose(member, rack, now_ms) else {
                for (&member, &server) in members.iter().zip(&placements) {
                    self.undo_reservation(member, server, run);
                }
                return None;
            };
            self.add_run(member, server, run, now_ms);
            placements.push(server);
        }
        for (&member, &server) in members.iter().zip(&placements) {
            debug_assert!(self.task(member).run_position(server, run).is_some());
        }
        Some(placements)
    }

    /// All labels of the servers, which are candidate racks for a gang: a rack is one of the labels.
    fn racks(&self) -> Vec<Option<SmolStr>> {
        let mut racks: Vec<SmolStr> = self
            .servers
            .values()
            .flat_map(|server| server.entry.labels.clone())
            .collect();
        racks.sort();
        racks.dedup();
        racks.into_iter().map(Some).collect()
    }

    /// Runs timer-driven work.
    pub fn tick(&mut self, now_ms: u64) {
        let awaited_confirmation = mem::take(&mut self.awaits_confirmation);
        self.settle(now_ms);
        self.expire(now_ms);
        if self.awaits_confirmation && !awaited_confirmation {
            let confirmed_ms_ago = now_ms.saturating_sub(self.term_confirmed_ms);
            let inputs = [("era", self.term), ("confirmed_ms_ago", confirmed_ms_ago)];
            self.log_decision("leases_unconfirmed", None, None, inputs);
        }
        self.drain_long_running(now_ms);
        self.stop_before_departure(now_ms);
        self.retire_ended_jobs(now_ms);
        self.purge_ended_jobs(now_ms);
        self.update_unserved(now_ms);
        self.forget_moved_jobs(now_ms);
    }

    /// Maximum number of unanswered start requests per server.
    #[must_use]
    pub fn unanswered_starts_max() -> usize {
        UNANSWERED_STARTS_MAX
    }
}

impl Shard {
    /// Removes a run that was added only to reserve capacity, and restores its task.
    fn undo_reservation(&mut self, task_ref: TaskRef, server: ServerKey, run: u32) {
        let last_run = self.task(task_ref).last_run;
        self.remove_reserved_run(task_ref, server, run);
        let task = self.task_mut(task_ref);
        task.last_run = last_run - 1;
        task.queued = true;
    }
}
