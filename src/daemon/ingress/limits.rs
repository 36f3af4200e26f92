//! Limits on what callers may use of the host, with defaults derived from its memory and file descriptors.

use primrosestack_fleet::open_tasks::{OPEN_TASK_BYTES, ShardLimits};
use primrosestack_platform::json_scan::JsonLimits;
use serde::Deserialize;

/// Smallest memory of a host, assumed if the settings do not tell it.
const MEMORY_MB_MIN: u64 = 160;

/// Smallest number of file descriptors of a host, assumed if the settings do not tell it.
const FDS_MIN: u64 = 4_100;

/// Settings of the limits for callers. 0 stands for the default that is derived from the host.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    pub connections_max: usize,
    /// Connections from one IP address; by default as many as in all, since a load balancer has one address.
    pub connections_per_address_max: usize,
    /// Bytes of bodies that are being read, or are decoded and not yet stored.
    pub body_bytes_total_max: usize,
    /// Time for a request head from its first byte.
    pub head_ms: u64,
    /// Time for a body from the end of its head.
    pub body_ms_max: u64,
    /// Transfer rate of a body, from its second second.
    pub body_bytes_per_s_min: u64,
    /// Time for which an idle connection is kept.
    pub idle_ms: u64,
    pub headers_max: usize,
    /// Requests that are served from one read of a connection, before it is closed.
    pub pipelined_max: u32,
    /// Send buffer of a connection.
    pub unread_answer_bytes_max: u32,
    /// Time for which a response may make no progress.
    pub answer_stall_ms: u64,
    /// Values in the JSON of a job.
    pub json_elements_max: usize,
    /// Nested arrays and objects in the JSON of a job.
    pub json_depth_max: usize,
    /// Tasks of the jobs of a shard, done ones included, and those of a job that is being submitted among them.
    pub open_tasks_max: u64,
    /// Bytes of the jobs of a shard without their tasks, until their ends are recorded.
    pub job_bytes_max: u64,
    /// Ended jobs of a shard whose status is retained.
    pub ended_jobs_max: u64,
}

/// Memory of the owner for the status of an ended job, which doubles while its list grows, and for the purge.
const ENDED_JOB_BYTES: u64 = 64;

/// A failure domain has about 15,000 running tasks at the design size, and a job up to 20,000.
const OPEN_TASKS_MIN: u64 = 25_000;

impl CallerLimits {
    /// Limits of the shards that the host owns. By default, open tasks take an eighth of the memory, jobs a sixteenth and
    /// ended jobs a thirty-second, since a host may own several shards, and jobs have copies while they are read.
    #[must_use]
    pub fn of_shards(&self, host: HostSize) -> ShardLimits {
        let memory_bytes = host.memory_bytes as u64;
        let given_or = |value: u64, default| if value == 0 { default } else { value };
        let open_tasks = (memory_bytes / 8 / OPEN_TASK_BYTES).max(OPEN_TASKS_MIN);
        ShardLimits {
            open_tasks_max: given_or(self.open_tasks_max, open_tasks),
            job_bytes_max: given_or(self.job_bytes_max, memory_bytes / 16),
            ended_jobs_max: given_or(self.ended_jobs_max, memory_bytes / 32 / ENDED_JOB_BYTES),
        }
    }

    #[must_use]
    pub fn json(&self) -> JsonLimits {
        JsonLimits {
            elements_max: self.json_elements_max,
            depth_max: self.json_depth_max,
        }
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections_max: 0,
            connections_per_address_max: 0,
            body_bytes_total_max: 0,
            head_ms: 5_000,
            body_ms_max: 10_000,
            body_bytes_per_s_min: 4_096,
            idle_ms: 60_000,
            headers_max: 100,
            pipelined_max: 64,
            unread_answer_bytes_max: 32_768,
            answer_stall_ms: 10_000,
            // A job nests four. With 1,000 steps, the limit on steps, it has 33 values for each: the 18 fields of a step
            // and 14 dependencies. Jobs of the deployments have fewer than 200 values; a body of the maximum size can
            // have 131,000.
            json_elements_max: 32_768,
            json_depth_max: 16,
            open_tasks_max: 0,
            job_bytes_max: 0,
            ended_jobs_max: 0,
        }
    }
}

/// Memory and file descriptors of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSize {
    pub memory_bytes: usize,
    pub fds: usize,
}

impl HostSize {
    /// Takes the settings' values; 0 stands for the smallest host.
    #[must_use]
    pub fn from_settings(memory_mb: u64, fds_max: u64) -> Self {
        let known = |value: u64, smallest| if value == 0 { smallest } else { value };
        let memory_mb = usize::try_from(known(memory_mb, MEMORY_MB_MIN)).unwrap_or(usize::MAX);
        Self {
            memory_bytes: memory_mb.saturating_mul(1 << 20),
            fds: usize::try_from(known(fds_max, FDS_MIN)).unwrap_or(usize::MAX),
        }
    }
}

