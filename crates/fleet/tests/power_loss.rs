//! Starts of one task that are sent to servers which have just lost power.

mod common;

use common::{Harness, run_end, run_status, step};
use primrosestack_fleet::action::{StartReply, StartRequest};
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::EndKind;
use primrosestack_fleet::shard::{JobStatus, ServerKey};
use test_case::test_case;

const NAMES: [&str; 4] = ["one", "two", "three", "four"];

/// Starts that are sent to a server without power.
const LOST_STARTS: usize = 3;

/// Time from the loss of power to the start; the server's last answer is as old.
const LOST_BEFORE_MS: u64 = 300;

/// Time for which a server is without power.
const OUTAGE_MS: u64 = 3_000;

/// Time until a start without an answer is given up.
const START_TIMEOUT_MS: u64 = 600;

const STEP_MS: u64 = 100;

const POLL_INTERVAL_MS: u64 = 1_000;

/// Servers of which some are without power.
struct Servers {
    harness: Harness,
    /// When each server lost power, for those that are without.
    lost_ms: [Option<u64>; NAMES.len()],
    pending: Vec<(u64, ServerKey, StartRequest)>,
    lost_starts: usize,
    running: Option<(ServerKey, StartRequest)>,
}

impl Servers {
    fn open() -> Self {
        Self {
            harness: Harness::open(&NAMES),
            lost_ms: [None; NAMES.len()],
            pending: Vec::new(),
            lost_starts: 0,
            running: None,
        }
    }

    fn index(&self, server: ServerKey) -> usize {
        let name = self.harness.name(server);
        let position = NAMES.iter().position(|known| *known == name);
        position.expect("the server is known")
    }

    fn answer_polls(&mut self) {
        let now_ms = self.harness.now_ms;
        for (index, name) in NAMES.iter().enumerate() {
            match self.lost_ms[index] {
                Some(lost_ms) if now_ms >= lost_ms + OUTAGE_MS => {
                    self.lost_ms[index] = None;
                    self.harness.restart(name);
                    continue;
                }
                Some(_) => continue,
                None => {}
            }
            if !now_ms.is_multiple_of(POLL_INTERVAL_MS) {
                continue;
            }
            let runs_here =
                |(server, _): &&(ServerKey, StartRequest)| self.harness.name(*server) == *name;
            let running = self.running.as_ref().filter(runs_here);
            let running = running.map(|(_, request)| run_status(request.task, request.run));
            self.harness.report(name, running.as_slice(), &[]);
        }
    }

    fn answer_stops(&mut self) {
        for (server, task, run) in std::mem::take(&mut self.harness.stops) {
            if self.lost_ms[self.index(server)].is_none() {
                let now_ms = self.harness.now_ms;
                self.harness.shard.stop_replied(server, task, run, now_ms);
            }
        }
    }

    fn answer_starts(&mut self, lost_reply: StartReply) {
        let now_ms = self.harness.now_ms;
        for (server, request) in std::mem::take(&mut self.harness.starts) {
            if self.lost_starts < LOST_STARTS {
                self.lost_starts += 1;
                let index = self.index(server);
                self.lost_ms[index] = Some(now_ms - LOST_BEFORE_MS);
                let due_ms = now_ms + START_TIMEOUT_MS;
                self.pending.push((due_ms, server, request));
                continue;
            }
            let reply = StartReply::Started;
            let shard = &mut self.harness.shard;
            shard.start_replied(server, &request, reply, now_ms);
            self.running = Some((server, request));
        }
        let is_due = |pending: &mut (u64, ServerKey, StartRequest)| pending.0 <= now_ms;
        for (_, server, request) in self.pending.extract_if(.., is_due) {
            let shard = &mut self.harness.shard;
            shard.start_replied(server, &request, lost_reply, now_ms);
        }
    }
}

/// Guards against a job being failed because its starts were sent to servers that had lost power and that restarted later:
/// none of them ever began its task.
#[test_case(StartReply::Unknown; "sent and not answered")]
#[test_case(StartReply::Refused; "not sent")]
fn starts_to_servers_without_power_do_not_fail_the_job(lost_reply: StartReply) {
    let mut servers = Servers::open();
    let job: JobId = servers.harness.submit(7, 0, vec![step(1)]);
    while servers.running.is_none() {
        servers.harness.now_ms += STEP_MS;
        assert!(servers.harness.now_ms < common::START_MS + 120_000);
        servers.answer_polls();
        servers.answer_stops();
        servers.harness.tick();
        servers.harness.write_records();
        servers.harness.plan();
        servers.answer_starts(lost_reply);
        assert_ne!(
            servers.harness.shard.job_status(job),
            Some(JobStatus::Failed)
        );
    }
    assert_eq!(servers.lost_starts, LOST_STARTS);
    let (server, request) = servers.running.expect("the task runs");
    let end = run_end(1, request.task, request.run, EndKind::Done);
    let name = servers.harness.name(server);
    servers.harness.report(&name, &[], &[end]);
    servers.harness.write_records();
    let status = servers.harness.shard.job_status(job);
    assert_eq!(status, Some(JobStatus::Completed));
}
