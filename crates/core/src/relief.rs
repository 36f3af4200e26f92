//! What reports of a server cause: reservations that follow the use, and the measures that give room back.

use crate::capacity::Resources;
use crate::eviction::{self, Candidate};
use crate::ids::{ServerKey, TaskId};
use crate::interference::KindKey;
use crate::placement::{ReclaimAction, Scheduler, TaskUsage};
use crate::running::{Task, cost};
use crate::time::{DurationMs, MonoMs};

/// Time for which room given back to requests is kept free after the last request for it.
const WITHHELD_MS: u64 = 30_000;

/// Time after which a changed processor limit is taken to show in reports.
const SETTLE_MS: u64 = 10_000;

/// Time after which an eviction that was not carried out may be asked for again.
const EVICTION_MS: u64 = 60_000;

/// Time between two measures against slowed requests on one server; reports lag, so the effect shows late.
const ACT_EVERY_MS: u64 = 15_000;

/// Reports in a row beyond the limit before a measure, and below it before a measure is taken back.
const REPORTS_ABOVE: u32 = 3;
const REPORTS_BELOW: u32 = 5;

/// Reports in a row at the limit before a reservation grows, or before a task out of memory is evicted.
const REPORTS_AT_LIMIT: u16 = 3;

/// Slowdown from which a task at its memory limit counts as out of memory, in thousandths. Many tasks use all their
/// memory for caches without needing it.
pub(crate) const OUT_OF_MEMORY_PERMILLE: u32 = 3_000;

/// Run time after which a report without lack of memory shows that the declared memory suffices; includes the lag of
/// reports of up to 4 s, and the time that a task takes to fill its memory.
const PROVEN_MS: u64 = 12_000;

/// Lowest processor limit of a throttled task, as a part of its reservation: 1/4.
const FLOOR_PARTS: u32 = 4;

/// Slowdown of requests that a slowed server may show, in thousandths.
const SLOWED_LIMIT_PERMILLE: u32 = 4_000;

/// Weight of one report in the smoothed slowdown of requests: 1/4.
const SEEN_SHIFT: u32 = 2;

