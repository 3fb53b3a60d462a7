//! Rollouts: which version a request goes to, what its end says about the version, and verdicts.

use super::{
    event::{Ask, Ending, Settlement, Target},
    gossip::EVIDENCE_CHANNEL,
    state::State,
};
use crate::platform::Command;
use carobwheel_core::{
    document::Document,
    evidence::{
        Change, Digest, Evidence, OriginTag, RolloutTag, RouteTag, Sample, Side, Suspicion, Ticket,
    },
    id::{ClassId, InstanceId, ModelId, RegionId, RolloutId, VersionId},
    member::{MemberView, State as MemberState},
    retry::Failure,
    rollout::{RolloutState, Verdict, VerdictAnswer, VerdictEffect, VerdictWriter},
    slot::Peer,
    time::{Millis, UnixMillis},
};
use carobwheel_wire::peer::Message;
use rand::{seq::IndexedRandom as _, Rng as _};
use std::collections::{BTreeMap, BTreeSet};

/// Time over which instances spread their first calls about a verdict, in milliseconds.
const VERDICT_SPREAD_MS: u64 = 2_000;
/// Time between two messages to another region, in milliseconds.
const WIDE_PERIOD_MS: u64 = 3_000;
/// Counters in one message.
const CELLS_IN_NEWS: usize = 24;
const PERMILLE: u64 = 1_000;
/// Number of the call that looks for a verdict when a rollout becomes known.
const FIRST_LOOK: u32 = 0;

/// A request that says something about a version of a rollout.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    rollout: RolloutTag,
    route: RouteTag,
    side: Side,
    /// Present from the start of the request on.
    ticket: Option<Ticket>,
    started_at: Millis,
    first_at: Option<Millis>,
    is_reported: bool,
}

impl Trial {
    /// Notes the first token.
    pub(super) fn first_token(&mut self, now: Millis) {
        self.first_at.get_or_insert(now);
    }

    /// The request goes to the new version.
    pub(super) fn is_of_new_version(&self) -> bool {
        self.side == Side::New
    }

    /// What the request says so far, after `output_tokens`.
    fn sample(&self, output_tokens: u64, now: Millis) -> Sample {
        let gaps = output_tokens.saturating_sub(1);
        let between = self.first_at.filter(|_| gaps > 0);
        Sample {
            failed: false,
            first_token_ms: self.first_at.map(|at| at.since(self.started_at)),
            between_tokens_ms: between.map(|at| now.since(at) / gaps),
        }
    }
}

struct Running {
    state: RolloutState,
    writer: VerdictWriter,
    /// Calls that wait for their time.
    due: Vec<VerdictEffect>,
}

/// All rollouts of the document in force.
pub(super) struct Rollouts {
    evidence: Evidence,
    running: BTreeMap<RolloutId, Running>,
    origin: OriginTag,
    told_wide_at: Millis,
}

impl Rollouts {
    pub(super) fn new(me: &Peer, region: &RegionId) -> Self {
        let origin = OriginTag::new(&me.instance, me.incarnation);
        Self {
            evidence: Evidence::new(origin, region.clone()),
            running: BTreeMap::new(),
            origin,
            told_wide_at: Millis::default(),
        }
    }

    /// The version that a request goes to, and what it tries if a rollout decides it.
    pub(super) fn version(
        &self,
        document: &Document,
        ask: &Ask,
        unix_now: UnixMillis,
        now: Millis,
    ) -> Option<(VersionId, Option<Trial>)> {
        let Target::Model { model, class } = &ask.target else {
            return None;
        };
        let Some(running) = self.of_model(model) else {
            let model = document.model(model.as_str())?;
            return Some((model.version.clone(), None));
        };
        let state = &running.state;
        let route = route_tag(model, class);
        let side = state.choose(route, ask.request.as_str(), unix_now);
        // A failed attempt is not repeated on a version that is still being judged.
        let is_repeat = !ask.tried.is_empty() && state.verdict().is_none();
        if side == Side::New && is_repeat {
            return Some((version_of(state, Side::Old), None));
        }
        let trial = Trial {
            rollout: state.tag(),
            route,
            side,
            ticket: None,
            started_at: now,
            first_at: None,
            is_reported: false,
        };
        Some((version_of(state, side), Some(trial)))
    }

    /// Takes note that a request goes out.
    pub(super) fn begin(&mut self, trial: &mut Trial, now: Millis) {
        let Trial {
            rollout,
            route,
            side,
            ..
        } = *trial;
        trial.started_at = now;
        trial.ticket = Some(self.evidence.begin(rollout, route, side, now));
    }

    /// The version to use when the one of a rollout has no room; none once there is a verdict.
    pub(super) fn old_version(&self, model: &ModelId) -> Option<VersionId> {
        let state = &self.of_model(model)?.state;
        state
            .verdict()
            .is_none()
            .then(|| version_of(state, Side::Old))
    }

