//! Starts whose connection the server closed before it answered.
//!
//! A process that ends closes its connections, so such a start may have crashed the server. So does the host of a server
//! that lost power, once it is back, for connections of before: it never saw the start. And a server may close connections
//! and serve on.

use crate::action::StartRequest;
use crate::shard::{ServerKey, Shard, TaskRef};

/// Time from the last answer within which the same process closed the connection: polls are answered once a second, and a
/// server that lost power takes longer to be back.
const ANSWERED_BEFORE_MS: u64 = 1_200;

impl Shard {
    /// Notes that the server closed the connection of a start, if the incarnation that the start was sent to answered
    /// shortly before. The owner's clock alone tells; those of the server differ, and begin anew with each incarnation.
    pub(crate) fn note_cut_off(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        request: &StartRequest,
        now_ms: u64,
    ) {
        let state = &self.servers[server];
        let answered_ms_ago = now_ms.saturating_sub(state.last_contact_ms);
        let may_have_crashed = state.incarnation() == request.lease_end_ms.incarnation()
            && answered_ms_ago < ANSWERED_BEFORE_MS;
        let task = self.task_mut(task_ref);
        if may_have_crashed && let Some(position) = task.run_position(server, request.run) {
            task.runs[position].cut_off_ms = Some(now_ms);
        }
        self.log_decision(
            "start_cut_off",
            Some(task_ref),
            Some(server),
            [
                ("run", u64::from(request.run)),
                ("answered_ms_ago", answered_ms_ago),
                ("suspected", u64::from(may_have_crashed)),
            ],
        );
    }

    /// Forgets closed connections of a server that has answered a poll sent at `poll_sent_ms`, after they were closed: it
    /// serves on.
    pub(crate) fn clear_cut_off(&mut self, server: ServerKey, poll_sent_ms: u64) {
        for position in 0..self.servers[server].runs.len() {
            let (task_ref, number) = self.servers[server].runs[position];
            let task = self.task_mut(task_ref);
            if let Some(position) = task.run_position(server, number) {
                let run = &mut task.runs[position];
                run.cut_off_ms
                    .take_if(|&mut cut_off_ms| poll_sent_ms > cut_off_ms);
            }
        }
    }
}
