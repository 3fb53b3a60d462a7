//! All decision state of one instance.

use super::{
    charge::Charging,
    event::{Event, PlacementRequest},
    membership,
    outputs::Outputs,
    rollouts::{Rollouts, Trial},
    slots::Slots,
};
use crate::{
    in_force::ActiveDocument,
    settings::{Identity, Settings},
};
use carobwheel_core::{
    admit::{AdmissionQueues, AdmissionSettings},
    id::{AccountId, UpstreamId},
    identity::Caller,
    member::Members,
    retry::{OutlierDetector, Retrier, RetrySettings},
    route::{AttemptId, LoadDigest, Router},
    slot::Peer,
    time::{Clock, Millis, UnixMillis},
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::{collections::HashMap, sync::Arc};

const MEMBER_TICK_MS: u64 = 50;
/// Every member is looked at each time, which costs in a large fleet.
const SLOTS_TICK_MS: u64 = 250;
const EXPIRY_PERIOD_MS: u64 = 250;
const GOSSIP_PERIOD_MS: u64 = 1_000;

/// A placement that has not been settled.
pub(super) struct Open {
    pub(super) flight: AttemptId,
    pub(super) upstream: UpstreamId,
    /// What the request says about a version, if a rollout decided it.
    pub(super) trial: Option<Trial>,
}

/// What depends on a document being in force.
pub(super) struct Configured {
    pub(super) in_force: Arc<ActiveDocument>,
    pub(super) router: Router,
    pub(super) retrier: Retrier,
    pub(super) outliers: OutlierDetector,
}

/// The state behind every decision.
pub(super) struct State {
    pub(super) identity: Identity,
    pub(super) me: Peer,
    pub(super) outputs: Outputs,
    pub(super) configured: Option<Configured>,
    pub(super) members: Members,
    pub(super) slots: Slots,
    pub(super) charging: Charging,
    pub(super) rollouts: Rollouts,
    pub(super) admit: AdmissionQueues<Box<PlacementRequest>>,
    pub(super) open: HashMap<u64, Open>,
    pub(super) last_ticket: u64,
    pub(super) digest_sequence: u64,
    pub(super) told_load: LoadDigest,
    pub(super) told_load_at: Millis,
    pub(super) told_settled_revision: u64,
    pub(super) is_leaving: bool,
    pub(super) rng: StdRng,
    clock: Clock,
    due: Due,
}

/// When each periodic duty was last done.
#[derive(Default)]
struct Due {
    members: Millis,
    slots: Millis,
    expiry: Millis,
    gossip: Millis,
}

/// Whether a duty with this period is due, and if so notes that it is done.
fn is_due(last: &mut Millis, period_ms: u64, now: Millis) -> bool {
    let is_due = now.since(*last) >= period_ms;
    if is_due {
        *last = now;
    }
    is_due
}

impl State {
    pub(super) fn new(
        settings: &Settings,
        incarnation: u64,
        clock: Clock,
        outputs: Outputs,
    ) -> Self {
        let now = clock.now();
        let identity = settings.instance.clone();
        let me = Peer {
            instance: identity.id.clone(),
            incarnation,
        };
        let mut rng = StdRng::from_os_rng();
        let own = membership::own_identity(settings, incarnation);
        Self {
            members: Members::new(own, 0, rng.random(), now),
            slots: Slots::new(me.clone(), settings.platform.is_some(), now),
            charging: Charging::new(me.clone(), identity.region.clone()),
            rollouts: Rollouts::new(&me, &identity.region),
            identity,
            me,
            outputs,
            configured: None,
            admit: AdmissionQueues::new(AdmissionSettings::default()),
            open: HashMap::new(),
            last_ticket: 0,
            digest_sequence: 0,
            told_load: LoadDigest::default(),
            told_load_at: Millis::default(),
            told_settled_revision: 0,
            is_leaving: false,
            rng,
            clock,
            due: Due::default(),
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Place(request) => self.on_placement_request(request, now),
            Event::FirstByte { ticket } => self.first_byte(ticket, now),
            Event::Progress {
                ticket,
                output_tokens,
            } => self.progress(ticket, output_tokens, now),
            Event::Settle(settlement) => self.settle(&settlement, now),
            Event::SettleCharge {
                charge,
                output_tokens,
            } => self.settle_charge(charge, output_tokens, now),
            Event::Retry(request) => self.on_retry_request(*request, now),
            Event::Document(next) => self.apply(next, now),
            Event::Peer(inbound) => self.on_inbound(*inbound, now),
            Event::Slots(read) => self.on_slots(*read, now),
            Event::SlotsLoaded => self.on_slots_loaded(),
            Event::LiveList(read) => self.on_live_list(&read, now),
            Event::Verdict {
                rollout,
                call,
                answer,
            } => self.on_verdict(&rollout, call, answer, now),
            Event::Leave => self.leave(now),
        }
    }

    /// Civil time, for the steps of rollouts.
    pub(super) fn unix_now(&self) -> UnixMillis {
        self.clock.unix_now()
    }

    /// Work that is due by time alone.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        // The guard against long pauses has to see every tick, before anything is decided.
        self.guard_pause(now);
        if is_due(&mut self.due.members, MEMBER_TICK_MS, now) {
            self.tick_members(now);
            self.tick_charging(now);
            self.tick_rollouts(now);
        }
        if is_due(&mut self.due.slots, SLOTS_TICK_MS, now) {
            self.tick_slots(now);
        }
        if is_due(&mut self.due.gossip, GOSSIP_PERIOD_MS, now) {
            self.gossip(now);
            self.publish_entries();
            self.share_watching();
            self.publish_status(now);
        }
        if is_due(&mut self.due.expiry, EXPIRY_PERIOD_MS, now) {
            self.expire_waiting(now);
            self.bring_back(now);
            self.place_waiting(now);
        }
    }

    fn bring_back(&mut self, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        let back = configured.outliers.expire(now);
        configured.heed(back, now);
        configured.router.expire(now);
    }
}

/// Retry settings of a document.
pub(super) fn retry_settings(in_force: &ActiveDocument) -> RetrySettings {
    RetrySettings::with_budget_pct(in_force.document.policy.retry_budget_pct)
}

/// Account that a request runs for.
pub(super) fn account_of(request: &PlacementRequest) -> Option<&AccountId> {
    match &request.caller {
        Caller::Account(credential) => Some(&credential.account),
        Caller::Open => None,
    }
}
