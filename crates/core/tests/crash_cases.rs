//! Cases of the detection of prompt parts that crash engines.

use carobwheel_core::crash::{
    Crash, CrashDetector, CrashReport, Gate, HeldPart, HoldChange, PartId,
};
use carobwheel_core::time::Millis;

const BAD: PartId = 7;
const COMMON: PartId = 1;
const FIRST_HOLD_MS: u64 = 60_000;
const MAX_HOLD_MS: u64 = 900_000;

/// Lets one engine crash under a request with these parts, 1 ms before `at`.
fn crash(detector: &mut CrashDetector, engine: u32, parts: &[PartId], at: u64) -> Vec<HoldChange> {
    detector.sent(parts, Millis(at - 1));
    let changes = detector.crashed(engine, parts, Millis(at));
    detector.send_ended(parts);
    changes
}

fn answer(detector: &mut CrashDetector, parts: &[PartId], at: u64) -> Vec<HoldChange> {
    detector.sent(parts, Millis(at - 1));
    detector.send_ended(parts);
    detector.answered(parts, Millis(at))
}

/// A detector that holds [`BAD`] since 3000 ms.
fn holding() -> CrashDetector {
    let mut detector = CrashDetector::default();
    for (engine, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut detector, engine, &[COMMON, BAD], at);
        answer(&mut detector, &[COMMON, 100], at + 1);
    }
    assert!(is_held(&detector, BAD, 3_001));
    detector
}

fn is_held(detector: &CrashDetector, part: PartId, at: u64) -> bool {
    matches!(detector.gate(&[part], Millis(at)), Gate::Held { .. })
}

#[test]
fn a_part_is_suspected_at_the_second_crash_and_held_at_the_third() {
    let mut detector = CrashDetector::default();
    crash(&mut detector, 1, &[COMMON, BAD], 1_000);
    answer(&mut detector, &[COMMON, 8], 1_100);
    detector.sent(&[COMMON, BAD], Millis(1_200));
    assert_eq!(detector.gate(&[COMMON, BAD], Millis(1_200)), Gate::Open);
    detector.send_ended(&[COMMON, BAD]);
    crash(&mut detector, 2, &[COMMON, BAD], 2_000);
    answer(&mut detector, &[COMMON, 8], 2_100);
    assert_eq!(detector.suspect_count(), 1);
    assert_eq!(detector.gate(&[COMMON, BAD], Millis(2_200)), Gate::Open);
    detector.sent(&[COMMON, BAD], Millis(2_200));
    assert_eq!(
        detector.gate(&[COMMON, BAD], Millis(2_200)),
        Gate::Wait { part: BAD }
    );
    assert_eq!(detector.gate(&[COMMON, 8], Millis(2_200)), Gate::Open);
    detector.send_ended(&[COMMON, BAD]);
    let changes = crash(&mut detector, 3, &[COMMON, BAD], 3_000);
    let held = HoldChange::Held {
        part: BAD,
        crashes: 3,
        for_ms: FIRST_HOLD_MS,
    };
    assert_eq!(changes, [held]);
    assert_eq!((detector.held_count(), detector.suspect_count()), (1, 0));
    let left_ms = FIRST_HOLD_MS - 500;
    assert_eq!(
        detector.gate(&[COMMON, BAD], Millis(3_500)),
        Gate::Held { part: BAD, left_ms }
    );
    assert_eq!(detector.gate(&[COMMON, 8], Millis(3_500)), Gate::Open);
}

#[test]
fn breaks_of_one_engine_are_one_crash_and_crashes_at_once_count_once() {
    let mut detector = CrashDetector::default();
    for at in [1_000, 2_000, 3_000, 4_000] {
        crash(&mut detector, 1, &[BAD, BAD], at);
    }
    for engine in 10..20 {
        crash(&mut detector, engine, &[8], 5_000 + u64::from(engine));
    }
    answer(&mut detector, &[COMMON], 6_000);
    assert_eq!((detector.held_count(), detector.suspect_count()), (0, 0));
}

#[test]
fn an_answer_clears_earlier_crashes_whatever_the_order_of_calls() {
    let mut detector = CrashDetector::default();
    crash(&mut detector, 1, &[BAD], 1_000);
    crash(&mut detector, 2, &[BAD], 2_000);
    assert_eq!(detector.suspect_count(), 1);
    answer(&mut detector, &[BAD, BAD], 2_500);
    assert_eq!(detector.suspect_count(), 0);
    crash(&mut detector, 3, &[BAD], 3_000);
    crash(&mut detector, 4, &[BAD], 4_000);
    answer(&mut detector, &[COMMON], 4_500);
    assert_eq!((detector.held_count(), detector.suspect_count()), (0, 1));
}

#[test]
fn nothing_is_held_while_no_request_is_answered() {
    let mut detector = CrashDetector::default();
    answer(&mut detector, &[COMMON], 900);
    for engine in 1..10 {
        crash(
            &mut detector,
            engine,
            &[COMMON, BAD],
            u64::from(engine) * 1_000,
        );
    }
    assert_eq!(detector.held_count(), 0);
    answer(&mut detector, &[COMMON, 8], 10_000);
    assert!(is_held(&detector, BAD, 10_000) && !is_held(&detector, COMMON, 10_000));
}

