//! Jobs, and days with seeded faults.

use primrosestack_fleet::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::server_events::{CRASHING_COMMAND, FAILING_COMMAND};
use super::{Deployment, Fault, World};

/// Faults and submissions begin in this time.
const BUSY_MS: u64 = 25_000;

/// Longest duration of a fault.
const FAULT_MAX_MS: u64 = 7_000;

/// Separates the draws of separations from those of the rest of a plan.
const SEPARATIONS_STREAM: u64 = 0x7365_7061;

/// Separates the draws of evacuations from those of the rest of a plan.
const EVACUATIONS_STREAM: u64 = 0x6576_6163;

/// Separates the draws of mixed jobs from those of the rest of a plan.
const MIXED_JOBS_STREAM: u64 = 0x6d69_7865;

/// Number from which mixed jobs are numbered.
const MIXED_JOBS: u64 = 100;

/// Time for which everything can come to rest after the last fault; a task may wait 30 s for servers that lapsed.
const REST_MS: u64 = 45_000;

/// A step of tasks with one core each and a duration in milliseconds.
#[must_use]
pub fn step(tasks: u32, estimate_ms: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu_millis: 1_000,
        memory_mb: 1_000,
        estimate_ms,
        ..StepSpec::default()
    }
}

/// A step of tasks that run until their job is cancelled.
#[must_use]
pub fn long_running_step(tasks: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        image: "web".into(),
        ..step(tasks, 400)
    }
}

/// A job of steps; a task may fail three times.
#[must_use]
pub fn job(id: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id,
        command: "do".into(),
        steps,
        queue: Some(Queue {
            name: "sheets".into(),
            service: "sheets".into(),
            priority: 0,
            attempts_max: 3,
            stretch_factor: 2.0,
            target_ms: 1_000,
            advisor_decision_ms: 0,
            advisor_period_ms: 0,
            servers_check_capacity: true,
        }),
        ..JobSpec::default()
    }
}

/// A deployment with jobs and faults, as a seed decides.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub deployment: Deployment,
    /// Faults with the times at which they begin.
    pub faults: Vec<(u64, Fault)>,
    /// Times, failure domains of the callers, and jobs.
    submissions: Vec<(u64, usize, JobSpec)>,
    cancellations: Vec<(u64, usize, JobId)>,
    has_evacuations: bool,
}

impl Plan {
    /// Draws a plan; `faults_max` is 0 for a calm day.
    #[must_use]
    pub fn draw(seed: u64, faults_max: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let deployment = Deployment {
            domains: random.random_range(2..=3),
            hosts_per_domain: random.random_range(1..=3),
            servers_per_domain: random.random_range(3..=5),
            cpu_millis: 16_000,
        };
        let mut submissions = Vec::new();
        let mut cancellations = Vec::new();
        for nth in 1..=random.random_range(8..=16) {
            let at_ms = random.random_range(1_500..BUSY_MS);
            let domain = random.random_range(0..deployment.domains);
            let spec = draw_job(&mut random, nth);
            let is_lasting = spec.steps[0].long_running;
            if random.random_range(0..100) < if is_lasting { 40 } else { 15 } {
                let cancel_ms = at_ms + random.random_range(100..12_000);
                cancellations.push((cancel_ms, domain, JobId(spec.id)));
            }
            submissions.push((at_ms, domain, spec));
        }
        let mut faults = Vec::new();
        for _ in 0..random.random_range(0..=faults_max) {
            let at_ms = random.random_range(1_000..BUSY_MS);
            faults.push((at_ms, draw_fault(&mut random, deployment)));
        }
        faults.sort_by_key(|&(at_ms, _)| at_ms);
        Self {
            seed,
            deployment,
            faults,
            submissions,
            cancellations,
            has_evacuations: false,
        }
    }

