//! Callers that submit, cancel and claim, and try again at other hosts.

use std::collections::BTreeMap;

use primrosestack_core::prelude::*;

use crate::checks::{Checked, Checks, Violation};
use crate::host::shard_of;
use crate::schedule::{Deed, JobPlan};

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Ask {
    Submit(usize),
    Cancel(Vec<JobId>),
    Claim(u64),
}

/// One caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub ask: Ask,
    pub shard: usize,
    pub host: usize,
    pub waits: Option<CallerToken>,
}

/// What a caller does after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Done,
    Retry(u64),
    Send(u64),
}

/// All callers and the calls that have no reply yet.
#[derive(Default)]
pub struct Callers {
    pub list: Vec<Caller>,
    tokens: BTreeMap<CallerToken, (usize, HostId)>,
    last: u64,
}

impl Callers {
    /// Adds the callers of a deed and returns their indices.
    pub fn add(&mut self, deed: &Deed, host: usize) -> Vec<usize> {
        let asks = match deed {
            Deed::Submit(job) => vec![Ask::Submit(*job)],
            Deed::Claim(key) => vec![Ask::Claim(*key)],
            Deed::Cancel(jobs) => cancels(jobs),
            Deed::Pressure { .. } | Deed::Edit { .. } => Vec::new(),
        };
        let first = self.list.len();
        for ask in asks {
            let shard = match &ask {
                Ask::Submit(job) => shard_of(*job as u64),
                Ask::Cancel(jobs) => shard_of(jobs[0].0),
                Ask::Claim(key) => shard_of(*key),
            };
            self.list.push(Caller {
                ask,
                shard,
                host,
                waits: None,
            });
        }
        (first..self.list.len()).collect()
    }

    /// Calls a host; the event goes to the shard of the caller.
    pub fn call(
        &mut self,
        caller: usize,
        host: &HostId,
        jobs: &[JobPlan],
        checks: &mut Checks,
    ) -> (CallerToken, Event) {
        self.last += 1;
        let token = CallerToken(self.last);
        self.tokens.insert(token, (caller, host.clone()));
        self.list[caller].waits = Some(token);
        let event = match &self.list[caller].ask {
            Ask::Submit(job) => {
                let spec = spec(*job, &jobs[*job]);
                checks.submitted(spec.id, spec.tasks);
                Event::Submit { token, job: spec }
            }
            Ask::Cancel(jobs) => {
                checks.cancelling(jobs);
                let jobs = jobs.clone();
                Event::Cancel { token, jobs }
            }
            Ask::Claim(key) => {
                checks.claiming(*key);
                let key = RequestKey((*key).into());
                Event::ClaimKey { token, key }
            }
        };
        (token, event)
    }

    /// Takes a reply of a host. A call has one reply, at the host that was called.
    pub fn reply(
        &mut self,
        by: &HostId,
        token: CallerToken,
        reply: &CallerReply,
        checks: &mut Checks,
    ) -> Result<(usize, Next), Violation> {
        let waited = self.tokens.remove(&token);
        let Some((caller, _)) = waited.filter(|(_, host)| host == by) else {
            return Err(Violation {
                check: "answer of another request",
                detail: format!("{by:?} replies {reply:?} to {token:?}, which waits for none"),
            });
        };
        self.check(caller, by, reply, checks)?;
        let state = &mut self.list[caller];
        if state.waits != Some(token) {
            return Ok((caller, Next::Done));
        }
        state.waits = None;
        let next = match reply {
            CallerReply::NotRun(NotRun::NotOwner) => Next::Retry(200_000),
            CallerReply::NotRun(NotRun::TooLarge) => Next::Done,
            CallerReply::NotRun(_) => Next::Retry(2_000_000),
            CallerReply::Unknown => Next::Retry(1_000_000),
            CallerReply::Key(KeyReply::Fresh) => match state.ask {
                Ask::Claim(key) => Next::Send(key),
                _ => Next::Done,
            },
            _ => Next::Done,
        };
        Ok((caller, next))
    }

    /// Whether a caller still waits for this call; it then gives it up.
    pub fn expire(&mut self, caller: usize, token: CallerToken) -> bool {
        let waits = self.list[caller].waits == Some(token);
        if waits {
            self.list[caller].waits = None;
        }
        waits
    }

    fn check(
        &self,
        caller: usize,
        by: &HostId,
        reply: &CallerReply,
        checks: &mut Checks,
    ) -> Checked {
        match &self.list[caller].ask {
            Ask::Submit(job) => checks.submit_reply(JobId(*job as u64), reply),
            Ask::Cancel(jobs) => checks.cancel_reply(by, jobs, reply),
            Ask::Claim(key) => checks.claim_reply(*key, reply),
        }
    }
}

fn cancels(jobs: &[usize]) -> Vec<Ask> {
    let mut asks = Vec::new();
    for shard in [0, 1] {
        let jobs = jobs.iter().map(|job| *job as u64);
        let own: Vec<JobId> = jobs
            .filter(|job| shard_of(*job) == shard)
            .map(JobId)
            .collect();
        if !own.is_empty() {
            asks.push(Ask::Cancel(own));
        }
    }
    asks
}

fn spec(job: usize, plan: &JobPlan) -> JobSpec {
    JobSpec {
        id: JobId(job as u64),
        team: ["agro", "frio"][job % 2].into(),
        client: "client".into(),
        kind: ["invoice", "photo"][job % 2].into(),
        tasks: plan.tasks,
        size: Resources {
            millicores: plan.millicores,
            memory_mib: 1_024,
            accelerators: 0,
        },
        run_ms: plan.work_ms,
        finish_by_unix_ms: 0,
    }
}
