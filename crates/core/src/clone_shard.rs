//! `Clone` and `Debug` of a shard, so that a model checker can explore several continuations of one state.

use std::fmt;

use crate::placement::Scheduler;
use crate::shard::Shard;
use crate::tasks::Phase;

impl Clone for Shard {
    /// Copies the shard. The scheduler of the copy has the same servers and tasks, but no learned data.
    fn clone(&self) -> Self {
        let mut copy = Self {
            config: self.config.clone(),
            host: self.host.clone(),
            name: self.name.clone(),
            now: self.now,
            started_at: self.started_at,
            unix_offset_ms: self.unix_offset_ms,
            actions: self.actions.clone(),
            last_op: self.last_op,
            ops: self.ops.clone(),
            store_ops: self.store_ops.clone(),
            budget: self.budget.clone(),
            peers: self.peers.clone(),
            role: self.role,
            standby: self.standby.clone(),
            observed_term: self.observed_term.clone(),
            owner_state: self.owner_state.clone(),
            recovery: self.recovery.clone(),
            durable: self.durable.clone(),
            fleet: self.fleet.clone(),
            scheduler: Scheduler::open(self.config.objective, self.config.seed),
            rack_pools: self.rack_pools.clone(),
            quotas: self.quotas.clone(),
            retries: self.retries.clone(),
            earlier_succeeded: self.earlier_succeeded.clone(),
            failures: self.failures.clone(),
            suspects: self.suspects.clone(),
            recent_starts: self.recent_starts.clone(),
            accepting: self.accepting.clone(),
            claiming: self.claiming.clone(),
            last_counter: self.last_counter,
            shutting_down: self.shutting_down,
        };
        copy.rebuild_scheduler();
        copy
    }
}

impl Shard {
    fn rebuild_scheduler(&mut self) {
        for (team, weight) in &self.quotas {
            self.scheduler.set_quota(team, *weight);
        }
        for (key, server) in self.fleet.iter() {
            if server.journaled == crate::servers::Journaled::Yes {
                self.scheduler
                    .put_server(key, server.rack_pool, server.size);
                self.scheduler.set_withheld(key, server.withheld);
                self.scheduler.set_open(key, server.open);
            }
        }
        for (id, task) in self.durable.unfinished_tasks() {
            let Some(request) = self.request(id) else {
                continue;
            };
            match (task.phase, task.server) {
                (Phase::Pending, _) => self.scheduler.submit(self.now, request),
                (
                    Phase::Starting | Phase::Running | Phase::Stopping | Phase::Evicting(_),
                    Some(server),
                ) => self.scheduler.adopt(self.now, &request, server),
                _ => {}
            }
        }
    }
}

impl fmt::Debug for Shard {
    /// Formats the state that determines the behaviour of the shard, except for the scheduler.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shard")
            .field("host", &self.host)
            .field("now", &self.now)
            .field("ops", &self.ops)
            .field("store_ops", &self.store_ops)
            .field("budget", &self.budget)
            .field("peers", &self.peers)
            .field("role", &self.role)
            .field("duty", &self.standby)
            .field("seen", &self.observed_term)
            .field("own", &self.owner_state)
            .field("recovery", &self.recovery)
            .field("ledger", &self.durable)
            .field("fleet", &self.fleet)
            .field("cells", &self.rack_pools)
            .field("retries", &self.retries)
            .field("overtaken", &self.earlier_succeeded)
            .field("accepting", &self.accepting)
            .field("claiming", &self.claiming)
            .field("last_counter", &self.last_counter)
            .field("shutting_down", &self.shutting_down)
            .finish_non_exhaustive()
    }
}
