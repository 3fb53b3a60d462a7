//! Simulated network between instances: heartbeats, loan messages, loss and delay.

use super::fault::{self, Defect};
use super::{
    Event, Payload, World, HEARTBEAT_INTERVAL_MS, OTHER_REGION_DELAY_MS, SAME_REGION_DELAY_MS,
};
use carobwheel_core::limit::OutgoingLoanMessage;
use carobwheel_core::slot::Peer;
use rand::Rng;
use std::rc::Rc;

impl World {
    pub(super) fn send_heartbeats(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.next_heartbeat_ms > now_ms {
            return;
        }
        process.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        let now = process.node.clock(now_ms);
        process.node.refresh_members(now);
        let heartbeat = Rc::new(process.node.heartbeat());
        let from = process.node.peer.clone();
        let to: Vec<Peer> = self
            .processes
            .iter()
            .flatten()
            .map(|other| other.node.peer.clone())
            .filter(|peer| *peer != from)
            .collect();
        for peer in to {
            self.send(&from, &peer, Payload::Heartbeat(heartbeat.clone()));
        }
    }

    pub(super) fn send_loans(&mut self, at: usize, outgoing: Vec<OutgoingLoanMessage>) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let from = process.node.peer.clone();
        for (_, message) in &outgoing {
            process.messages_sent += 1;
            process.bytes_sent += (self.setup.message_bytes)(message) as u64;
        }
        for (to, message) in outgoing {
            self.send(&from, &to, Payload::Loan(Rc::new(message)));
        }
    }

    pub(super) fn send(&mut self, from: &Peer, to: &Peer, payload: Payload) {
        let copies = if self.draw_fault() { 2 } else { 1 };
        for _ in 0..copies {
            if self.draw_fault() {
                continue;
            }
            let (Some(a), Some(b)) = (self.region_of(from), self.region_of(to)) else {
                return;
            };
            let is_partitioned = a != b && (self.isolated_regions[a] || self.isolated_regions[b]);
            if is_partitioned || self.is_disconnected(from) || self.is_disconnected(to) {
                return;
            }
            let base_ms = if a == b {
                SAME_REGION_DELAY_MS
            } else {
                OTHER_REGION_DELAY_MS
            };
            let mut delay_ms = base_ms + self.rng.random_range(0..=base_ms / 8 + 1);
            if self.draw_fault() {
                delay_ms += self.rng.random_range(0..3_000);
            }
            let event = Event::Deliver(from.clone(), to.clone(), payload.clone());
            self.schedule_after(delay_ms, event);
        }
    }

    pub(super) fn draw_fault(&mut self) -> bool {
        let loss_pct = self.setup.loss_pct;
        loss_pct > 0 && self.rng.random_ratio(loss_pct, 100)
    }

    pub(super) fn instance_index(&self, peer: &Peer) -> Option<usize> {
        peer.instance.as_str().get(1..)?.parse().ok()
    }

    pub(super) fn region_of(&self, peer: &Peer) -> Option<usize> {
        Some(self.instance_index(peer)? % self.setup.regions.len())
    }

    pub(super) fn is_disconnected(&self, peer: &Peer) -> bool {
        let until_ms = self
            .instance_index(peer)
            .map_or(0, |at| self.disconnected_until_ms[at]);
        until_ms > self.now_ms
    }

    pub(super) fn on_deliver(&mut self, from: &Peer, to: &Peer, payload: Payload) {
        let Some(at) = self.locate(to) else { return };
        if self.is_paused(at) {
            if let Some(process) = &mut self.processes[at] {
                process.deferred.push((from.clone(), payload));
            }
            return;
        }
        self.receive(at, from, payload);
    }

    pub(super) fn receive(&mut self, at: usize, from: &Peer, payload: Payload) {
        let now_ms = self.now_ms;
        self.check_pause(at);
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = process.node.clock(now_ms);
        match payload {
            Payload::Heartbeat(heartbeat) => {
                if let Some(revision) = process.node.on_heartbeat(from, &heartbeat, now) {
                    self.apply_revision(at, revision);
                }
            }
            Payload::Loan(message) => {
                let message = fault::corrupt(self.setup.defect, &message);
                let has_grants = !message.grants.is_empty();
                let outgoing = process.node.on_loan_message(from, &message, now);
                if self.setup.defect == Defect::LoanForgotten {
                    fault::forget_loans(&mut process.node.limiter, &outgoing, now);
                }
                self.send_loans(at, outgoing);
                if has_grants {
                    self.try_waiting(at, true);
                }
            }
        }
    }
}
