//! Aggregates the burn counts of several entry hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::burn::{
    BurnReply, KnownHost, RING_SLOTS, ServiceBurn, ServiceLevelObjective, WINDOWS_MS,
};

/// Burn rate that spends a 30-day budget in about two days; the alarm requires it in both fast windows.
pub const FAST_ALARM_BURN: f64 = 14.4;

/// Burn rate that spends a 30-day budget in 30 days; the alarm requires it in both slow windows.
pub const SLOW_ALARM_BURN: f64 = 1.0;

// Indices into [`WINDOWS_MS`].
const FAST_WINDOWS: [usize; 2] = [0, 1];
const SLOW_WINDOWS: [usize; 2] = [2, 3];
const BUDGET_WINDOW: usize = 4;

/// Result of fetching the counts from one address.
#[derive(Clone, Debug)]
pub struct HostResult {
    /// The address as given on the command line.
    pub address: SmolStr,
    /// The reply, or the cause of the failure.
    pub result: Result<BurnReply, SmolStr>,
}

/// Good and bad requests summed over hosts, in wider integers than the counts of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Good requests.
    pub good: u64,
    /// Bad requests.
    pub bad: u64,
}

impl Total {
    /// Returns the burn rate: the share of bad requests divided by the error budget; none without requests.
    #[must_use]
    pub fn burn_rate(self, level: ServiceLevelObjective) -> Option<f64> {
        let all = self.good + self.bad;
        if all == 0 {
            return None;
        }
        let bad_ppm = as_f64(self.bad) * 1_000_000.0 / as_f64(all);
        Some(bad_ppm / f64::from(level.budget_ppm()))
    }
}

/// One window of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowSum {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// Sum over the window.
    pub total: Total,
    /// Burn rate; none without requests.
    pub burn: Option<f64>,
    /// Whether some host began counting within the window, so that older requests are missing.
    pub forgotten: bool,
    /// Sum by step, newest first. Steps of different hosts are misaligned by up to one step.
    pub steps: Vec<Total>,
}

/// Burn rates of one service, in one failure domain or in all that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: SmolStr,
    /// Failure domain of the entry hosts that received the requests; none for the sum over all.
    pub failure_domain: Option<SmolStr>,
    /// The strictest objective among the hosts.
    pub level: ServiceLevelObjective,
    /// One entry per window, shortest first.
    pub windows: Vec<WindowSum>,
    /// Share of the 30-day budget that is left; negative if overspent, none without requests.
    pub budget_left: Option<f64>,
    /// Whether both fast windows burn at [`FAST_ALARM_BURN`] or more.
    pub fast_alarm: bool,
    /// Whether both slow windows burn at [`SLOW_ALARM_BURN`] or more.
    pub slow_alarm: bool,
}

/// Burn report over all hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Names of the hosts that answered.
    pub answered: Vec<KnownHost>,
    /// Missing hosts and failure domains, as sentences.
    pub missing: Vec<String>,
    /// Other limits of the figures, as sentences.
    pub notes: Vec<String>,
    /// Rows sorted by service; for each, the sum over all failure domains comes first.
    pub rows: Vec<Row>,
}

impl Summary {
    /// Aggregates the results of all hosts.
    #[must_use]
    pub fn from_results(results: &[HostResult]) -> Self {
        let mut summary = Self::default();
        let replies = distinct_replies(results, &mut summary);
        for reply in &replies {
            summary.answered.push(known_host(reply));
        }
        summary.answered.sort();
        add_missing_hosts(&replies, &mut summary);
        add_restart_notes(&replies, &mut summary);
        summary.rows = rows(&replies);
        add_level_notes(&replies, &mut summary);
        summary
    }

    /// Returns whether a host or a failure domain is missing.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.missing.is_empty()
    }
}

fn known_host(reply: &BurnReply) -> KnownHost {
    KnownHost {
        failure_domain: reply.failure_domain.clone(),
        name: reply.host.name.clone(),
    }
}

/// Returns one reply per host, even if several addresses lead to the same host.
fn distinct_replies<'a>(results: &'a [HostResult], summary: &mut Summary) -> Vec<&'a BurnReply> {
    let mut replies: Vec<&BurnReply> = Vec::new();
    for result in results {
        let reply = match &result.result {
            Ok(reply) => reply,
            Err(cause) => {
                let text = format!("{} gave no data: {cause}", result.address);
                summary.missing.push(text);
                continue;
            }
        };
        if replies.iter().any(|other| other.host == reply.host) {
            let name = &reply.host.name;
            let text = format!("{} is host {name}, counted once", result.address);
            summary.notes.push(text);
            continue;
        }
        replies.push(reply);
    }
    replies
}