#[test]
fn a_held_part_explains_crashes_of_parts_beside_it() {
    let mut detector = CrashDetector::default();
    for (engine, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut detector, engine, &[BAD], at);
        if engine < 3 {
            crash(&mut detector, engine, &[8], at + 5);
        }
    }
    assert_eq!(detector.suspect_count(), 2);
    answer(&mut detector, &[COMMON], 3_100);
    assert_eq!((detector.held_count(), detector.suspect_count()), (1, 0));
    assert!(detector.may_repeat(&[8], Millis(3_200)));
}

#[test]
fn parts_with_the_same_crashes_are_held_together() {
    let mut detector = CrashDetector::default();
    for (engine, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut detector, engine, &[COMMON, BAD, 8], at);
    }
    answer(&mut detector, &[COMMON], 3_100);
    assert!(is_held(&detector, BAD, 3_100) && is_held(&detector, 8, 3_100));
    assert_eq!(answer(&mut detector, &[8], 3_200).len(), 1);
    assert!(is_held(&detector, BAD, 3_200) && !is_held(&detector, 8, 3_200));
}

#[test]
fn an_answer_releases_a_held_part() {
    let mut detector = holding();
    let changes = answer(&mut detector, &[COMMON, BAD], 4_000);
    assert_eq!(changes, [HoldChange::Released { part: BAD }]);
    assert_eq!(detector.gate(&[BAD], Millis(4_000)), Gate::Open);
    crash(&mut detector, 9, &[BAD], 5_000);
    answer(&mut detector, &[COMMON], 5_100);
    assert_eq!(detector.held_count(), 0);
}

#[test]
fn a_hold_lapses_and_one_further_crash_renews_it_for_twice_the_time() {
    let mut detector = holding();
    let (mut now, mut expected_ms) = (3_000, FIRST_HOLD_MS);
    for engine in 100..107 {
        now += expected_ms;
        assert!(is_held(&detector, BAD, now - 1));
        assert_eq!(detector.gate(&[BAD], Millis(now)), Gate::Open);
        let lapsed = detector.expire(Millis(now));
        assert_eq!(lapsed, [HoldChange::Lapsed { part: BAD }]);
        detector.sent(&[BAD], Millis(now));
        assert_eq!(detector.gate(&[BAD], Millis(now)), Gate::Wait { part: BAD });
        detector.crashed(engine, &[BAD], Millis(now + 100));
        detector.send_ended(&[BAD]);
        now += 200;
        expected_ms = (expected_ms * 2).min(MAX_HOLD_MS);
        let renewed = HoldChange::Held {
            part: BAD,
            crashes: 1,
            for_ms: expected_ms,
        };
        assert_eq!(answer(&mut detector, &[COMMON], now), [renewed]);
    }
    assert_eq!(expected_ms, MAX_HOLD_MS);
}

#[test]
fn crashes_of_requests_sent_before_the_hold_do_not_renew_it() {
    let mut detector = holding();
    crash(&mut detector, 9, &[BAD], 63_000);
    detector.expire(Millis(63_001));
    answer(&mut detector, &[COMMON], 63_100);
    assert_eq!(detector.held_count(), 0);
}

#[test]
fn an_answer_after_a_lapse_resets_the_part() {
    let mut detector = holding();
    detector.expire(Millis(70_000));
    assert!(answer(&mut detector, &[BAD], 70_100).is_empty());
    crash(&mut detector, 9, &[BAD], 71_000);
    answer(&mut detector, &[COMMON], 71_100);
    assert_eq!(detector.held_count(), 0);
}

#[test]
fn evidence_expires() {
    let mut detector = CrashDetector::default();
    crash(&mut detector, 1, &[BAD], 1_000);
    crash(&mut detector, 2, &[BAD], 2_000);
    detector.expire(Millis(61_500));
    assert_eq!(detector.suspect_count(), 0);
    crash(&mut detector, 3, &[BAD], 61_600);
    answer(&mut detector, &[COMMON], 61_700);
    assert_eq!(detector.held_count(), 0);
    detector.expire(Millis(200_000));
    assert_eq!(detector.report(Millis(200_000)), CrashReport::default());
}

#[test]
fn a_request_is_repeated_only_if_nothing_speaks_against_its_parts() {
    let mut detector = CrashDetector::default();
    assert!(detector.may_repeat(&[BAD], Millis(0)), "no crash");
    answer(&mut detector, &[COMMON], 500);
    crash(&mut detector, 1, &[COMMON, BAD], 1_000);
    assert!(!detector.may_repeat(&[COMMON, BAD], Millis(1_000)));
    assert!(detector.may_repeat(&[COMMON], Millis(1_000)));
    assert!(detector.is_answered_lately(COMMON, Millis(30_500)));
    assert!(!detector.is_answered_lately(COMMON, Millis(30_501)));
    answer(&mut detector, &[BAD], 1_100);
    assert!(detector.may_repeat(&[COMMON, BAD], Millis(1_100)));
    assert!(!holding().may_repeat(&[BAD], Millis(70_000)));
}