    /// Adds owners that are separated and servers that leave, drawn apart so that [`Plan::draw`] keeps its meaning.
    #[must_use]
    pub fn with_separations(mut self) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ SEPARATIONS_STREAM);
        let Deployment {
            domains,
            servers_per_domain,
            ..
        } = self.deployment;
        for _ in 0..random.random_range(1..=2) {
            let fault = Fault::SplitOwner {
                domain: random.random_range(0..domains),
                kept: random.random_range(0..1 << (domains * servers_per_domain)),
                for_ms: random.random_range(3_000..FAULT_MAX_MS),
            };
            self.faults
                .push((random.random_range(2_000..BUSY_MS), fault));
        }
        // At most one in each failure domain, so that the others have room.
        for domain in 0..domains {
            let server = domain * servers_per_domain + random.random_range(0..servers_per_domain);
            let leaves_in_ms = random.random_range(3_000..15_000);
            let at_ms = random.random_range(2_000..BUSY_MS);
            if random.random_bool(0.5) {
                let fault = Fault::DrainServer {
                    server,
                    leaves_in_ms,
                };
                self.faults.push((at_ms, fault));
            }
        }
        self.faults.sort_by_key(|&(at_ms, _)| at_ms);
        self
    }

    /// Adds series of evacuations, and faults of owners and the store beside them, drawn apart so that [`Plan::draw`] keeps
    /// its meaning. At most one failure domain stays evacuated.
    #[must_use]
    pub fn with_evacuations(mut self) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ EVACUATIONS_STREAM);
        let deployment = self.deployment;
        let hosts = deployment.domains * deployment.hosts_per_domain;
        let servers = deployment.domains * deployment.servers_per_domain;
        let stays_evacuated = random.random_range(0..=deployment.domains);
        for domain in 0..deployment.domains {
            let mut at_ms = random.random_range(1_000..15_000);
            let count = random.random_range(0..=3);
            for nth in 1..=count {
                if at_ms > BUSY_MS {
                    break;
                }
                self.faults.push((at_ms, Fault::Evacuate { domain }));
                // Some are taken back before all hosts know of them.
                let longest_ms = if random.random_bool(0.3) { 600 } else { 11_000 };
                let for_ms = random.random_range(50..longest_ms);
                if random.random_bool(0.5) {
                    let away_ms = random.random_range(300..5_000);
                    let kill_ms = at_ms + random.random_range(0..for_ms);
                    self.faults
                        .push((kill_ms, Fault::KillOwner { domain, away_ms }));
                }
                // A host that thaws after a compaction misses a request unless it lists again.
                if random.random_bool(0.3) {
                    let host = domain * deployment.hosts_per_domain
                        + random.random_range(0..deployment.hosts_per_domain);
                    let freeze_ms = at_ms.saturating_sub(random.random_range(0..2_500));
                    let compact_ms = at_ms + random.random_range(0..1_000);
                    let for_ms = random.random_range(1_000..5_000);
                    self.faults
                        .push((freeze_ms, Fault::FreezeHost { host, for_ms }));
                    self.faults.push((compact_ms, Fault::Compact));
                }
                at_ms += for_ms;
                if nth < count || domain != stays_evacuated {
                    self.faults.push((at_ms, Fault::TakeBack { domain }));
                }
                at_ms += random.random_range(50..3_000);
            }
        }
        for _ in 0..random.random_range(1..=4) {
            let at_ms = random.random_range(2_000..BUSY_MS);
            let host = random.random_range(0..hosts);
            let for_ms = random.random_range(200..FAULT_MAX_MS);
            let fault = match random.random_range(0..6) {
                0 | 1 => Fault::Compact,
                2 => Fault::CutHostFromStore { host, for_ms },
                3 => Fault::FreezeHost { host, for_ms },
                4 => Fault::StoreLostAnswers { for_ms },
                _ => Fault::SplitOwner {
                    domain: random.random_range(0..deployment.domains),
                    kept: random.random_range(0..1 << servers),
                    for_ms,
                },
            };
            self.faults.push((at_ms, fault));
        }
        self.faults.sort_by_key(|&(at_ms, _)| at_ms);
        self.has_evacuations = true;
        self
    }

    /// Adds jobs that still have runs when tasks of a later step become ready, drawn apart so that [`Plan::draw`] keeps its
    /// meaning.
    #[must_use]
    pub fn with_mixed_jobs(mut self) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ MIXED_JOBS_STREAM);
        for nth in 1..=random.random_range(1..=3) {
            let running = if random.random_bool(0.5) {
                long_running_step(random.random_range(1..=3))
            } else {
                step(1, random.random_range(2_000..9_000))
            };
            let later = StepSpec {
                after: vec![1],
                ..step(random.random_range(1..=4), 500)
            };
            let first = step(1, random.random_range(300..4_000));
            let spec = job(MIXED_JOBS + nth, vec![running, first, later]);
            let domain = random.random_range(0..self.deployment.domains);
            let at_ms = random.random_range(1_500..BUSY_MS);
            self.submissions.push((at_ms, domain, spec));
        }
        self
    }

    /// Runs the plan until everything should have come to rest.
    #[must_use]
    pub fn run(&self, has_trace: bool) -> World {
        let mut world = World::open(self.seed, self.deployment);
        if has_trace {
            world = world.with_trace();
        }
        if self.has_evacuations {
            world = world.with_evacuations();
        }
        for (at_ms, fault) in &self.faults {
            world.fault_at(*at_ms, fault.clone());
        }
        for (at_ms, domain, spec) in &self.submissions {
            world.submit_at(*at_ms, *domain, spec.clone());
        }
        for &(at_ms, domain, id) in &self.cancellations {
            world.cancel_at(at_ms, domain, id);
        }
        let rest_ms = if self.faults.is_empty() {
            15_000
        } else {
            REST_MS
        };
        world.run_to_rest(BUSY_MS + FAULT_MAX_MS + rest_ms);
        world
    }
}

