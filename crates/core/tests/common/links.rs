//! Links between hosts and servers that a test cuts.

use super::{Cluster, HOSTS};

impl Cluster {
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cut_links.contains(&(a.into(), b.into()))
            || self.cut_links.contains(&(b.into(), a.into()))
    }

    pub fn cut_link(&mut self, a: &str, b: &str) {
        self.cut_links.insert((a.into(), b.into()));
    }

    /// Partitions a server from all entry hosts.
    pub fn isolate_server(&mut self, server: &str) {
        for name in HOSTS {
            self.cut_link(name, server);
        }
    }
}
