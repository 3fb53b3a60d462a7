//! Tests of rollouts: steps, version choice, suspicions, verdicts, and merging of evidence.

use carobwheel_core::document::{Rollout, RolloutStep, WHOLE_PPM};
use carobwheel_core::evidence::{
    Evidence, EvidenceChange, EvidenceDigest, OriginTag, RegressionKind, RolloutTag, RouteTag,
    Sample, Side, Stratum, Suspicion, VersionCounts,
};
use carobwheel_core::rollout::{
    scheduled_share_ppm, side_of_request, RolloutState, Verdict, VerdictAnswer, VerdictEffect,
    VerdictWriter, CAUTION_GRACE_MS, DONE_SETTLE_MS, EVIDENCE_GRACE_MS,
};
use carobwheel_core::time::{Millis, UnixMillis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use test_case::test_case;

const ROUTE: RouteTag = RouteTag(1);
const DEADLINE: u64 = 10_000_000;

fn rollout() -> Rollout {
    let step = |at_ms, share_ppm| RolloutStep {
        at_unix_ms: UnixMillis(at_ms),
        share_ppm,
    };
    Rollout {
        id: "appraiser-7".parse().expect("a valid identifier"),
        model: "appraiser".parse().expect("a valid identifier"),
        old_version: "6".parse().expect("a valid identifier"),
        new_version: "7".parse().expect("a valid identifier"),
        steps: vec![
            step(1_000, 10_000),
            step(2_000, 500_000),
            step(3_000, WHOLE_PPM),
        ],
        deadline_unix_ms: UnixMillis(DEADLINE),
    }
}

fn state() -> RolloutState {
    RolloutState::new(rollout(), OriginTag(7))
}

fn suspicion() -> Suspicion {
    Suspicion {
        rollout: RolloutTag::new(&rollout().id),
        route: ROUTE,
        kind: RegressionKind::Failure,
        origin: OriginTag(8),
    }
}

/// Adds requests to both versions until a suspicion is raised, and returns their number. One in
/// `every` requests to the new version fails.
fn feed(state: &mut RolloutState, counts: &mut VersionCounts, requests: u64, every: u64) -> u64 {
    for count in 1..=requests {
        counts.old.requests += 1;
        counts.new.requests += 1;
        counts.new.failures += u64::from(count % every == 0);
        let change = EvidenceChange {
            rollout: state.tag(),
            route: ROUTE,
            stratum: Stratum::Origin(OriginTag(7)),
            counts: *counts,
        };
        if state.add_evidence(&change, Millis(count * 10)).is_some() {
            return count;
        }
    }
    requests
}

#[test_case(999 => 0; "before the first step")]
#[test_case(1_000 => 10_000; "first step")]
#[test_case(2_500 => 500_000; "between steps")]
#[test_case(DEADLINE + 1 => WHOLE_PPM; "past the deadline")]
fn steps_follow_the_clock(unix_ms: u64) -> u32 {
    scheduled_share_ppm(&rollout(), UnixMillis(unix_ms))
}

#[test]
fn choices_follow_the_share_and_a_growing_share_keeps_them() {
    let count = |share_ppm| {
        let side = |n: u32| side_of_request(&rollout(), &format!("request-{n}"), share_ppm);
        (0..100_000).filter(|n| side(*n) == Side::New).count()
    };
    assert!((900..1_100).contains(&count(10_000)), "{}", count(10_000));
    for n in 0..10_000 {
        let id = format!("request-{n}");
        if side_of_request(&rollout(), &id, 10_000) == Side::New {
            assert_eq!(side_of_request(&rollout(), &id, 500_000), Side::New);
        }
    }
}

#[test]
fn a_suspicion_stops_the_new_version_immediately_and_permanently() {
    let mut state = state();
    state.suspect(suspicion());
    for n in 0..1_000 {
        let side = state.choose(ROUTE, &format!("request-{n}"), UnixMillis(DEADLINE - 1));
        assert_eq!(side, Side::Old);
    }
    assert_eq!(state.proposal(UnixMillis(0)), Some(Verdict::RolledBack));
    let mut counts = VersionCounts::default();
    feed(&mut state, &mut counts, 1_000, u64::MAX);
    assert_eq!(state.suspicion(), Some(&suspicion()));
}

#[test]
fn a_version_that_fails_is_stopped_within_few_requests() {
    let (mut state, mut counts) = (state(), VersionCounts::default());
    feed(&mut state, &mut counts, 1_000, u64::MAX);
    let stopped_after = feed(&mut state, &mut counts, 1_000, 1);
    assert!(
        stopped_after <= 30,
        "stopped after {stopped_after} requests"
    );
    assert_eq!(state.share_ppm(ROUTE, UnixMillis(DEADLINE)), 0);
}

#[test]
fn a_suspected_version_gets_only_the_probe_share() {
    let (mut state, mut counts) = (state(), VersionCounts::default());
    feed(&mut state, &mut counts, 1_000, u64::MAX);
    let unix_now = UnixMillis(2_500);
    assert_eq!(state.share_ppm(ROUTE, unix_now), 500_000);
    let mut requests = 0;
    while !state.assessment().is_cautious() {
        requests += feed(&mut state, &mut counts, 1, 1);
        assert!(requests < 30, "no caution after {requests} failures");
    }
    assert!(state.suspicion().is_none());
    assert_eq!(state.share_ppm(ROUTE, unix_now), 10_000);
}

#[test_case(1_000, DONE_SETTLE_MS - 1 => None; "suspicions may still arrive")]
#[test_case(1_000, DONE_SETTLE_MS => Some(Verdict::Done); "enough evidence")]
#[test_case(10, DONE_SETTLE_MS => None; "too little evidence, others may have more")]
#[test_case(10, EVIDENCE_GRACE_MS => Some(Verdict::RolledBack); "too little evidence")]
#[test_case(0, CAUTION_GRACE_MS => Some(Verdict::RolledBack); "no evidence")]
fn proposals_after_the_deadline(requests: u64, late_ms: u64) -> Option<Verdict> {
    let (mut state, mut counts) = (state(), VersionCounts::default());
    feed(&mut state, &mut counts, requests, u64::MAX);
    assert_eq!(state.proposal(UnixMillis(DEADLINE - 1)), None);
    state.proposal(UnixMillis(DEADLINE + late_ms))
}

#[test]
#[should_panic(expected = "a verdict cannot change")]
fn a_second_different_verdict_panics() {
    let mut state = state();
    state.adopt(Verdict::Done);
    state.adopt(Verdict::RolledBack);
}

/// Runs concurrent writers with different proposals against a store that loses calls, and returns
/// the verdict that each writer adopted.
fn race(seed: u64, store_overwrites: bool) -> Vec<Option<Verdict>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stored = None;
    let mut adopted = vec![None; 6];
    let mut writers: Vec<_> = (0..6).map(|n| VerdictWriter::new(n * 150)).collect();
    let mut calls: BTreeMap<(u64, usize), VerdictEffect> = BTreeMap::new();
    let outage_ms = rng.random_range(0..20_000);
    let mut pending = Vec::new();
    for (index, writer) in writers.iter_mut().enumerate() {
        let verdict = if rng.random_bool(0.5) {
            Verdict::Done
        } else {
            Verdict::RolledBack
        };
        pending.extend(
            writer
                .propose(verdict, 2_000, Millis(0))
                .into_iter()
                .map(|e| (index, e)),
        );
    }
    let mut now_ms = 0;
    for _ in 0..10_000 {
        for (index, effect) in pending.drain(..) {
            match effect {
                VerdictEffect::Adopt(verdict) => adopted[index] = Some(verdict),
                VerdictEffect::Create { not_before, .. }
                | VerdictEffect::Read { not_before, .. } => {
                    let at_ms = not_before.0.max(now_ms) + rng.random_range(1..100);
                    calls.insert((at_ms, index), effect);
                }
            }
        }
        let Some(((at_ms, index), effect)) = calls.pop_first() else {
            break;
        };
        now_ms = at_ms;
        let (call, proposed) = match effect {
            VerdictEffect::Create { call, verdict, .. } => (call, Some(verdict)),
            VerdictEffect::Read { call, .. } => (call, None),
            VerdictEffect::Adopt(_) => unreachable!("Adopt is not a call"),
        };
        let is_down = now_ms < outage_ms || rng.random_bool(0.1);
        let answer = match (stored, proposed) {
            _ if is_down => VerdictAnswer::NotSent,
            (Some(verdict), None) => VerdictAnswer::Found(verdict),
            (Some(verdict), Some(_)) if !store_overwrites => VerdictAnswer::Found(verdict),
            (_, Some(verdict)) => {
                stored = Some(verdict);
                VerdictAnswer::Written
            }
            (None, None) => VerdictAnswer::Absent,
        };
        let answer = if rng.random_bool(0.2) {
            VerdictAnswer::Lost
        } else {
            answer
        };
        let effects = writers[index].step(call, answer, Millis(now_ms));
        pending.extend(effects.into_iter().map(|effect| (index, effect)));
    }
    adopted
}

