//! Moves of jobs to other shards, as the daemon makes them for an owner.
//!
//! The home of the job is read, and changed on condition that it has not changed, that no cancellation was written for
//! the old one, and that the term has not ended. No records are written during an attempt. The outcome of one without an
//! answer is told by the home's revision; if this has not changed, a transaction of the term keeps it from taking effect.

use primrosestack_fleet::rehome::JobMove;

use super::links::{StoreAnswer, StoreCall};
use super::store::{Transaction, Value, home_key, inbox_key, progress_key};
use super::{Event, World};

pub(super) const PASS_INTERVAL_MS: u64 = 250;
/// The same while the failure domain of the shard is evacuated.
const EVACUATION_PASS_INTERVAL_MS: u64 = 50;
const MOVES_PER_PASS_MAX: usize = 16;
const RETRY_DELAY_MS: u64 = 150;

/// Moves of one pass, one after the other.
#[derive(Default)]
pub(super) struct Moves {
    count: usize,
    current: Option<Move>,
}

/// A job that stands still until the outcome of its move is known.
struct Move {
    taken: JobMove,
    stage: Stage,
    /// Revision of the home on which an attempt without an answer was conditional.
    tried_revision: Option<u64>,
}

/// Stage of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    /// The transaction waits for the call under way.
    Ready {
        home_revision: u64,
    },
    Writing {
        home_revision: u64,
    },
    /// Between two attempts.
    Pausing,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attempt {
    /// The job has moved. Entries of its old home up to this revision were written before that.
    Moved(u64),
    /// The job was cancelled, or must stay for another reason.
    Refused,
    /// The attempt had no effect and will have none.
    Failed,
    /// The attempt to change the home, which was written at this revision, may have taken effect or may still do so.
    Unknown(u64),
}

impl Moves {
    /// Whether an attempt is under way, during which no records are written.
    pub fn is_attempting(&self) -> bool {
        let stage = self.current.as_ref().map(|current| current.stage);
        stage.is_some_and(|stage| stage != Stage::Pausing)
    }
}

impl World {
    /// Begins a pass, or the next attempt of the move under way.
    pub(super) fn moves_due(&mut self, id: usize) {
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        if owner.moves.current.is_some() {
            self.read_home(id);
            return;
        }
        owner.moves.count = 0;
        self.next_move(id);
    }

    /// Takes the next job of a pass, or ends the pass.
    fn next_move(&mut self, id: usize) {
        let now = self.now_ms();
        let mut others = self.other_loads(id);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let moves = &mut owner.moves;
        if moves.count < MOVES_PER_PASS_MAX
            && let Some(job_move) = owner.shard.take_job_move(&mut others, now)
        {
            moves.count += 1;
            let (job, to) = (job_move.id, job_move.failure_domain.clone());
            moves.current = Some(Move {
                taken: job_move,
                stage: Stage::Pausing,
                tried_revision: None,
            });
            self.set_loads(others);
            self.note(|| format!("owner {id}: job {job} is to move to shard {to}"));
            self.read_home(id);
            return;
        }
        let interval_ms = if owner.shard.is_evacuated() {
            EVACUATION_PASS_INTERVAL_MS
        } else {
            PASS_INTERVAL_MS
        };
        self.events
            .after(interval_ms, Event::MovesDue { owner: id });
    }

    fn read_home(&mut self, id: usize) {
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let Some(current) = &mut owner.moves.current else {
            return;
        };
        current.stage = Stage::Reading;
        let call = StoreCall::ReadHome {
            owner: id,
            job: current.taken.id,
        };
        let host = owner.host;
        self.call_store(host, call, None);
    }

    /// Handles the answer with the home of the job.
    pub(super) fn home_read(&mut self, id: usize, answer: &StoreAnswer) {
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let domain = owner.domain;
        let Some(current) = &mut owner.moves.current else {
            return;
        };
        let tried_revision = current.tried_revision;
        let StoreAnswer::Read { item, .. } = answer else {
            let attempt = tried_revision.map_or(Attempt::Failed, Attempt::Unknown);
            self.move_tried(id, attempt);
            return;
        };
        if let Some(home_revision) = tried_revision {
            let revision = item.as_ref().map_or(0, |item| item.revision);
            if revision == home_revision {
                current.stage = Stage::Ready { home_revision };
                self.write_move(id);
            } else {
                // If the job has come back since, its entry was written with the home.
                let moved_revision = home_revision.max(revision.saturating_sub(1));
                self.move_tried(id, Attempt::Moved(moved_revision));
            }
            return;
        }
        let home = item.as_ref().map(|item| (&*item.value, item.revision));
        let Some((&Value::Home(home), home_revision)) = home else {
            self.move_tried(id, Attempt::Refused);
            return;
        };
        if home != domain {
            // The copy of the job was read from an outdated entry.
            self.move_tried(id, Attempt::Moved(home_revision));
            return;
        }
        current.stage = Stage::Ready { home_revision };
        self.write_move(id);
    }