    /// State of each rollout, for the status page.
    pub(super) fn status(&self, unix_now: UnixMillis) -> BTreeMap<String, String> {
        let status = |(id, running): (&RolloutId, &Running)| {
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

    fn of_model(&self, model: &ModelId) -> Option<&Running> {
        let mut running = self.running.values();
        running.find(|running| running.state.rollout().model == *model)
    }

    fn by_tag(&mut self, tag: RolloutTag) -> Option<(&RolloutId, &mut Running)> {
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
    /// Takes over the rollouts of a newer document.
    pub(super) fn apply_rollouts(&mut self, document: &Document) {
        let named: BTreeSet<&RolloutId> = document.rollouts.iter().map(|it| &it.id).collect();
        let rollouts = &mut self.rollouts;
        rollouts.running.retain(|id, _| named.contains(id));
        for rollout in &document.rollouts {
            if let Some(running) = rollouts.running.get_mut(&rollout.id) {
                running.state.replace(rollout.clone());
                continue;
            }
            let running = Running {
                state: RolloutState::new(rollout.clone(), rollouts.origin),
                writer: VerdictWriter::new(self.rng.random_range(0..=PERMILLE)),
                due: Vec::new(),
            };
            rollouts.running.insert(rollout.id.clone(), running);
            // A verdict that was written before this instance started counts at once.
            self.outlets.command(Command::ReadVerdict {
                rollout: rollout.id.clone(),
                call: FIRST_LOOK,
            });
        }
        let tags = rollouts.running.values().map(|it| it.state.tag()).collect();
        rollouts.evidence.retain(&tags);
    }

    /// Counts what the first tokens of a long answer say about its version.
    pub(super) fn judge_early(&mut self, ticket: u64, output_tokens: u64, now: Millis) {
        let open = self.open.get_mut(&ticket);
        let Some(trial) = open.and_then(|open| open.trial.as_mut()) else {
            return;
        };
        let (Some(ticket), false) = (trial.ticket, trial.is_reported) else {
            return;
        };
        trial.is_reported = true;
        let sample = trial.sample(output_tokens, now);
        self.rollouts.evidence.end(ticket, sample);
    }

    /// Counts what the end of a request says about the version that it went to.
    pub(super) fn judge(&mut self, trial: &Trial, settlement: &Settlement, now: Millis) {
        let Some(ticket) = trial.ticket else {
            return;
        };
        let evidence = &mut self.rollouts.evidence;
        let sample = match has_failed(settlement.ending) {
            Some(false) => trial.sample(settlement.output_tokens, now),
            Some(true) => Sample {
                failed: true,
                ..Sample::default()
            },
            None => {
                evidence.abandon(ticket);
                return;
            }
        };
        if !trial.is_reported {
            evidence.end(ticket, sample);
        } else if sample.failed {
            evidence.fail_late(trial.rollout, trial.route, trial.side);
        }
        self.count_evidence(now);
    }

    /// Assesses the requests whose turn to be counted has come.
    fn count_evidence(&mut self, now: Millis) {
        for change in self.rollouts.evidence.count(now) {
            self.assess(&change, now);
        }
    }

    fn assess(&mut self, change: &Change, now: Millis) {
        let raised = self
            .rollouts
            .by_tag(change.rollout)
            .and_then(|(_, running)| running.state.add_evidence(change, now));
        if let Some(suspicion) = raised {
            self.raise(suspicion, now);
        }
    }

    /// Tells every member at once that the new version is suspect; the gossip repeats it.
    fn raise(&mut self, suspicion: Suspicion, now: Millis) {
        log::warn!("new version suspect: {suspicion:?}");
        self.rollouts.evidence.suspect(suspicion);
        let digest = Digest {
            suspicions: vec![suspicion],
            ..Digest::default()
        };
        for member in self.running_members() {
            self.send_digest(&member, &digest);
        }
        self.propose_verdicts(now);
    }

    /// Work on rollouts that is due by time alone.
    pub(super) fn tick_rollouts(&mut self, now: Millis) {
        if self.rollouts.running.is_empty() {
            return;
        }
        self.count_evidence(now);
        self.propose_verdicts(now);
        self.send_due_calls(now);
    }

    /// Tells one peer of the region, and now and then one of each other region, what is known.
    pub(super) fn tell_evidence(&mut self, now: Millis) {
        if self.rollouts.running.is_empty() {
            return;
        }
        let members = self.running_members();
        let own_region = self.identity.region.clone();
        let (home, away): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| member.identity.region == own_region);
        if let Some(peer) = home.choose(&mut self.rng) {
            let digest = self.rollouts.evidence.news_for_region(CELLS_IN_NEWS);
            self.send_digest(peer, &digest);
        }
        if now.since(self.rollouts.told_wide_at) < WIDE_PERIOD_MS {
            return;
        }
        self.rollouts.told_wide_at = now;
        let digest = self.rollouts.evidence.news_for_other_region();
        let regions: BTreeSet<&RegionId> = away.iter().map(|it| &it.identity.region).collect();
        for region in regions {
            let of_region: Vec<_> = away
                .iter()
                .filter(|member| member.identity.region == *region)
                .collect();
            if let Some(peer) = of_region.choose(&mut self.rng) {
                self.send_digest(peer, &digest);
            }
        }
    }

    fn running_members(&self) -> Vec<MemberView> {
        let is_other = |member: &MemberView| {
            member.identity.instance != self.identity.id && member.state == MemberState::Alive
        };
        let members = self.members.snapshot();
        members.into_iter().filter(is_other).collect()
    }

    fn send_digest(&self, member: &MemberView, digest: &Digest) {
        let Ok(bytes) = postcard::to_stdvec(digest) else {
            return;
        };
        let identity = &member.identity;
        let message = Message::opaque(EVIDENCE_CHANNEL, bytes);
        let addr = Some(identity.peer_addr);
        self.outlets.send(identity.instance.clone(), addr, message);
    }

    /// Takes what a peer knows.
    pub(super) fn on_digest(&mut self, from: &InstanceId, digest: &Digest, now: Millis) {
        log::trace!(from = from.as_str(); "evidence received");
        let changes = self.rollouts.evidence.merge(digest);
        let mut adopted = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            let tag = running.state.tag();
            if let Some(suspicion) = self.rollouts.evidence.suspicion(tag) {
                running.state.suspect(*suspicion);
            }
            if let Some(verdict) = self.rollouts.evidence.verdict(tag) {
                adopted.push((id.clone(), running.writer.settle(verdict)));
            }
        }
        for (id, effects) in adopted {
            self.take_effects(&id, effects);
        }
        for change in &changes {
            self.assess(change, now);
        }
    }

    fn propose_verdicts(&mut self, now: Millis) {
        let unix_now = self.unix_now();
        let mut proposed = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            if let Some(verdict) = running.state.proposal(unix_now) {
                let effects = running.writer.propose(verdict, VERDICT_SPREAD_MS, now);
                proposed.push((id.clone(), effects));
            }
        }
        for (id, effects) in proposed {
            self.take_effects(&id, effects);
        }
    }

