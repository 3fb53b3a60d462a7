//! One instance of the world, around a limiter and a keeper.

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

/// Time for which a peer counts as alive after a heartbeat, in milliseconds.
const ALIVE_MS: u64 = 4_000;

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub arrival: Arrival,
    /// A bucket charged with all that was admitted so far could have admitted the request.
    pub is_within: bool,
    retry_at: Millis,
    wait_until: Millis,
}

/// A request that runs.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub arrival: Arrival,
    /// Its charge.
    pub charge: ChargeId,
    /// True time of admission, in milliseconds.
    pub admitted_ms: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
}

/// What a heartbeat says about its sender.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Region of the sender.
    pub region: RegionId,
    /// Revision of the document that the sender applies.
    pub document: u64,
    /// Revision whose shares the sender keeps within.
    pub settled: u64,
    /// Records of all regions as the sender knows them.
    pub records: BTreeMap<RegionId, Versioned>,
}

/// An instance.
#[derive(Debug)]
pub struct Node {
    /// This run of the instance.
    pub peer: Peer,
    /// Its region.
    pub region: RegionId,
    /// Its limiter.
    pub limiter: Limiter,
    /// Its keeper.
    pub keeper: OwnershipReconciler,
    /// Signs of life as it has seen them.
    pub presence: LivenessTracker,
    /// Requests that wait.
    pub waiting: Vec<Waiting>,
    /// Requests that run.
    pub running: Vec<Running>,
    /// The document that it applies.
    pub document: u64,
    /// Records of all regions as it knows them.
    pub records: BTreeMap<RegionId, Versioned>,
    /// Last report of each peer: region, settled revision, time.
    reports: BTreeMap<Peer, (RegionId, u64, Millis)>,
    listed: Vec<Peer>,
    clock_ppm: i64,
    started_ms: u64,
}

impl Node {
    /// An instance started at a true time, whose clock is off by `clock_ppm`.
    pub fn new(peer: Peer, region: RegionId, started_ms: u64, clock_ppm: i64) -> Self {
        let now = Millis(0);
        Self {
            limiter: Limiter::new(peer.clone(), region.clone()),
            keeper: OwnershipReconciler::new(peer.clone(), now),
            peer,
            region,
            presence: LivenessTracker::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            document: 0,
            records: BTreeMap::new(),
            reports: BTreeMap::new(),
            listed: Vec::new(),
            clock_ppm,
            started_ms,
        }
    }

    /// The instance's monotonic clock at a true time.
    pub fn clock(&self, at_ms: u64) -> Millis {
        let elapsed = i128::from(at_ms - self.started_ms);
        let drifted = elapsed + elapsed * i128::from(self.clock_ppm) / 1_000_000;
        Millis(u64::try_from(drifted).unwrap_or(0))
    }

    /// Takes a heartbeat; returns a higher revision of the document that the sender has.
    pub fn on_heartbeat(&mut self, from: &Peer, heartbeat: &Heartbeat, now: Millis) -> Option<u64> {
        self.presence.note_heartbeat(from, now);
        let report = (heartbeat.region.clone(), heartbeat.settled, now);
        self.reports.insert(from.clone(), report);
        for (region, versioned) in &heartbeat.records {
            if *region != self.region {
                self.note_record(region, versioned);
            }
        }
        (heartbeat.document > self.document).then_some(heartbeat.document)
    }

