//! Search for servers that the advisor of a queue allows to run a step.
//!
//! The advisor takes its time for each server that a call names, and handles one call of a host at a time. What it allows does
//! not change, so every answer is kept with the step; only tickets expire. A shard has one call under way, for the step that
//! has waited longest since its last one, and names only servers with room for the step. Long searches take every fourth call
//! while other steps wait.

use std::cmp::Reverse;

use smol_str::SmolStr;

use crate::action::Action;
use crate::advice_queries::Search;
use crate::advice_share::Shares;
use crate::job::{Queue, TaskId};
use crate::server::CONTACT_TIMEOUT_MS;
use crate::shard::{ServerKey, Shard, StepState, TaskRef};
use crate::step_advice::StepAdvice;

/// Servers that the first call for a step names; further calls name twice as many each.
const FIRST_CALL_SERVERS: usize = 30;

/// Servers that the advisor accepts in a call.
const CALL_SERVERS_MAX: usize = 100;

/// Calls for other steps between two for long searches.
const SHORT_CALLS_IN_TURN: u32 = 3;

/// Longest time that a call should take at the advisor, since calls for other steps wait meanwhile.
const CALL_MAX_MS: u64 = 1_000;

/// Time that a call may take beyond that of the advisor's decision. A call that was given up may still keep it busy.
const CALL_GRACE_MS: u64 = 1_500;

/// Delay of the next call after one without an answer; doubles up to the maximum.
const RETRY_DELAY_MS: u64 = 200;
const RETRY_DELAY_MAX_MS: u64 = 1_600;

/// Part of a ticket's validity that is left for the answer and the start to arrive, at most a quarter of it.
const TICKET_TRANSIT_MS: u64 = 300;

/// Delay before a step without a server to ask about is examined again.
const REST_MS: u64 = 250;

/// Steps that are examined for one call; examining one compares it with all servers.
const EXAMINED_MAX: usize = 32;

/// Servers that the next call for a step names.
fn call_size(queue: &Queue, answers: u32) -> usize {
    let grown = FIRST_CALL_SERVERS << answers.min(2);
    let by_time = CALL_MAX_MS / u64::from(queue.advisor_period_ms.max(1));
    let by_time = usize::try_from(by_time).unwrap_or(usize::MAX).max(1);
    grown.min(CALL_SERVERS_MAX).min(by_time)
}

/// A call that has not been answered.
#[derive(Clone, Debug)]
struct Call {
    task: TaskId,
    /// Whether it is for a search on behalf of another shard; tasks of the step may be in this one too.
    is_for_search: bool,
    queue: SmolStr,
    servers: Vec<ServerKey>,
    /// When the answer no longer counts.
    ends_ms: u64,
}

/// Calls of a shard to the advisor.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvisorCalls {
    under_way: Option<Call>,
    /// Calls without an answer since the last one.
    failures: u32,
    /// Until when no other call is sent.
    retry_ms: u64,
    shares: Shares,
    /// Calls since the last one for a long search.
    short_calls: u32,
    /// Searches on behalf of other shards, sorted by step.
    pub searches: Vec<Search>,
}

/// What a call is for.
#[derive(Clone, Copy, Debug)]
enum Asker {
    Step(TaskRef),
    /// Position of a search on behalf of another shard.
    Search(usize),
}

impl Shard {
    pub(crate) fn has_advisor(&self, task_ref: TaskRef) -> bool {
        self.jobs[task_ref.job].queue.advisor_decision_ms > 0
    }

    pub(crate) fn step_state(&self, task_ref: TaskRef) -> &StepState {
        &self.jobs[task_ref.job].occurrences[task_ref.occurrence as usize].steps
            [task_ref.step as usize]
    }

    pub(crate) fn advice_mut(&mut self, task_ref: TaskRef) -> &mut StepAdvice {
        &mut self.jobs[task_ref.job].occurrences[task_ref.occurrence as usize].steps
            [task_ref.step as usize]
            .advice
    }

