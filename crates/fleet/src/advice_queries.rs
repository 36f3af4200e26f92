//! Room in other shards on servers that the advisor of a queue allows to run a step.
//!
//! The owner of a shard asks the others for steps that it has not placed after the first answer of the advisor. Each searches
//! among its own servers at the same time, so that the search takes as long as that of the largest failure domain. A job moves, and
//! a task is delegated, only to a shard that has found a server; that shard keeps what it has learned for the step.

use prost::Message;
use smol_str::SmolStr;

use crate::action::{Action, Decision};
use crate::job::{JobId, Queue, StepSpec, TaskId};
use crate::need::Need;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};
use crate::step_advice::StepAdvice;

/// Steps for which one request asks; the next one asks for others.
const QUERIES_MAX: usize = 8;

/// Age from which the room that another shard told is not used. Owners ask several times in this time.
const ROOM_MAX_AGE_MS: u64 = 2_000;

/// Searches on behalf of other shards at a time.
const SEARCHES_MAX: usize = 64;

/// Time after the last request from which a search stands still. Owners ask several times in it, unless many steps wait.
const ACTIVE_MS: u64 = 1_000;

/// Time after the last request from which a search is forgotten. With many waiting steps, each is asked for only now and then.
const SEARCH_KEPT_MS: u64 = 10_000;

/// A step for which another shard should look for servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceQuery {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Name of its queue, whose configuration all hosts have.
    #[prost(string, tag = "4")]
    pub queue: String,
    /// What its tasks request; only fields that decide whether a server can run them.
    #[prost(message, optional, tag = "5")]
    pub spec: Option<StepSpec>,
}

/// Room for a step on servers that the advisor allows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdviceAnswer {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Number of its tasks that fit at present; the search may still go on.
    #[prost(uint32, tag = "4")]
    pub tasks: u32,
}

/// A search on behalf of another shard.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    /// First task of the step.
    pub task: TaskId,
    pub queue: Queue,
    need: Need,
    /// Tasks for which room is looked for: all of a gang and of a long-running step, of which each task is delegated; one of
    /// others, whose job moves and goes on with the search.
    pub wanted: u32,
    pub advice: StepAdvice,
    pub since_ms: u64,
    queried_ms: u64,
}

impl Search {
    /// Whether the other shard has asked lately, so that the step still waits there.
    pub(crate) fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.queried_ms + ACTIVE_MS
    }
}

impl AdviceQuery {
    fn task(&self) -> TaskId {
        TaskId {
            job: JobId(self.job),
            occurrence: self.occurrence,
            step: self.step,
            index: 0,
        }
    }
}

/// The part of a step that decides whether a server can run its tasks.
fn requested(spec: &StepSpec) -> StepSpec {
    StepSpec {
        tasks: spec.tasks,
        cpu_millis: spec.cpu_millis,
        memory_mb: spec.memory_mb,
        gpus: spec.gpus,
        label: spec.label.clone(),
        max_per_server: spec.max_per_server,
        gang: spec.gang,
        long_running: spec.long_running,
        best_effort: spec.best_effort,
        ..StepSpec::default()
    }
}

