//! The faults and changes, one after the other, under load.

use std::time::{Duration, Instant};

use primrosestack_core::ids::HostId;
use primrosestack_standin::platform::Platform;
use smol_str::SmolStr;
use snafu::OptionExt;

use crate::error::{DeploymentError, LateSnafu, NoOwnerSnafu};
use crate::hosts::Hosts;
use crate::judge::{self, Findings, Phase};
use crate::load::{Load, Outcome};
use crate::operator::{Operator, hosts_of};

const POLL: Duration = Duration::from_millis(20);
/// Longest wait for something that has a shorter target, so that the table shows by how much it was missed.
const PATIENCE: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_secs(14);
const CUT_DOMAIN: &str = "pel";
/// Server that the platform marks as leaving; it must receive no new work after 3 s.
const LEAVING_SERVER: &str = "poa-server-1";

/// The running deployment.
pub(crate) struct Run {
    pub(crate) platform: Platform,
    pub(crate) hosts: Hosts,
    pub(crate) load: Load,
    pub(crate) operator: Operator,
    pub(crate) revision: u64,
    pub(crate) findings: Findings,
    /// Time from acceptance until in force on all hosts, of each edit made while all hosts served.
    pub(crate) in_force: Vec<Option<Duration>>,
    pub(crate) unfair_races: usize,
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

async fn until(deadline: Instant) {
    tokio::time::sleep_until(deadline.into()).await;
}

impl Run {
    pub(crate) fn phase(&mut self, name: &'static str) -> Instant {
        let began = Instant::now();
        self.load.set_phase(self.findings.phases.len());
        self.findings.phases.push(Phase { name, began });
        println!("{name}");
        began
    }