    fn take_effects(&mut self, id: &RolloutId, effects: Vec<VerdictEffect>) {
        let Some(running) = self.rollouts.running.get_mut(id) else {
            return;
        };
        for effect in effects {
            match effect {
                VerdictEffect::Adopt(verdict) => {
                    if running.state.verdict() != Some(verdict) {
                        log::info!(rollout = id.as_str(); "verdict: {verdict:?}");
                    }
                    running.state.adopt(verdict);
                    let tag = running.state.tag();
                    self.rollouts.evidence.note_verdict(tag, verdict);
                }
                VerdictEffect::Create { .. } | VerdictEffect::Read { .. } => {
                    running.due.push(effect);
                }
            }
        }
    }

    fn send_due_calls(&mut self, now: Millis) {
        let mut commands = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            let writer = &running.writer;
            running.due.retain(|effect| {
                let Some((command, not_before)) = call_of(id, *effect, writer) else {
                    return false;
                };
                if not_before > now {
                    return true;
                }
                commands.push(command);
                false
            });
        }
        for command in commands {
            self.outlets.command(command);
        }
    }

    /// Takes the answer of the store to a call about a verdict.
    pub(super) fn on_verdict(
        &mut self,
        id: &RolloutId,
        call: u32,
        answer: VerdictAnswer,
        now: Millis,
    ) {
        let Some(running) = self.rollouts.running.get_mut(id) else {
            return;
        };
        let effects = running.writer.step(call, answer, now);
        self.take_effects(id, effects);
    }
}

/// The call behind an effect with its time; none if it is no longer wanted.
fn call_of(
    id: &RolloutId,
    effect: VerdictEffect,
    writer: &VerdictWriter,
) -> Option<(Command, Millis)> {
    let rollout = id.clone();
    match effect {
        VerdictEffect::Create {
            call,
            verdict,
            not_before,
        } => {
            let command = Command::WriteVerdict {
                rollout,
                call,
                verdict,
            };
            writer.is_wanted(call).then_some((command, not_before))
        }
        VerdictEffect::Read { call, not_before } => {
            let command = Command::ReadVerdict { rollout, call };
            writer.is_wanted(call).then_some((command, not_before))
        }
        VerdictEffect::Adopt(_) => None,
    }
}

/// Whether the version failed; none if the end says nothing about it.
fn has_failed(ending: Ending) -> Option<bool> {
    match ending {
        Ending::Whole => Some(false),
        Ending::Cancelled => None,
        Ending::Failed(Failure::ConnectFailed | Failure::RefusedNotRun) => None,
        Ending::Failed(_) => Some(true),
    }
}
