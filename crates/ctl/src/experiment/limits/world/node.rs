//! A simulated instance with a real limiter and a real ownership reconciler.

use super::flow::Arrival;
use super::store::Versioned;
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::limit::{
    ChargeId, ChargeOutcome, ChargeRequest, Limiter, LoanMessage, OutgoingLoanMessage,
};
use carobwheel_core::slot::{
    LivenessTracker, OwnershipReconciler, OwnershipUpdate, OwnershipWrite, Peer, PlanContext,
};
use carobwheel_core::time::Millis;
use std::collections::BTreeMap;

/// Time without a heartbeat after which a peer no longer counts as alive, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// A request waiting for tokens.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub arrival: Arrival,
    /// The reference bucket, charged with all requests admitted so far, could have admitted the
    /// request at some time.
    pub is_within_limit: bool,
    retry_at: Millis,
    wait_until: Millis,
}

/// An admitted request that is generating.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    /// The request.
    pub arrival: Arrival,
    /// The charge at the limiter.
    pub charge: ChargeId,
    /// True time of admission, in milliseconds.
    pub admitted_ms: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
}

/// Content of a heartbeat.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Region of the sender.
    pub region: RegionId,
    /// Revision of the document applied by the sender.
    pub document_revision: u64,
    /// Settled revision of the sender: its shares do not exceed those of this revision.
    pub settled_revision: u64,
    /// Latest ownership records of all regions received by the sender.
    pub records: BTreeMap<RegionId, Versioned>,
}

/// A simulated instance.
#[derive(Debug)]
pub struct Node {
    /// Instance and incarnation.
    pub peer: Peer,
    /// Region of the instance.
    pub region: RegionId,
    /// Limiter of the instance.
    pub limiter: Limiter,
    /// Ownership reconciler of the instance.
    pub reconciler: OwnershipReconciler,
    /// Liveness of the peers as observed by the instance.
    pub liveness_tracker: LivenessTracker,
    /// Requests waiting for tokens.
    pub waiting: Vec<WaitingRequest>,
    /// Requests that are generating.
    pub running: Vec<RunningRequest>,
    /// Revision of the applied document; 0 if none.
    pub document_revision: u64,
    /// Latest ownership records received, by region.
    pub records: BTreeMap<RegionId, Versioned>,
    /// Last report of each peer: region, settled revision, time of receipt.
    reports: BTreeMap<Peer, (RegionId, u64, Millis)>,
    live_list: Vec<Peer>,
    clock_ppm: i64,
    started_ms: u64,
}

impl Node {
    /// Creates an instance that starts at a true time and whose clock drifts by `clock_ppm`.
    pub fn new(peer: Peer, region: RegionId, started_ms: u64, clock_ppm: i64) -> Self {
        let now = Millis(0);
        Self {
            limiter: Limiter::new(peer.clone(), region.clone()),
            reconciler: OwnershipReconciler::new(peer.clone(), now),
            peer,
            region,
            liveness_tracker: LivenessTracker::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            document_revision: 0,
            records: BTreeMap::new(),
            reports: BTreeMap::new(),
            live_list: Vec::new(),
            clock_ppm,
            started_ms,
        }
    }

    /// Returns the instance's monotonic clock at a true time.
    pub fn clock(&self, at_ms: u64) -> Millis {
        let elapsed = i128::from(at_ms - self.started_ms);
        let drifted = elapsed + elapsed * i128::from(self.clock_ppm) / 1_000_000;
        Millis(u64::try_from(drifted).unwrap_or(0))
    }

    /// Handles a heartbeat; returns the sender's document revision if it is higher.
    pub fn on_heartbeat(&mut self, from: &Peer, heartbeat: &Heartbeat, now: Millis) -> Option<u64> {
        self.liveness_tracker.note_heartbeat(from, now);
        let report = (heartbeat.region.clone(), heartbeat.settled_revision, now);
        self.reports.insert(from.clone(), report);
        for (region, versioned) in &heartbeat.records {
            if *region != self.region {
                self.apply_record(region, versioned);
            }
        }
        (heartbeat.document_revision > self.document_revision)
            .then_some(heartbeat.document_revision)
    }

    /// Returns whether the live list has been read, so that the peers to audit are known.
    pub fn has_live_list(&self) -> bool {
        !self.live_list.is_empty()
    }

    /// Handles a read of the live list.
    pub fn on_live_list(&mut self, live_list: &[Peer], read_began: Millis, now: Millis) {
        self.liveness_tracker
            .note_live_list(live_list, read_began, now);
        self.live_list = live_list.to_vec();
    }

    /// Handles a read of the ownership record of the instance's own region.
    pub fn on_record(&mut self, versioned: &Versioned, read_began: Millis, now: Millis) {
        let region = self.region.clone();
        self.apply_record(&region, versioned);
        self.liveness_tracker.note_record(&versioned.record, now);
        let record = versioned.record.as_ref().clone();
        match self
            .reconciler
            .on_read(versioned.revision, record, read_began)
        {
            OwnershipUpdate::Unchanged => {}
            OwnershipUpdate::Owned(owned) => self.limiter.set_slots(&owned, now),
            OwnershipUpdate::Confirmed(owned) => self.limiter.confirm_slots(&owned, now),
        }
    }