    /// Whether the advisor allows the step to run on the server, and its ticket has not expired.
    pub(crate) fn has_ticket(&self, task_ref: TaskRef, key: ServerKey, now_ms: u64) -> bool {
        !self.has_advisor(task_ref) || self.ticket(task_ref, key, now_ms).is_some()
    }

    pub(crate) fn ticket(
        &self,
        task_ref: TaskRef,
        key: ServerKey,
        now_ms: u64,
    ) -> Option<&SmolStr> {
        self.step_state(task_ref).advice.ticket(key, now_ms)
    }

    /// Whether a step can be placed as far as tickets go.
    pub(crate) fn has_any_ticket(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        !self.has_advisor(task_ref) || self.step_state(task_ref).advice.has_valid_ticket(now_ms)
    }

    /// Whether the advisor allows no server of this shard to run the step.
    pub(crate) fn is_denied_here(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        let advice = &self.step_state(task_ref).advice;
        let mut servers = self.servers.keys();
        self.has_advisor(task_ref)
            && advice.denies_all()
            && servers.all(|key| !self.could_serve(task_ref, key, now_ms) || advice.has_asked(key))
    }

    /// Whether a server that answers belongs to the service of a step and has its label.
    fn could_serve(&self, task_ref: TaskRef, key: ServerKey, now_ms: u64) -> bool {
        let server = &self.servers[key];
        let label = &self.step_spec(task_ref).label;
        server.is_placeable()
            && now_ms < server.last_contact_ms + CONTACT_TIMEOUT_MS
            && server.entry.service == self.jobs[task_ref.job].queue.service
            && (label.is_empty() || server.has_label(label))
    }

    /// Asks the advisor for the step that has waited longest since its last call, if no call is under way.
    pub(crate) fn ask_advisor(&mut self, now_ms: u64) {
        let calls = &self.advisor;
        let is_busy = calls
            .under_way
            .as_ref()
            .is_some_and(|call| now_ms < call.ends_ms);
        if is_busy || now_ms < calls.retry_ms || self.is_evacuated() {
            return;
        }
        let is_turn_of_long = self.advisor.short_calls >= SHORT_CALLS_IN_TURN;
        let mut askers = self.waiting_askers(now_ms);
        askers.sort_by_key(|&(is_long, since_ms, _)| (is_long != is_turn_of_long, since_ms));
        let is_shared = askers.len() > 1 && askers.iter().any(|&(is_long, _, _)| !is_long);
        for (is_long, _, asker) in askers.into_iter().take(EXAMINED_MAX) {
            let mut servers = self.servers_to_ask(asker, now_ms);
            if is_shared {
                servers.truncate(self.shared_call_size(asker));
            }
            let advice = self.advice_of_mut(asker);
            if servers.is_empty() {
                advice.rest(now_ms + REST_MS);
                continue;
            }
            advice.begin_call(now_ms);
            self.advisor.short_calls = if is_long {
                0
            } else {
                self.advisor.short_calls.saturating_add(1)
            };
            self.call_advisor(asker, servers, now_ms);
            return;
        }
    }

