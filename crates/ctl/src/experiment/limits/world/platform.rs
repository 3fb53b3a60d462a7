//! The store and the live list.

use super::fault::{self, Defect};
use super::store::Versioned;
use super::{Event, World, LIVE_LIST_MS, STORE_READ_MS, STORE_TIMEOUT_MS, UNLISTED_AFTER_MS};
use carobwheel_core::slot::{OwnershipWrite, Peer};
use carobwheel_core::time::Millis;
use rand::Rng;

impl World {
    pub(super) fn apply(&mut self, at: usize, revision: u64) {
        let now_ms = self.now_ms;
        let is_at_once = self.setup.defect == Defect::ImmediateShareGrowth;
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
        process.node.document = process.node.document.max(revision);
        let document = &self.setup.documents[index];
        process.node.limiter.apply_document(revision, document, now);
        if is_at_once {
            process.node.limiter.set_fleet_revision(revision, now);
        }
    }

    pub(super) fn call_store(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.node.document == 0 && !self.store.is_down {
            let published = self.published;
            self.apply(at, published);
            return;
        }
        if process.awaits_store_until_ms > now_ms || !process.node.has_joined() {
            return;
        }
        let now = process.node.clock(now_ms);
        let write = process.node.next_write(now);
        if write.is_none() && process.next_read_ms > now_ms {
            return;
        }
        process.next_read_ms = now_ms + STORE_READ_MS;
        process.awaits_store_until_ms = now_ms + STORE_TIMEOUT_MS;
        let peer = process.node.peer.clone();
        if self.store.is_down || self.is_store_cut_off(at) {
            // A write may have left before the outage and take effect, with its answer lost.
            if self.rng.random_bool(0.9) || write.is_none() {
                return;
            }
            self.after(5, Event::StoreEffect(peer, write, now, false));
            return;
        }
        let mut delay_ms = self.rng.random_range(2..20);
        if self.is_hit() {
            delay_ms += self.rng.random_range(0..2_500);
        }
        let is_answered = !self.is_hit();
        let event = Event::StoreEffect(peer, write, now, is_answered);
        self.after(delay_ms, event);
    }

    /// The store stands in the first region.
    pub(super) fn is_store_cut_off(&self, at: usize) -> bool {
        let region = at % self.setup.regions.len();
        region != 0 && (self.cut_off[region] || self.cut_off[0])
    }

    pub(super) fn on_store(
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
            let event = Event::StoreAnswer(peer.clone(), versioned, began);
            self.after(delay_ms, event);
        }
    }

    pub(super) fn on_store_answer(&mut self, at: usize, versioned: &Versioned, began: Millis) {
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
        process.awaits_store_until_ms = 0;
        node.refresh_members(now);
        let before = node.keeper.record().owned_by(&node.peer);
        node.on_record(versioned, began, now);
        if defect == Defect::NewOwnerStartsFull {
            fault::fill_new_slots(node, &before, &self.setup.documents[0], now);
        }
    }

    pub(super) fn on_live_list(&mut self) {
        let now_ms = self.now_ms;
        // The list lags: what is read now was true at the last turn.
        let listed = std::mem::take(&mut self.listed);
        for at in 0..self.processes.len() {
            if self.is_paused(at) {
                continue;
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.on_live_list(&listed, now, now);
            }
        }
        self.listed = self
            .processes
            .iter()
            .flatten()
            .filter(|process| {
                let paused_from = process.paused_from;
                paused_from.is_none_or(|from| now_ms - from < UNLISTED_AFTER_MS)
            })
            .map(|process| process.node.peer.clone())
            .collect();
        self.after(LIVE_LIST_MS, Event::LiveList);
    }
}