#[test]
fn crashes_seen_by_several_instances_add_up() {
    let mut detectors = vec![CrashDetector::default(); 3];
    for (index, at) in [(0, 1_000), (1, 2_000), (2, 3_000)] {
        crash(&mut detectors[index], index as u32, &[COMMON, BAD], at);
        answer(&mut detectors[index], &[COMMON, 8], at + 50);
        let report = detectors[index].report(Millis(at + 60));
        for detector in &mut detectors {
            detector.receive(&report, Millis(at + 100));
        }
    }
    for detector in &detectors[..2] {
        assert!(
            is_held(detector, BAD, 3_100),
            "no crash of its own at the third"
        );
    }
    assert!(is_held(&detectors[2], BAD, 3_100) && !is_held(&detectors[2], COMMON, 3_100));
    assert!(
        detectors[2].report(Millis(3_100)).crashes.len() == 1,
        "only its own"
    );
}

#[test]
fn a_hold_spreads_with_its_remaining_time() {
    let mut detector = holding();
    let mut late = CrashDetector::default();
    assert_eq!(
        late.receive(&detector.report(Millis(30_000)), Millis(30_100))
            .len(),
        1
    );
    let left = |detector: &CrashDetector, at| match detector.gate(&[BAD], Millis(at)) {
        Gate::Held { left_ms, .. } => left_ms,
        _ => 0,
    };
    assert_eq!(left(&late, 30_100), left(&detector, 30_000));
    for at in (31_000..63_001).step_by(500) {
        let (before, before_late) = (left(&detector, at), left(&late, at));
        let report = late.report(Millis(at));
        detector.receive(&report, Millis(at + 100));
        late.receive(&detector.report(Millis(at)), Millis(at + 100));
        assert!(left(&detector, at) <= before && left(&late, at) <= before_late);
    }
    detector.expire(Millis(63_050));
    late.expire(Millis(63_200));
    assert_eq!((detector.held_count(), late.held_count()), (0, 0));
}

#[test]
fn an_answer_reaches_instances_that_hold_the_part() {
    let mut detector = holding();
    let mut other = CrashDetector::default();
    other.receive(&detector.report(Millis(3_100)), Millis(3_200));
    assert!(is_held(&other, BAD, 3_300));
    let stale = detector.report(Millis(3_900));
    answer(&mut detector, &[BAD], 4_000);
    assert!(detector.receive(&stale, Millis(4_050)).is_empty());
    let changes = other.receive(&detector.report(Millis(4_100)), Millis(4_200));
    assert_eq!(changes, [HoldChange::Released { part: BAD }]);
    other.receive(&stale, Millis(4_300));
    assert!(!is_held(&other, BAD, 4_300));
}

#[test]
fn a_reported_hold_is_bounded_in_time() {
    let mut detector = CrashDetector::default();
    let report = CrashReport {
        held: vec![HeldPart {
            part: BAD,
            left_ms: u32::MAX,
            age_ms: u32::MAX,
        }],
        ..CrashReport::default()
    };
    detector.receive(&report, Millis(1_000));
    assert!(!is_held(&detector, BAD, 1_000 + MAX_HOLD_MS));
}

/// Another instance answered requests with one of two parts that stand in the same prompts.
#[test]
fn a_part_that_another_instance_has_answered_lately_is_not_held_with_the_part_beside_it() {
    const BESIDE: PartId = 8;
    let (mut near, mut far) = (CrashDetector::default(), CrashDetector::default());
    answer(&mut far, &[COMMON, BESIDE], 500);
    for (engine, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut near, engine, &[COMMON, BESIDE, BAD], at);
        answer(&mut near, &[COMMON, 100], at + 1);
        far.receive(&near.report(Millis(at + 80)), Millis(at + 80));
        near.receive(&far.report(Millis(at + 160)), Millis(at + 160));
    }
    assert!(is_held(&near, BAD, 3_200));
    assert!(!is_held(&near, BESIDE, 3_200));
    assert!(!is_held(&far, BESIDE, 3_200));
}

/// Reports and answers of one second in a large fleet while engines crash.
const REPORTS: u64 = 200;

/// Guards against counting all evidence anew for each report and answer.
#[test]
fn reports_and_answers_in_quick_succession_are_decided_on_together() {
    let mut detector = CrashDetector::default();
    let start = 10_000;
    for step in 0..REPORTS {
        let now = Millis(start + step * 1_000 / REPORTS);
        let crash = Crash {
            engine: u32::try_from(step % 30).unwrap(),
            age_ms: 0,
            parts: vec![COMMON, 100 + step],
        };
        let report = CrashReport {
            crashes: vec![crash],
            ..CrashReport::default()
        };
        detector.receive(&report, now);
        detector.answered(&[COMMON, 100 + step / 2], now);
    }
    let decisions = detector.decision_count();
    assert!(decisions <= 1_000 / 50, "{decisions} decisions");
    // What was reported last counts soon after.
    detector.expire(Millis(start + 1_100));
    assert!(detector.decision_count() > decisions);
}
