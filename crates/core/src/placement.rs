//! Choice of the backend server that runs a batch task.

use smol_str::SmolStr;

use crate::capacity::Resources;
use crate::ids::{ServerKey, TaskId};
use crate::time::MonoMs;

/// The backend servers of one rack in one shard; a pending task is bound to one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellKey(pub u32);

/// How the scheduler weighs its goals; set in the service documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Weight of the tail latency of requests, in thousandths.
    pub latency_permille: u32,
    /// Weight of batch throughput, in thousandths.
    pub throughput_permille: u32,
    /// Weight of work lost to evictions, in thousandths.
    pub eviction_permille: u32,
}

/// What the scheduler needs to know of a batch task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// The task.
    pub task: TaskId,
    /// Team that owns it.
    pub team: SmolStr,
    /// Client that submitted it.
    pub client: SmolStr,
    /// Kind of work.
    pub kind: SmolStr,
    /// Declared size.
    pub size: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Time by which it should have ended, on the local monotonic clock.
    pub finish_by: Option<MonoMs>,
    /// Cell that it is bound to.
    pub cell: CellKey,
}

/// A task and the server that it goes to; its size is reserved there already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The server.
    pub server: ServerKey,
    /// What is reserved.
    pub reserved: Resources,
}

/// A measure that gives room back to latency-critical requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Limit the processor time of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The limit, in thousandths of a core.
        millicores: u32,
    },
    /// Checkpoint and stop a task, which is then pending again.
    Evict {
        /// The task.
        task: TaskId,
    },
}

/// What a lagging report says of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Observed use.
    pub used: Resources,
    /// Observed slowdown in thousandths: 1,000 means undisturbed.
    pub slowdown_permille: u32,
}

struct Server {
    key: ServerKey,
    cell: CellKey,
    size: Resources,
    reserved: Resources,
    open: bool,
}

struct Running {
    task: TaskId,
    server: ServerKey,
    reserved: Resources,
}

/// Places batch tasks on the servers of one shard.
pub struct Scheduler {
    servers: Vec<Server>,
    pending: Vec<TaskRequest>,
    running: Vec<Running>,
}

impl Scheduler {
    /// Opens a scheduler without servers; `seed` breaks ties.
    #[must_use]
    pub fn open(_objective: Objective, _seed: u64) -> Self {
        Self {
            servers: Vec::new(),
            pending: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a server, or changes its size. A new server is closed.
    pub fn put_server(&mut self, key: ServerKey, cell: CellKey, size: Resources) {
        match self.servers.binary_search_by_key(&key, |server| server.key) {
            Ok(at) => self.servers[at].size = size,
            Err(at) => self.servers.insert(
                at,
                Server {
                    key,
                    cell,
                    size,
                    reserved: Resources::default(),
                    open: false,
                },
            ),
        }
    }

    /// Opens or closes a server for new tasks.
    pub fn set_open(&mut self, key: ServerKey, open: bool) {
        if let Ok(at) = self.servers.binary_search_by_key(&key, |server| server.key) {
            self.servers[at].open = open;
        }
    }

    /// Sets the quota of a team, the weight of its share.
    pub fn set_quota(&mut self, _team: &str, _weight: u32) {}

    /// Whether some server could hold `size` when empty.
    #[must_use]
    pub fn can_ever_hold(&self, size: Resources) -> bool {
        self.servers.iter().any(|server| size.fits_in(server.size))
    }

    /// Adds a pending task.
    pub fn submit(&mut self, _now: MonoMs, request: TaskRequest) {
        self.pending.push(request);
    }

    /// Records that a task already runs on a server, as found by a new owner.
    pub fn adopt(&mut self, _now: MonoMs, request: &TaskRequest, server: ServerKey) {
        self.reserve(request.task, server, request.size);
    }

    /// Forgets a task, pending or running, and frees what it had reserved.
    pub fn remove(&mut self, _now: MonoMs, task: TaskId) {
        self.pending.retain(|request| request.task != task);
        let Some(at) = self.running.iter().position(|running| running.task == task) else {
            return;
        };
        let running = self.running.swap_remove(at);
        if let Ok(at) = self
            .servers
            .binary_search_by_key(&running.server, |server| server.key)
        {
            let server = &mut self.servers[at];
            server.reserved = server.reserved.saturating_sub(running.reserved);
        }
    }

    /// Takes the next pending task in fair order that some open server of its cell can hold.
    pub fn next(&mut self, _now: MonoMs) -> Option<Placement> {
        for at in 0..self.pending.len() {
            let request = &self.pending[at];
            let found = self.servers.iter().find(|server| {
                server.open
                    && server.cell == request.cell
                    && server
                        .reserved
                        .saturating_add(request.size)
                        .fits_in(server.size)
            });
            let Some(server) = found else {
                continue;
            };
            let key = server.key;
            let request = self.pending.remove(at);
            self.reserve(request.task, key, request.size);
            return Some(Placement {
                task: request.task,
                server: key,
                reserved: request.size,
            });
        }
        None
    }

    /// Takes in a lagging report of a server.
    pub fn report(
        &mut self,
        _now: MonoMs,
        _server: ServerKey,
        _usage: &[TaskUsage],
        _request_slowdown_permille: u32,
    ) {
    }

    /// Chooses what gives `need` back to latency-critical requests on a server.
    pub fn relieve(&mut self, _now: MonoMs, server: ServerKey, need: Resources) -> Vec<Relief> {
        let mut freed = Resources::default();
        let mut relief = Vec::new();
        for running in self
            .running
            .iter()
            .filter(|running| running.server == server)
        {
            if need.fits_in(freed) {
                break;
            }
            freed = freed.saturating_add(running.reserved);
            relief.push(Relief::Evict { task: running.task });
        }
        relief
    }

    fn reserve(&mut self, task: TaskId, server: ServerKey, reserved: Resources) {
        self.running.push(Running {
            task,
            server,
            reserved,
        });
        if let Ok(at) = self
            .servers
            .binary_search_by_key(&server, |server| server.key)
        {
            let server = &mut self.servers[at];
            server.reserved = server.reserved.saturating_add(reserved);
        }
    }
}
