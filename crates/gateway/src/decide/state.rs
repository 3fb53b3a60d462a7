//! Decision state of one instance.

use super::{
    charge::Charging,
    crash::PromptCrashes,
    event::{Event, PlacementRequest},
    leaving::LeavingUpstreams,
    limits::UpstreamLimits,
    membership,
    outputs::Outputs,
    restart::Restarts,
    rollouts::{Rollouts, TrialRequest},
    slots::Slots,
};
use crate::{
    in_force::ActiveDocument,
    settings::{Identity, Settings},
};
use carobwheel_core::{
    admit::{AdmissionQueues, AdmissionSettings},
    crash::PartId,
    id::{AccountId, RequestId, UpstreamId},
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
/// Longer than [`MEMBER_TICK_MS`], since each run visits every member of the fleet.
const SLOTS_TICK_MS: u64 = 250;
const EXPIRY_PERIOD_MS: u64 = 250;
const GOSSIP_PERIOD_MS: u64 = 1_000;

/// Placement that has not been settled.
pub(super) struct ActivePlacement {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamId,
    pub(super) request_id: RequestId,
    /// Parts of the prompt; the last is the whole prompt.
    pub(super) parts: Arc<[PartId]>,
    /// Whether the first output of a request to an engine is still to come.
    pub(super) waits_for_output: bool,
    /// Part of the request in a rollout, if the rollout chose its version.
    pub(super) trial: Option<TrialRequest>,
}

/// Components that exist only while a document is in force.
pub(super) struct Configured {
    pub(super) in_force: Arc<ActiveDocument>,
    pub(super) router: Router,
    pub(super) retrier: Retrier,
    pub(super) outliers: OutlierDetector,
}

/// State that all decisions are based on.
pub(super) struct State {
    pub(super) identity: Identity,
    pub(super) me: Peer,
    pub(super) outputs: Outputs,
    pub(super) configured: Option<Configured>,
    pub(super) members: Members,
    pub(super) slots: Slots,
    pub(super) charging: Charging,
    pub(super) rollouts: Rollouts,
    pub(super) crashes: PromptCrashes,
    pub(super) limits: UpstreamLimits,
    pub(super) leaving: LeavingUpstreams,
    pub(super) restarts: Restarts,
    pub(super) queues: AdmissionQueues<Box<PlacementRequest>>,
    pub(super) active: HashMap<u64, ActivePlacement>,
    pub(super) last_ticket: u64,
    pub(super) digest_sequence: u64,
    pub(super) last_sent_load: LoadDigest,
    pub(super) load_sent_at: Millis,
    pub(super) last_sent_settled_revision: u64,
    pub(super) is_leaving: bool,
    pub(super) rng: StdRng,
    clock: Clock,
    last_runs: LastRuns,
}

/// Time of the last run of each periodic task.
#[derive(Default)]
struct LastRuns {
    members: Millis,
    slots: Millis,
    expiry: Millis,
    gossip: Millis,
}

/// Whether a task with this period is due; if so, sets `last` to `now`.
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
            crashes: PromptCrashes::default(),
            limits: UpstreamLimits::default(),
            leaving: LeavingUpstreams::default(),
            restarts: Restarts::default(),
            identity,
            me,
            outputs,
            configured: None,
            queues: AdmissionQueues::new(AdmissionSettings::default()),
            active: HashMap::new(),
            last_ticket: 0,
            digest_sequence: 0,
            last_sent_load: LoadDigest::default(),
            load_sent_at: Millis::default(),
            last_sent_settled_revision: 0,
            is_leaving: false,
            rng,
            clock,
            last_runs: LastRuns::default(),
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Place(request) => self.on_placement_request(request, now),
            Event::LimitNews { ticket, news } => self.on_limit_news(ticket, news, now),
            Event::LeavingNews { ticket } => self.on_leaving_news(ticket, now),
            Event::FirstByte { ticket } => self.on_first_byte(ticket, now),
            Event::FirstOutput { ticket } => self.on_first_output(ticket, now),
            Event::Progress {
                ticket,
                output_tokens,
            } => self.on_progress(ticket, output_tokens, now),
            Event::Settle(settlement) => self.settle(&settlement, now),
            Event::SettleCharge {
                charge,
                output_tokens,
            } => self.settle_charge(charge, output_tokens, now),
            Event::Retry(request) => self.on_retry_request(*request, now),
            Event::Document(next) => self.apply(next, now),
            Event::Peer(inbound) => self.on_inbound(*inbound, now),
            Event::Slots(read) => self.on_slot_record(*read, now),
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

    /// Returns the wall-clock time, which the steps of rollouts refer to.
    pub(super) fn unix_now(&self) -> UnixMillis {
        self.clock.unix_now()
    }

    /// Runs the periodic tasks that are due.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        // Pause detection has to run on every tick, before any decision is made.
        self.check_for_pause(now);
        if is_due(&mut self.last_runs.members, MEMBER_TICK_MS, now) {
            self.tick_members(now);
            self.tick_charging(now);
            self.tick_rollouts(now);
            self.send_crash_report(now);
            self.send_restart_reports(now);
        }
        if is_due(&mut self.last_runs.slots, SLOTS_TICK_MS, now) {
            self.tick_slots(now);
        }
        if is_due(&mut self.last_runs.gossip, GOSSIP_PERIOD_MS, now) {
            self.gossip(now);
            self.publish_entries();
            self.assign_document_watch(now);
            self.publish_status(now);
        }
        if is_due(&mut self.last_runs.expiry, EXPIRY_PERIOD_MS, now) {
            self.expire_waiting(now);
            self.expire_crashes(now);
            self.readmit_upstreams(now);
            self.send_limit_reports(now);
            self.place_waiting(now);
        }
    }

    fn readmit_upstreams(&mut self, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        let readmitted = configured.outliers.expire(now);
        configured.apply_ejection_changes(readmitted, now);
        configured.router.expire(now);
    }
}

/// Returns the retry settings of a document.
pub(super) fn retry_settings(in_force: &ActiveDocument) -> RetrySettings {
    RetrySettings::with_budget_pct(in_force.document.policy.retry_budget_pct)
}

/// Returns the client account of a request; none on open routes.
pub(super) fn account_of(request: &PlacementRequest) -> Option<&AccountId> {
    match &request.caller {
        Caller::Account(credential) => Some(&credential.account),
        Caller::Open => None,
    }
}
