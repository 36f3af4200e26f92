//! Reclamation: reservations follow the reported use, and throttling or eviction frees resources for requests.

use crate::capacity::Resources;
use crate::eviction::{self, Candidate};
use crate::ids::{ServerKey, TaskId};
use crate::interference::KindKey;
use crate::placement::{ReclaimAction, Scheduler, TaskUsage};
use crate::running::{Task, cost};
use crate::time::{DurationMs, MonoMs};

/// Time for which reclaimed resources are kept free after the last call that needed them.
const RECLAIMED_FOR_MS: u64 = 30_000;

/// Time after which a changed processor limit is expected to show in reports.
const LIMIT_SETTLE_MS: u64 = 10_000;

/// Time after which an eviction that was not carried out may be requested again.
const EVICTION_RETRY_MS: u64 = 60_000;

/// Interval between two actions against slowed requests on one server; reports lag, so the effect shows late.
const ACTION_INTERVAL_MS: u64 = 15_000;

/// Consecutive reports beyond the limit before an action, and below it before a processor limit is raised again.
const REPORTS_BEFORE_ACTION: u32 = 3;
const REPORTS_BEFORE_RESTORE: u32 = 5;

/// Consecutive reports at the limit before a reservation grows, or before a task out of memory is evicted.
const REPORTS_AT_LIMIT: u16 = 3;

/// Slowdown from which a task at its memory limit counts as out of memory. Many tasks use all their memory for caches
/// without needing it.
pub(crate) const OUT_OF_MEMORY_PERMILLE: u32 = 3_000;

/// Run time after which a report without lack of memory proves that the declared memory suffices. It includes a report
/// lag of up to 4 s and the time that a task takes to fill its memory.
const MEMORY_PROVEN_AFTER_MS: u64 = 12_000;

/// The lowest processor limit of a throttled task is 1/4 of its reservation.
const MIN_LIMIT_DIVISOR: u32 = 4;

/// Slowdown of requests tolerated on a slowed server.
const SLOWED_SERVER_LIMIT_PERMILLE: u32 = 4_000;

/// Weight of one report in the smoothed slowdown of requests: 1/4.
const SLOWDOWN_SHIFT: u32 = 2;

impl Scheduler {
    /// Processes a lagging report of a server.
    ///
    /// The listed tasks are those that ran when the report was written. A task started since then keeps its whole
    /// reservation.
    pub fn report(
        &mut self,
        now: MonoMs,
        server: ServerKey,
        usage: &[TaskUsage],
        request_slowdown_permille: u32,
    ) {
        let Some(at) = self.server_at(server) else {
            return;
        };
        self.interference.age(now);
        self.learn(at, usage, request_slowdown_permille);
        for one in usage {
            if let Some(task) = self.running_at(one.task) {
                self.observe(now, at, task, one);
            }
        }
        let found = &mut self.servers[at as usize];
        found.use_by_kind.clear();
        for position in 0..found.tasks.len() {
            let task = found.tasks[position];
            if let Some(task) = &self.tasks[task as usize] {
                found.add_use(task.kind, task.reservation.used.millicores);
            }
        }
        found.update_expected_slowdown(&self.interference);
        if request_slowdown_permille > 0 {
            found.observe_slowdown(request_slowdown_permille, self.goals.slowdown_limit);
        }
        let pool = found.pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        self.pools[pool as usize].mark_slowed(&mut self.servers, at, &self.goals);
        self.mark_ready(pool);
    }

    /// Returns the actions that free `need` for latency-critical requests on a server.
    ///
    /// `need` is what requests lack beyond the resources that are free; both are withheld from batch tasks for 30 s.
    ///
    /// Also to be called after each report, without a need. It then returns the actions that the report made due
    /// against tasks that outgrew their reservation or slow requests, and lifts throttling that is no longer needed.
    pub fn reclaim(
        &mut self,
        now: MonoMs,
        server: ServerKey,
        need: Resources,
    ) -> Vec<ReclaimAction> {
        let Some(at) = self.server_at(server) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.update_withheld(now, at, need);
        self.evict_for_capacity(now, at, &mut actions);
        self.adjust_reservations(now, at, &mut actions);
        self.reduce_request_slowdown(now, at, &mut actions);
        let pool = self.servers[at as usize].pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        actions
    }

    /// Withholds an amount of a server from batch tasks until it is set again.
    pub fn set_withheld(&mut self, server: ServerKey, amount: Resources) {
        let Some(at) = self.server_at(server) else {
            return;
        };
        let server = &mut self.servers[at as usize];
        server.base_withheld = amount.lesser(server.size);
        server.withheld = server.base_withheld.greater(server.reclaimed);
        let pool = server.pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        self.mark_ready(pool);
    }

