//! Requests that crash upstreams, by parts of their prompt or as a whole: evidence, refusals and its
//! exchange with other instances.

use super::{
    event::{PlacementRequest, PlacementTarget, RetryRequest, Settlement},
    place::key_withdrawn,
    state::{ActivePlacement, State},
};
use crate::refusal::{Cause, Refusal};
use carobwheel_core::{
    crash::{CrashDetector, CrashReport, Gate, HoldChange, PartId},
    id::{InstanceId, UpstreamId},
    member::MemberView,
    retry::Failure,
    time::{Millis, UnixMillis},
};
use carobwheel_wire::peer::Message;
use rand::seq::IndexedRandom as _;
use serde::Serialize;
use std::{collections::BTreeSet, mem};

/// Maximum time that a request waits for the outcome of another with a suspected part, in
/// milliseconds.
const SUSPECT_WAIT_MS: u64 = 1_000;
/// `Retry-After` of a request that has waited in vain for that outcome, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of requests that wait for such an outcome.
const MAX_WAITING_REQUESTS: usize = 256;
/// Number of engines that may end under a request before it is no longer sent again.
const MAX_ENGINE_ENDS: u32 = 2;
/// Breaks of connections to an upstream within this period are one crash, in milliseconds.
const CRASH_PERIOD_MS: u64 = 1_000;
/// Maximum size of an encoded report, in bytes.
const MAX_REPORT_BYTES: usize = 4 * 1_024;
/// Minimum time between two reports to all members, in milliseconds.
const REPORT_PERIOD_MS: u64 = 100;
/// Number of members that get an unchanged report in each gossip period.
const REPEATED_REPORTS: usize = 2;

/// Counts since the start, for the status page.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CrashStatus {
    /// Attempts whose connection to an engine broke before the first output.
    pub broken_attempts: u64,
    /// Requests refused because a part is held.
    pub refused_held: u64,
    /// Requests refused because a part is suspected and another request with it is in flight.
    pub refused_suspected: u64,
    /// Requests not sent again, since they may have ended the engine.
    pub not_repeated: u64,
    /// Parts held now.
    pub held_parts: usize,
    /// Parts suspected now.
    pub suspected_parts: usize,
}

/// Part of the decision state that concerns crashes of engines.
#[derive(Default)]
pub(super) struct PromptCrashes {
    detector: CrashDetector,
    waiting: Vec<PlacementRequest>,
    counts: CrashStatus,
    sent_items: BTreeSet<ReportItem>,
    sent_at: Millis,
}

/// Identity of an item of a report, without its times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReportItem {
    Crash(u32, PartId),
    Answered(PartId),
    Held(PartId),
}

impl PromptCrashes {
    pub(super) fn status(&self) -> CrashStatus {
        CrashStatus {
            held_parts: self.detector.held_count(),
            suspected_parts: self.detector.suspect_count(),
            ..self.counts
        }
    }

    /// Records that a request with these parts is sent to an engine.
    pub(super) fn sent(&mut self, parts: &[PartId], now: Millis) {
        self.detector.sent(parts, now);
    }
}