    /// Steps that may have something to ask, whether their search is long, and since when they wait for a call.
    fn waiting_askers(&self, now_ms: u64) -> Vec<(bool, u64, Asker)> {
        let mut askers = Vec::new();
        let mut previous: Option<TaskRef> = None;
        for &task_ref in &self.ready {
            let is_same_step = previous.is_some_and(|previous| {
                (previous.job, previous.occurrence, previous.step)
                    == (task_ref.job, task_ref.occurrence, task_ref.step)
            });
            previous = Some(task_ref);
            if is_same_step || !self.jobs.contains_key(task_ref.job) || !self.has_advisor(task_ref)
            {
                continue;
            }
            let is_held = self.jobs[task_ref.job].stands_still(now_ms)
                || self.is_start_postponed(task_ref, now_ms);
            if is_held {
                continue;
            }
            let advice = &self.step_state(task_ref).advice;
            if !advice.is_resting(now_ms) {
                let since_ms = advice.asked_ms.max(self.task(task_ref).queued_ms);
                askers.push((advice.is_long(), since_ms, Asker::Step(task_ref)));
            }
        }
        for (index, search) in self.advisor.searches.iter().enumerate() {
            let is_due = !search.advice.is_resting(now_ms) && search.is_active(now_ms);
            if is_due && !self.has_found_enough(search, now_ms) {
                let since_ms = search.advice.asked_ms.max(search.since_ms);
                askers.push((search.advice.is_long(), since_ms, Asker::Search(index)));
            }
        }
        askers
    }

    fn advice_of_mut(&mut self, asker: Asker) -> &mut StepAdvice {
        match asker {
            Asker::Step(task_ref) => self.advice_mut(task_ref),
            Asker::Search(index) => &mut self.advisor.searches[index].advice,
        }
    }

    /// Servers that the next call names, those that suit the step best first: servers with room whose tickets have expired, or
    /// else servers about which the advisor was not asked and that have room, or may get it for an overdue task. A search on behalf
    /// of another shard needs no tickets.
    fn servers_to_ask(&self, asker: Asker, now_ms: u64) -> Vec<ServerKey> {
        let (advice, queue, id) = match asker {
            Asker::Step(task_ref) => {
                let job = &self.jobs[task_ref.job];
                (&self.step_state(task_ref).advice, &job.queue, job.id)
            }
            Asker::Search(index) => {
                let search = &self.advisor.searches[index];
                (&search.advice, &search.queue, search.task.job)
            }
        };
        let has_room = |key: ServerKey| match asker {
            Asker::Step(task_ref) => self.fits_without_ticket(task_ref, key, now_ms),
            Asker::Search(index) => self.room_on(&self.advisor.searches[index], key, now_ms) > 0,
        };
        let size = call_size(queue, advice.answers);
        let known = |key: &ServerKey| self.servers.contains_key(*key) && has_room(*key);
        let refreshed: Vec<ServerKey> = advice.expired(now_ms).filter(known).take(size).collect();
        if matches!(asker, Asker::Step(_)) && !refreshed.is_empty() {
            return refreshed;
        }
        let may_get_room = |key: ServerKey| match asker {
            Asker::Step(task_ref) => self.could_be_reserved(task_ref, key, now_ms),
            Asker::Search(_) => false,
        };
        let unasked = self.servers.keys().filter(|&key| !advice.has_asked(key));
        let mut unasked: Vec<ServerKey> = unasked
            .filter(|&key| has_room(key) || may_get_room(key))
            .collect();
        if unasked.is_empty() {
            return unasked;
        }
        // Steps begin at different servers, so that they do not all get tickets for the same few.
        let offset = id.0 % unasked.len() as u64;
        unasked.rotate_left(usize::try_from(offset).unwrap_or_default());
        if let Asker::Step(task_ref) = asker {
            let spec = self.step_spec(task_ref);
            if spec.same_rack {
                unasked.sort_by(|&a, &b| {
                    let labels = |key: ServerKey| &self.servers[key].entry.labels;
                    labels(a).cmp(labels(b))
                });
            }
            if !spec.data_rack.is_empty() {
                unasked.sort_by_key(|&key| Reverse(self.servers[key].has_label(&spec.data_rack)));
            }
        }
        unasked.truncate(size);
        unasked
    }

