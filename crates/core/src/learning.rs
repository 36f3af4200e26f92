//! Learning of the interference between kinds of tasks from the reports of servers.

use crate::interference::KindKey;
use crate::placement::{Scheduler, TaskUsage};
use crate::reclaim::OUT_OF_MEMORY_PERMILLE;

impl Scheduler {
    /// Learns the slowdown of each kind, and of requests, from one report.
    pub(crate) fn learn(&mut self, at: u32, usage: &[TaskUsage], request_slowdown_permille: u32) {
        let server = &self.servers[at as usize];
        // Kind, used millicores, sum of slowdowns, number of tasks in that sum.
        let mut kinds: Vec<(KindKey, u32, u64, u32)> = Vec::new();
        for one in usage {
            let Some(task) = self.running_at(one.task) else {
                // The kind of an ended task is unknown, so the load that caused the slowdown is incomplete.
                return;
            };
            let Some(task) = &self.tasks[task as usize] else {
                return;
            };
            let found = kinds.iter_mut().find(|known| known.0 == task.kind);
            // A task out of memory is slowed by itself, not by its neighbours.
            let out_of_memory = one.used.memory_mib >= task.reservation.reserved.memory_mib
                && one.slowdown_permille >= OUT_OF_MEMORY_PERMILLE;
            let (slowdown, count) = if out_of_memory {
                (0, 0)
            } else {
                (u64::from(one.slowdown_permille), 1)
            };
            match found {
                Some(known) => {
                    known.1 = known.1.saturating_add(one.used.millicores);
                    known.2 += slowdown;
                    known.3 += count;
                }
                None => kinds.push((task.kind, one.used.millicores, slowdown, count)),
            }
        }
        let mut loads: Vec<(KindKey, f32)> = Vec::with_capacity(kinds.len());
        for &(kind, millicores, ..) in &kinds {
            loads.push((kind, server.share(millicores)));
        }
        self.interference
            .learn(KindKey::REQUESTS, &loads, request_slowdown_permille);
        for (position, &(kind, _, slowdowns, count)) in kinds.iter().enumerate() {
            if count == 0 {
                continue;
            }
            let mean = u32::try_from(slowdowns / u64::from(count)).unwrap_or(u32::MAX);
            let total_load = loads[position].1;
            #[expect(clippy::cast_precision_loss, reason = "tasks on one server")]
            let own_load = total_load / count as f32;
            loads[position].1 = total_load - own_load;
            self.interference.learn(kind, &loads, mean);
            loads[position].1 = total_load;
        }
    }
}
