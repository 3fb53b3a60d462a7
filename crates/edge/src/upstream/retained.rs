//! What is known of the processes of upstreams whose entries are missing.
//!
//! An upstream that loses its way to the store loses its entry although it is alive, and registers again as
//! the same process. What it has stated, and what was observed of it, holds until then.

use super::{Upstream, UpstreamEntry};
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Time for which a process is remembered without its entry, in milliseconds.
const RETENTION_MS: u64 = 120_000;
/// Maximum number of remembered processes.
const MAX_RETAINED: usize = 256;

/// Identifier of an upstream, and the start of its process as Unix time in milliseconds.
type ProcessId = (Arc<str>, Option<u64>);

/// Processes without an entry, with the time since which each is remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct Retained {
    by_process: HashMap<ProcessId, (Upstream, Millis)>,
}

impl Retained {
    /// Remembers an upstream. The one that was remembered first makes room for it.
    pub(super) fn keep(&mut self, mut upstream: Upstream, now: Millis) {
        upstream.detach();
        if self.by_process.len() >= MAX_RETAINED {
            let known = self.by_process.iter();
            let first = known.min_by_key(|(_, (_, since))| *since);
            if let Some(process) = first.map(|(process, _)| process.clone()) {
                self.by_process.remove(&process);
            }
        }
        let process = process_id(&upstream.entry);
        self.by_process.insert(process, (upstream, now));
    }

    /// Removes and returns what is known of the process that has written `entry`.
    pub(super) fn take(&mut self, entry: &UpstreamEntry) -> Option<Upstream> {
        let (known, _) = self.by_process.remove(&process_id(entry))?;
        Some(known).filter(|known| known.is_process_of(entry))
    }

    /// Forgets processes that have had no entry for too long.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_process
            .retain(|_, (_, since)| now.since(*since) <= RETENTION_MS);
    }

    pub(super) fn len(&self) -> usize {
        self.by_process.len()
    }
}

fn process_id(entry: &UpstreamEntry) -> ProcessId {
    (Arc::clone(&entry.id), entry.started_unix_ms)
}