impl Scheduler {
    /// Takes in a lagging report of a server.
    ///
    /// The tasks that it lists are taken as those that ran when it was written; a task started since keeps its whole
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
                found.add_use(task.kind, task.held.used.millicores);
            }
        }
        found.predict(&self.interference);
        if request_slowdown_permille > 0 {
            found.see(request_slowdown_permille, self.goals.limit);
        }
        let pool = found.pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        self.pools[pool as usize].mark_slowed(&mut self.servers, at, &self.goals);
        self.wake(pool);
    }

    /// Chooses what gives `need` back to latency-critical requests on a server.
    ///
    /// `need` is what requests lack beyond the room that is free; both are kept from batch for 30 s.
    ///
    /// To be called with no need after each report too: it then returns the measures that the report made due, against
    /// tasks that outgrew their reservation or slow requests, and takes back throttling that is no longer needed.
    pub fn reclaim(
        &mut self,
        now: MonoMs,
        server: ServerKey,
        need: Resources,
    ) -> Vec<ReclaimAction> {
        let Some(at) = self.server_at(server) else {
            return Vec::new();
        };
        let mut relief = Vec::new();
        self.withhold(now, at, need);
        self.evict_for_room(now, at, &mut relief);
        self.relieve_outgrown(now, at, &mut relief);
        self.relieve_requests(now, at, &mut relief);
        let pool = self.servers[at as usize].pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        relief
    }

    /// Keeps an amount of a server free for requests until it is set again.
    pub fn set_withheld(&mut self, server: ServerKey, amount: Resources) {
        let Some(at) = self.server_at(server) else {
            return;
        };
        let server = &mut self.servers[at as usize];
        server.standing = amount.lesser(server.size);
        server.withheld = server.standing.greater(server.pressed);
        let pool = server.pool;
        self.pools[pool as usize].index_free(&mut self.servers, at);
        self.wake(pool);
    }

    /// What is kept free for requests on a server.
    #[must_use]
    pub fn withheld(&self, server: ServerKey) -> Resources {
        let found = self.server_at(server);
        found.map_or_else(Resources::default, |at| self.servers[at as usize].withheld)
    }

    /// Lets the reservation of a task follow its observed use, and charges the time since the last report.
    fn observe(&mut self, now: MonoMs, at: u32, task: u32, usage: &TaskUsage) {
        let used = usage.used;
        let server = &mut self.servers[at as usize];
        let Some(task) = &mut self.tasks[task as usize] else {
            return;
        };
        if task.server != at {
            return;
        }
        if now > task.paid_until {
            let late_ms = now.since(task.paid_until).0;
            self.accounts
                .charge(task.client, cost(task.held.reserved, late_ms));
            task.paid_until = now;
        }
        task.held.used = used;
        task.slowdown_permille = usage.slowdown_permille;
        let limited = task.held.at_processor_limit() || task.held.at_memory_limit();
        task.at_limit = if limited { task.at_limit + 1 } else { 0 };
        let settled = now.since(task.limited).0 >= SETTLE_MS;
        let mut wanted = task.held.reserved.greater(used);
        if settled {
            let kept = task.declared.millicores.max(task.held.limit_millicores);
            wanted.millicores = kept.max(used.millicores);
        }
        let old = task.held.reserved;
        let room = server.free().saturating_add(old);
        let reserved = wanted.lesser(room.greater(old));
        server.reserved = server.reserved.saturating_sub(old).saturating_add(reserved);
        task.held.reserved = reserved;
        let team = self.accounts.team_of(task.client);
        let _ = self.accounts.sub_use(team, u64::from(old.millicores));
        self.accounts.add_use(team, u64::from(reserved.millicores));
        if !used.fits_in(task.declared) {
            self.sizes.seen(now, task.id.job, used);
        }
        if task.held.at_memory_limit() {
            self.sizes.full(now, task.id.job);
        } else if now.since(task.started).0 >= PROVEN_MS {
            let released = self.sizes.prove(now, task.id.job, task.kind, Some(used));
            self.enqueue_all(now, released);
        }
    }

    /// Keeps the room that requests asked for free for a while, besides what is free already.
    fn withhold(&mut self, now: MonoMs, at: u32, need: Resources) {
        let server = &mut self.servers[at as usize];
        if server.pressed_until <= now {
            server.pressed = Resources::default();
        }
        if !need.is_zero() {
            let wanted = need.on_top_of(server.size.saturating_sub(server.reserved));
            server.pressed = server.pressed.greater(wanted).lesser(server.size);
            server.pressed_until = now + DurationMs(WITHHELD_MS);
        }
        server.withheld = server.standing.greater(server.pressed);
    }

    /// Evicts for the room that is withheld or reserved beyond the size of the server.
    fn evict_for_room(&mut self, now: MonoMs, at: u32, relief: &mut Vec<ReclaimAction>) {
        let server = &self.servers[at as usize];
        let taken = server.reserved.saturating_add(server.withheld);
        let mut missing = taken.saturating_sub(server.size);
        let mut candidates = Vec::new();
        for &task in &server.tasks {
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            if being_evicted(now, task) {
                missing = missing.saturating_sub(task.held.reserved);
            } else {
                candidates.push(candidate(now, task, 0.0));
            }
        }
        for chosen in eviction::choose(now, &self.history, &candidates, missing) {
            self.evict(now, chosen, relief);
        }
    }

    fn evict(&mut self, now: MonoMs, chosen: Candidate, relief: &mut Vec<ReclaimAction>) {
        let Some(at) = self.running_at(chosen.task) else {
            return;
        };
        if let Some(task) = &mut self.tasks[at as usize] {
            task.evicting = Some(now);
            self.history.evicted(now, chosen.task);
            relief.push(ReclaimAction::Evict { task: chosen.task });
        }
    }

    /// Grows reservations that hold tasks back, within the room of the server, and takes back growth that was not
    /// used. A task out of memory for which there is no room is evicted, and starts larger elsewhere.
    fn relieve_outgrown(&mut self, now: MonoMs, at: u32, relief: &mut Vec<ReclaimAction>) {
        let mut outgrown = Vec::new();
        let server = &mut self.servers[at as usize];
        for &task in &server.tasks {
            let Some(task) = &mut self.tasks[task as usize] else {
                continue;
            };
            if being_evicted(now, task) {
                continue;
            }
            let held = &mut task.held;
            if held.used.millicores > held.reserved.millicores {
                held.limit_millicores = held.reserved.millicores;
                task.limited = now;
                relief.push(throttle(task));
                continue;
            }
            let settled = now.since(task.limited).0 >= SETTLE_MS;
            let grown = held.limit_millicores > task.declared.millicores;
            if grown && settled && !held.at_processor_limit() {
                let fitting = held.used.millicores + held.used.millicores / 16;
                let fitting = task.declared.millicores.max(fitting);
                if fitting < held.limit_millicores {
                    held.limit_millicores = fitting;
                    task.limited = now;
                    self.sizes.sated(now, task.id.job);
                    relief.push(throttle(task));
                }
                continue;
            }
            if held.used.memory_mib > held.reserved.memory_mib {
                outgrown.push((candidate(now, task, 0.0), task.kind));
                continue;
            }
            if task.at_limit < REPORTS_AT_LIMIT {
                continue;
            }
            task.at_limit = 0;
            if held.at_memory_limit() {
                if task.slowdown_permille >= OUT_OF_MEMORY_PERMILLE {
                    outgrown.push((candidate(now, task, 0.0), task.kind));
                }
                continue;
            }
            if held.limit_millicores < held.reserved.millicores {
                continue;
            }
            let known = self.sizes.size(task.id.job, task.declared, server.size);
            let wanted = if known.millicores > held.reserved.millicores {
                known.millicores
            } else if self.sizes.may_try(now, task.id) {
                held.reserved.millicores.saturating_mul(2)
            } else {
                continue;
            };
            let taken = server.reserved.saturating_add(server.withheld);
            let free = server.size.saturating_sub(taken).millicores;
            let more = free.min(wanted - held.reserved.millicores);
            if more == 0 {
                continue;
            }
            held.reserved.millicores += more;
            held.limit_millicores = held.reserved.millicores;
            server.reserved.millicores += more;
            let team = self.accounts.team_of(task.client);
            self.accounts.add_use(team, u64::from(more));
            task.limited = now;
            relief.push(throttle(task));
        }
        for (chosen, kind) in outgrown {
            let job = chosen.task.job;
            self.sizes.out_of_memory(now, job, kind, chosen.frees);
            self.evict(now, chosen, relief);
        }
    }

    /// Throttles, and at last evicts, the tasks that slow requests most; takes throttling back when it is quiet.
    fn relieve_requests(&mut self, now: MonoMs, at: u32, relief: &mut Vec<ReclaimAction>) {
        let goals = self.goals;
        let server = &mut self.servers[at as usize];
        if now.since(server.acted).0 < ACT_EVERY_MS {
            return;
        }
        if server.pressure.take_below(REPORTS_BELOW) {
            server.acted = now;
            self.restore_one(now, at, relief);
            return;
        }
        if !server.pressure.take_above(REPORTS_ABOVE) {
            return;
        }
        server.acted = now;
        let mut candidates = Vec::new();
        for &task in &self.servers[at as usize].tasks {
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            if !being_evicted(now, task) {
                candidates.push((self.harm(at, task), task.id));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for &(harm, id) in &candidates {
            if harm < goals.limit / 8.0 {
                break;
            }
            let Some(position) = self.running_at(id) else {
                continue;
            };
            let Some(task) = &mut self.tasks[position as usize] else {
                continue;
            };
            let floor = task.held.reserved.millicores / FLOOR_PARTS;
            if task.held.limit_millicores / 2 >= floor.max(1) && !at_risk(now, task) {
                task.held.limit_millicores /= 2;
                task.limited = now;
                relief.push(throttle(task));
                return;
            }
        }
        self.evict_noisy(now, &candidates, relief);
    }

    /// Evicts the task with the most harm for the work lost, if requests weigh more than evictions.
    fn evict_noisy(
        &mut self,
        now: MonoMs,
        candidates: &[(f32, TaskId)],
        relief: &mut Vec<ReclaimAction>,
    ) {
        if self.goals.eviction > self.goals.latency {
            return;
        }
        let mut best: Option<(f32, Candidate)> = None;
        for &(harm, id) in candidates {
            let Some(task) = self.running_at(id) else {
                continue;
            };
            let Some(task) = &self.tasks[task as usize] else {
                continue;
            };
            let one = candidate(now, task, harm);
            if one.at_risk || self.history.spared(now, id) > 0 || harm < self.goals.limit / 8.0 {
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "a ratio for comparison")]
            let worth = harm / eviction::lost_work(&one).max(1) as f32;
            if best.is_none_or(|(most, _)| worth > most) {
                best = Some((worth, one));
            }
        }
        if let Some((_, chosen)) = best {
            self.evict(now, chosen, relief);
        }
    }

    /// Doubles the lowest processor limit of the throttled tasks.
    fn restore_one(&mut self, now: MonoMs, at: u32, relief: &mut Vec<ReclaimAction>) {
        let mut lowest: Option<(u32, u32)> = None;
        for &position in &self.servers[at as usize].tasks {
            let Some(task) = &self.tasks[position as usize] else {
                continue;
            };
            let limit = task.held.limit_millicores;
            if limit < task.held.reserved.millicores
                && lowest.is_none_or(|(least, _)| limit < least)
            {
                lowest = Some((limit, position));
            }
        }
        let Some((limit, position)) = lowest else {
            return;
        };
        if let Some(task) = &mut self.tasks[position as usize] {
            task.held.limit_millicores = limit.saturating_mul(2).min(task.held.reserved.millicores);
            task.limited = now;
            relief.push(throttle(task));
        }
    }

    /// How much a task adds to the slowdown of requests on its server.
    fn harm(&self, at: u32, task: &Task) -> f32 {
        let server = &self.servers[at as usize];
        let found = server.use_by_kind.iter().find(|one| one.0 == task.kind);
        let load = found.map_or(0.0, |one| server.share(one.1));
        let own = server.share(task.held.used.millicores).min(load);
        self.interference
            .growth(KindKey::REQUESTS, task.kind, load - own, own)
    }
}