fn draw_job(random: &mut Pcg64Mcg, id: u64) -> JobSpec {
    let duration_ms = random.random_range(200..4_000);
    let tasks = random.random_range(1..=6);
    match random.random_range(0..100) {
        0..20 => job(id, vec![long_running_step(random.random_range(1..=4))]),
        20..30 => JobSpec {
            command: FAILING_COMMAND.into(),
            ..job(id, vec![step(1, 300)])
        },
        30..34 => JobSpec {
            command: CRASHING_COMMAND.into(),
            ..job(id, vec![step(1, 300)])
        },
        34..50 => JobSpec {
            repetitions: random.random_range(2..=12),
            first_due_unix_ms: super::START_UNIX_MS + random.random_range(1_000..20_000),
            interval_ms: random.random_range(50..1_500),
            ..job(id, vec![step(1, duration_ms)])
        },
        50..70 => {
            let second = StepSpec {
                after: vec![0],
                ..step(tasks, duration_ms / 2)
            };
            job(id, vec![step(tasks, duration_ms), second])
        }
        _ => job(id, vec![step(tasks, duration_ms)]),
    }
}

fn draw_fault(random: &mut Pcg64Mcg, deployment: Deployment) -> Fault {
    let host = random.random_range(0..deployment.domains * deployment.hosts_per_domain);
    let server = random.random_range(0..deployment.domains * deployment.servers_per_domain);
    let domain = random.random_range(0..deployment.domains);
    let for_ms = random.random_range(200..FAULT_MAX_MS);
    let away_ms = random.random_range(300..5_000);
    match random.random_range(0..16) {
        0 => Fault::KillHost { host, away_ms },
        1 | 2 => Fault::KillOwner { domain, away_ms },
        3 => Fault::StopHost { host, away_ms },
        4 => Fault::FreezeHost { host, for_ms },
        5 => Fault::CutHost { host, for_ms },
        6 => Fault::CutHostFromStore { host, for_ms },
        7 => Fault::CrashServer { server, away_ms },
        8 => Fault::RestartServer { server, away_ms },
        9 => Fault::CutServer { server, for_ms },
        10 => Fault::LateOrders { server, for_ms },
        11 => Fault::LostAnswers { server, for_ms },
        12 => Fault::CutDomain { domain, for_ms },
        13 => Fault::StoreDown { for_ms },
        14 => Fault::StoreSlow { for_ms },
        _ if random.random_bool(0.5) => Fault::StoreLostAnswers { for_ms },
        _ => Fault::StoreLate { for_ms },
    }
}