fn add_missing_hosts(replies: &[&BurnReply], summary: &mut Summary) {
    let mut absent: Vec<&KnownHost> = Vec::new();
    for host in replies.iter().flat_map(|reply| &reply.known_hosts) {
        if !summary.answered.contains(host) {
            absent.push(host);
        }
    }
    absent.sort();
    absent.dedup();
    for host in &absent {
        let domain = &host.failure_domain;
        let text = format!("no data from host {} of failure domain {domain}", host.name);
        summary.missing.push(text);
    }
    let mut domains: Vec<&SmolStr> = absent.iter().map(|host| &host.failure_domain).collect();
    domains.dedup();
    for domain in domains {
        let has_answer = |host: &KnownHost| host.failure_domain == *domain;
        if summary.answered.iter().any(has_answer) {
            continue;
        }
        let text = format!("failure domain {domain} is missing: none of its hosts gave data");
        summary.missing.push(text);
    }
}

fn add_restart_notes(replies: &[&BurnReply], summary: &mut Summary) {
    for reply in replies {
        if reply.up_ms >= WINDOWS_MS[BUDGET_WINDOW] {
            continue;
        }
        let name = &reply.host.name;
        let up = duration_text(reply.up_ms);
        let text = format!("host {name} began counting {up} ago and has no older data");
        summary.notes.push(text);
    }
}

fn add_level_notes(replies: &[&BurnReply], summary: &mut Summary) {
    let mut levels: BTreeMap<&SmolStr, ServiceLevelObjective> = BTreeMap::new();
    let mut differing: Vec<&SmolStr> = Vec::new();
    for service in replies.iter().flat_map(|reply| &reply.services) {
        let level = *levels.entry(&service.service).or_insert(service.level);
        if level != service.level {
            differing.push(&service.service);
        }
    }
    differing.sort();
    differing.dedup();
    for service in differing {
        let text = format!(
            "hosts apply different levels to service {service}; the strictest is used here"
        );
        summary.notes.push(text);
    }
}

fn rows(replies: &[&BurnReply]) -> Vec<Row> {
    // None sorts before every failure domain, so the sum over all comes first.
    let mut rows: BTreeMap<(SmolStr, Option<SmolStr>), Row> = BTreeMap::new();
    for reply in replies {
        for service in &reply.services {
            for domain in [None, Some(reply.failure_domain.clone())] {
                let key = (service.service.clone(), domain.clone());
                let row = rows
                    .entry(key)
                    .or_insert_with(|| empty_row(service, domain));
                add_counts(row, service, reply.up_ms);
            }
        }
    }
    let mut rows: Vec<Row> = rows.into_values().collect();
    for row in &mut rows {
        finish_row(row);
    }
    rows
}

fn empty_row(service: &ServiceBurn, failure_domain: Option<SmolStr>) -> Row {
    let windows = WINDOWS_MS.map(|window_ms| WindowSum {
        window_ms,
        total: Total::default(),
        burn: None,
        forgotten: false,
        steps: vec![Total::default(); RING_SLOTS],
    });
    Row {
        service: service.service.clone(),
        failure_domain,
        level: service.level,
        windows: windows.to_vec(),
        budget_left: None,
        fast_alarm: false,
        slow_alarm: false,
    }
}

fn add_counts(row: &mut Row, service: &ServiceBurn, up_ms: u64) {
    row.level.good_ppm = row.level.good_ppm.max(service.level.good_ppm);
    row.level.latency_ms = row.level.latency_ms.min(service.level.latency_ms);
    for window in &mut row.windows {
        window.forgotten |= up_ms < window.window_ms;
        let same = |other: &&crate::burn::WindowCounts| other.window_ms == window.window_ms;
        let Some(counts) = service.windows.iter().find(same) else {
            continue;
        };
        for (step, count) in window.steps.iter_mut().zip(&counts.counts) {
            step.good += u64::from(count.good);
            step.bad += u64::from(count.bad);
        }
    }
}

fn finish_row(row: &mut Row) {
    for window in &mut row.windows {
        for step in &window.steps {
            window.total.good += step.good;
            window.total.bad += step.bad;
        }
        window.burn = window.total.burn_rate(row.level);
    }
    row.budget_left = row.windows[BUDGET_WINDOW].burn.map(|burn| 1.0 - burn);
    row.fast_alarm = all_reach(row, FAST_WINDOWS, FAST_ALARM_BURN);
    row.slow_alarm = all_reach(row, SLOW_WINDOWS, SLOW_ALARM_BURN);
}

fn all_reach(row: &Row, windows: [usize; 2], limit: f64) -> bool {
    windows
        .iter()
        .all(|window| row.windows[*window].burn.is_some_and(|burn| burn >= limit))
}

#[allow(
    clippy::cast_precision_loss,
    reason = "ratios need no more than 52 bits"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Formats a duration in its largest whole unit, such as `3 h`.
#[must_use]
pub fn duration_text(ms: u64) -> SmolStr {
    const UNITS: [(u64, &str); 4] = [
        (86_400_000, "d"),
        (3_600_000, "h"),
        (60_000, "min"),
        (1_000, "s"),
    ];
    for (unit_ms, name) in UNITS {
        if ms >= unit_ms {
            return format_args!("{} {name}", ms / unit_ms).to_smolstr();
        }
    }
    format_args!("{ms} ms").to_smolstr()
}