#[test_case(false => 0; "create succeeds once only")]
#[test_case(true => matches 1..; "injected fault, the store overwrites")]
fn races_without_one_verdict(store_overwrites: bool) -> usize {
    let is_split = |seed: &u64| {
        let adopted = race(*seed, store_overwrites);
        adopted
            .iter()
            .any(|verdict| verdict.is_none() || *verdict != adopted[0])
    };
    (0..1_000).filter(is_split).count()
}

fn evidence(origin: u32, region: &str) -> Evidence {
    Evidence::new(
        OriginTag(origin),
        region.parse().expect("a valid identifier"),
    )
}

#[test]
fn merging_is_idempotent_commutative_and_complete() {
    let tag = RolloutTag(1);
    let mut rng = StdRng::seed_from_u64(3);
    let mut digests = Vec::new();
    for origin in 0..3 {
        let mut source = evidence(origin, "north");
        for round in 0..5 {
            for _ in 0..rng.random_range(1..20) {
                let side = if rng.random_bool(0.5) {
                    Side::Old
                } else {
                    Side::New
                };
                let ticket = source.begin(tag, ROUTE, side, Millis(round));
                let sample = Sample {
                    failed: rng.random_bool(0.3),
                    ..Sample::default()
                };
                source.end(ticket, sample);
            }
            source.count(Millis(round));
            digests.push(source.digest_for_other_region());
        }
    }
    let mut first = evidence(9, "south");
    digests.iter().for_each(|digest| drop(first.merge(digest)));
    for seed in 0..100 {
        let mut order = StdRng::seed_from_u64(seed);
        let mut other = evidence(9, "south");
        for _ in 0..200 {
            other.merge(&digests[order.random_range(0..digests.len())]);
        }
        digests
            .iter()
            .rev()
            .for_each(|digest| drop(other.merge(digest)));
        assert_eq!(other.snapshot(), first.snapshot(), "seed {seed}");
        assert!(other.merge(&first.snapshot()).is_empty(), "nothing is new");
    }
}

