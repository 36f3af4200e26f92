//! Moves of tasks away from draining servers.
//!
//! A long-running task is stopped once another server has room for it, or shortly before its server may leave. Room is
//! reserved first for tasks without a run, then for those that are being moved, so that each place is promised once.
//! Other tasks run on until shortly before their server may leave.

use smol_str::SmolStr;

use crate::intake::Load;
use crate::place::Choice;
use crate::report::ServerEntry;
use crate::server::{CONTACT_TIMEOUT_MS, Server};
use crate::shard::{JobKey, ServerKey, Shard, TaskRef};
use crate::task::Move;
use crate::transfer::DELEGATED_TASKS_MAX;

/// Time besides the stop itself that the last stops need before a server leaves: transit, the report of the end, and the
/// age of the registration.
const STOP_TRANSIT_MS: u64 = 1_500;

/// Run of a long-running task on a draining server, or in an evacuated failure domain.
#[derive(Clone, Copy, Debug)]
struct DrainingRun {
    /// When its server may leave; `None` if it does not.
    departure_ms: Option<u64>,
    task_ref: TaskRef,
    server: ServerKey,
    number: u32,
}

/// Room reserved for a task while moves, or a plan, are decided.
pub(crate) struct Reservation {
    task_ref: TaskRef,
    server: ServerKey,
    number: u32,
    was_queued: bool,
}

impl Server {
    /// Derives from a registration written at `written_ms` when the server may leave. A copy that is read again tells
    /// nothing new.
    pub(crate) fn update_departure(&mut self, entry: &ServerEntry, drain_ms: u64, written_ms: u64) {
        let is_news = !self.entry.draining || entry.leaves_in_ms != self.entry.leaves_in_ms;
        self.departure_ms = match (entry.draining, self.departure_ms) {
            (false, _) => None,
            (true, Some(departure_ms)) if !is_news => Some(departure_ms),
            (true, _) => Some(written_ms.saturating_add(entry.leaves_in_ms.unwrap_or(drain_ms))),
        };
    }

    /// Whether the server announced its departure and is gone from the registrations, with nothing left on it.
    pub(crate) fn has_left(&self, now_ms: u64) -> bool {
        let is_due = self
            .departure_ms
            .is_some_and(|departure_ms| now_ms >= departure_ms);
        is_due && !self.registered && self.runs.is_empty() && self.unwanted_runs.is_empty()
    }
}

impl Shard {
    /// Stops long-running tasks on draining servers for which there is room on other servers of this failure domain, and
    /// those whose server may leave soon.
    pub(crate) fn drain_long_running(&mut self, now_ms: u64) {
        let (runs, moving) = self.draining_runs(now_ms);
        if runs.is_empty() {
            return;
        }
        let mut reservations = Vec::new();
        let mut full_steps: Vec<(JobKey, u32, u32)> = Vec::new();
        let waiting: Vec<TaskRef> = self.ready.clone();
        for task_ref in waiting.into_iter().chain(moving) {
            if self.is_waiting_for_move(task_ref) {
                self.reserve_room(task_ref, &mut reservations, &mut full_steps, now_ms);
            }
        }
        let mut to_stop = Vec::new();
        for run in runs {
            let has_room =
                self.reserve_room(run.task_ref, &mut reservations, &mut full_steps, now_ms);
            let departure_ms = run.departure_ms.unwrap_or(u64::MAX);
            if has_room || self.is_departure_near(departure_ms, now_ms) {
                to_stop.push((run, has_room));
            }
        }
        self.release_reservations(reservations);
        for (run, has_room) in to_stop {
            self.move_away(&run, has_room, now_ms);
        }
    }

    /// Stops all runs on servers that may leave soon. The end of a run that ends as its server leaves is never learned, and
    /// the task would run again.
    pub(crate) fn stop_before_departure(&mut self, now_ms: u64) {
        let mut to_stop = Vec::new();
        for (key, server) in &self.servers {
            let is_leaving = server
                .departure_ms
                .is_some_and(|departure_ms| self.is_departure_near(departure_ms, now_ms));
            if !is_leaving || now_ms >= server.last_contact_ms + CONTACT_TIMEOUT_MS {
                continue;
            }
            for &(task_ref, number) in &server.runs {
                if self.step_spec(task_ref).long_running || self.is_stopping(task_ref, key, number)
                {
                    continue;
                }
                to_stop.push((task_ref, key, number));
            }
        }
        for (task_ref, server, number) in to_stop {
            self.log_decision(
                "task_moved",
                Some(task_ref),
                Some(server),
                [("run", u64::from(number)), ("has_room", 0)],
            );
            self.stop_run(task_ref, server, number, now_ms);
        }
    }

    /// Whether runs have to be stopped now to have ended before their server leaves.
    fn is_departure_near(&self, departure_ms: u64, now_ms: u64) -> bool {
        now_ms + self.bounds.stop_ms + STOP_TRANSIT_MS >= departure_ms
    }

