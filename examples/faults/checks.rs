//! What the fakes recorded, and the checks on it after every step.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::digest::Document;
use primrosestack_core::journal::Entry;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::Shard;
use primrosestack_core::tasks::JobState;
use smol_str::SmolStr;

use crate::host::shard_of;
use crate::schedule::SHARDS;
use crate::server::End;

/// Time after which a server that leaves gets no new start.
const LEAVE_US: u64 = 3_000_000;

/// A failed check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub check: &'static str,
    pub detail: String,
}

/// Result of a check.
pub type Checked = Result<(), Violation>;

#[derive(Debug)]
struct RunRecord {
    attempt: Attempt,
    server: usize,
    end: Option<End>,
    lost: bool,
    reported_in: Vec<u64>,
    acknowledged_in: Option<u64>,
}

#[derive(Debug, Default)]
struct JobRecord {
    tasks: u32,
    possible: u32,
    cancels_possible: u32,
    accepted: bool,
    parked: bool,
    cancelled_by: Vec<HostId>,
}

#[derive(Debug, Default)]
struct KeyRecord {
    possible: u32,
    fresh: u32,
    sent: u32,
}

/// Latest `Evicted` record of a task in the journal.
#[derive(Debug)]
struct Recorded {
    attempt: Attempt,
    checkpoint: SmolStr,
    earlier: Option<SmolStr>,
}

/// Records of one seed.
#[derive(Debug, Default)]
pub struct Checks {
    /// How often what happened.
    pub figures: BTreeMap<&'static str, u64>,
    runs: BTreeMap<TaskId, Vec<RunRecord>>,
    jobs: BTreeMap<JobId, JobRecord>,
    keys: BTreeMap<u64, KeyRecord>,
    evicted: BTreeMap<TaskId, Recorded>,
    ended: BTreeSet<TaskId>,
    terms: [u64; SHARDS],
    leaving: BTreeMap<(HostId, usize), u64>,
    documents: BTreeMap<(HostId, SmolStr), u64>,
    edits: BTreeMap<(SmolStr, u64), Document>,
}

/// A start that a server accepted.
pub struct Started {
    pub server: usize,
    pub task: TaskId,
    pub attempt: Attempt,
    pub resumes: bool,
}

/// Fails a check unless the condition holds.
pub fn require(holds: bool, check: &'static str, detail: impl FnOnce() -> String) -> Checked {
    if holds {
        return Ok(());
    }
    Err(Violation {
        check,
        detail: detail(),
    })
}

impl Checks {
    /// A caller submits a job.
    pub fn submitted(&mut self, job: JobId, tasks: u32) {
        let record = self.jobs.entry(job).or_default();
        record.tasks = tasks;
        record.possible += 1;
    }

    /// A caller cancels jobs.
    pub fn cancelling(&mut self, jobs: &[JobId]) {
        for job in jobs {
            self.jobs.entry(*job).or_default().cancels_possible += 1;
        }
    }

    /// A caller claims a key.
    pub fn claiming(&mut self, key: u64) {
        self.keys.entry(key).or_default().possible += 1;
    }

    /// A submission was answered.
    pub fn submit_reply(&mut self, job: JobId, reply: &CallerReply) -> Checked {
        let started = self.runs.keys().any(|task| task.job == job);
        let record = self.jobs.entry(job).or_default();
        match reply {
            CallerReply::Accepted { job: accepted, .. } => {
                record.accepted = true;
                require(*accepted == job, "answer of another request", || {
                    format!("{accepted:?} answered for {job:?}")
                })
            }
            CallerReply::NotRun(reason) => {
                record.possible -= 1;
                let none = record.possible == 0 && started;
                require(!none, "not run left an effect", || {
                    format!("{job:?} was started and then refused with {reason:?}")
                })
            }
            CallerReply::Unknown => Ok(()),
            other => require(false, "answer of another request", || {
                format!("{other:?} answered a submission")
            }),
        }
    }

