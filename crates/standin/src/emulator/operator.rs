//! Requests of the operator to evacuate failure domains, and how hosts read them: a list first, then watches, and a list
//! again after a failure or a compaction of the history.

use primrosestack_fleet::evacuation::Evacuations;
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};

use super::links::{FAULT_PERCENT, STORE_TIMEOUT_MS};
use super::store::{Transaction, Value};
use super::{Event, World};

/// Time after the acknowledgement of a request from which no task may start in its failure domain.
pub(super) const EVACUATION_MS: u64 = 5_000;

/// Time for which the sender of a start has to have reached the store for the start to be judged.
const CONTACT_MS: u64 = 4_000;

/// Time after which long-running tasks have to have left a failure domain, on a calm day with room elsewhere.
const VACATE_MS: u64 = 40_000;

const WATCH_WAIT_MS: u64 = 1_000;
const RETRY_DELAY_MS: u64 = 200;

const PREFIX: &str = "requests/";

/// Requests of the operator, and the calls that read them.
#[derive(Debug, Default)]
pub(super) struct Operator {
    /// Number of reads so far.
    reads: u64,
    /// Watches without a change to return yet.
    waiting: Vec<OperatorRead>,
    /// Changes up to this revision are no longer in the history.
    compacted_revision: u64,
    /// Requests that owners do not honour, for tests of the checks.
    ignored: Ignored,
    /// Failure domains with the times of the acknowledgement of their requests.
    acknowledged_ms: Vec<(usize, u64)>,
}

/// Requests that owners do not honour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Ignored {
    #[default]
    None,
    All,
    /// Those that were known when the owner opened its shard.
    BeforeOpening,
}

/// What a host knows of the requests.
#[derive(Debug, Default)]
pub(super) struct Follower {
    pub known: Evacuations,
    /// Revision from which to watch; `None` if it has to list.
    after: Option<u64>,
    /// Number of the read under way.
    read: u64,
}

impl Follower {
    pub fn is_evacuated(&self, domain: usize) -> bool {
        self.known.is_evacuated(&format_smolstr!("{domain}"))
    }
}

/// A list or watch of a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct OperatorRead {
    number: u64,
    pub host: usize,
    life: u32,
    /// Revision from which it watches; `None` for a list.
    after: Option<u64>,
    sent_ms: u64,
}

/// Result of a read, as of a revision.
#[derive(Clone, Debug)]
pub(super) enum OperatorAnswer {
    Listed {
        requests: Vec<(SmolStr, u64)>,
        revision: u64,
    },
    /// Failure domains with the revisions of their requests or take-backs, and whether they were requested.
    Changed {
        changes: Vec<(SmolStr, u64, bool)>,
        revision: u64,
    },
    Compacted,
    NoAnswer,
}

/// What happens at a time.
#[derive(Clone, Debug)]
pub(super) enum OperatorEvent {
    /// The operator writes or removes a request.
    Write {
        domain: usize,
        evacuates: bool,
    },
    Arrival(OperatorRead),
    WatchDue(OperatorRead),
    Reply(OperatorRead, OperatorAnswer),
    ReadDue {
        host: usize,
        life: u32,
    },
}

impl OperatorEvent {
    /// Host at which the event takes effect, if it does at one.
    pub fn host(&self) -> Option<usize> {
        match self {
            Self::Reply(read, _) => Some(read.host),
            Self::ReadDue { host, .. } => Some(*host),
            Self::Write { .. } | Self::Arrival(_) | Self::WatchDue(_) => None,
        }
    }
}

impl World {
    /// Has the hosts read the operator's requests, with a bound for evacuations.
    #[must_use]
    pub fn with_evacuations(mut self) -> Self {
        self.operator = Some(Operator::default());
        self
    }

    pub(super) fn evacuation_ms(&self) -> Option<u64> {
        self.operator.as_ref().map(|_| EVACUATION_MS)
    }