    /// Stops long-running tasks on draining servers that only other failure domains have room for, and a limited number of
    /// them in an evacuated failure domain. They are delegated once their runs have ended.
    pub(crate) fn stop_for_delegation(&mut self, others: &[(SmolStr, Load)], now_ms: u64) {
        let (runs, moving) = self.draining_runs(now_ms);
        if runs.is_empty() {
            return;
        }
        // A load that is reported later still includes the room for tasks whose runs have not ended.
        let mut others = others.to_vec();
        for task_ref in self.ready.iter().copied().chain(moving) {
            if self.jobs.contains_key(task_ref.job) && self.can_be_stopped_for_delegation(task_ref)
            {
                self.take_room(task_ref, &mut others, now_ms);
            }
        }
        let mut budget = self.is_evacuated().then(|| self.stop_budget(now_ms));
        let mut to_stop = Vec::new();
        for run in runs {
            let task_ref = run.task_ref;
            if to_stop.len() >= DELEGATED_TASKS_MAX {
                break;
            }
            let is_allowed = budget
                .as_mut()
                .is_none_or(|budget| budget.allows(self, task_ref, now_ms));
            if is_allowed
                && self.jobs[task_ref.job].is_live()
                && self.can_be_stopped_for_delegation(task_ref)
                && self.take_room(task_ref, &mut others, now_ms).is_some()
            {
                if let Some(budget) = &mut budget {
                    budget.take(self, task_ref, now_ms);
                }
                to_stop.push(run);
            }
        }
        for run in to_stop {
            self.move_away(&run, true, now_ms);
        }
    }

    /// Whether a run may be stopped so that its task is delegated; the stop of one member would end all runs of a gang.
    fn can_be_stopped_for_delegation(&self, task_ref: TaskRef) -> bool {
        let step = self.step_spec(task_ref);
        step.can_be_delegated() && !step.gang
    }

    /// Chooses the shard that has found the most room on servers that the advisor allows. Returns its failure domain.
    fn take_advised_room(
        &self,
        task_ref: TaskRef,
        others: &mut [(SmolStr, Load)],
        now_ms: u64,
    ) -> Option<SmolStr> {
        let able = others.iter_mut().filter(|(domain, load)| {
            self.may_delegate_to(task_ref, domain, load)
                && self.is_advised(task_ref, domain, now_ms)
        });
        let (domain, load) =
            able.max_by_key(|(domain, _)| self.advised_room(task_ref, domain, now_ms))?;
        self.count_delegated(task_ref, domain, load);
        Some(domain.clone())
    }

    /// Takes room for all members of a gang from the reported capacity of another shard, the one with the most. Returns its
    /// failure domain.
    fn take_gang_room(&self, task_ref: TaskRef, others: &mut [(SmolStr, Load)]) -> Option<SmolStr> {
        let need = self.need_of(task_ref).with_idle_cpu();
        let able = others
            .iter_mut()
            .filter(|(domain, load)| self.may_delegate_to(task_ref, domain, load));
        let counts = able.map(|(domain, load)| (need.count_free(load), domain, load));
        let (count, domain, load) = counts.max_by_key(|&(count, _, _)| count)?;
        if count < need.tasks {
            return None;
        }
        for _ in 0..need.tasks {
            need.take_free(load);
        }
        self.count_delegated(task_ref, domain, load);
        Some(domain.clone())
    }

    /// Takes one server for a task from the reported capacity of other shards, of which the one with the most servers that
    /// fit. Returns its failure domain. Several owners see the same reports: which server is taken depends on the task, so
    /// that they rarely count on the same one. A delegate that found no use for the room here passes the task on to each
    /// other shard in turn, since the same may hold for the one with the most servers.
    pub(crate) fn take_room(
        &self,
        task_ref: TaskRef,
        others: &mut [(SmolStr, Load)],
        now_ms: u64,
    ) -> Option<SmolStr> {
        // Other shards look for servers only for waiting steps.
        if self.has_advisor(task_ref) && self.task(task_ref).runs.is_empty() {
            return self.take_advised_room(task_ref, others, now_ms);
        }
        if self.step_spec(task_ref).gang {
            return self.take_gang_room(task_ref, others);
        }
        let need = self.need_of(task_ref).with_idle_cpu();
        let mut fitting_shards: Vec<(usize, Vec<usize>)> = Vec::new();
        for (index, (domain, load)) in others.iter().enumerate() {
            if !self.may_delegate_to(task_ref, domain, load) {
                continue;
            }
            let servers = load.free_capacity.iter().enumerate();
            let fitting = servers.filter(|(_, free)| need.count_in_free(load, free) > 0);
            let positions: Vec<usize> = fitting.map(|(position, _)| position).collect();
            if !positions.is_empty() {
                fitting_shards.push((index, positions));
            }
        }
        let job = &self.jobs[task_ref.job];
        let (index, positions) = if job.is_delegated {
            let turn = self.task(task_ref).last_run as usize;
            fitting_shards.get(turn.checked_rem(fitting_shards.len())?)?
        } else {
            fitting_shards
                .iter()
                .rev()
                .max_by_key(|(_, positions)| positions.len())?
        };
        let id = job.id.0;
        let spread = usize::try_from(id % 997).unwrap_or_default() + task_ref.index as usize;
        let position = *positions.get(spread.checked_rem(positions.len())?)?;
        let (domain, load) = &mut others[*index];
        load.free_capacity.remove(position);
        self.count_delegated(task_ref, domain, load);
        Some(domain.clone())
    }