    /// Waits until the balancer sends callers to all hosts.
    pub(crate) async fn all_healthy(&self, limit: Duration) -> Result<(), DeploymentError> {
        let began = Instant::now();
        let all = 0..self.hosts.all.len();
        while !all.clone().all(|at| self.load.is_healthy(at)) {
            if began.elapsed() > limit {
                let sick = all.filter(|at| !self.load.is_healthy(*at));
                let names: Vec<&str> = sick.map(|at| self.hosts.all[at].name.as_str()).collect();
                let what = format!("a passing health check of {}", names.join(", "));
                let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
                return LateSnafu { what, limit_ms }.fail();
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Two operators race; the time until the accepted edit is in force on `on` is returned.
    async fn race(
        &mut self,
        hosts: [usize; 2],
        on: Vec<usize>,
    ) -> Result<Option<Duration>, DeploymentError> {
        let race = self.operator.race(hosts, self.revision).await?;
        if !race.is_fair {
            self.unfair_races += 1;
            println!(
                "race at revision {}: statuses {:?}",
                self.revision, race.statuses
            );
        }
        self.revision = race.revision;
        let in_force = self
            .operator
            .in_force(on, race.revision, race.sent, PATIENCE);
        Ok(in_force.await)
    }

    /// A race whose edit must be in force on all hosts.
    async fn race_everywhere(&mut self, hosts: [usize; 2]) -> Result<(), DeploymentError> {
        let all = (0..self.hosts.all.len()).collect();
        let in_force = self.race(hosts, all).await?;
        self.in_force.push(in_force);
        Ok(())
    }

    fn owner(&self, domain: &str) -> Result<(HostId, usize), DeploymentError> {
        let records = self.platform.ledger.records();
        let owner = judge::owner(&records, domain).context(NoOwnerSnafu { domain })?;
        let at = self.hosts.index(&owner.name)?;
        Ok((owner, at))
    }

    /// Waits until every server of a failure domain took work from another owner; the longest time of a server.
    async fn new_work(&self, domain: &str, old: &HostId, since: Instant) -> Option<Duration> {
        let servers = self.platform.servers.iter();
        let servers = servers.filter(|(name, backend)| {
            name.starts_with(domain) && backend.worker().leaving_for_ms().is_none()
        });
        let servers: Vec<String> = servers.map(|(name, _)| name.to_string()).collect();
        while since.elapsed() < PATIENCE {
            let times = judge::new_work(&self.platform.ledger.records(), &servers, old, since);
            if let Some(times) = times {
                return times.into_iter().max();
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }

    pub(crate) async fn steady(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("steady");
        for at in 0..6 {
            self.race_everywhere([at, (at + 4) % 9]).await?;
        }
        until(began + seconds(4)).await;
        let began = self.phase("wave of requests");
        self.load.set_per_tick(4);
        until(began + seconds(3)).await;
        self.load.set_per_tick(1);
        Ok(())
    }

    /// Kills an owner; its servers must take new work from the next owner.
    pub(crate) async fn kill(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("owner killed");
        let (owner, at) = self.owner("poa")?;
        let killed = Instant::now();
        self.hosts.signal(at, "KILL").await?;
        self.hosts.ended(at, seconds(2)).await?;
        let taken = self.new_work("poa", &owner, killed).await;
        let name = format!("new work after SIGKILL of {}", owner.name);
        self.findings.target(name, taken, 3_000);
        until(began + seconds(4)).await;
        self.hosts.start(at)?;
        self.all_healthy(PATIENCE).await?;
        self.race_everywhere([0, 8]).await
    }

    /// Stops an owner in order; no request may be cut off.
    pub(crate) async fn terminate(&mut self) -> Result<(), DeploymentError> {
        let phase = self.findings.phases.len();
        let began = self.phase("owner stopped in order");
        let (owner, at) = self.owner("cxs")?;
        self.hosts.signal(at, "TERM").await?;
        let status = self.hosts.ended(at, seconds(30)).await?;
        let took = Some(began.elapsed());
        self.findings
            .target(format!("stop of {}", owner.name), took, 30_000);
        let disorderly = usize::from(!status.success());
        self.findings
            .broken
            .push(("stops that were not orderly", disorderly));
        let taken = self.new_work("cxs", &owner, began).await;
        self.findings
            .note_ms("new work after SIGTERM, from the signal", taken);
        self.hosts.start(at)?;
        self.all_healthy(PATIENCE).await?;
        self.race_everywhere([3, 4]).await?;
        until(began + seconds(5)).await;
        // Calls that are in flight when the next owner is paused must not be those of this phase.
        let began = self.phase("steady");
        until(began + seconds(1)).await;
        self.findings.terminate_phase = Some(phase);
        Ok(())
    }

    /// Pauses an owner past its leases.
    pub(crate) async fn pause(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("owner paused");
        let (owner, at) = self.owner("pel")?;
        self.hosts.signal(at, "STOP").await?;
        let taken = self.new_work("pel", &owner, began).await;
        let name = format!("new work after SIGSTOP of {}", owner.name);
        self.findings.target(name, taken, 3_000);
        until(began + PAUSE).await;
        let began = self.phase("paused owner resumed");
        self.hosts.signal(at, "CONT").await?;
        self.all_healthy(PATIENCE).await?;
        self.race_everywhere([at, 0]).await?;
        until(began + seconds(3)).await;
        Ok(())
    }

    /// Stops the store, and kills an owner while it is down.
    pub(crate) async fn store_outage(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("store down");
        self.platform.store.set_down(true);
        until(began + seconds(4)).await;
        let began = self.phase("owner killed, store down");
        let (owner, at) = self.owner("cxs")?;
        let killed = Instant::now();
        self.hosts.signal(at, "KILL").await?;
        self.hosts.ended(at, seconds(2)).await?;
        let taken = self.new_work("cxs", &owner, killed).await;
        let name = format!("new work after SIGKILL of {}, store down", owner.name);
        self.findings.target(name, taken, 5_000);
        until(began + seconds(5)).await;
        let began = self.phase("store back");
        self.platform.store.set_down(false);
        self.hosts.start(at)?;
        self.all_healthy(PATIENCE).await?;
        self.first_edit_after_outage(began).await?;
        until(began + seconds(4)).await;
        Ok(())
    }

    /// Back-off may refuse edits for some time after the store is back; a refused edit changed nothing.
    async fn first_edit_after_outage(&mut self, back: Instant) -> Result<(), DeploymentError> {
        loop {
            let raced = self.race_everywhere([0, 4]).await;
            if raced.is_ok() || back.elapsed() > PATIENCE {
                self.findings
                    .note_ms("first edit in force after the outage", Some(back.elapsed()));
                return raced;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Cuts one failure domain off from the store, the host list and the other failure domains, and heals it.
    pub(crate) async fn cut(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("failure domain cut off");
        self.hosts.set_cut(CUT_DOMAIN, true);
        until(began + seconds(2)).await;
        let inside = hosts_of(&self.hosts, |domain| domain == CUT_DOMAIN);
        let outside = hosts_of(&self.hosts, |domain| domain != CUT_DOMAIN);
        let in_force = self.race([outside[0], outside[4]], outside.clone()).await?;
        let name = "document in force outside the cut";
        self.findings.target(name, in_force, 2_000);
        let revision = self.revision;
        let refused = self
            .operator
            .put_document(inside[0], revision, "an operator inside the cut");
        let accepted = refused.await.is_ok_and(|answer| answer.status.is_success());
        self.findings
            .broken
            .push(("edits accepted inside the cut", usize::from(accepted)));
        until(began + seconds(7)).await;
        let healed = self.phase("cut healed");
        self.hosts.set_cut(CUT_DOMAIN, false);
        let in_force = self
            .operator
            .in_force(inside, revision, healed, seconds(15))
            .await;
        self.findings
            .target("document in force after the cut healed", in_force, 12_000);
        self.all_healthy(PATIENCE).await?;
        self.race_everywhere([2, 7]).await?;
        until(healed + seconds(4)).await;
        Ok(())
    }

    /// Drains a backend server.
    pub(crate) async fn drain(&mut self) -> Result<(), DeploymentError> {
        let began = self.phase("backend server leaves");
        self.platform.leave(LEAVING_SERVER);
        self.race_everywhere([1, 5]).await?;
        until(began + seconds(6)).await;
        Ok(())
    }

    /// Adds the checks that need the whole run.
    pub(crate) fn conclude(&mut self, accepted: usize) {
        let mut times: Vec<Duration> = self.in_force.iter().flatten().copied().collect();
        times.sort();
        let missing = self.in_force.len() - times.len();
        let count = self.in_force.len();
        // With fewer than 100 edits, p99 is the slowest one.
        let slowest = times.last().copied().filter(|_| missing == 0);
        let name = format!("document in force on 9 hosts, p99 of {count} edits");
        self.findings.target(name, slowest, 2_000);
        let median = times.get(times.len() / 2).copied();
        self.findings
            .note_ms("document in force on 9 hosts, median", median);
        self.findings
            .broken
            .push(("races without one winner", self.unfair_races));
        let reverted = self.findings.reverted;
        self.findings
            .broken
            .push(("documents that reverted", reverted));
        let samples = self.load.samples();
        let cut_off = samples.iter().filter(|sample| {
            Some(sample.phase) == self.findings.terminate_phase
                && sample.outcome == Outcome::Unknown
        });
        let cut_off = cut_off.count();
        self.findings
            .broken
            .push(("requests cut off by an orderly stop", cut_off));
        let records = self.platform.ledger.records();
        judge::check_requests(&samples, &records, &mut self.findings);
        judge::check_tasks(accepted, &records, &mut self.findings);
    }

    /// Counts the entry hosts whose document is not the last accepted edit.
    pub(crate) async fn check_revisions(&mut self) {
        for at in 0..self.hosts.all.len() {
            let known = self.operator.revision(at).await;
            if known != Some(self.revision) {
                let name: &SmolStr = &self.hosts.all[at].name;
                println!("{name} has revision {known:?}, expected {}", self.revision);
                self.findings.reverted += 1;
            }
        }
    }
}