    /// Resources of a server withheld from batch tasks.
    #[must_use]
    pub fn withheld(&self, server: ServerKey) -> Resources {
        let found = self.server_at(server);
        found.map_or_else(Resources::default, |at| self.servers[at as usize].withheld)
    }

    /// Adjusts the reservation of a task to its observed use, and charges the time since the last report.
    fn observe(&mut self, now: MonoMs, at: u32, task: u32, usage: &TaskUsage) {
        let used = usage.used;
        let server = &mut self.servers[at as usize];
        let Some(task) = &mut self.tasks[task as usize] else {
            return;
        };
        if task.server != at {
            return;
        }
        if now > task.charged_until {
            let uncharged_ms = now.since(task.charged_until).0;
            self.accounts
                .charge(task.client, cost(task.reservation.reserved, uncharged_ms));
            task.charged_until = now;
        }
        task.reservation.used = used;
        task.slowdown_permille = usage.slowdown_permille;
        let limited = task.reservation.at_processor_limit() || task.reservation.at_memory_limit();
        task.reports_at_limit = if limited {
            task.reports_at_limit + 1
        } else {
            0
        };
        let settled = now.since(task.limit_changed).0 >= LIMIT_SETTLE_MS;
        let mut wanted = task.reservation.reserved.greater(used);
        if settled {
            let base = task
                .declared
                .millicores
                .max(task.reservation.limit_millicores);
            wanted.millicores = base.max(used.millicores);
        }
        let old = task.reservation.reserved;
        let available = server.free().saturating_add(old);
        let reserved = wanted.lesser(available.greater(old));
        server.reserved = server.reserved.saturating_sub(old).saturating_add(reserved);
        task.reservation.reserved = reserved;
        let team = self.accounts.team_of(task.client);
        let _ = self.accounts.sub_use(team, u64::from(old.millicores));
        self.accounts.add_use(team, u64::from(reserved.millicores));
        if !used.fits_in(task.declared) {
            self.sizes.record_use(now, task.id.job, used);
        }
        if task.reservation.at_memory_limit() {
            self.sizes.memory_full(now, task.id.job);
        } else if now.since(task.started).0 >= MEMORY_PROVEN_AFTER_MS {
            let released = self.sizes.prove(now, task.id.job, task.kind, Some(used));
            self.enqueue_all(now, released);
        }
    }

    /// Withholds `need`, on top of what is free, from batch tasks for a while.
    fn update_withheld(&mut self, now: MonoMs, at: u32, need: Resources) {
        let server = &mut self.servers[at as usize];
        if server.reclaimed_until <= now {
            server.reclaimed = Resources::default();
        }
        if !need.is_zero() {
            let wanted = need.raise_nonzero_by(server.size.saturating_sub(server.reserved));
            server.reclaimed = server.reclaimed.greater(wanted).lesser(server.size);
            server.reclaimed_until = now + DurationMs(RECLAIMED_FOR_MS);
        }
        server.withheld = server.base_withheld.greater(server.reclaimed);
    }

    /// Evicts tasks to free what is withheld or reserved beyond the size of the server.
    fn evict_for_capacity(&mut self, now: MonoMs, at: u32, actions: &mut Vec<ReclaimAction>) {
        let server = &self.servers[at as usize];
        let taken = server.reserved.saturating_add(server.withheld);
        let mut missing = taken.saturating_sub(server.size);
        let mut candidates = Vec::new();
        for &task in &server.tasks {
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            if is_being_evicted(now, task) {
                missing = missing.saturating_sub(task.reservation.reserved);
            } else {
                candidates.push(candidate(now, task, 0.0));
            }
        }
        for chosen in eviction::choose(now, &self.history, &candidates, missing) {
            self.evict(now, chosen, actions);
        }
    }

    fn evict(&mut self, now: MonoMs, chosen: Candidate, actions: &mut Vec<ReclaimAction>) {
        let Some(at) = self.running_at(chosen.task) else {
            return;
        };
        if let Some(task) = &mut self.tasks[at as usize] {
            task.eviction_began = Some(now);
            self.history.record_eviction(now, chosen.task);
            actions.push(ReclaimAction::Evict { task: chosen.task });
        }
    }