    /// The live list has been read, so that this instance knows whom to ask about slots.
    pub fn has_joined(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Takes the live list.
    pub fn on_live_list(&mut self, listed: &[Peer], read_began: Millis, now: Millis) {
        self.presence.note_live_list(listed, read_began, now);
        self.listed = listed.to_vec();
    }

    /// Takes the record of the own region.
    pub fn on_record(&mut self, versioned: &Versioned, read_began: Millis, now: Millis) {
        let region = self.region.clone();
        self.note_record(&region, versioned);
        self.presence.note_record(&versioned.record, now);
        let record = versioned.record.as_ref().clone();
        match self.keeper.on_read(versioned.revision, record, read_began) {
            OwnershipUpdate::Unchanged => {}
            OwnershipUpdate::Owned(owned) => self.limiter.set_slots(&owned, now),
            OwnershipUpdate::Confirmed(owned) => self.limiter.confirm_slots(&owned, now),
        }
    }

    fn note_record(&mut self, region: &RegionId, versioned: &Versioned) {
        let known = self.records.entry(region.clone()).or_default();
        if known.revision >= versioned.revision {
            return;
        }
        *known = versioned.clone();
        let slots = self
            .records
            .iter()
            .flat_map(|(region, known)| known.record.slots(region));
        self.limiter.set_owners(slots);
    }

    /// Every peer that was ever heard of.
    pub fn known_peers(&self) -> Vec<Peer> {
        let mut peers: Vec<Peer> = self.reports.keys().cloned().collect();
        peers.extend(self.listed.iter().cloned());
        peers.sort();
        peers.dedup();
        peers
    }

    /// Members that are not confirmed gone.
    fn members(&self, now: Millis) -> Vec<Peer> {
        let mut members = self.known_peers();
        members.push(self.peer.clone());
        members.sort();
        members.dedup();
        members.retain(|peer| *peer == self.peer || !self.presence.liveness(peer, now).is_gone());
        members
    }

    /// Brings the limiter in line with the members.
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

    /// The write of the record that is due.
    pub fn next_write(&mut self, now: Millis) -> Option<OwnershipWrite> {
        let mut alive = vec![self.peer.clone()];
        for (peer, (region, _, heard)) in &self.reports {
            if *region == self.region && now.since(*heard) < ALIVE_MS {
                alive.push(peer.clone());
            }
        }
        let presence = &self.presence;
        let liveness = |peer: &Peer| presence.liveness(peer, now);
        let view = PlanContext {
            me: &self.peer,
            is_leaving: false,
            // More hand-overs than the daemon makes, which is the harder case.
            are_all_reachable: true,
            alive: &alive,
            liveness: &liveness,
        };
        let write = self.keeper.next_write(&view)?;
        self.limiter.suspend(&write.suspended, now);
        Some(write)
    }

    /// What a heartbeat of this instance says.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            region: self.region.clone(),
            document: self.document,
            settled: self.limiter.settled_revision(),
            records: self.records.clone(),
        }
    }

    /// Queues a request.
    pub fn on_arrival(&mut self, arrival: Arrival, now: Millis) {
        let wait_until = now.plus(arrival.max_wait_ms);
        self.waiting.push(Waiting {
            arrival,
            is_within: false,
            retry_at: now,
            wait_until,
        });
    }

    /// Tries the requests that wait, in order of arrival for each account, and calls `decided`
    /// with each request that is decided.
    pub fn try_waiting(
        &mut self,
        at_ms: u64,
        is_urgent: bool,
        within: &mut dyn FnMut(&Arrival) -> bool,
        decided: &mut dyn FnMut(&Waiting, bool),
    ) -> Vec<OutgoingLoanMessage> {
        let now = self.clock(at_ms);
        let mut outgoing = Vec::new();
        let mut blocked: Vec<AccountId> = Vec::new();
        for mut waiting in std::mem::take(&mut self.waiting) {
            waiting.is_within |= within(&waiting.arrival);
            let is_late = now >= waiting.wait_until;
            let is_due = is_urgent || waiting.retry_at <= now || is_late;
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
                    decided(&waiting, true);
                    self.running.push(Running {
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
                    decided(&waiting, false);
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

    /// Handles a message of a peer.
    pub fn on_loan_message(
        &mut self,
        from: &Peer,
        message: &LoanMessage,
        now: Millis,
    ) -> Vec<OutgoingLoanMessage> {
        self.limiter.on_message(from, message, now)
    }
}
