//! Faults of a deployment; all times are in milliseconds.

use super::World;

/// What goes wrong, and for how long.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process of a host is killed, and starts again.
    KillHost { host: usize, away_ms: u64 },
    /// The host that is announced as the owner of a shard is killed.
    KillOwner { domain: usize, away_ms: u64 },
    /// A host releases its shards, stops, and starts again.
    StopHost { host: usize, away_ms: u64 },
    /// End of a process that was asked to stop.
    StopProcess {
        host: usize,
        life: u32,
        away_ms: u64,
    },
    /// A host does nothing, and then goes on.
    FreezeHost { host: usize, for_ms: u64 },
    /// Nothing reaches a host, and it reaches nothing.
    CutHost { host: usize, for_ms: u64 },
    /// A host does not reach the store.
    CutHostFromStore { host: usize, for_ms: u64 },
    /// A server loses power, and starts again under its name.
    CrashServer { server: usize, away_ms: u64 },
    /// The process of a server ends and starts again; its connections are reset.
    RestartServer { server: usize, away_ms: u64 },
    /// A server loses power for good.
    LoseServer { server: usize },
    /// No call reaches a server, which runs on.
    CutServer { server: usize, for_ms: u64 },
    /// A server leaves orders unanswered and carries them out late.
    LateOrders { server: usize, for_ms: u64 },
    /// A server's answers are lost.
    LostAnswers { server: usize, for_ms: u64 },
    /// A failure domain is cut off from the store and from the others.
    CutDomain { domain: usize, for_ms: u64 },
    /// The host that is announced as the owner of a shard loses the store, the other hosts and all servers but those whose
    /// bits are set in `kept`; the other hosts lose these.
    SplitOwner {
        domain: usize,
        kept: u64,
        for_ms: u64,
    },
    /// A server announces that it leaves, and does so for good after this time.
    DrainServer { server: usize, leaves_in_ms: u64 },
    /// Departure of an incarnation of a server.
    LeaveServer { server: usize, life: u64 },
    /// The store is down.
    StoreDown { for_ms: u64 },
    /// The store is slow.
    StoreSlow { for_ms: u64 },
    /// Answers of the store are lost.
    StoreLostAnswers { for_ms: u64 },
    /// The store carries out some calls late and does not answer them.
    StoreLate { for_ms: u64 },
    /// The operator requests the evacuation of a failure domain.
    Evacuate { domain: usize },
    /// The operator takes a failure domain back.
    TakeBack { domain: usize },
    /// The store forgets its history.
    Compact,
    /// For tests of the checks: owners ignore all requests of the operator, or those before they opened their shard.
    IgnoreEvacuations { only_before_opening: bool },
}

impl World {
    pub(super) fn begin(&mut self, fault: &Fault) {
        let now = self.now_ms();
        self.note(|| format!("fault: {fault:?}"));
        match *fault {
            Fault::KillHost { host, away_ms } => self.kill_host(host, away_ms),
            Fault::KillOwner { domain, away_ms } => {
                let announced = self.domains[domain].announcement.owner;
                let owner = announced.and_then(|id| self.owners[id].as_ref());
                if let Some(host) = owner.map(|owner| owner.host) {
                    self.kill_host(host, away_ms);
                }
            }
            Fault::StopHost { host, away_ms } => self.stop_host(host, away_ms),
            Fault::StopProcess {
                host,
                life,
                away_ms,
            } => {
                if self.hosts[host].life == life {
                    self.kill_host(host, away_ms);
                }
            }
            Fault::FreezeHost { host, for_ms } => {
                if self.hosts[host].is_up {
                    self.hosts[host].frozen_until_ms = now + for_ms;
                }
            }
            Fault::CutHost { host, for_ms } => self.hosts[host].cut_until_ms = now + for_ms,
            Fault::CutHostFromStore { host, for_ms } => {
                self.hosts[host].store_cut_until_ms = now + for_ms;
            }
            Fault::CrashServer { server, away_ms } => self.crash_server(server, away_ms),
            Fault::RestartServer { server, away_ms } => self.restart_server(server, away_ms),
            Fault::LoseServer { server } => {
                self.servers[server].is_lost = true;
                self.crash_server(server, 0);
            }
            Fault::CutServer { server, for_ms } => {
                self.servers[server].cut_until_ms = now + for_ms;
            }
            Fault::LateOrders { server, for_ms } => {
                self.servers[server].late_until_ms = now + for_ms;
            }
            Fault::LostAnswers { server, for_ms } => {
                self.servers[server].lossy_until_ms = now + for_ms;
            }
            Fault::CutDomain { domain, for_ms } => {
                self.domains[domain].cut_until_ms = now + for_ms;
            }
            Fault::SplitOwner {
                domain,
                kept,
                for_ms,
            } => self.split_owner(domain, kept, now + for_ms),
            Fault::DrainServer {
                server,
                leaves_in_ms,
            } => self.drain_server(server, leaves_in_ms),
            Fault::LeaveServer { server, life } => self.leave(server, life),
            Fault::StoreDown { for_ms } => self.store_faults.down = now + for_ms,
            Fault::StoreSlow { for_ms } => self.store_faults.slow = now + for_ms,
            Fault::StoreLostAnswers { for_ms } => self.store_faults.lossy = now + for_ms,
            Fault::StoreLate { for_ms } => self.store_faults.late = now + for_ms,
            Fault::Evacuate { domain } => self.write_request(domain, true),
            Fault::TakeBack { domain } => self.write_request(domain, false),
            Fault::Compact => self.compact_history(),
            Fault::IgnoreEvacuations {
                only_before_opening,
            } => self.ignore_requests(only_before_opening),
        }
    }
}