    /// Grows reservations that limit their tasks, within the free capacity of the server, and takes back growth that
    /// was not used. A task that is out of memory and cannot grow is evicted, and starts with a larger reservation
    /// elsewhere.
    fn adjust_reservations(&mut self, now: MonoMs, at: u32, actions: &mut Vec<ReclaimAction>) {
        let mut outgrown = Vec::new();
        let server = &mut self.servers[at as usize];
        for &task in &server.tasks {
            let Some(task) = &mut self.tasks[task as usize] else {
                continue;
            };
            if is_being_evicted(now, task) {
                continue;
            }
            let reservation = &mut task.reservation;
            if reservation.used.millicores > reservation.reserved.millicores {
                reservation.limit_millicores = reservation.reserved.millicores;
                task.limit_changed = now;
                actions.push(throttle(task));
                continue;
            }
            let settled = now.since(task.limit_changed).0 >= LIMIT_SETTLE_MS;
            let grown = reservation.limit_millicores > task.declared.millicores;
            if grown && settled && !reservation.at_processor_limit() {
                let fitting = reservation.used.millicores + reservation.used.millicores / 16;
                let fitting = task.declared.millicores.max(fitting);
                if fitting < reservation.limit_millicores {
                    reservation.limit_millicores = fitting;
                    task.limit_changed = now;
                    self.sizes.growth_unused(now, task.id.job);
                    actions.push(throttle(task));
                }
                continue;
            }
            if reservation.used.memory_mib > reservation.reserved.memory_mib {
                outgrown.push((candidate(now, task, 0.0), task.kind));
                continue;
            }
            if task.reports_at_limit < REPORTS_AT_LIMIT {
                continue;
            }
            task.reports_at_limit = 0;
            if reservation.at_memory_limit() {
                if task.slowdown_permille >= OUT_OF_MEMORY_PERMILLE {
                    outgrown.push((candidate(now, task, 0.0), task.kind));
                }
                continue;
            }
            if reservation.limit_millicores < reservation.reserved.millicores {
                continue;
            }
            let known = self.sizes.size(task.id.job, task.declared, server.size);
            let wanted = if known.millicores > reservation.reserved.millicores {
                known.millicores
            } else if self.sizes.may_try_growth(now, task.id) {
                reservation.reserved.millicores.saturating_mul(2)
            } else {
                continue;
            };
            let taken = server.reserved.saturating_add(server.withheld);
            let free = server.size.saturating_sub(taken).millicores;
            let growth = free.min(wanted - reservation.reserved.millicores);
            if growth == 0 {
                continue;
            }
            reservation.reserved.millicores += growth;
            reservation.limit_millicores = reservation.reserved.millicores;
            server.reserved.millicores += growth;
            let team = self.accounts.team_of(task.client);
            self.accounts.add_use(team, u64::from(growth));
            task.limit_changed = now;
            actions.push(throttle(task));
        }
        for (chosen, kind) in outgrown {
            let job = chosen.task.job;
            self.sizes.out_of_memory(now, job, kind, chosen.frees);
            self.evict(now, chosen, actions);
        }
    }