/// File descriptors that the host keeps for files.
const FDS_FOR_FILES: usize = 200;

/// What a connection can hold at most beside its body: the buffer of a head, and the kernel's buffers for what is not
/// read yet (twice [`RECEIVE_BUFFER_BYTES`]).
const CONNECTION_BYTES: usize = 48 << 10;

/// Receive buffer of a connection. Without it, the kernel lets each grow to 6 MB. Still 160 KB/s over a round trip of
/// 100 ms.
pub const RECEIVE_BUFFER_BYTES: u32 = 16_384;

const BODY_BYTES_MIN: usize = 4 << 20;

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub connections_max: usize,
    pub connections_per_address_max: usize,
    pub body_bytes_total_max: usize,
    pub head_ms: u64,
    pub body_ms_max: u64,
    pub body_bytes_per_s_min: u64,
    pub idle_ms: u64,
    pub headers_max: usize,
    pub pipelined_max: u32,
    pub send_buffer_bytes: u32,
    pub answer_stall_ms: u64,
}

/// Limits of the readiness port. A load balancer probes once a second over one or a few connections.
pub const PROBES: Limits = Limits {
    connections_max: 32,
    connections_per_address_max: 32,
    body_bytes_total_max: 0,
    head_ms: 2_000,
    body_ms_max: 2_000,
    body_bytes_per_s_min: 4_096,
    idle_ms: 60_000,
    headers_max: 100,
    pipelined_max: 16,
    send_buffer_bytes: 8_192,
    answer_stall_ms: 2_000,
};

/// Limits of the metrics port. Each unread response holds all metrics, some 100 KB.
pub const METRICS: Limits = Limits {
    connections_max: 16,
    connections_per_address_max: 16,
    pipelined_max: 4,
    send_buffer_bytes: 65_536,
    answer_stall_ms: 5_000,
    ..PROBES
};

/// Limits of the peer port on the largest host: one connection from each other host that asks, of which the largest
/// deployment has 147. Handovers have up to 1 MB; with 256 KB in flight (the kernel doubles the buffer), one takes four round
/// trips.
const PEERS: Limits = Limits {
    connections_max: 256,
    connections_per_address_max: 256,
    head_ms: 5_000,
    idle_ms: 600_000,
    send_buffer_bytes: 131_072,
    answer_stall_ms: 5_000,
    ..PROBES
};

const PEER_SEND_BUFFER_BYTES_MIN: usize = 16_384;

impl Limits {
    /// Limits of the peer port on a host of the given size. Replies that peers do not read take at most an eighth of the
    /// memory.
    #[must_use]
    pub fn for_peers(host: HostSize) -> Self {
        let send_buffers = 2 * PEERS.connections_max;
        let by_memory = (host.memory_bytes / 8 / send_buffers).max(PEER_SEND_BUFFER_BYTES_MIN);
        let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
        Self {
            send_buffer_bytes: PEERS.send_buffer_bytes.min(by_memory),
            ..PEERS
        }
    }

    /// Limits of the port for callers on a host of the given size.
    ///
    /// Half of the descriptors are left for calls to the store, peers and servers: a request needs one at a time. Half of
    /// the memory is left for bodies and for the scheduler.
    #[must_use]
    pub fn for_callers(settings: &CallerLimits, host: HostSize) -> Self {
        let of_other_ports =
            PROBES.connections_max + METRICS.connections_max + PEERS.connections_max;
        let for_sockets = host.fds.saturating_sub(FDS_FOR_FILES) / 2;
        let by_fds = for_sockets.saturating_sub(of_other_ports);
        let by_memory = host.memory_bytes / 2 / CONNECTION_BYTES;
        let given_or = |value: usize, default| if value == 0 { default } else { value };
        let connections_max = given_or(settings.connections_max, by_fds.min(by_memory).max(16));
        let body_bytes = (host.memory_bytes / 8).max(BODY_BYTES_MIN);
        Self {
            connections_max,
            connections_per_address_max: given_or(
                settings.connections_per_address_max,
                connections_max,
            ),
            body_bytes_total_max: given_or(settings.body_bytes_total_max, body_bytes),
            head_ms: settings.head_ms,
            body_ms_max: settings.body_ms_max,
            body_bytes_per_s_min: settings.body_bytes_per_s_min,
            idle_ms: settings.idle_ms,
            headers_max: settings.headers_max,
            pipelined_max: settings.pipelined_max,
            send_buffer_bytes: settings.unread_answer_bytes_max,
            answer_stall_ms: settings.answer_stall_ms,
        }
    }
}