impl State {
    /// Refusal of a request of which a part is held.
    pub(super) fn refusal_of_held(
        &mut self,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<Refusal> {
        let Gate::Held { part, left_ms } = self.crashes.detector.gate(&request.parts, now) else {
            return None;
        };
        self.crashes.counts.refused_held += 1;
        log::info!(
            request = request.id.as_str(), part = hex(part).as_str(), left_ms = left_ms;
            "request refused: upstreams crashed on it or on a part of its prompt"
        );
        let (cause, message) = match request.target {
            PlacementTarget::Model { .. } => (
                Cause::PromptHeld,
                "engines crashed on requests with a part of this prompt",
            ),
            PlacementTarget::Service { .. } => {
                (Cause::RequestHeld, "services crashed on this request")
            }
        };
        Some(Refusal::not_run(cause, message).retry_after(left_ms))
    }

    /// Returns the request if it may be sent now. Otherwise it is refused, or waits for the outcome
    /// of another request with a suspected part.
    pub(super) fn pass_gate(
        &mut self,
        mut request: Box<PlacementRequest>,
        now: Millis,
    ) -> Option<Box<PlacementRequest>> {
        if let Some(refusal) = self.refusal_of_held(&request, now) {
            self.reject(request, refusal, now);
            return None;
        }
        let Gate::Wait { part } = self.crashes.detector.gate(&request.parts, now) else {
            return Some(request);
        };
        let until = *request
            .waits_until
            .get_or_insert_with(|| now.plus(SUSPECT_WAIT_MS).min(request.deadline));
        if now < until && self.crashes.waiting.len() < MAX_WAITING_REQUESTS {
            self.crashes.waiting.push(*request);
        } else {
            self.refuse_suspected(request, part, now);
        }
        None
    }

    fn refuse_suspected(&mut self, request: Box<PlacementRequest>, part: PartId, now: Millis) {
        self.crashes.counts.refused_suspected += 1;
        log::info!(
            request = request.id.as_str(), part = hex(part).as_str();
            "request refused: it or a part of its prompt is suspected of crashing upstreams"
        );
        let (cause, message) = match request.target {
            PlacementTarget::Model { .. } => (
                Cause::PromptHeld,
                "a part of this prompt is being tested after engines crashed",
            ),
            PlacementTarget::Service { .. } => (
                Cause::RequestHeld,
                "this request is being tested after services crashed",
            ),
        };
        let refusal = Refusal::not_run(cause, message);
        self.reject(request, refusal.retry_after(SUSPECT_RETRY_AFTER_MS), now);
    }

    /// Decides again on the requests that wait for the outcome of another.
    fn reconsider_waiting(&mut self, now: Millis) {
        for request in mem::take(&mut self.crashes.waiting) {
            let request = Box::new(request);
            let is_valid = self
                .configured
                .as_ref()
                .is_some_and(|configured| configured.in_force.keys.is_valid(&request.caller));
            if is_valid && !request.reply.is_closed() {
                self.place_or_queue(request, now);
            } else {
                self.reject(request, key_withdrawn(), now);
            }
        }
    }

    /// Lets holds lapse and refuses requests that have waited for too long.
    pub(super) fn expire_crashes(&mut self, now: Millis) {
        let changes = self.crashes.detector.expire(now);
        log_changes(&changes);
        self.reconsider_waiting(now);
    }

    /// Records the first output of a request.
    pub(super) fn on_first_output(&mut self, ticket: u64, now: Millis) {
        let Some(active) = self.active.get_mut(&ticket) else {
            return;
        };
        if !mem::take(&mut active.waits_for_output) {
            return;
        }
        self.crashes.detector.send_ended(&active.parts);
        let changes = self.crashes.detector.answered(&active.parts, now);
        log_changes(&changes);
        self.reconsider_waiting(now);
    }

    /// Records the end of an attempt whose first output was not reported.
    pub(super) fn record_attempt_end(
        &mut self,
        settlement: &Settlement,
        active: &ActivePlacement,
        now: Millis,
    ) {
        let (parts, upstream) = (&active.parts, &active.upstream);
        self.crashes.detector.send_ended(parts);
        let is_leaving = self
            .configured
            .as_ref()
            .is_none_or(|configured| configured.router.is_leaving(upstream));
        let changes = if settlement.has_output {
            self.crashes.detector.answered(parts, now)
        } else if settlement.is_broken_before_output && !is_leaving {
            self.crashes.counts.broken_attempts += 1;
            log::warn!(
                request = active.request_id.as_str(), upstream = upstream.as_str(),
                parts = parts.iter().map(|part| hex(*part)).collect::<Vec<_>>().join(" ").as_str();
                "connection to an engine broke before the first output"
            );
            let engine = engine_hash(upstream, self.unix_now());
            self.crashes.detector.crashed(engine, parts, now)
        } else {
            Vec::new()
        };
        log_changes(&changes);
        self.reconsider_waiting(now);
    }

    /// Whether a request may be sent again after an engine ended under it.
    pub(super) fn may_repeat(&mut self, request: &RetryRequest, now: Millis) -> bool {
        if request.failure != Failure::ConnectionLost || !request.is_before_output {
            return true;
        }
        // The last part, the whole prompt, was never answered before if all prompts differ.
        let shared = request.parts.split_last().map_or(&[][..], |(_, rest)| rest);
        let may_repeat =
            request.engine_ends < MAX_ENGINE_ENDS && self.crashes.detector.may_repeat(shared, now);
        if !may_repeat {
            self.crashes.counts.not_repeated += 1;
            log::info!(
                request = request.id.as_str(), engine_ends = request.engine_ends;
                "request not sent again: it may have ended the engine"
            );
        }
        may_repeat
    }

    /// Sends new evidence to all members.
    pub(super) fn send_crash_report(&mut self, now: Millis) {
        let report = self.crashes.detector.report(now);
        let items = items_of(&report);
        let has_news = !items.is_subset(&self.crashes.sent_items);
        if has_news && now.since(self.crashes.sent_at) < REPORT_PERIOD_MS {
            return;
        }
        self.crashes.sent_items = items;
        if has_news {
            self.crashes.sent_at = now;
            for member in self.running_members() {
                self.send_report(&member, &report);
            }
        }
    }

    /// Sends the evidence again to some members; nothing while there is none.
    pub(super) fn repeat_crash_report(&mut self, now: Millis) {
        let report = self.crashes.detector.report(now);
        if report == CrashReport::default() {
            return;
        }
        let members = self.running_members();
        let chosen: Vec<_> = members
            .choose_multiple(&mut self.rng, REPEATED_REPORTS)
            .collect();
        for member in chosen {
            self.send_report(member, &report);
        }
    }

    fn send_report(&self, member: &MemberView, report: &CrashReport) {
        let Ok(bytes) = postcard::to_stdvec(report) else {
            return;
        };
        if bytes.len() > MAX_REPORT_BYTES {
            log::warn!(bytes = bytes.len(); "crash report too large to send");
            return;
        }
        let identity = &member.identity;
        let message = Message::opaque(super::gossip::CRASH_CHANNEL, bytes);
        let addr = Some(identity.peer_addr);
        self.outputs.send(identity.instance.clone(), addr, message);
    }

    /// Takes in the evidence of another instance.
    pub(super) fn on_crash_report(&mut self, from: &InstanceId, bytes: &[u8], now: Millis) {
        let report = (bytes.len() <= MAX_REPORT_BYTES)
            .then(|| postcard::from_bytes::<CrashReport>(bytes).ok())
            .flatten();
        let Some(report) = report else {
            log::warn!(from = from.as_str(); "malformed crash report ignored");
            return;
        };
        let changes = self.crashes.detector.receive(&report, now);
        log_changes(&changes);
        if !changes.is_empty() {
            self.reconsider_waiting(now);
        }
    }
}

fn items_of(report: &CrashReport) -> BTreeSet<ReportItem> {
    let crashes = report.crashes.iter().flat_map(|crash| {
        let engine = crash.engine;
        crash
            .parts
            .iter()
            .map(move |part| ReportItem::Crash(engine, *part))
    });
    let answered = report.answered.iter();
    let held = report.held.iter();
    crashes
        .chain(answered.map(|answered| ReportItem::Answered(answered.part)))
        .chain(held.map(|held| ReportItem::Held(held.part)))
        .collect()
}

/// Hash of the upstream and of the time of its crash, nearly equal on all instances that see it.
/// Where the period ends between two of them, their times still show that it is one crash.
fn engine_hash(upstream: &UpstreamId, unix_now: UnixMillis) -> u32 {
    const FNV_OFFSET: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let period = (unix_now.0 / CRASH_PERIOD_MS).to_le_bytes();
    let bytes = upstream.as_str().bytes().chain(period);
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

fn hex(part: PartId) -> String {
    format!("{part:016x}")
}

fn log_changes(changes: &[HoldChange]) {
    for change in changes {
        match *change {
            HoldChange::Held {
                part,
                crashes,
                for_ms,
            } => log::warn!(
                part = hex(part).as_str(), crashes = crashes, for_ms = for_ms;
                "prompt part held: engines crashed on it"
            ),
            HoldChange::Released { part } => log::info!(
                part = hex(part).as_str();
                "prompt part released: a request with it was answered"
            ),
            HoldChange::Lapsed { part } => log::info!(
                part = hex(part).as_str();
                "hold of a prompt part lapsed"
            ),
        }
    }
}
