//! Rollouts: the choice of a version per request, evidence from outcomes, and verdicts.

mod gossip;
mod trial;
mod verdicts;

pub(super) use trial::TrialRequest;

use super::{
    event::{PlacementRequest, PlacementTarget},
    state::State,
};
use crate::platform::Command;
use carobwheel_core::{
    document::Document,
    evidence::{Evidence, OriginTag, RolloutTag, RouteTag, Side},
    id::{ClassId, ModelId, RegionId, RolloutId, VersionId},
    rollout::{RolloutState, Verdict, VerdictEffect, VerdictWriter},
    slot::Peer,
    time::{Millis, UnixMillis},
};
use rand::Rng as _;
use std::collections::{BTreeMap, BTreeSet};

/// Time over which instances spread their first store calls for a verdict, in milliseconds.
const VERDICT_SPREAD_MS: u64 = 2_000;
/// Interval between evidence digests to another region, in milliseconds.
const OTHER_REGION_PERIOD_MS: u64 = 3_000;
/// Number of counters in one digest.
const COUNTERS_PER_DIGEST: usize = 24;
const PERMILLE: u64 = 1_000;
/// Sequence number of the call that reads a possible verdict when a rollout is first applied.
const INITIAL_READ_CALL: u32 = 0;

/// State of one rollout of the document in force.
struct RunningRollout {
    state: RolloutState,
    writer: VerdictWriter,
    /// Store calls that are not due yet.
    pending_calls: Vec<VerdictEffect>,
}

/// Rollouts of the document in force and the evidence on them.
pub(super) struct Rollouts {
    evidence: Evidence,
    running: BTreeMap<RolloutId, RunningRollout>,
    origin: OriginTag,
    other_regions_sent_at: Millis,
}

impl Rollouts {
    pub(super) fn new(me: &Peer, region: &RegionId) -> Self {
        let origin = OriginTag::new(&me.instance, me.incarnation);
        Self {
            evidence: Evidence::new(origin, region.clone()),
            running: BTreeMap::new(),
            origin,
            other_regions_sent_at: Millis::default(),
        }
    }

    /// Chooses the version for a request; with a trial if a rollout made the choice.
    pub(super) fn version(
        &self,
        document: &Document,
        request: &PlacementRequest,
        unix_now: UnixMillis,
        now: Millis,
    ) -> Option<(VersionId, Option<TrialRequest>)> {
        let PlacementTarget::Model { model, class } = &request.target else {
            return None;
        };
        let Some(running) = self.of_model(model) else {
            let model = document.model(model.as_str())?;
            return Some((model.version.clone(), None));
        };
        let state = &running.state;
        let route = route_tag(model, class);
        let side = state.choose(route, request.id.as_str(), unix_now);
        // A retry does not go to a new version whose verdict is still open.
        let is_repeat = !request.tried.is_empty() && state.verdict().is_none();
        if side == Side::New && is_repeat {
            return Some((version_of(state, Side::Old), None));
        }
        let trial = TrialRequest {
            rollout: state.tag(),
            route,
            side,
            ticket: None,
            started_at: now,
            first_token_at: None,
            is_reported: false,
        };
        Some((version_of(state, side), Some(trial)))
    }

    /// Records the start of a request in the evidence.
    pub(super) fn begin(&mut self, trial: &mut TrialRequest, now: Millis) {
        let TrialRequest {
            rollout,
            route,
            side,
            ..
        } = *trial;
        trial.started_at = now;
        trial.ticket = Some(self.evidence.begin(rollout, route, side, now));
    }

    /// Returns the version to use if the new one has no room; none once there is a verdict.
    pub(super) fn old_version(&self, model: &ModelId) -> Option<VersionId> {
        let state = &self.of_model(model)?.state;
        state
            .verdict()
            .is_none()
            .then(|| version_of(state, Side::Old))
    }

    /// Returns the state of each rollout for the status page.
    pub(super) fn status(&self, unix_now: UnixMillis) -> BTreeMap<String, String> {
        let status = |(id, running): (&RolloutId, &RunningRollout)| {
            let state = &running.state;
            let text = match (state.verdict(), state.suspicion()) {
                (Some(Verdict::Done), _) => "done".to_owned(),
                (Some(Verdict::RolledBack), _) => "rolled back".to_owned(),
                (None, Some(_)) => "suspect".to_owned(),
                (None, None) => {
                    let share_ppm = state.share_ppm(RouteTag::ALL, unix_now);
                    format!("running, {share_ppm} ppm to the new version")
                }
            };
            (id.to_string(), text)
        };
        self.running.iter().map(status).collect()
    }

    fn of_model(&self, model: &ModelId) -> Option<&RunningRollout> {
        let mut running = self.running.values();
        running.find(|running| running.state.rollout().model == *model)
    }

    fn by_tag(&mut self, tag: RolloutTag) -> Option<(&RolloutId, &mut RunningRollout)> {
        let mut running = self.running.iter_mut();
        running.find(|(_, running)| running.state.tag() == tag)
    }
}

fn route_tag(model: &ModelId, class: &ClassId) -> RouteTag {
    RouteTag::new(model.as_str(), class.as_str())
}

fn version_of(state: &RolloutState, side: Side) -> VersionId {
    match side {
        Side::Old => state.rollout().old_version.clone(),
        Side::New => state.rollout().new_version.clone(),
    }
}

impl State {
    /// Applies the rollouts of a newer document.
    pub(super) fn apply_rollouts(&mut self, document: &Document) {
        let named: BTreeSet<&RolloutId> = document.rollouts.iter().map(|it| &it.id).collect();
        let rollouts = &mut self.rollouts;
        rollouts.running.retain(|id, _| named.contains(id));
        for rollout in &document.rollouts {
            if let Some(running) = rollouts.running.get_mut(&rollout.id) {
                running.state.replace(rollout.clone());
                continue;
            }
            let running = RunningRollout {
                state: RolloutState::new(rollout.clone(), rollouts.origin),
                writer: VerdictWriter::new(self.rng.random_range(0..=PERMILLE)),
                pending_calls: Vec::new(),
            };
            rollouts.running.insert(rollout.id.clone(), running);
            // A verdict written before this instance started takes effect at once.
            self.outputs.command(Command::ReadVerdict {
                rollout: rollout.id.clone(),
                call: INITIAL_READ_CALL,
            });
        }
        let tags = rollouts.running.values().map(|it| it.state.tag()).collect();
        rollouts.evidence.retain(&tags);
    }

    /// Runs the periodic work on rollouts.
    pub(super) fn tick_rollouts(&mut self, now: Millis) {
        if self.rollouts.running.is_empty() {
            return;
        }
        self.count_evidence(now);
        self.propose_verdicts(now);
        self.send_due_calls(now);
    }
}
