//! Makes the recorded traces: job sizes, run times and arrivals drawn from a seed kept in each trace.

use std::path::Path;

use primrosestack_core::capacity::Resources;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::trace::{
    Domain, Fault, FaultKind, Job, Kind, NoisyPair, Stream, Trace, TraceError, Weights, write,
};

const EVERY_MS: u64 = 15_000;

/// Batch work of one kind: its share of the capacity while it arrives, in thousandths, and its wrongness.
struct Load {
    kind: usize,
    millicores: u32,
    memory_mib: u32,
    run_ms: [u64; 2],
    permille: u64,
    from_ms: u64,
    until_ms: u64,
    teams: u32,
    wrong: bool,
}

fn load(kind: usize, millicores: u32, run_ms: [u64; 2], permille: u64, from_ms: u64) -> Load {
    Load {
        kind,
        millicores,
        memory_mib: millicores * 3,
        run_ms,
        permille,
        from_ms,
        until_ms: u64::MAX,
        teams: 6,
        wrong: false,
    }
}

fn kind(name: &str, on_requests: [f64; 2], on_batch: [f64; 2], checkpoints: bool) -> Kind {
    Kind {
        name: name.into(),
        on_requests,
        on_batch,
        checkpoints,
    }
}

fn fault(kind: FaultKind, [from_ms, until_ms]: [u64; 2], domain: usize, value: u32) -> Fault {
    Fault {
        kind,
        from_ms,
        until_ms,
        domain,
        value,
    }
}

fn fichaluz(seed: u64) -> Trace {
    let domains = [("poa", 18), ("cxs", 16), ("pel", 16)];
    base(
        "fichaluz",
        seed,
        [200, 500, 300],
        &domains,
        [48_000, 180_000],
        4,
        vec![
            kind("invoice", [0.0, 0.1], [0.0, 0.1], true),
            kind("index", [0.05, 0.2], [0.05, 0.2], true),
            kind("photo", [0.3, 0.9], [0.1, 0.3], false),
        ],
    )
}

fn ruta(seed: u64) -> Trace {
    let domains = [
        ("limon", 17),
        ("siquirres", 16),
        ("guapiles", 16),
        ("sanjose", 16),
    ];
    let mut trace = base(
        "ruta-caribe",
        seed,
        [700, 200, 100],
        &domains,
        [12_000, 44_000],
        5,
        vec![
            kind("settle", [0.0, 0.05], [0.0, 0.1], true),
            kind("reconcile", [0.05, 0.15], [0.05, 0.2], true),
            kind("ledger-scan", [0.8, 1.6], [0.1, 0.3], false),
        ],
    );
    trace.noisy_pairs = vec![
        NoisyPair {
            victim: 1,
            aggressor: 2,
            range: [0.8, 1.5],
        },
        NoisyPair {
            victim: 2,
            aggressor: 1,
            range: [0.4, 0.8],
        },
    ];
    trace
}

fn base(
    deployment: &str,
    seed: u64,
    weights: [u32; 3],
    domains: &[(&str, u32)],
    server: [u32; 2],
    one_way_ms: u64,
    kinds: Vec<Kind>,
) -> Trace {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let service_ms = (0..200).map(|_| {
        let bell: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        (300.0 * (0.4 * bell).exp()) as u64
    });
    Trace {
        deployment: deployment.into(),
        seed,
        horizon_ms: 600_000,
        weights: Weights {
            latency: weights[0],
            throughput: weights[1],
            eviction: weights[2],
        },
        domains: domains
            .iter()
            .map(|&(name, servers)| Domain {
                name: name.into(),
                servers,
            })
            .collect(),
        server: Resources {
            millicores: server[0],
            memory_mib: server[1],
            accelerators: 0,
        },
        slots: 8,
        one_way_ms,
        link_price_ms: 20,
        deadline_ms: 5_000,
        service_ms: service_ms.collect(),
        kinds,
        noisy_pairs: Vec::new(),
        streams: Vec::new(),
        jobs: Vec::new(),
        faults: Vec::new(),
    }
}

