//! Cases of the detection of whole requests that crash upstreams.

use carobwheel_core::crash::{CrashDetector, CrashSubject, Gate, PartId};
use carobwheel_core::time::Millis;
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use test_case::test_case;

const BAD: PartId = 7;
const OTHER_BAD: PartId = 8;
const SOUND: PartId = 100;
/// Crashes of one request by which it has to be held: three, and three sends that may follow, less
/// one for the repeat after the first crash.
const MAX_CRASHES: u32 = 5;

fn crash(detector: &mut CrashDetector, engine: u32, requests: &[PartId], at: u64) {
    detector.sent(requests, Millis(at - 1));
    detector.crashed(engine, requests, Millis(at));
    detector.send_ended(requests);
}

fn is_held(detector: &CrashDetector, request: PartId, at: u64) -> bool {
    matches!(detector.gate(&[request], Millis(at)), Gate::Held { .. })
}

#[test]
fn a_request_is_repeated_after_its_first_crash_only() {
    let mut detector = CrashDetector::new(CrashSubject::Request);
    crash(&mut detector, 1, &[BAD], 1_000);
    assert!(detector.may_repeat(&[BAD], Millis(1_001)));
    crash(&mut detector, 2, &[BAD], 2_000);
    assert!(!detector.may_repeat(&[BAD], Millis(2_001)));
}

/// Guards against requests that hide behind each other's crashes.
#[test_case(200; "close to each other")]
#[test_case(900; "apart")]
fn several_crashing_requests_are_all_held(pause_ms: u64) {
    let mut detector = CrashDetector::new(CrashSubject::Request);
    let requests = [BAD, OTHER_BAD, 9];
    let mut crashes = [0; 3];
    for round in 0_u64..8 {
        for (index, request) in requests.into_iter().enumerate() {
            let at = 1_000 + (round * 3 + index as u64) * pause_ms;
            if is_held(&detector, request, at) {
                continue;
            }
            crashes[index] += 1;
            crash(&mut detector, at as u32, &[request], at);
            detector.answered(&[SOUND], Millis(at + 20));
        }
    }
    assert!(
        crashes.iter().all(|count| *count <= MAX_CRASHES),
        "{crashes:?}"
    );
}

/// Guards against sound requests that are refused because they waited beside a crashing one.
#[test]
fn a_request_beside_a_crashing_one_is_not_held_once_it_was_answered() {
    let mut detector = CrashDetector::new(CrashSubject::Request);
    for (engine, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        detector.answered(&[SOUND], Millis(at - 500));
        crash(&mut detector, engine, &[BAD, SOUND], at);
    }
    assert!(is_held(&detector, BAD, 3_001));
    assert!(!is_held(&detector, SOUND, 3_001));
}

/// Guards against sound requests that are refused because upstreams end at random.
#[test]
fn requests_asked_for_often_are_not_held_while_upstreams_end_at_random() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut detector = CrashDetector::new(CrashSubject::Request);
        for step in 0..6_000_u64 {
            let at = 1_000 + step * 10;
            let request = SOUND + rng.random_range(0..20);
            // One send in twenty stands on an upstream that ends.
            if rng.random_bool(0.05) {
                crash(&mut detector, step as u32, &[request], at);
            } else {
                detector.answered(&[request], Millis(at));
            }
            assert!(!is_held(&detector, request, at + 1), "seed {seed}");
        }
    }
}