    /// Servers that a call names while other steps wait.
    fn shared_call_size(&self, asker: Asker) -> usize {
        let (advice, queue, tasks) = match asker {
            Asker::Step(task_ref) => {
                let queue = &self.jobs[task_ref.job].queue;
                let advice = &self.step_state(task_ref).advice;
                (advice, queue, self.step_spec(task_ref).tasks)
            }
            Asker::Search(index) => {
                let search = &self.advisor.searches[index];
                (&search.advice, &search.queue, search.wanted)
            }
        };
        let share = self.advisor.shares.of_queue(&queue.name);
        match share.filter(|_| !advice.is_long()) {
            Some(share) => share.servers_for(tasks).min(FIRST_CALL_SERVERS),
            None => FIRST_CALL_SERVERS,
        }
    }

    fn call_advisor(&mut self, asker: Asker, servers: Vec<ServerKey>, now_ms: u64) {
        let (task, queue) = match asker {
            Asker::Step(task_ref) => (self.task_id(task_ref), &self.jobs[task_ref.job].queue),
            Asker::Search(index) => {
                let search = &self.advisor.searches[index];
                (search.task, &search.queue)
            }
        };
        let decision_ms = u64::from(queue.advisor_decision_ms)
            + u64::from(queue.advisor_period_ms) * servers.len() as u64;
        let timeout_ms = decision_ms + CALL_GRACE_MS;
        let names = servers
            .iter()
            .map(|&key| self.servers[key].entry.name.clone());
        self.actions.push(Action::Advise {
            task,
            servers: names.collect(),
            timeout_ms,
        });
        let queue = SmolStr::new(&queue.name);
        self.advisor.under_way = Some(Call {
            task,
            is_for_search: matches!(asker, Asker::Search(_)),
            queue,
            servers,
            ends_ms: now_ms + timeout_ms + CALL_GRACE_MS,
        });
    }

    /// Takes the call for a step that was answered or has failed; `None` if it was given up before.
    fn take_call(&mut self, task: TaskId) -> Option<Call> {
        self.advisor.under_way.take_if(|call| call.task == task)
    }

    /// Applies an answer of the advisor: the servers that it allows, with tickets that are valid for `valid_ms` from now.
    pub fn set_tickets(
        &mut self,
        task: TaskId,
        tickets: &[(SmolStr, SmolStr)],
        valid_ms: u64,
        now_ms: u64,
    ) {
        let Some(call) = self.take_call(task) else {
            return;
        };
        self.advisor.failures = 0;
        let mut allowed = Vec::with_capacity(tickets.len());
        for (name, ticket) in tickets {
            let found = self
                .server_index
                .binary_search_by(|(known, _)| known.cmp(name));
            if let Ok(index) = found {
                allowed.push((self.server_index[index].1, ticket.clone()));
            }
        }
        let valid_ms = valid_ms - TICKET_TRANSIT_MS.min(valid_ms / 4);
        let expires_ms = now_ms.saturating_add(valid_ms);
        let share = self.advisor.shares.of_queue_mut(&call.queue);
        share.add(call.servers.len(), allowed.len());
        let search = self.find_search(task).ok().filter(|_| call.is_for_search);
        let advice = if let Some(index) = search {
            &mut self.advisor.searches[index].advice
        } else if let Some(task_ref) = self.find_task(task) {
            self.advice_mut(task_ref)
        } else {
            return;
        };
        advice.add(&call.servers, &allowed, expires_ms);
        let inputs = [
            ("named", call.servers.len() as u64),
            ("allowed", allowed.len() as u64),
            ("answers", u64::from(advice.answers)),
            ("for_other_shard", u64::from(call.is_for_search)),
        ];
        self.log_advice("advice_received", task, inputs);
    }

    /// Has the advisor asked again after a delay, since a call got no answer or was refused.
    pub fn advice_failed(&mut self, task: TaskId, now_ms: u64) {
        if self.take_call(task).is_none() {
            return;
        }
        let delay_ms = RETRY_DELAY_MS << self.advisor.failures.min(3);
        self.advisor.failures += 1;
        self.advisor.retry_ms = now_ms + delay_ms.min(RETRY_DELAY_MAX_MS);
    }
}