    /// A cancellation was answered.
    pub fn cancel_reply(&mut self, by: &HostId, jobs: &[JobId], reply: &CallerReply) -> Checked {
        match reply {
            CallerReply::Cancelled(cancelled) => {
                for job in cancelled {
                    require(jobs.contains(job), "answer of another request", || {
                        format!("{job:?} cancelled for a call about {jobs:?}")
                    })?;
                    let record = self.jobs.entry(*job).or_default();
                    record.cancelled_by.push(by.clone());
                }
                Ok(())
            }
            CallerReply::NotRun(_) => {
                for job in jobs {
                    self.jobs.entry(*job).or_default().cancels_possible -= 1;
                }
                Ok(())
            }
            CallerReply::Unknown => Ok(()),
            other => require(false, "answer of another request", || {
                format!("{other:?} answered a cancellation")
            }),
        }
    }

    /// A claim was answered.
    pub fn claim_reply(&mut self, key: u64, reply: &CallerReply) -> Checked {
        let record = self.keys.entry(key).or_default();
        match reply {
            CallerReply::Key(KeyReply::Fresh) => {
                record.fresh += 1;
                require(record.fresh == 1, "claimed key sent twice", || {
                    format!("key {key} was fresh {} times", record.fresh)
                })
            }
            CallerReply::Key(KeyReply::Unknown) => {
                let others = record.possible - 1;
                require(others > 0, "not run left an effect", || {
                    format!("key {key} counts as used, but every other claim was not run")
                })
            }
            CallerReply::Key(KeyReply::Answered(answer)) => {
                let own = answer.starts_with(body_of(key).as_bytes());
                require(own, "answer of another request", || {
                    format!("key {key} got {answer:?}")
                })
            }
            CallerReply::NotRun(_) => {
                record.possible -= 1;
                Ok(())
            }
            CallerReply::Unknown => Ok(()),
            other => require(false, "answer of another request", || {
                format!("{other:?} answered a claim")
            }),
        }
    }

    /// A server runs the request of a key.
    pub fn request_run(&mut self, key: u64) -> Checked {
        let record = self.keys.entry(key).or_default();
        record.sent += 1;
        *self.figures.entry("request").or_default() += 1;
        require(record.sent == 1, "claimed key sent twice", || {
            format!("request of key {key} ran {} times", record.sent)
        })
    }

    /// A caller gets the answer of its request.
    pub fn request_answered(key: u64, body: &[u8]) -> Checked {
        let own = body.starts_with(body_of(key).as_bytes());
        require(own, "answer of another request", || {
            format!(
                "caller of key {key} got {:?}",
                String::from_utf8_lossy(body)
            )
        })
    }

    /// A host learns whether a server leaves.
    pub fn listed(&mut self, now_us: u64, host: &HostId, server: usize, leaving: bool) {
        if leaving {
            self.leaving.entry((host.clone(), server)).or_insert(now_us);
        } else {
            self.leaving.remove(&(host.clone(), server));
        }
    }

    /// An owner sends a start.
    pub fn start_sent(
        &mut self,
        now_us: u64,
        by: &HostId,
        server: usize,
        (task, attempt): (TaskId, Attempt),
        resume: Option<&SmolStr>,
    ) -> Checked {
        let record = self.evicted.get(&task);
        let owns = self.terms[shard_of(task.job.0)] == attempt.term;
        let exact = resume == record.map(|record| &record.checkpoint);
        // An attempt may fail by itself while its record is on the way to the store.
        let failed = record.is_some_and(|record| {
            let mut runs = self.runs.get(&task).into_iter().flatten();
            let failed =
                runs.any(|run| run.attempt == record.attempt && run.end == Some(End::Failed));
            failed && resume == record.earlier.as_ref()
        });
        require(
            !owns || exact || failed,
            "not resumed from the record",
            || format!("{task:?} {attempt:?} starts from {resume:?}, recorded is {record:?}"),
        )?;
        let since_us = self.leaving.get(&(by.clone(), server));
        let late = since_us.is_some_and(|since_us| now_us > since_us + LEAVE_US);
        require(!late, "start on a leaving server", || {
            format!("{by:?} starts {task:?} on server {server}, leaving since {since_us:?} us")
        })?;
        let record = self.jobs.entry(task.job).or_default();
        let cancelled = record.cancelled_by.contains(by);
        require(!cancelled, "cancelled task started", || {
            format!("{by:?} starts {task:?} after it answered the cancellation")
        })?;
        // Only later owners know of an end; a start that is sent before the end was reported may arrive after it.
        for run in self.runs.get(&task).into_iter().flatten() {
            let acknowledged = run.acknowledged_in.is_some_and(|term| attempt.term >= term);
            let told = acknowledged || run.reported_in.contains(&attempt.term);
            require(!told, "ended twice", || {
                format!("{task:?} {attempt:?} starts after the success of {run:?} was known")
            })?;
        }
        Ok(())
    }