impl crate::choice::Server {
    fn see(&mut self, permille: u32, limit: f32) {
        if self.seen_permille == 0 {
            self.seen_permille = permille;
            self.last_permille = [permille; 2];
        }
        let [before, last] = self.last_permille;
        self.last_permille = [last, permille];
        // The median of three leaves out a single wild report, which smoothing alone would keep for several reports.
        let median = before.min(last).max(before.max(last).min(permille));
        let kept = self.seen_permille - (self.seen_permille >> SEEN_SHIFT);
        self.seen_permille = kept + (median >> SEEN_SHIFT);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and no weight on latency means no limit"
        )]
        let limit_permille = (limit * 1_000.0) as u32;
        let high = if self.slowed {
            SLOWED_LIMIT_PERMILLE
        } else {
            limit_permille.saturating_add(1_000 + limit_permille / 4)
        };
        let low = if self.slowed {
            SLOWED_LIMIT_PERMILLE / 2
        } else {
            1_000 + limit_permille / 4 * 3
        };
        self.pressure.observe(self.seen_permille, low, high);
    }
}

fn throttle(task: &Task) -> ReclaimAction {
    ReclaimAction::Throttle {
        task: task.id,
        millicores: task.held.limit_millicores,
    }
}

fn being_evicted(now: MonoMs, task: &Task) -> bool {
    task.evicting
        .is_some_and(|since| now.since(since).0 < EVICTION_MS)
}

fn candidate(now: MonoMs, task: &Task, harm: f32) -> Candidate {
    Candidate {
        task: task.id,
        frees: task.held.reserved,
        harm,
        since_checkpoint: now.since(task.checkpointed),
        at_risk: at_risk(now, task),
    }
}

/// Whether a delay of half its run time would let a task miss its finish-by time.
fn at_risk(now: MonoMs, task: &Task) -> bool {
    let Some(finish_by) = task.finish_by else {
        return false;
    };
    let expected_end = task.started + DurationMs(task.run_ms + task.run_ms / 2);
    expected_end.max(now) >= finish_by
}
