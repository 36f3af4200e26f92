//! Log lines about entries of the store that cannot be used.

use std::cell::RefCell;

use primrosestack_fleet::prelude::*;
use primrosestack_platform::catalog::decode_server;
use primrosestack_platform::store::Item;
use smol_str::SmolStr;

use crate::daemon::clock::unix_ms;
use crate::daemon::line_limit::LineLimit;
use crate::logs::Line;

/// Keys that are remembered as reported. An entry beyond them is reported again with each write, within the limit.
const KEYS_MAX: usize = 100;

/// Reports each odd entry once until it is removed or can be used again.
#[derive(Debug, Default)]
pub struct OddEntries {
    /// Reported keys, sorted.
    keys: RefCell<Vec<SmolStr>>,
    lines: LineLimit,
}

impl OddEntries {
    /// Returns the number of lines left out since the last one if the entry is to be reported now.
    pub fn admit(&self, key: &SmolStr, now_ms: u64) -> Option<u64> {
        let mut keys = self.keys.borrow_mut();
        let Err(index) = keys.binary_search(key) else {
            return None;
        };
        let unwritten = self.lines.admit(now_ms)?;
        if keys.len() < KEYS_MAX {
            keys.insert(index, key.clone());
        }
        Some(unwritten)
    }

    /// Has the entry reported again when it is odd the next time.
    pub fn forget(&self, key: &SmolStr) {
        let mut keys = self.keys.borrow_mut();
        if let Ok(index) = keys.binary_search(key) {
            keys.remove(index);
        }
    }

    /// Reports rows of a list or watch that could not be decoded.
    pub fn report_unreadable(&self, call: &'static str, rows: u32, now_ms: u64) {
        if rows == 0 {
            return;
        }
        if let Some(unwritten) = self.lines.admit(now_ms) {
            Line::error("rows_unreadable")
                .with("call", call)
                .with("rows", rows)
                .with("unwritten", unwritten)
                .write();
        }
    }

    /// Decodes the registration of a server; reports it and returns `None` if it names no server to use.
    pub fn decode_server(&self, item: &Item, now_ms: u64) -> Option<ServerEntry> {
        let error = match decode_server(&item.key, &item.value, unix_ms()) {
            Ok(entry) => {
                self.forget(&item.key);
                return Some(entry);
            }
            Err(error) => error,
        };
        if let Some(unwritten) = self.admit(&item.key, now_ms) {
            Line::warn("registration_unusable")
                .with("key", &item.key)
                .with("unwritten", unwritten)
                .with_reason(error)
                .write();
        }
        None
    }
}