    /// A server accepted a start.
    pub fn started(&mut self, start: &Started) -> Checked {
        let (task, attempt) = (start.task, start.attempt);
        let job = self.jobs.entry(task.job).or_default();
        require(job.possible > 0, "not run left an effect", || {
            format!("{task:?} starts, but every submission was not run")
        })?;
        let runs = self.runs.entry(task).or_default();
        let what = if start.resumes { "resume" } else { "start" };
        *self.figures.entry(what).or_default() += 1;
        for run in runs.iter() {
            require(run.end.is_some(), "two places", || {
                format!("{task:?} {attempt:?} starts while {run:?} runs")
            })?;
        }
        runs.push(RunRecord {
            attempt,
            server: start.server,
            end: None,
            lost: false,
            reported_in: Vec::new(),
            acknowledged_in: None,
        });
        Ok(())
    }

    /// An attempt ended at its server.
    pub fn ended(&mut self, task: TaskId, attempt: Attempt, end: End) {
        let Some(run) = self.run(task, attempt) else {
            return;
        };
        run.end = Some(end);
        self.count(match end {
            End::Succeeded => "success",
            End::Failed => "failure",
            End::Stopped => "stop",
            End::Lapsed => "lapse",
        });
    }

    /// A server stops a running attempt on command.
    pub fn stopped(&mut self, task: TaskId, attempt: Attempt) -> Checked {
        self.ended(task, attempt, End::Stopped);
        let evicted = self.evicted.get(&task);
        let recorded = evicted.is_some_and(|record| record.attempt == attempt);
        let job = self.jobs.entry(task.job).or_default();
        let runs = self.runs.get(&task).into_iter().flatten();
        let mut known = runs.flat_map(|run| &run.reported_in);
        let allowed = recorded || job.cancels_possible > 0 || job.parked || known.next().is_some();
        require(allowed, "stopped without record", || {
            format!("{task:?} {attempt:?} is stopped; latest record {evicted:?}")
        })
    }