/// Adds equal clients that use `permille` of all slots together.
fn add_streams(trace: &mut Trace, rng: &mut Pcg64Mcg, clients: usize, permille: u64) {
    let servers: u64 = trace.domains.iter().map(|one| u64::from(one.servers)).sum();
    let per_10_s = servers * 8 * 10_000 * permille / 1_000 / 325;
    let mean = per_10_s / clients as u64;
    for client in 0..clients {
        let counts = (0..trace.horizon_ms / 10_000).map(|_| {
            let burst = if rng.random_range(0..20) == 0 {
                2_000
            } else {
                1_000
            };
            (mean * rng.random_range(700..1_200) * burst / 1_000_000) as u32
        });
        let (counts, domain) = (counts.collect(), client % trace.domains.len());
        trace.streams.push(Stream {
            client: format!("client-{client}"),
            domain,
            equal: true,
            counts,
        });
    }
}

fn add_jobs(trace: &mut Trace, rng: &mut Pcg64Mcg, load: &Load) {
    let servers: u64 = trace.domains.iter().map(|one| u64::from(one.servers)).sum();
    let capacity = servers * u64::from(trace.server.millicores);
    let mean_ms = u64::midpoint(load.run_ms[0], load.run_ms[1]);
    let mut at_ms = load.from_ms;
    while at_ms < load.until_ms.min(trace.horizon_ms) {
        let work = capacity * EVERY_MS * load.permille / 1_000;
        let tasks = (work / (u64::from(load.millicores) * mean_ms)).max(1) as u32;
        let size = Resources {
            millicores: load.millicores,
            memory_mib: load.memory_mib,
            accelerators: 0,
        };
        let mut job = Job {
            at_ms,
            team: format!(
                "{}-{}",
                trace.kinds[load.kind].name,
                rng.random_range(0..load.teams)
            ),
            equal: false,
            kind: load.kind,
            declared: size,
            actual: Resources {
                memory_mib: size.memory_mib * 4 / 5,
                ..size
            },
            declared_run_ms: mean_ms,
            run_ms: (0..5)
                .map(|_| rng.random_range(load.run_ms[0]..load.run_ms[1]))
                .collect(),
            tasks,
            finish_by_ms: (load.kind == 0).then_some(at_ms + mean_ms * 4),
            fails: false,
            cancel_at_ms: None,
        };
        if load.wrong {
            mistake(&mut job, rng);
        }
        trace.jobs.push(job);
        at_ms += EVERY_MS;
    }
}

/// Makes the declaration of a job wrong by up to 10 times either way.
fn mistake(job: &mut Job, rng: &mut Pcg64Mcg) {
    let factors = [1, 2, 5, 10];
    let factor = factors[rng.random_range(0..4)];
    if rng.random() {
        job.declared.millicores = (job.actual.millicores / factor).max(100);
        job.declared.memory_mib = (job.actual.memory_mib / factor).max(100);
    } else {
        job.declared.millicores = (job.actual.millicores * factor).min(12_000);
        job.declared.memory_mib = (job.actual.memory_mib * factor).min(40_000);
    }
    let factor = u64::from(factors[rng.random_range(0..4)]);
    job.declared_run_ms = if rng.random() {
        job.declared_run_ms / factor
    } else {
        job.declared_run_ms * factor
    };
}

