//! Starts that got no answer and were given up, although the next life of their server may still carry them out.
//!
//! A stop, or the end of the lease in the start, keeps such a start out of one life of its server. The next one, under the
//! same name, knows of neither, so it gets a stop of its own as soon as it is heard of. Until the start can no longer be carried
//! out, its task runs on that server if there is room: such a run has ended when the next life begins.

use smol_str::SmolStr;

use crate::action::Action;
use crate::job::TaskId;
use crate::report::Report;
use crate::runs::STOP_RETRY_MS;
use crate::server::Server;
use crate::shard::{ServerKey, Shard, TaskRef};
use crate::task::Run;

/// Maximum number of remembered starts; those that can be carried out for the shortest time are forgotten first.
const ABANDONED_STARTS_MAX: usize = 1_024;

#[derive(Clone, Debug)]
pub(crate) struct AbandonedStart {
    /// Name of the server that it was sent to.
    server: SmolStr,
    task: TaskId,
    run: u32,
    /// Start of the newest incarnation that refuses it, in milliseconds since the Unix epoch.
    refused_by_unix_ms: u64,
    /// From when it can no longer be carried out.
    void_ms: u64,
    /// Start of the incarnation that the last stop was sent to, in milliseconds since the Unix epoch; 0 for none.
    stopped_unix_ms: u64,
    /// When that stop was sent.
    stop_sent_ms: u64,
    /// When it was answered. That life does not begin the run later, but may have begun it before.
    stop_answered_ms: Option<u64>,
}

impl AbandonedStart {
    /// Whether the present life of its server refuses it.
    fn is_refused(&self, server: &Server) -> bool {
        self.refused_by_unix_ms >= server.present_life_unix_ms()
    }
}

impl Shard {
    /// Abandoned starts of a task that may still be carried out, with their servers as far as they are known.
    fn abandoned_starts_of(
        &self,
        task_ref: TaskRef,
        now_ms: u64,
    ) -> impl Iterator<Item = (&AbandonedStart, ServerKey)> {
        let id = self.task_id(task_ref);
        let starts = self.abandoned_starts.iter();
        let own = starts.filter(move |start| start.task == id && now_ms < start.void_ms);
        own.filter_map(|start| {
            let names = &self.server_index;
            let found = names.binary_search_by(|(name, _)| name.cmp(&start.server));
            Some((start, names[found.ok()?].1))
        })
    }

    /// Server whose next life may carry out an abandoned start of a task, while the present one refuses it.
    pub(crate) fn server_of_abandoned_start(
        &self,
        task_ref: TaskRef,
        now_ms: u64,
    ) -> Option<ServerKey> {
        let mut starts = self.abandoned_starts_of(task_ref, now_ms);
        let found = starts.find(|&(start, server)| start.is_refused(&self.servers[server]));
        Some(found?.1)
    }

    /// Whether a server has begun a life that does not refuse an abandoned start of a task yet.
    pub(crate) fn awaits_refusal(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        let mut starts = self.abandoned_starts_of(task_ref, now_ms);
        starts.any(|(start, server)| !start.is_refused(&self.servers[server]))
    }

    /// Remembers the start of an abandoned run if it got no answer. The server's present life refuses it.
    pub(crate) fn remember_abandoned_start(
        &mut self,
        server: ServerKey,
        task: TaskId,
        run: &Run,
        now_ms: u64,
    ) {
        let void_ms = run.void_ms();
        if run.is_confirmed() || now_ms >= void_ms {
            return;
        }
        self.abandoned_starts.retain(|start| now_ms < start.void_ms);
        if self.abandoned_starts.len() >= ABANDONED_STARTS_MAX {
            let starts = self.abandoned_starts.iter().enumerate();
            if let Some((first, _)) = starts.min_by_key(|(_, start)| start.void_ms) {
                self.abandoned_starts.remove(first);
                self.log_decision("abandoned_start_forgotten", None, Some(server), []);
            }
        }
        let state = &self.servers[server];
        let name = state.entry.name.clone();
        let start = AbandonedStart {
            server: name,
            task,
            run: run.number,
            refused_by_unix_ms: state.started_unix_ms,
            void_ms,
            stopped_unix_ms: 0,
            stop_sent_ms: 0,
            stop_answered_ms: None,
        };
        let starts = &mut self.abandoned_starts;
        let index = starts.partition_point(|other| other.server <= start.server);
        starts.insert(index, start);
    }

    /// Stops the abandoned starts that the present life of a server may carry out, until it confirms these stops.
    pub(crate) fn stop_abandoned_starts(&mut self, server: ServerKey, now_ms: u64) {
        if self.abandoned_starts.is_empty() {
            return;
        }
        let state = &self.servers[server];
        let name = state.entry.name.clone();
        let present_unix_ms = state.present_life_unix_ms();
        let begin = self
            .abandoned_starts
            .partition_point(|start| start.server < name);
        let mut stops = Vec::new();
        for start in &mut self.abandoned_starts[begin..] {
            if start.server != name {
                break;
            }
            let was_sent = start.stopped_unix_ms == present_unix_ms;
            let is_answered = start.stop_answered_ms.is_some();
            let is_pending =
                was_sent && (is_answered || now_ms < start.stop_sent_ms + STOP_RETRY_MS);
            let is_refused = start.refused_by_unix_ms >= present_unix_ms;
            if is_refused || is_pending || now_ms >= start.void_ms {
                continue;
            }
            start.stopped_unix_ms = present_unix_ms;
            start.stop_sent_ms = now_ms;
            start.stop_answered_ms = None;
            stops.push((start.task, start.run));
        }
        for (task, run) in stops {
            let task_ref = self.find_task(task);
            // A run that was adopted is wanted.
            let is_known = task_ref
                .is_some_and(|task_ref| self.task(task_ref).run_position(server, run).is_some());
            if is_known {
                continue;
            }
            let inputs = [("run", u64::from(run))];
            self.log_decision("abandoned_start_stopped", task_ref, Some(server), inputs);
            self.actions.push(Action::Stop { server, task, run });
        }
    }

    /// Notes that a server answered the stop of an abandoned start.
    pub(crate) fn note_abandoned_start_stopped(
        &mut self,
        server: ServerKey,
        task: TaskId,
        run: u32,
        now_ms: u64,
    ) {
        for start in self.abandoned_starts_on(server) {
            if start.task == task && start.run == run && start.stopped_unix_ms > 0 {
                start.stop_answered_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Notes the abandoned starts that a life of a server refuses: it has answered their stops, and has not begun them before.
    pub(crate) fn note_refused_starts(&mut self, server: ServerKey, report: &Report) {
        if self.abandoned_starts.is_empty() {
            return;
        }
        for start in self.abandoned_starts_on(server) {
            let is_later = start
                .stop_answered_ms
                .is_some_and(|answered_ms| answered_ms < report.sent_ms);
            let mut running = report.running.iter();
            let is_listed =
                running.any(|status| (status.task, status.run) == (start.task, start.run));
            if is_later && !is_listed && report.started_unix_ms >= start.stopped_unix_ms {
                start.refused_by_unix_ms = start.refused_by_unix_ms.max(start.stopped_unix_ms);
            }
        }
    }

    /// Abandoned starts that were sent to a server.
    fn abandoned_starts_on(
        &mut self,
        server: ServerKey,
    ) -> impl Iterator<Item = &mut AbandonedStart> {
        let name = self
            .servers
            .get(server)
            .map(|state| state.entry.name.clone());
        let starts = self.abandoned_starts.iter_mut();
        starts.filter(move |start| name.as_ref() == Some(&start.server))
    }
}