    fn apply_record(&mut self, region: &RegionId, versioned: &Versioned) {
        let current = self.records.entry(region.clone()).or_default();
        if current.revision >= versioned.revision {
            return;
        }
        *current = versioned.clone();
        let slots = self
            .records
            .iter()
            .flat_map(|(region, current)| current.record.slots(region));
        self.limiter.set_owners(slots);
    }

    /// Returns all peers that ever sent a heartbeat or are on the live list.
    pub fn known_peers(&self) -> Vec<Peer> {
        let mut peers: Vec<Peer> = self.reports.keys().cloned().collect();
        peers.extend(self.live_list.iter().cloned());
        peers.sort();
        peers.dedup();
        peers
    }

    /// Returns the members, without those that are confirmed gone.
    fn members(&self, now: Millis) -> Vec<Peer> {
        let mut members = self.known_peers();
        members.push(self.peer.clone());
        members.sort();
        members.dedup();
        members.retain(|peer| {
            *peer == self.peer || !self.liveness_tracker.liveness(peer, now).is_gone()
        });
        members
    }

    /// Updates the limiter's members and fleet revision.
    pub fn refresh_members(&mut self, now: Millis) {
        let members = self.members(now);
        self.limiter.set_members(&members, now);
        let settled = |peer: &Peer| {
            if *peer == self.peer {
                return self.limiter.settled_revision();
            }
            self.reports.get(peer).map_or(0, |report| report.1)
        };
        let fleet = members.iter().map(settled).min().unwrap_or(0);
        self.limiter.set_fleet_revision(fleet, now);
    }

    /// Returns the next write of the ownership record, if one is due.
    pub fn next_write(&mut self, now: Millis) -> Option<OwnershipWrite> {
        let mut alive = vec![self.peer.clone()];
        for (peer, (region, _, received_at)) in &self.reports {
            if *region == self.region && now.since(*received_at) < HEARTBEAT_TIMEOUT_MS {
                alive.push(peer.clone());
            }
        }
        let liveness_tracker = &self.liveness_tracker;
        let liveness = |peer: &Peer| liveness_tracker.liveness(peer, now);
        let context = PlanContext {
            me: &self.peer,
            is_leaving: false,
            // Causes more handovers than the daemon makes, which is the harder case.
            are_all_reachable: true,
            alive: &alive,
            liveness: &liveness,
        };
        let write = self.reconciler.next_write(&context)?;
        self.limiter.suspend(&write.suspended, now);
        Some(write)
    }

    /// Returns a heartbeat of this instance.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            region: self.region.clone(),
            document_revision: self.document_revision,
            settled_revision: self.limiter.settled_revision(),
            records: self.records.clone(),
        }
    }

    /// Queues a request that has arrived.
    pub fn on_arrival(&mut self, arrival: Arrival, now: Millis) {
        let wait_until = now.plus(arrival.max_wait_ms);
        self.waiting.push(WaitingRequest {
            arrival,
            is_within_limit: false,
            retry_at: now,
            wait_until,
        });
    }

    /// Tries to charge the waiting requests, in order of arrival for each account, and calls
    /// `on_decided` with each request that is admitted or refused.
    pub fn try_waiting(
        &mut self,
        at_ms: u64,
        skips_retry_delay: bool,
        fits_limit: &mut dyn FnMut(&Arrival) -> bool,
        on_decided: &mut dyn FnMut(&WaitingRequest, bool),
    ) -> Vec<OutgoingLoanMessage> {
        let now = self.clock(at_ms);
        let mut outgoing = Vec::new();
        let mut blocked: Vec<AccountId> = Vec::new();
        for mut waiting in std::mem::take(&mut self.waiting) {
            waiting.is_within_limit |= fits_limit(&waiting.arrival);
            let is_late = now >= waiting.wait_until;
            let is_due = skips_retry_delay || waiting.retry_at <= now || is_late;
            let is_blocked = blocked.contains(&waiting.arrival.account) && !is_late;
            if !is_due || is_blocked {
                blocked.push(waiting.arrival.account.clone());
                self.waiting.push(waiting);
                continue;
            }
            let request = ChargeRequest {
                account: &waiting.arrival.account,
                prompt_tokens: waiting.arrival.prompt_tokens,
                max_output_tokens: waiting.arrival.max_output_tokens,
                wait_until: waiting.wait_until,
            };
            let wait_ms = match self.limiter.try_charge(&request, now) {
                ChargeOutcome::Admitted { charge } => {
                    on_decided(&waiting, true);
                    self.running.push(RunningRequest {
                        arrival: waiting.arrival,
                        charge,
                        admitted_ms: at_ms,
                        generated_tokens: 0,
                    });
                    continue;
                }
                ChargeOutcome::Refused { .. }
                | ChargeOutcome::TooLarge
                | ChargeOutcome::UnknownAccount => {
                    on_decided(&waiting, false);
                    continue;
                }
                ChargeOutcome::Borrow { messages, wait_ms } => {
                    outgoing.extend(messages);
                    wait_ms
                }
                ChargeOutcome::Wait { ms } => ms,
            };
            waiting.retry_at = now.plus(wait_ms);
            blocked.push(waiting.arrival.account.clone());
            self.waiting.push(waiting);
        }
        outgoing
    }

    /// Handles a loan message of a peer.
    pub fn on_loan_message(
        &mut self,
        from: &Peer,
        message: &LoanMessage,
        now: Millis,
    ) -> Vec<OutgoingLoanMessage> {
        self.limiter.on_message(from, message, now)
    }
}