/// Writes all traces.
#[expect(clippy::too_many_lines, reason = "one paragraph for each trace")]
pub fn generate(folder: &Path) -> Result<(), TraceError> {
    let day = |trace: &mut Trace, rng: &mut Pcg64Mcg, wrong: bool| {
        for mut one in [
            load(0, 4_000, [60_000, 120_000], 200, 0),
            load(1, 2_000, [30_000, 60_000], 150, 0),
            load(2, 6_000, [40_000, 90_000], 100, 0),
        ] {
            (one.wrong, one.permille) = (wrong, one.permille * if wrong { 2 } else { 1 });
            add_jobs(trace, rng, &one);
        }
    };
    let settle = |trace: &mut Trace, rng: &mut Pcg64Mcg, permille: [u64; 3], from_ms: u64| {
        add_jobs(
            trace,
            rng,
            &load(0, 1_000, [30_000, 60_000], permille[0], from_ms),
        );
        add_jobs(
            trace,
            rng,
            &load(1, 2_000, [40_000, 80_000], permille[1], from_ms),
        );
        add_jobs(
            trace,
            rng,
            &load(2, 2_000, [40_000, 80_000], permille[2], from_ms),
        );
    };

    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut trace = fichaluz(1);
    add_streams(&mut trace, &mut rng, 12, 300);
    day(&mut trace, &mut rng, false);
    add_jobs(
        &mut trace,
        &mut rng,
        &load(2, 6_000, [40_000, 90_000], 1_000, 150_000),
    );
    write(&folder.join("1-fichaluz-photos.json"), &trace)?;

    let mut trace = ruta(2);
    add_streams(&mut trace, &mut rng, 12, 300);
    settle(&mut trace, &mut rng, [150, 100, 30], 0);
    settle(&mut trace, &mut rng, [500, 300, 200], 150_000);
    write(&folder.join("2-ruta-settlement.json"), &trace)?;

    let mut trace = fichaluz(3);
    add_streams(&mut trace, &mut rng, 12, 300);
    day(&mut trace, &mut rng, true);
    write(&folder.join("3-fichaluz-wrong-sizes.json"), &trace)?;

    let mut trace = ruta(4);
    add_streams(&mut trace, &mut rng, 12, 300);
    settle(&mut trace, &mut rng, [400, 200, 100], 0);
    for (server, domain) in [(3, 0), (9, 0), (2, 1), (5, 2), (12, 3)] {
        trace.faults.push(fault(
            FaultKind::FailingServer,
            [60_000, 400_000],
            domain,
            server,
        ));
    }
    for at_ms in [30_000, 90_000, 150_000, 210_000] {
        let mut one = trace.jobs[0].clone();
        (one.at_ms, one.tasks, one.fails, one.finish_by_ms) = (at_ms, 20, true, None);
        trace.jobs.push(one.clone());
        (one.fails, one.declared.millicores, one.tasks) = (false, 14_000, 5);
        trace.jobs.push(one);
    }
    for job in trace
        .jobs
        .iter_mut()
        .filter(|job| (150_000..300_000).contains(&job.at_ms))
    {
        job.cancel_at_ms = Some(310_000);
    }
    write(&folder.join("4-ruta-failing-servers.json"), &trace)?;

    let mut trace = fichaluz(5);
    add_streams(&mut trace, &mut rng, 12, 300);
    day(&mut trace, &mut rng, false);
    day(&mut trace, &mut rng, false);
    trace
        .faults
        .push(fault(FaultKind::RackLost, [200_000, u64::MAX], 1, 0));
    trace
        .faults
        .push(fault(FaultKind::SlowLinks, [150_000, 450_000], 0, 60));
    write(&folder.join("5-fichaluz-rack-lost.json"), &trace)?;

    let mut trace = ruta(6);
    trace.horizon_ms = 300_000;
    add_streams(&mut trace, &mut rng, 20, 250);
    let mean = trace.streams[0].counts.iter().sum::<u32>() / trace.streams[0].counts.len() as u32;
    let counts = vec![mean * 100; trace.streams[0].counts.len()];
    trace.streams.push(Stream {
        client: "greedy".into(),
        domain: 0,
        equal: false,
        counts,
    });
    let mut one = load(0, 1_000, [30_000, 60_000], 30, 0);
    one.teams = 1;
    add_jobs(&mut trace, &mut rng, &one);
    let jobs = std::mem::take(&mut trace.jobs);
    for (index, job) in jobs.iter().enumerate() {
        for team in 0..20 {
            let (team, equal) = (format!("team-{team}"), true);
            trace.jobs.push(Job {
                team,
                equal,
                finish_by_ms: None,
                ..job.clone()
            });
        }
        if index < 3 {
            let tasks = job.tasks * 700;
            trace.jobs.push(Job {
                team: "greedy".into(),
                tasks,
                finish_by_ms: None,
                ..job.clone()
            });
        }
    }
    write(&folder.join("6-ruta-greedy-client.json"), &trace)
}
