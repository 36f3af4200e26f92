//! Share of the servers that the advisor allows steps of a queue to use, from which calls are sized while other steps wait.

use smol_str::SmolStr;

use crate::shard::to_u32;

/// Servers named by the calls from which a share is learned.
const SHARE_SERVERS: u32 = 200;

/// Fewest servers that are likely to be enough.
const SERVERS_MIN: usize = 4;

/// How many of the servers that were named lately are allowed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Share {
    named: u32,
    allowed: u32,
}

impl Share {
    pub(crate) fn add(&mut self, named: usize, allowed: usize) {
        self.named += to_u32(named);
        self.allowed += to_u32(allowed);
        if self.named > SHARE_SERVERS {
            self.named /= 2;
            self.allowed /= 2;
        }
    }

    /// Servers of which twice as many as `wanted` are likely to be allowed.
    pub(crate) fn servers_for(&self, wanted: u32) -> usize {
        let likely = u64::from(wanted) * 2 * u64::from(self.named);
        let likely = likely.checked_div(u64::from(self.allowed));
        let likely = likely.and_then(|count| usize::try_from(count).ok());
        likely.unwrap_or(usize::MAX).max(SERVERS_MIN)
    }
}

/// Shares of queues, sorted by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares(Vec<(SmolStr, Share)>);

impl Shares {
    pub(crate) fn of_queue(&self, queue: &str) -> Option<&Share> {
        let found = self
            .0
            .binary_search_by(|(known, _)| known.as_str().cmp(queue));
        Some(&self.0[found.ok()?].1)
    }

    pub(crate) fn of_queue_mut(&mut self, queue: &SmolStr) -> &mut Share {
        let found = self.0.binary_search_by(|(known, _)| known.cmp(queue));
        let index = found.unwrap_or_else(|index| {
            self.0.insert(index, (queue.clone(), Share::default()));
            index
        });
        &mut self.0[index].1
    }
}