    /// Writes the move under way if it is ready and no other call is under way.
    pub(super) fn write_move(&mut self, id: usize) {
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let (host, domain) = (owner.host, owner.domain);
        let is_calling = owner.is_calling();
        let Some(current) = &mut owner.moves.current else {
            return;
        };
        let to = current.taken.failure_domain.parse();
        let Stage::Ready { home_revision } = current.stage else {
            return;
        };
        if is_calling {
            return;
        }
        current.stage = Stage::Writing { home_revision };
        let job = current.taken.id;
        let transaction = if current.tried_revision.is_some() {
            Transaction::default().expect(home_key(job), home_revision)
        } else if to.is_ok_and(|to| self.hosts[host].operator.is_evacuated(to)) {
            self.move_tried(id, Attempt::Refused);
            return;
        } else if let Some(job_move) = owner.shard.current_move(&current.taken) {
            transaction_of(domain, &job_move, home_revision)
        } else {
            self.move_tried(id, Attempt::Refused);
            return;
        };
        self.commit_in_term(id, &transaction, StoreCall::Move { owner: id, job });
    }

    /// Writes the move under way again after it met an outdated revision of the term.
    pub(super) fn rewrite_move(&mut self, id: usize) {
        let owner = self.owners[id].as_mut();
        if let Some(current) = owner.and_then(|owner| owner.moves.current.as_mut())
            && let Stage::Writing { home_revision } = current.stage
        {
            current.stage = Stage::Ready { home_revision };
        }
        self.write_move(id);
    }

    /// Handles the answer to the transaction of an attempt, committed at a revision.
    pub(super) fn move_written(&mut self, id: usize, revision: u64) {
        let owner = self.owners[id].as_ref();
        let current = owner.and_then(|owner| owner.moves.current.as_ref());
        let is_settled = current.is_some_and(|current| current.tried_revision.is_some());
        let attempt = if is_settled {
            Attempt::Failed
        } else {
            Attempt::Moved(revision)
        };
        self.move_tried(id, attempt);
    }

    /// Handles a transaction of an attempt that had no answer, or whose conditions do not hold.
    pub(super) fn move_not_written(&mut self, id: usize, is_cancelled: bool) {
        let owner = self.owners[id].as_ref();
        let Some(current) = owner.and_then(|owner| owner.moves.current.as_ref()) else {
            return;
        };
        let Stage::Writing { home_revision } = current.stage else {
            return;
        };
        let attempt = if is_cancelled && current.tried_revision.is_none() {
            Attempt::Refused
        } else {
            Attempt::Unknown(home_revision)
        };
        self.move_tried(id, attempt);
    }

    /// Handles the outcome of an attempt.
    pub(super) fn move_tried(&mut self, id: usize, attempt: Attempt) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let Some(current) = &mut owner.moves.current else {
            return;
        };
        let (key, job) = (current.taken.key, current.taken.id);
        let is_known = match attempt {
            Attempt::Moved(revision) => {
                owner.shard.job_moved(key, revision, now);
                true
            }
            Attempt::Refused | Attempt::Failed => {
                owner.shard.job_kept(key, now);
                // The pass ends.
                owner.moves.count = MOVES_PER_PASS_MAX;
                true
            }
            Attempt::Unknown(home_revision) => {
                current.tried_revision = Some(home_revision);
                false
            }
        };
        if is_known {
            let host = owner.host;
            owner.moves.current = None;
            self.hosts[host].homes.remove(&job);
            self.next_move(id);
        } else {
            current.stage = Stage::Pausing;
            self.events
                .after(RETRY_DELAY_MS, Event::MovesDue { owner: id });
        }
        self.note(|| format!("owner {id}: move of job {job}: {attempt:?}"));
        self.write_records(id);
    }
}

/// Transaction that moves a job from its home, which was written at `home_revision`.
fn transaction_of(own: usize, job_move: &JobMove, home_revision: u64) -> Transaction {
    let id = job_move.id;
    let transaction = Transaction::default()
        .expect(home_key(id), home_revision)
        .expect(inbox_key(own, "cancel", id), 0)
        .remove(inbox_key(own, "job", id))
        .remove(progress_key(own, id))
        .remove(inbox_key(own, "failed", id));
    let Ok(to) = job_move.failure_domain.parse() else {
        return transaction;
    };
    transaction
        .put(home_key(id), Value::Home(to))
        .put(inbox_key(to, "job", id), Value::Job(job_move.spec.clone()))
        .put(
            progress_key(to, id),
            Value::Progress(job_move.progress.clone()),
        )
}