impl Shard {
    /// Steps for which other shards should look for servers, those first that were not asked for lately, encoded in at most
    /// `bytes_max`.
    pub fn take_advice_queries(&mut self, bytes_max: usize, now_ms: u64) -> Vec<AdviceQuery> {
        let mut waiting: Vec<(u64, TaskRef)> = Vec::new();
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
            let advice = &self.step_state(task_ref).advice;
            let waited_ms = now_ms.saturating_sub(self.task(task_ref).queued_ms);
            if advice.needs_others(waited_ms) || self.is_evacuated() {
                waiting.push((advice.queried_ms, task_ref));
            }
        }
        waiting.sort_by_key(|&(queried_ms, _)| queried_ms);
        let mut queries = Vec::new();
        let mut bytes = 0;
        for (_, task_ref) in waiting.into_iter().take(QUERIES_MAX) {
            let job = &self.jobs[task_ref.job];
            let query = AdviceQuery {
                job: job.id.0,
                occurrence: task_ref.occurrence,
                step: task_ref.step,
                queue: job.queue.name.clone(),
                spec: Some(requested(self.step_spec(task_ref))),
            };
            if bytes + query.encoded_len() > bytes_max {
                continue;
            }
            bytes += query.encoded_len();
            self.advice_mut(task_ref).queried_ms = now_ms;
            queries.push(query);
        }
        queries
    }

    pub(crate) fn find_search(&self, task: TaskId) -> Result<usize, usize> {
        let task = TaskId { index: 0, ..task };
        self.advisor
            .searches
            .binary_search_by_key(&task, |search| search.task)
    }

    /// Looks for servers on behalf of another shard, and tells what was found so far.
    pub fn answer_advice_queries(
        &mut self,
        queries: &[AdviceQuery],
        now_ms: u64,
    ) -> Vec<AdviceAnswer> {
        let mut searches = std::mem::take(&mut self.advisor.searches);
        searches.retain(|search| now_ms < search.queried_ms + SEARCH_KEPT_MS);
        self.advisor.searches = searches;
        let mut answers = Vec::new();
        for query in queries {
            let Some(index) = self.open_search(query, now_ms) else {
                continue;
            };
            self.advisor.searches[index].queried_ms = now_ms;
            let tasks = self.room_of(&self.advisor.searches[index], now_ms);
            answers.push(AdviceAnswer {
                job: query.job,
                occurrence: query.occurrence,
                step: query.step,
                tasks,
            });
        }
        answers
    }

    /// Position of the search for a step, which begins if there is none; `None` if there are too many, or if the queue has no
    /// advisor here.
    fn open_search(&mut self, query: &AdviceQuery, now_ms: u64) -> Option<usize> {
        let task = query.task();
        let index = match self.find_search(task) {
            Ok(index) => return Some(index),
            Err(index) => index,
        };
        let found = self
            .queues
            .binary_search_by(|known| known.name.as_str().cmp(&query.queue));
        let queue = self.queues[found.ok()?].clone();
        let spec = query.spec.as_ref()?;
        if queue.advisor_decision_ms == 0 || self.advisor.searches.len() >= SEARCHES_MAX {
            return None;
        }
        let is_whole = spec.gang || spec.long_running;
        // Other tasks of the step may have been delegated to this shard.
        let advice = self
            .find_task(task)
            .map(|task_ref| self.step_state(task_ref).advice.clone());
        let search = Search {
            task,
            need: Need::of_all(&queue, spec),
            queue,
            wanted: if is_whole { spec.tasks } else { 1 },
            advice: advice.unwrap_or_default(),
            since_ms: now_ms,
            queried_ms: now_ms,
        };
        self.advisor.searches.insert(index, search);
        Some(index)
    }

    /// Number of tasks of a step that fit on a server at present.
    pub(crate) fn room_on(&self, search: &Search, key: ServerKey, now_ms: u64) -> u32 {
        let server = &self.servers[key];
        if self.is_evacuated() || !server.is_usable(now_ms) {
            return 0;
        }
        search.need.count_free_on(server)
    }

    fn room_of(&self, search: &Search, now_ms: u64) -> u32 {
        let allowed = self
            .servers
            .keys()
            .filter(|&key| search.advice.is_allowed(key));
        let counts = allowed.map(|key| self.room_on(search, key, now_ms));
        counts.fold(0, u32::saturating_add)
    }

    pub(crate) fn has_found_enough(&self, search: &Search, now_ms: u64) -> bool {
        self.room_of(search, now_ms) >= search.wanted
    }

    /// Uses what a search on behalf of another shard has learned, once the step, or further tasks of it, have come here.
    pub(crate) fn adopt_search(&mut self, task_ref: TaskRef) {
        let Ok(index) = self.find_search(self.task_id(task_ref)) else {
            return;
        };
        let known = self.step_state(task_ref).advice.answers;
        if self.advisor.searches[index].advice.answers > known {
            let search = self.advisor.searches.remove(index);
            *self.advice_mut(task_ref) = search.advice;
        }
    }

    /// Applies what the owner of another shard has found.
    pub fn apply_advice_answers(
        &mut self,
        failure_domain: &SmolStr,
        answers: &[AdviceAnswer],
        now_ms: u64,
    ) {
        for answer in answers {
            let task = TaskId {
                job: JobId(answer.job),
                occurrence: answer.occurrence,
                step: answer.step,
                index: 0,
            };
            let Some(task_ref) = self.find_task(task) else {
                continue;
            };
            let advice = self.advice_mut(task_ref);
            advice.set_other_room(failure_domain, answer.tasks, now_ms);
            if answer.tasks > 0 {
                let inputs = [("tasks", u64::from(answer.tasks))];
                self.log_advice("advised_room", task, inputs);
            }
        }
    }

    /// Number of tasks of a step for which another shard has found room; `None` if its queue has no advisor.
    pub(crate) fn advised_room(
        &self,
        task_ref: TaskRef,
        failure_domain: &str,
        now_ms: u64,
    ) -> Option<u32> {
        let advice = &self.step_state(task_ref).advice;
        let room = || advice.other_room(failure_domain, ROOM_MAX_AGE_MS, now_ms);
        self.has_advisor(task_ref).then(room)
    }

    /// Whether another shard has room for what has to start together.
    pub(crate) fn is_advised(&self, task_ref: TaskRef, failure_domain: &str, now_ms: u64) -> bool {
        let spec = self.step_spec(task_ref);
        let wanted = if spec.gang { spec.tasks } else { 1 };
        self.advised_room(task_ref, failure_domain, now_ms)
            .is_none_or(|tasks| tasks >= wanted)
    }

    /// Counts tasks that are sent to another shard.
    pub(crate) fn use_advised_room(&mut self, members: &[TaskRef], failure_domain: &str) {
        let count = to_u32(members.len());
        self.advice_mut(members[0])
            .take_other_room(failure_domain, count);
    }

    /// Logs a decision about a step whose job may be in another shard.
    pub(crate) fn log_advice(
        &mut self,
        event: &'static str,
        task: TaskId,
        inputs: impl Into<Vec<(&'static str, u64)>>,
    ) {
        self.actions.push(Action::Log(Decision {
            event,
            task: Some(task),
            server: None,
            inputs: inputs.into(),
        }));
    }
}
