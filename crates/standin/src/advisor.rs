//! Stand-in for the advisor, in simulated time.
//!
//! It decides about one server after the other, and handles the calls of a host in turn.

use primrosestack_fleet::job::TaskId;
use smol_str::SmolStr;

/// Whether a server may run the step of a task.
type Policy = dyn Fn(TaskId, &str) -> bool;

/// A call that has not been answered.
#[derive(Debug)]
struct Call {
    host: usize,
    task: TaskId,
    servers: Vec<SmolStr>,
    done_ms: u64,
}

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    pub host: usize,
    pub task: TaskId,
    /// Allowed servers with their tickets; `None` if the call is refused.
    pub tickets: Option<Vec<(SmolStr, SmolStr)>>,
}

/// The advisor, with the calls under way.
pub struct Advisor {
    /// Time for a call.
    decision_ms: u64,
    /// Further time for each server that it names.
    period_ms: u64,
    policy: Box<Policy>,
    calls: Vec<Call>,
    /// Whether it refuses calls.
    pub is_refusing: bool,
    /// Number of calls that were answered.
    pub calls_answered: usize,
    /// Number of servers that these named.
    pub servers_named: usize,
}

impl Advisor {
    #[must_use]
    pub fn open(
        decision_ms: u64,
        period_ms: u64,
        policy: impl Fn(TaskId, &str) -> bool + 'static,
    ) -> Self {
        Self {
            decision_ms,
            period_ms,
            policy: Box::new(policy),
            calls: Vec::new(),
            is_refusing: false,
            calls_answered: 0,
            servers_named: 0,
        }
    }

    /// Takes a call of a host, which waits for those before it.
    pub fn ask(&mut self, host: usize, task: TaskId, servers: Vec<SmolStr>, now_ms: u64) {
        let earlier = self.calls.iter().filter(|call| call.host == host);
        let free_ms = earlier.map(|call| call.done_ms).max().unwrap_or(0);
        let work_ms = self.decision_ms + self.period_ms * servers.len() as u64;
        self.calls.push(Call {
            host,
            task,
            servers,
            done_ms: free_ms.max(now_ms) + work_ms,
        });
    }

    /// Drops the calls of a host, which has gone.
    pub fn forget_host(&mut self, host: usize) {
        self.calls.retain(|call| call.host != host);
    }

    /// Answers to the calls that are done.
    pub fn answers(&mut self, now_ms: u64) -> Vec<Answer> {
        let done = self.calls.extract_if(.., |call| call.done_ms <= now_ms);
        let mut answers = Vec::new();
        for call in done {
            let mut answer = Answer {
                host: call.host,
                task: call.task,
                tickets: None,
            };
            if !self.is_refusing {
                self.calls_answered += 1;
                self.servers_named += call.servers.len();
                let mut servers = call.servers;
                servers.retain(|name| (self.policy)(call.task, name));
                let tickets = servers.into_iter().map(|name| (name, "ticket".into()));
                answer.tickets = Some(tickets.collect());
            }
            answers.push(answer);
        }
        answers
    }
}
