//! Simulated platform services of an instance: document, store and live list.

use super::fault::{self, Defect};
use super::store::Versioned;
use super::{
    Event, World, LIVE_LIST_INTERVAL_MS, LIVE_LIST_RETENTION_MS, STORE_READ_INTERVAL_MS,
    STORE_TIMEOUT_MS,
};
use carobwheel_core::slot::{OwnershipWrite, Peer};
use carobwheel_core::time::Millis;
use rand::Rng;

impl World {
    pub(super) fn apply_revision(&mut self, at: usize, revision: u64) {
        let now_ms = self.now_ms;
        let is_growth_immediate = self.setup.defect == Defect::ImmediateShareGrowth;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let Some(index) = usize::try_from(revision)
            .ok()
            .and_then(|r| r.checked_sub(1))
        else {
            return;
        };
        let now = process.node.clock(now_ms);
        process.node.document_revision = process.node.document_revision.max(revision);
        let document = &self.setup.documents[index];
        process.node.limiter.apply_document(revision, document, now);
        if is_growth_immediate {
            process.node.limiter.set_fleet_revision(revision, now);
        }
    }

    pub(super) fn call_store(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.node.document_revision == 0 && !self.store.is_down {
            let published_revision = self.published_revision;
            self.apply_revision(at, published_revision);
            return;
        }
        if process.store_call_deadline_ms > now_ms || !process.node.has_live_list() {
            return;
        }
        let now = process.node.clock(now_ms);
        let write = process.node.next_write(now);
        if write.is_none() && process.next_read_ms > now_ms {
            return;
        }
        process.next_read_ms = now_ms + STORE_READ_INTERVAL_MS;
        process.store_call_deadline_ms = now_ms + STORE_TIMEOUT_MS;
        let peer = process.node.peer.clone();
        if self.store.is_down || self.is_store_unreachable(at) {
            // A write sent before the outage may still take effect, with its response lost.
            if self.rng.random_bool(0.9) || write.is_none() {
                return;
            }
            self.schedule_after(5, Event::StoreRequest(peer, write, now, false));
            return;
        }
        let mut delay_ms = self.rng.random_range(2..20);
        if self.draw_fault() {
            delay_ms += self.rng.random_range(0..2_500);
        }
        let is_answered = !self.draw_fault();
        let event = Event::StoreRequest(peer, write, now, is_answered);
        self.schedule_after(delay_ms, event);
    }

    /// Returns whether a partition separates an instance from the store in the first region.
    pub(super) fn is_store_unreachable(&self, at: usize) -> bool {
        let region = at % self.setup.regions.len();
        region != 0 && (self.isolated_regions[region] || self.isolated_regions[0])
    }

    pub(super) fn on_store_request(
        &mut self,
        peer: &Peer,
        write: Option<OwnershipWrite>,
        began: Millis,
        is_answered: bool,
    ) {
        let Some(region) = self.region_of(peer) else {
            return;
        };
        let region = self.setup.regions[region].clone();
        if let Some(write) = &write {
            self.store.write(&region, write);
        }
        if is_answered {
            let versioned = self.store.read(&region);
            let delay_ms = self.rng.random_range(2..20);
            let event = Event::StoreResponse(peer.clone(), versioned, began);
            self.schedule_after(delay_ms, event);
        }
    }

    pub(super) fn on_store_response(&mut self, at: usize, versioned: &Versioned, began: Millis) {
        if self.is_paused(at) {
            return;
        }
        let now_ms = self.now_ms;
        let defect = self.setup.defect;
        self.check_pause(at);
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let node = &mut process.node;
        let now = node.clock(now_ms);
        process.store_call_deadline_ms = 0;
        node.refresh_members(now);
        let before = node.reconciler.record().owned_by(&node.peer);
        node.on_record(versioned, began, now);
        if defect == Defect::NewOwnerStartsFull {
            fault::fill_new_slots(node, &before, &self.setup.documents[0], now);
        }
    }

    pub(super) fn on_live_list(&mut self) {
        let now_ms = self.now_ms;
        // The list is stale: this read returns the state of the previous interval.
        let live_list = std::mem::take(&mut self.live_list);
        for at in 0..self.processes.len() {
            if self.is_paused(at) {
                continue;
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.on_live_list(&live_list, now, now);
            }
        }
        self.live_list = self
            .processes
            .iter()
            .flatten()
            .filter(|process| {
                let paused_from_ms = process.paused_from_ms;
                paused_from_ms.is_none_or(|from| now_ms - from < LIVE_LIST_RETENTION_MS)
            })
            .map(|process| process.node.peer.clone())
            .collect();
        self.schedule_after(LIVE_LIST_INTERVAL_MS, Event::LiveList);
    }
}