#[test]
fn the_first_suspicion_stays_and_spreads() {
    let mut first = evidence(1, "north");
    first.suspect(suspicion());
    let later = Suspicion {
        kind: RegressionKind::SlowTokens,
        ..suspicion()
    };
    first.suspect(later);
    let mut second = evidence(2, "north");
    second.merge(&first.digest_for_region(0));
    second.merge(&EvidenceDigest::default());
    assert_eq!(second.suspicion(suspicion().rollout), Some(&suspicion()));
}

#[test]
fn requests_count_in_the_order_in_which_they_began() {
    let mut evidence = evidence(1, "north");
    let tag = RolloutTag(1);
    let slow = evidence.begin(tag, ROUTE, Side::Old, Millis(0));
    let fast = evidence.begin(tag, ROUTE, Side::New, Millis(1));
    evidence.end(fast, Sample::default());
    assert!(
        evidence.count(Millis(2)).is_empty(),
        "the first one is not over"
    );
    evidence.end(slow, Sample::default());
    let changes = evidence.count(Millis(3));
    assert_eq!(
        changes[0].counts.old.requests + changes[0].counts.new.requests,
        2
    );
}

#[test]
fn a_request_without_outcome_counts_as_overdue_and_its_late_failure_too() {
    let mut evidence = evidence(1, "north");
    let hanging = evidence.begin(RolloutTag(1), ROUTE, Side::New, Millis(0));
    let changes = evidence.count(Millis(2_000));
    assert_eq!(changes[0].counts.new.requests, 1);
    let failed = Sample {
        failed: true,
        ..Sample::default()
    };
    evidence.end(hanging, failed);
    evidence.end(hanging, failed);
    let origins = evidence.snapshot().origins;
    assert_eq!(origins[0].routes[0].counts.new.failures, 1);
}

#[test]
fn an_abandoned_request_delays_no_other_and_is_not_counted() {
    let mut evidence = evidence(1, "north");
    let gone = evidence.begin(RolloutTag(1), ROUTE, Side::New, Millis(0));
    let ended = evidence.begin(RolloutTag(1), ROUTE, Side::Old, Millis(1));
    evidence.end(ended, Sample::default());
    evidence.abandon(gone);
    let changes = evidence.count(Millis(2));
    assert_eq!(changes[0].counts.new.requests, 0);
    assert_eq!(changes[0].counts.old.requests, 1);
}

#[test]
fn no_choice_exceeds_the_step_whatever_the_evidence() {
    let mut state = state();
    let mut counts = VersionCounts::default();
    let mut rng = StdRng::seed_from_u64(5);
    for n in 0..2_000 {
        feed(&mut state, &mut counts, 1, rng.random_range(1..500));
        let unix_now = UnixMillis(rng.random_range(0..4_000));
        // `choose` asserts that the share is within the step and that no stopped version is chosen.
        let side = state.choose(ROUTE, &format!("request-{n}"), unix_now);
        let is_early = unix_now < UnixMillis(1_000);
        assert!(side == Side::Old || !is_early, "before the first step");
    }
}
