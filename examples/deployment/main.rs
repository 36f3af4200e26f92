//! Runs one deployment as in production: nine `primrosestack serve` processes in three failure domains, against
//! stand-ins of the platform in this process, under load and one fault after the other.
//!
//! The table at the end is computed from the stand-ins' own records. The exit code is 1 if anything was lost, run twice,
//! crossed, cut or overfilled, or if a target was missed. Settings and logs of the processes are in a temporary folder,
//! which is kept if the exit code is 1 or with `--keep`. `--seed N` sets the seed of the load.

mod error;
mod hosts;
mod judge;
mod load;
mod operator;
mod phases;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use primrosestack_core::capacity::Resources;
use primrosestack_standin::platform::{Platform, PlatformOptions};
use smol_str::SmolStr;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{DeploymentError, InterruptedSnafu, IoSnafu, LateSnafu};
use crate::hosts::{DOMAINS, Hosts};
use crate::judge::Findings;
use crate::load::Load;
use crate::operator::{Job, Operator};
use crate::phases::Run;

const DEFAULT_SEED: u64 = 20_260_401;
const START_LIMIT: Duration = Duration::from_secs(15);
const JOBS_LIMIT: Duration = Duration::from_secs(15);
const STOP_LIMIT: Duration = Duration::from_secs(10);

async fn platform() -> Result<Platform, DeploymentError> {
    let options = PlatformOptions {
        failure_domains: DOMAINS.map(SmolStr::new_static).to_vec(),
        servers_per_domain: 6,
        servers_per_rack: 3,
        resources: Resources {
            millicores: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        service_ms: 40,
        request_size: Resources {
            millicores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
    };
    let bound = Platform::bind(&options).await;
    bound.context(IoSnafu {
        what: "bind the stand-ins",
    })
}

async fn finish_jobs(run: &mut Run, jobs: &[Job]) -> Result<usize, DeploymentError> {
    let began = Instant::now();
    let mut round = 0;
    loop {
        let mut left = BTreeMap::from(DOMAINS.map(|domain| (SmolStr::new(domain), 0)));
        let mut wrong = 0;
        for job in jobs {
            let view = run.operator.job(0, &job.name).await?;
            *left.entry(view.failure_domain.clone()).or_default() += view.pending + view.running;
            wrong += usize::from(view.is_finished() && view.succeeded != job.tasks);
        }
        let total: u32 = left.values().sum();
        if total == 0 || began.elapsed() > JOBS_LIMIT {
            let total = usize::try_from(total).unwrap_or(usize::MAX);
            run.findings.broken.push(("tasks not ended", total));
            return Ok(wrong);
        }
        if round % 20 == 0 {
            println!("tasks left {left:?}");
        }
        round += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn run(folder: &Path, seed: u64) -> Result<bool, DeploymentError> {
    let began = Instant::now();
    let platform = platform().await?;
    let hosts = Hosts::open(&platform, folder).await?;
    let mut run = Run {
        load: Load::open(&hosts),
        operator: Operator::open(&hosts),
        platform,
        hosts,
        revision: 0,
        findings: Findings::default(),
        in_force: Vec::new(),
        unfair_races: 0,
    };
    run.all_healthy(START_LIMIT).await?;
    run.revision = run.operator.first_document().await?;
    let all = 0..run.hosts.all.len();
    let first = run
        .operator
        .in_force(all, run.revision, Instant::now(), START_LIMIT);
    if first.await.is_none() {
        let limit_ms = u64::try_from(START_LIMIT.as_millis()).unwrap_or(u64::MAX);
        let what = "the first document in force";
        return LateSnafu { what, limit_ms }.fail();
    }
    println!(
        "9 entry hosts serve after {} ms",
        began.elapsed().as_millis()
    );
    let stopped = Arc::new(AtomicBool::new(false));
    let jobs = tokio::spawn(run.operator.clone().submit_jobs(stopped.clone()));
    let load = tokio::spawn(run.load.clone().run(seed));
    run.steady().await?;
    run.kill().await?;
    run.terminate().await?;
    run.pause().await?;
    run.store_outage().await?;
    run.cut().await?;
    run.drain().await?;
    run.phase("end of the load");
    stopped.store(true, Ordering::Relaxed);
    run.load.stop();
    // A task that panicked has left its samples; its jobs would count as lost.
    let _ = load.await;
    let jobs = jobs.await.unwrap_or_default();
    let wrong = finish_jobs(&mut run, &jobs).await?;
    run.findings
        .broken
        .push(("jobs with tasks that did not succeed", wrong));
    run.check_revisions().await;
    let stopped = run.hosts.stop_all(STOP_LIMIT).await;
    run.findings
        .note("hosts that ended in order, all at once", &stopped);
    let accepted = jobs.iter().map(|job| job.tasks as usize).sum();
    run.conclude(accepted);
    let sound = judge::report(&run.platform, &run.load.samples(), &run.findings);
    println!("seed {seed}, {:.1} s", began.elapsed().as_secs_f64());
    Ok(sound)
}

async fn interrupted() -> Result<bool, DeploymentError> {
    let context = IoSnafu {
        what: "listen for signals",
    };
    let mut terminate = signal(SignalKind::terminate()).context(context)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(context)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    InterruptedSnafu.fail()
}

fn asked_seed() -> u64 {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--seed");
    let seed = arguments.nth(1).and_then(|text| text.parse().ok());
    seed.unwrap_or(DEFAULT_SEED)
}

/// Dropping the run, also after a signal or an error, kills the child processes.
async fn run_or_interrupt(folder: PathBuf, seed: u64) -> Result<bool, DeploymentError> {
    std::fs::create_dir_all(&folder).context(IoSnafu {
        what: "create a temporary folder",
    })?;
    tokio::select! {
        sound = run(&folder, seed) => sound,
        stopped = interrupted() => stopped,
    }
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start the runtime");
        return ExitCode::FAILURE;
    };
    let seed = asked_seed();
    let name = format!("primrosestack-deployment-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    println!("seed {seed}, settings and logs in {}", folder.display());
    let sound = runtime.block_on(run_or_interrupt(folder.clone(), seed));
    if let Err(error) = &sound {
        eprintln!("{error}");
    }
    let keep = std::env::args().any(|argument| argument == "--keep");
    if matches!(sound, Ok(true)) {
        if !keep {
            // The folder holds only this run's settings and logs.
            let _ = std::fs::remove_dir_all(&folder);
        }
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