    /// Long-running tasks on draining servers that answer, or on all that answer in an evacuated failure domain: those that
    /// run, by the time at which the server may leave, and those whose stop is under way.
    fn draining_runs(&self, now_ms: u64) -> (Vec<DrainingRun>, Vec<TaskRef>) {
        let mut runs = Vec::new();
        let mut moving = Vec::new();
        for (key, server) in &self.servers {
            let departure_ms = server.departure_ms;
            if departure_ms.is_none() && !self.is_evacuated() {
                continue;
            }
            if now_ms >= server.last_contact_ms + CONTACT_TIMEOUT_MS {
                continue;
            }
            for &(task_ref, number) in &server.runs {
                if !self.step_spec(task_ref).long_running {
                    continue;
                }
                if self.is_stopping(task_ref, key, number) {
                    moving.push(task_ref);
                } else {
                    runs.push(DrainingRun {
                        departure_ms,
                        task_ref,
                        server: key,
                        number,
                    });
                }
            }
        }
        runs.sort_by_key(|run| (run.departure_ms.unwrap_or(u64::MAX), run.task_ref));
        (runs, moving)
    }

    fn is_stopping(&self, task_ref: TaskRef, server: ServerKey, number: u32) -> bool {
        let task = self.task(task_ref);
        task.run_position(server, number)
            .is_some_and(|position| task.runs[position].is_stopping())
    }

    /// Reserves the room that was promised to tasks whose stop is under way.
    pub(crate) fn reserve_promised_room(&mut self, now_ms: u64) -> Vec<Reservation> {
        let (_, moving) = self.draining_runs(now_ms);
        let mut reservations = Vec::new();
        let mut full_steps = Vec::new();
        for task_ref in moving {
            let is_promised = self.task(task_ref).moved == Move::Reserved;
            if is_promised && self.is_waiting_for_move(task_ref) {
                self.reserve_room(task_ref, &mut reservations, &mut full_steps, now_ms);
            }
        }
        reservations
    }

    /// Whether a long-running task without a run, or one that is being moved, waits for room in this shard.
    fn is_waiting_for_move(&self, task_ref: TaskRef) -> bool {
        let Some(job) = self.jobs.get(task_ref.job) else {
            return false;
        };
        let task = self.task(task_ref);
        job.is_live()
            && self.step_spec(task_ref).long_running
            && (task.queued || task.moved != Move::None)
    }

    /// Reserves room for a task on another server. Returns whether there was any.
    fn reserve_room(
        &mut self,
        task_ref: TaskRef,
        reservations: &mut Vec<Reservation>,
        full_steps: &mut Vec<(JobKey, u32, u32)>,
        now_ms: u64,
    ) -> bool {
        let step_key = (task_ref.job, task_ref.occurrence, task_ref.step);
        if self.is_evacuated() || full_steps.contains(&step_key) {
            return false;
        }
        let Choice::Server(server) = self.choose(task_ref, None, now_ms) else {
            full_steps.push(step_key);
            return false;
        };
        let task = self.task(task_ref);
        let (number, was_queued) = (task.last_run + 1, task.queued);
        self.add_run(task_ref, server, number, now_ms);
        reservations.push(Reservation {
            task_ref,
            server,
            number,
            was_queued,
        });
        true
    }

    pub(crate) fn release_reservations(&mut self, reservations: Vec<Reservation>) {
        for reservation in reservations.into_iter().rev() {
            self.remove_reserved_run(reservation.task_ref, reservation.server, reservation.number);
            let task = self.task_mut(reservation.task_ref);
            task.last_run = reservation.number - 1;
            task.queued = reservation.was_queued;
        }
    }

    fn move_away(&mut self, run: &DrainingRun, has_room: bool, now_ms: u64) {
        let left_ms = run.departure_ms.unwrap_or(0).saturating_sub(now_ms);
        self.log_decision(
            "task_moved",
            Some(run.task_ref),
            Some(run.server),
            [
                ("run", u64::from(run.number)),
                ("has_room", u64::from(has_room)),
                ("left_ms", left_ms),
                ("evacuated", u64::from(self.is_evacuated())),
            ],
        );
        self.task_mut(run.task_ref).moved = if has_room {
            Move::Reserved
        } else {
            Move::Unreserved
        };
        self.stop_run(run.task_ref, run.server, run.number, now_ms);
    }
}
