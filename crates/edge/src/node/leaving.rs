//! Upstreams that state in their responses that they are leaving.
//!
//! The statement holds for the life of the upstream's process, whether or not the store can be
//! reached. It is passed on to the instances of the region, so that they need not send a request to
//! learn of it.

use super::{Node, State};
use crate::{dispatch::Target, log::Event, upstream::Upstream};
use hyper::HeaderMap;
use std::sync::Arc;

impl Node {
    /// Records what the head of a response from `target` states about whether it is leaving.
    pub fn note_leaving(&self, target: &Target, request: &str, headers: &HeaderMap) {
        let stated = headers.get_all(&self.names.leaving);
        let mut values = stated.iter().map(|value| value.as_bytes().trim_ascii());
        let Some(first) = values.next() else {
            return;
        };
        if first != b"1" && !values.any(|value| value == b"1") {
            let upstream = &target.id;
            self.log
                .event(Event::UpstreamLeavingIgnored { upstream, request });
            return;
        }
        let mut state = self.state.borrow_mut();
        let known = state.upstreams.by_id.get_mut(&target.id);
        // A late response of an earlier process says nothing about the one that has followed it.
        let same_process = known.filter(|upstream| {
            upstream.entry.address == target.address
                && upstream.entry.started_unix_ms == target.started_unix_ms
        });
        if let Some(upstream) = same_process {
            self.leaving_stated(upstream, request, "");
        }
    }

    /// Applies another instance's reports about upstreams that are leaving.
    pub(super) fn receive_leaving(&self, name: &Arc<str>, reports: &[u32]) {
        if reports.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for upstream in state.upstreams.by_id.values_mut() {
            let is_reported = *upstream.region == *self.region
                && !upstream.has_stated_leaving
                && reports.contains(&upstream.process_key());
            if is_reported {
                self.leaving_stated(upstream, "", name);
            }
        }
    }

    fn leaving_stated(&self, upstream: &mut Upstream, request: &str, heard_from: &str) {
        if !upstream.state_leaving(self.now()) {
            return;
        }
        self.pools.close_idle(&upstream.entry.id);
        self.log.event(Event::UpstreamLeaving {
            upstream: &upstream.entry.id,
            request,
            heard_from,
        });
    }
}

impl State {
    /// Processes of upstreams of the own region that have stated that they are leaving.
    pub(super) fn leaving_reports(&self, node: &Node) -> Vec<u32> {
        let upstreams = self.upstreams.by_id.values();
        let leaving = upstreams
            .filter(|upstream| upstream.has_stated_leaving && *upstream.region == *node.region);
        leaving.map(Upstream::process_key).collect()
    }
}