    pub(super) fn operator_event(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::Write { domain, evacuates } => self.write_request(domain, evacuates),
            OperatorEvent::Arrival(read) => self.operator_read(read),
            OperatorEvent::WatchDue(read) => self.end_watch(read),
            OperatorEvent::Reply(read, answer) => self.operator_replied(read, answer),
            OperatorEvent::ReadDue { host, life } => self.read_operator(host, life),
        }
    }

    /// Writes or removes a request once the store is up.
    pub(super) fn write_request(&mut self, domain: usize, evacuates: bool) {
        let now = self.now_ms();
        if now < self.store_faults.down {
            let event = OperatorEvent::Write { domain, evacuates };
            self.events
                .at(self.store_faults.down, Event::Operator(event));
            return;
        }
        let key = format_smolstr!("{PREFIX}{domain}");
        let transaction = if evacuates {
            Transaction::default().put(key, Value::Evacuation)
        } else {
            Transaction::default().remove(key)
        };
        let revision = self.commit_unconditionally(&transaction);
        self.note(|| format!("evacuation of {domain}: {evacuates}, revision {revision}"));
        let Some(operator) = &mut self.operator else {
            return;
        };
        let acknowledged = &mut operator.acknowledged_ms;
        if !evacuates {
            acknowledged.retain(|&(known, _)| known != domain);
        } else if !acknowledged.iter().any(|&(known, _)| known == domain) {
            acknowledged.push((domain, now));
        }
        self.wake_watches();
    }

    /// Forgets all changes so far.
    pub(super) fn compact_history(&mut self) {
        let revision = self.store.revision();
        if let Some(operator) = &mut self.operator {
            operator.compacted_revision = revision;
        }
        self.wake_watches();
    }

    pub(super) fn ignore_requests(&mut self, only_before_opening: bool) {
        if let Some(operator) = &mut self.operator {
            operator.ignored = if only_before_opening {
                Ignored::BeforeOpening
            } else {
                Ignored::All
            };
        }
    }

    fn wake_watches(&mut self) {
        let Some(operator) = &mut self.operator else {
            return;
        };
        for read in std::mem::take(&mut operator.waiting) {
            self.operator_read(read);
        }
    }

    /// Begins to read the requests for the process of a host.
    pub(super) fn read_operator(&mut self, host: usize, life: u32) {
        let now = self.now_ms();
        if !self.hosts[host].is_up || self.hosts[host].life != life {
            return;
        }
        let Some(operator) = &mut self.operator else {
            return;
        };
        operator.reads += 1;
        let number = operator.reads;
        let follower = &mut self.hosts[host].operator;
        follower.read = number;
        let read = OperatorRead {
            number,
            host,
            life,
            after: follower.after,
            sent_ms: now,
        };
        let wait_ms = read.after.map_or(0, |_| WATCH_WAIT_MS);
        let timeout = OperatorEvent::Reply(read, OperatorAnswer::NoAnswer);
        self.events
            .after(wait_ms + STORE_TIMEOUT_MS, Event::Operator(timeout));
        if self.reaches_store(host) && !self.is_call_lost() {
            let delay_ms = self.store_delay_ms();
            let arrival = Event::Operator(OperatorEvent::Arrival(read));
            self.events.after(delay_ms, arrival);
        }
    }

    /// Answers a list, or a watch if there is something to return.
    fn operator_read(&mut self, read: OperatorRead) {
        let Some(operator) = &mut self.operator else {
            return;
        };
        let Some(after) = read.after else {
            let requests = self.store.list(PREFIX);
            let requests = requests.filter_map(|(key, item)| {
                let domain = key.strip_prefix(PREFIX)?;
                Some((SmolStr::new(domain), item.revision))
            });
            let answer = OperatorAnswer::Listed {
                requests: requests.collect(),
                revision: self.store.revision(),
            };
            self.answer_read(read, answer);
            return;
        };
        if after < operator.compacted_revision {
            self.answer_read(read, OperatorAnswer::Compacted);
            return;
        }
        let changes = self.operator_changes(after);
        if !changes.is_empty() {
            let revision = self.store.revision();
            self.answer_read(read, OperatorAnswer::Changed { changes, revision });
            return;
        }
        if let Some(operator) = &mut self.operator {
            operator.waiting.push(read);
        }
        let due_ms = read.sent_ms + WATCH_WAIT_MS;
        self.events
            .at(due_ms, Event::Operator(OperatorEvent::WatchDue(read)));
    }

    /// Whether a fault of the store leaves a call without an answer.
    fn is_call_lost(&mut self) -> bool {
        let now = self.now_ms();
        let (late_ms, lossy_ms) = (self.store_faults.late, self.store_faults.lossy);
        (now < late_ms && self.chance(FAULT_PERCENT))
            || (now < lossy_ms && self.chance(FAULT_PERCENT))
    }

    fn store_delay_ms(&mut self) -> u64 {
        if self.now_ms() < self.store_faults.slow {
            self.random.random_range(10..300)
        } else {
            2
        }
    }

    fn operator_changes(&self, after: u64) -> Vec<(SmolStr, u64, bool)> {
        let changes = self.store.changes_after(after).iter();
        let changes = changes.filter_map(|change| {
            let domain = change.key.strip_prefix(PREFIX)?;
            let domain = SmolStr::new(domain);
            Some((domain, change.revision, change.item.is_some()))
        });
        changes.collect()
    }

    /// Returns from a watch without changes.
    fn end_watch(&mut self, read: OperatorRead) {
        let Some(operator) = &mut self.operator else {
            return;
        };
        let waiting = operator.waiting.len();
        operator.waiting.retain(|known| known.number != read.number);
        if operator.waiting.len() < waiting {
            let answer = OperatorAnswer::Changed {
                changes: Vec::new(),
                revision: self.store.revision(),
            };
            self.answer_read(read, answer);
        }
    }

    fn answer_read(&mut self, read: OperatorRead, answer: OperatorAnswer) {
        if self.reaches_store(read.host) && !self.is_call_lost() {
            let reply = Event::Operator(OperatorEvent::Reply(read, answer));
            self.events.after(2, reply);
        }
    }

    fn operator_replied(&mut self, read: OperatorRead, answer: OperatorAnswer) {
        let now = self.now_ms();
        let OperatorRead { host, life, .. } = read;
        let state = &mut self.hosts[host];
        let follower = &mut state.operator;
        if !state.is_up || state.life != life || follower.read != read.number {
            return;
        }
        follower.read = 0;
        let mut delay_ms = 0;
        match answer {
            OperatorAnswer::Listed { requests, revision } => {
                follower.known.replace(requests, revision, read.sent_ms);
                follower.after = Some(revision);
                state.health.record_answer(now);
            }
            OperatorAnswer::Changed { changes, revision } => {
                for (domain, revision, evacuates) in changes {
                    if evacuates {
                        follower.known.request(&domain, revision);
                    } else {
                        follower.known.take_back(&domain, revision);
                    }
                }
                follower.known.confirm(read.sent_ms);
                follower.after = Some(revision);
                state.health.record_answer(now);
            }
            OperatorAnswer::Compacted => {
                follower.after = None;
                state.health.record_answer(now);
            }
            OperatorAnswer::NoAnswer => {
                follower.after = None;
                state.health.record_failure(now);
                delay_ms = RETRY_DELAY_MS;
            }
        }
        let next = Event::Operator(OperatorEvent::ReadDue { host, life });
        self.events.after(delay_ms, next);
        for id in 0..self.owners.len() {
            let owner = self.owners[id].as_ref();
            if owner.is_some_and(|owner| owner.host == host) {
                self.tell_evacuation(id);
                self.plan_and_execute(id);
            }
        }
    }

    /// Tells an owner what its host knows of an evacuation of its failure domain.
    pub(super) fn tell_evacuation(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(operator) = &self.operator else {
            return;
        };
        let ignored = operator.ignored;
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let known = &self.hosts[owner.host].operator.known;
        let Some(as_of_ms) = known.as_of_ms() else {
            return;
        };
        let evacuation = known.evacuation(&format_smolstr!("{}", owner.domain));
        let evacuation = evacuation.filter(|evacuation| match ignored {
            Ignored::None => true,
            Ignored::All => false,
            Ignored::BeforeOpening => evacuation.since_revision > owner.opened_revision,
        });
        owner.shard.set_evacuation(evacuation, as_of_ms, now);
    }

    /// Whether a host knows that a failure domain is evacuated.
    pub(super) fn knows_evacuated(&self, host: usize, domain: usize) -> bool {
        self.hosts[host].operator.is_evacuated(domain)
    }

    /// Time since a failure domain is evacuated by the acknowledgement; `None` if it is not.
    pub(super) fn evacuated_for_ms(&self, domain: usize) -> Option<u64> {
        let mut acknowledged = self.operator.as_ref()?.acknowledged_ms.iter();
        let &(_, at_ms) = acknowledged.find(|&&(known, _)| known == domain)?;
        Some(self.now_ms() - at_ms)
    }

    /// Servers of failure domains from which long-running tasks have had time to move away.
    pub(super) fn long_evacuated_servers(&self) -> Vec<usize> {
        let is_due = |domain: usize| {
            let evacuated_ms = self.evacuated_for_ms(domain);
            evacuated_ms.is_some_and(|evacuated_ms| evacuated_ms >= VACATE_MS)
        };
        let servers = 0..self.servers.len();
        servers
            .filter(|&server| is_due(self.servers[server].domain))
            .collect()
    }

    /// Time for which a server's failure domain has been evacuated, if the sender of a start has reached the store for long
    /// enough to be judged by it.
    pub(super) fn judged_evacuation_ms(&self, server: usize, host: usize) -> Option<u64> {
        let evacuated_ms = self.evacuated_for_ms(self.servers[server].domain)?;
        self.in_touch_for(host, CONTACT_MS).then_some(evacuated_ms)
    }
}