    /// A shard's head was written with these new records.
    pub fn recorded(&mut self, shard: usize, term: u64, entries: Vec<Entry>) -> Checked {
        self.terms[shard] = term;
        for entry in entries {
            match entry {
                Entry::Evicted(record) => {
                    let task = record.task.into();
                    let attempt = Attempt {
                        term: record.attempt_term,
                        counter: record.attempt_counter,
                    };
                    let checkpoint = record.checkpoint.into();
                    let earlier = self.evicted.remove(&task);
                    let recorded = Recorded {
                        attempt,
                        checkpoint,
                        earlier: earlier.map(|earlier| earlier.checkpoint),
                    };
                    self.evicted.insert(task, recorded);
                    self.count("evicted record");
                }
                Entry::Parked(record) => {
                    let job = self.jobs.entry(JobId(record.job)).or_default();
                    job.parked = true;
                    self.count("parked record");
                }
                Entry::Ended(record) => {
                    let first: TaskId = record.first.into();
                    for index in first.index..first.index + record.tasks {
                        let task = TaskId { index, ..first };
                        let new = self.ended.insert(task);
                        require(new, "ended twice", || format!("{task:?} has two records"))?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// A server died with all its attempts.
    pub fn crashed(&mut self, server: usize) {
        for run in self.runs.values_mut().flatten() {
            if run.server == server && run.end.is_none() {
                run.end = Some(End::Lapsed);
                run.lost = true;
            }
        }
    }

    /// The owner of a term received a report that shows the attempt's success.
    pub fn success_reported(&mut self, term: u64, task: TaskId, attempt: Attempt) {
        if let Some(run) = self.run(task, attempt) {
            run.reported_in.push(term);
        }
    }

    /// The owner of a term lets a server forget an attempt.
    pub fn acknowledged(&mut self, term: u64, task: TaskId, attempt: Attempt) {
        if let Some(run) = self.run(task, attempt) {
            let succeeded = run.end == Some(End::Succeeded);
            run.acknowledged_in = succeeded.then_some(term);
        }
    }

    /// A host has this revision in force.
    pub fn in_force(&mut self, host: &HostId, team: &SmolStr, revision: u64) -> Checked {
        let seen = self
            .documents
            .entry((host.clone(), team.clone()))
            .or_default();
        require(revision >= *seen, "document went back", || {
            format!("{host:?} had revision {seen} of {team} and now has {revision}")
        })?;
        *seen = revision;
        Ok(())
    }

    /// An edit was accepted that was based on the revision `if_match`.
    pub fn edited(&mut self, if_match: u64, document: &Document) -> Checked {
        require(
            document.revision == if_match + 1,
            "edit of an old revision",
            || format!("{document:?} was based on revision {if_match}"),
        )?;
        self.count("edit");
        let at = (document.team.clone(), document.revision);
        let first = self.edits.entry(at).or_insert_with(|| document.clone());
        require(first == document, "two edits of one revision", || {
            format!("{first:?} and {document:?} were both accepted")
        })
    }

    /// Checks at the end that every accepted task has ended, and that the jobs submitted after the faults were accepted.
    pub fn finished(&self, last_jobs: &[JobId]) -> Checked {
        for job in last_jobs {
            let accepted = self.jobs.get(job).is_some_and(|record| record.accepted);
            require(accepted, "shard accepts no work", || format!("{job:?}"))?;
        }
        for (task, runs) in &self.runs {
            let running = runs.iter().any(|run| run.end.is_none());
            require(!running, "still running", || format!("{task:?}: {runs:?}"))?;
        }
        Ok(())
    }

    /// Checks at the end that the owner of a shard knows every accepted job in its final state.
    pub fn settled(&self, shard: usize, owner: &Shard) -> Checked {
        for (job, record) in &self.jobs {
            if shard_of(job.0) != shard || !record.accepted {
                continue;
            }
            let state = owner.job(*job).map(|job| job.state);
            let legal = match state {
                Some(JobState::Ended) => (0..record.tasks).all(|index| {
                    let runs = self.runs.get(&TaskId { job: *job, index });
                    let mut runs = runs.into_iter().flatten();
                    let succeeded = runs.any(|run| run.end == Some(End::Succeeded));
                    succeeded && self.ended.contains(&TaskId { job: *job, index })
                }),
                Some(JobState::Cancelled) => record.cancels_possible > 0,
                Some(JobState::Parked(_)) => record.parked,
                Some(JobState::Active) | None => false,
            };
            require(legal, "accepted job not ended", || {
                format!("{job:?} is {state:?}: {record:?}")
            })?;
        }
        Ok(())
    }

    /// Checks at the end that the accepted edits are in force at a host.
    pub fn edits_in_force(&self, host: &HostId, documents: &[Document]) -> Checked {
        for ((team, revision), edit) in &self.edits {
            let held = documents.iter().find(|document| document.team == *team);
            let kept = held.is_some_and(|held| {
                held.revision > *revision || held.revision == *revision && held.text == edit.text
            });
            require(kept, "accepted edit not in force", || {
                format!("{host:?} holds {held:?} and not {edit:?}")
            })?;
        }
        Ok(())
    }

    /// Counts something that happened, to show what a range of seeds exercised.
    pub fn count(&mut self, what: &'static str) {
        *self.figures.entry(what).or_default() += 1;
    }

    fn run(&mut self, task: TaskId, attempt: Attempt) -> Option<&mut RunRecord> {
        let runs = self.runs.get_mut(&task)?;
        runs.iter_mut().find(|run| run.attempt == attempt)
    }
}

/// First bytes of the answer to the request of a key.
pub fn body_of(key: u64) -> String {
    format!("key {key};")
}