    /// Throttles the tasks that slow requests most, or evicts one if none can be throttled further. Raises limits again
    /// when requests are no longer slowed.
    fn reduce_request_slowdown(&mut self, now: MonoMs, at: u32, actions: &mut Vec<ReclaimAction>) {
        let goals = self.goals;
        let server = &mut self.servers[at as usize];
        if now.since(server.last_slowdown_action).0 < ACTION_INTERVAL_MS {
            return;
        }
        if server
            .slowdown_hysteresis
            .take_below(REPORTS_BEFORE_RESTORE)
        {
            server.last_slowdown_action = now;
            self.raise_lowest_limit(now, at, actions);
            return;
        }
        if !server.slowdown_hysteresis.take_above(REPORTS_BEFORE_ACTION) {
            return;
        }
        server.last_slowdown_action = now;
        let mut candidates = Vec::new();
        for &task in &self.servers[at as usize].tasks {
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            if !is_being_evicted(now, task) {
                candidates.push((self.added_slowdown(at, task), task.id));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for &(added_slowdown, id) in &candidates {
            if added_slowdown < goals.slowdown_limit / 8.0 {
                break;
            }
            let Some(position) = self.running_at(id) else {
                continue;
            };
            let Some(task) = &mut self.tasks[position as usize] else {
                continue;
            };
            let min_limit = task.reservation.reserved.millicores / MIN_LIMIT_DIVISOR;
            if task.reservation.limit_millicores / 2 >= min_limit.max(1) && !is_at_risk(now, task) {
                task.reservation.limit_millicores /= 2;
                task.limit_changed = now;
                actions.push(throttle(task));
                return;
            }
        }
        self.evict_worst_interferer(now, &candidates, actions);
    }

    /// Evicts the task with the most added slowdown per lost work, unless evictions weigh more than latency.
    fn evict_worst_interferer(
        &mut self,
        now: MonoMs,
        candidates: &[(f32, TaskId)],
        actions: &mut Vec<ReclaimAction>,
    ) {
        if self.goals.eviction_weight > self.goals.latency_weight {
            return;
        }
        let mut best: Option<(f32, Candidate)> = None;
        for &(added_slowdown, id) in candidates {
            let Some(task) = self.running_at(id) else {
                continue;
            };
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            let one = candidate(now, task, added_slowdown);
            if one.at_risk
                || self.history.protection(now, id) > 0
                || added_slowdown < self.goals.slowdown_limit / 8.0
            {
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "a ratio for comparison")]
            let benefit = added_slowdown / eviction::lost_work(&one).max(1) as f32;
            if best.is_none_or(|(most, _)| benefit > most) {
                best = Some((benefit, one));
            }
        }
        if let Some((_, chosen)) = best {
            self.evict(now, chosen, actions);
        }
    }

    /// Doubles the lowest processor limit of the throttled tasks.
    fn raise_lowest_limit(&mut self, now: MonoMs, at: u32, actions: &mut Vec<ReclaimAction>) {
        let mut lowest: Option<(u32, u32)> = None;
        for &position in &self.servers[at as usize].tasks {
            let Some(task) = &self.tasks[position as usize] else {
                continue;
            };
            let limit = task.reservation.limit_millicores;
            if limit < task.reservation.reserved.millicores
                && lowest.is_none_or(|(least, _)| limit < least)
            {
                lowest = Some((limit, position));
            }
        }
        let Some((limit, position)) = lowest else {
            return;
        };
        if let Some(task) = &mut self.tasks[position as usize] {
            task.reservation.limit_millicores = limit
                .saturating_mul(2)
                .min(task.reservation.reserved.millicores);
            task.limit_changed = now;
            actions.push(throttle(task));
        }
    }

    /// Slowdown that a task adds to requests on its server.
    fn added_slowdown(&self, at: u32, task: &Task) -> f32 {
        let server = &self.servers[at as usize];
        let found = server.use_by_kind.iter().find(|one| one.0 == task.kind);
        let load = found.map_or(0.0, |one| server.share(one.1));
        let own = server.share(task.reservation.used.millicores).min(load);
        self.interference
            .slowdown_growth(KindKey::REQUESTS, task.kind, load - own, own)
    }
}

impl crate::server_choice::Server {
    fn observe_slowdown(&mut self, permille: u32, limit: f32) {
        if self.observed_slowdown_permille == 0 {
            self.observed_slowdown_permille = permille;
            self.last_slowdowns_permille = [permille; 2];
        }
        let [before, last] = self.last_slowdowns_permille;
        self.last_slowdowns_permille = [last, permille];
        // The median of three drops a single outlier, which smoothing alone would keep for several reports.
        let median = before.min(last).max(before.max(last).min(permille));
        let decayed =
            self.observed_slowdown_permille - (self.observed_slowdown_permille >> SLOWDOWN_SHIFT);
        self.observed_slowdown_permille = decayed + (median >> SLOWDOWN_SHIFT);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and no weight on latency means no limit"
        )]
        let limit_permille = (limit * 1_000.0) as u32;
        let high = if self.slowed {
            SLOWED_SERVER_LIMIT_PERMILLE
        } else {
            limit_permille.saturating_add(1_000 + limit_permille / 4)
        };
        let low = if self.slowed {
            SLOWED_SERVER_LIMIT_PERMILLE / 2
        } else {
            1_000 + limit_permille / 4 * 3
        };
        self.slowdown_hysteresis
            .observe(self.observed_slowdown_permille, low, high);
    }
}

fn throttle(task: &Task) -> ReclaimAction {
    ReclaimAction::Throttle {
        task: task.id,
        millicores: task.reservation.limit_millicores,
    }
}

fn is_being_evicted(now: MonoMs, task: &Task) -> bool {
    task.eviction_began
        .is_some_and(|since| now.since(since).0 < EVICTION_RETRY_MS)
}

fn candidate(now: MonoMs, task: &Task, added_slowdown: f32) -> Candidate {
    Candidate {
        task: task.id,
        frees: task.reservation.reserved,
        added_slowdown,
        since_checkpoint: now.since(task.checkpointed),
        at_risk: is_at_risk(now, task),
    }
}

/// Whether a delay of half its run time would make a task miss its finish-by time.
fn is_at_risk(now: MonoMs, task: &Task) -> bool {
    let Some(finish_by) = task.finish_by else {
        return false;
    };
    let expected_end = task.started + DurationMs(task.run_ms + task.run_ms / 2);
    expected_end.max(now) >= finish_by
}
