//! What a delegate passes on while many instances report crashes of the same engines.

use carobwheel_core::{
    crash::{AnsweredPart, Crash, CrashReport, HeldPart},
    time::Millis,
    upstream_limit::LimitReport,
};
use carobwheel_edge::node::{RelayedReport, ReportCursor, ReportRelay};
use std::collections::BTreeMap;

const REPORTERS: u32 = 60;
const ENGINES: u32 = 15;
/// Interval of an instance's messages, in milliseconds.
const PERIOD_MS: u64 = 250;
/// Time between two reports of different instances, in milliseconds.
const STEP_MS: u64 = PERIOD_MS / REPORTERS as u64;
const SECONDS: u64 = 10;

fn report(key: u32, crashes: Vec<Crash>) -> RelayedReport {
    RelayedReport {
        key,
        crashes: CrashReport {
            crashes,
            ..CrashReport::default()
        },
        ..RelayedReport::default()
    }
}

#[allow(clippy::unnecessary_wraps)]
fn as_it_is(report: &RelayedReport) -> Option<RelayedReport> {
    Some(report.clone())
}

/// Report with crashes of all engines, parts and answers that differ each time, and a hold.
fn busy_report(key: u32, now: Millis) -> RelayedReport {
    let crash = |engine: u32| Crash {
        engine,
        age_ms: 100,
        parts: vec![now.0 ^ u64::from(engine), u64::from(key)],
    };
    let mut report = report(key, (0..ENGINES).map(crash).collect());
    report.crashes.answered = vec![AnsweredPart {
        part: now.0,
        age_ms: 0,
    }];
    report.crashes.held = vec![HeldPart {
        part: 7,
        left_ms: 5_000,
        age_ms: 100,
    }];
    report
}

#[test]
fn crashes_that_many_instances_report_are_announced_once() {
    let mut relay = ReportRelay::default();
    let mut announced = 0;
    for step in 0..SECONDS * 1_000 / STEP_MS {
        let now = Millis(step * STEP_MS);
        let key = u32::try_from(step).unwrap_or_default() % REPORTERS;
        announced += u32::from(relay.keep(busy_report(key, now), now));
    }
    // One report has the crashes and the hold for the first time.
    assert_eq!(announced, 1);
}

#[test]
fn a_crash_of_another_engine_is_announced() {
    let mut relay = ReportRelay::default();
    let crash = |engine| Crash {
        engine,
        age_ms: 0,
        parts: Vec::new(),
    };
    assert!(relay.keep(report(1, vec![crash(1)]), Millis(1_000)));
    assert!(!relay.keep(report(2, vec![crash(1)]), Millis(1_100)));
    assert!(relay.keep(report(2, vec![crash(1), crash(2)]), Millis(1_200)));
}

fn limit(rate_per_s: f32, age_ms: Option<u32>) -> LimitReport {
    LimitReport {
        rate_per_s,
        age_ms,
        sent: 0,
        is_user: true,
    }
}

#[test]
fn a_stated_rate_is_announced_when_it_changes() {
    let mut relay = ReportRelay::default();
    let mut keep = |key, at_ms, limit| {
        let report = RelayedReport {
            key,
            limits: vec![(9, limit)],
            ..RelayedReport::default()
        };
        relay.keep(report, Millis(at_ms))
    };
    assert!(keep(1, 1_000, limit(5.0, Some(0))));
    // Another instance knows the same statement, or has heard none.
    assert!(!keep(2, 1_100, limit(5.0, Some(100))));
    assert!(!keep(3, 1_200, limit(0.0, None)));
    assert!(keep(2, 1_300, limit(0.0, Some(0))));
    // The former statement comes late.
    assert!(!keep(1, 1_400, limit(5.0, Some(400))));
    assert!(keep(1, 1_500, limit(5.0, Some(0))));
}

#[test]
fn answers_wait_for_the_message_with_all_reports() {
    let mut relay = ReportRelay::default();
    let mut cursor = ReportCursor::default();
    let crash = Crash {
        engine: 1,
        age_ms: 0,
        parts: vec![1, 2],
    };
    let mut changed = report(1, vec![crash.clone()]);
    relay.keep(changed.clone(), Millis(1_000));
    let reports_at = |relay: &ReportRelay, cursor: &mut ReportCursor, at_ms| {
        relay.reports(cursor, as_it_is, Millis(at_ms)).len()
    };
    assert_eq!(reports_at(&relay, &mut cursor, 1_001), 1);
    changed.crashes.answered = vec![AnsweredPart { part: 1, age_ms: 0 }];
    changed.crashes.crashes[0].parts = vec![2];
    relay.keep(changed.clone(), Millis(1_100));
    assert_eq!(reports_at(&relay, &mut cursor, 1_200), 0);
    assert_eq!(reports_at(&relay, &mut cursor, 1_501), 1);
    changed.crashes.crashes[0].parts = vec![2, 3];
    relay.keep(changed, Millis(1_600));
    assert_eq!(reports_at(&relay, &mut cursor, 1_700), 1);
}

#[test]
fn crashes_that_this_instance_sees_are_announced_once_for_each_process() {
    let mut relay = ReportRelay::default();
    assert!(relay.announce_crash(1, Millis(1_000)));
    assert!(!relay.announce_crash(1, Millis(1_050)));
    assert!(relay.announce_crash(2, Millis(1_100)));
    assert!(relay.announce_crash(1, Millis(20_000)));
}

/// Reports that a link gets in 10 s while each sender repeats the same one.
#[test]
fn unchanged_reports_are_passed_on_twice_a_second() {
    let mut relay = ReportRelay::default();
    let mut cursor = ReportCursor::default();
    let mut passed_on = 0;
    for step in 0..SECONDS * 1_000 / PERIOD_MS {
        let now = Millis(5_000 + step * PERIOD_MS);
        for key in 0..REPORTERS {
            let crash = Crash {
                engine: 1,
                age_ms: 0,
                parts: vec![u64::from(key)],
            };
            relay.keep(report(key, vec![crash]), now);
        }
        passed_on += relay.reports(&mut cursor, as_it_is, now).len() as u64;
    }
    // New reports may be sent twice, since they are as old as the message before.
    let most = (2 * SECONDS + 1) * u64::from(REPORTERS);
    assert!(passed_on <= most, "{passed_on} reports");
    assert!(passed_on >= 2 * SECONDS * u64::from(REPORTERS));
}

/// Delegates of all regions, each of which has links to all others.
const DELEGATES: usize = 12;
/// Time of a message between two delegates whose event loops are late, in milliseconds.
const TRANSIT_MS: u64 = 700;

/// Guards against delegates that take the copies of their own reports for news.
#[test]
fn a_report_that_comes_back_late_is_not_passed_on_again() {
    let mut relays: Vec<ReportRelay> = (0..DELEGATES).map(|_| ReportRelay::default()).collect();
    let mut cursors = vec![vec![ReportCursor::default(); DELEGATES]; DELEGATES];
    let mut in_transit: Vec<(Millis, usize, RelayedReport)> = Vec::new();
    let crash = Crash {
        engine: 1,
        age_ms: 0,
        parts: vec![1],
    };
    let first = RelayedReport {
        made_at: Millis(400),
        ..report(1, vec![crash])
    };
    relays[0].keep(first, Millis(1_000));
    let mut accepted = 0;
    for step in 0..SECONDS * 1_000 / PERIOD_MS {
        let now = Millis(1_000 + step * PERIOD_MS);
        let is_due = |(at, _, _): &(Millis, usize, RelayedReport)| *at <= now;
        let (due, waiting) = in_transit.into_iter().partition(is_due);
        in_transit = waiting;
        for (_, target, report) in Vec::from_iter::<Vec<_>>(due) {
            accepted += u32::from(relays[target].is_news(&report, now));
            relays[target].keep(report, now);
        }
        for (source, cursors) in cursors.iter_mut().enumerate() {
            for (target, cursor) in cursors.iter_mut().enumerate() {
                let reports = relays[source].reports(cursor, as_it_is, now);
                let arrival = now.plus(TRANSIT_MS);
                let sent = reports.into_iter().map(|report| (arrival, target, report));
                in_transit.extend(sent.filter(|_| source != target));
            }
        }
    }
    assert_eq!(accepted, DELEGATES as u32 - 1);
}

/// Bytes of reports that a message may have.
const MAX_BYTES: usize = 4 * 1024;
/// Evidence has 6 s to be known everywhere, by way of two delegates, in milliseconds.
const MAX_WAIT_MS: u64 = 6_000 / 2;

#[test]
fn large_reports_of_many_instances_take_turns_in_messages_of_bounded_size() {
    let mut relay = ReportRelay::default();
    let mut cursor = ReportCursor::default();
    let mut sent_at: BTreeMap<u32, Millis> = BTreeMap::new();
    let mut longest_wait_ms = 0;
    for step in 0..SECONDS * 1_000 / PERIOD_MS {
        let now = Millis(5_000 + step * PERIOD_MS);
        for key in 0..REPORTERS {
            relay.keep(busy_report(key, now), now);
        }
        let reports = relay.reports(&mut cursor, as_it_is, now);
        let bytes = postcard::to_stdvec(&reports).map(|bytes| bytes.len());
        assert!(
            bytes.as_ref().is_ok_and(|bytes| *bytes <= MAX_BYTES),
            "{bytes:?}"
        );
        for report in reports {
            let before = sent_at.insert(report.key, now);
            let waited_ms = now.since(before.unwrap_or(Millis(5_000)));
            longest_wait_ms = longest_wait_ms.max(waited_ms);
        }
    }
    assert_eq!(sent_at.len(), REPORTERS as usize);
    assert!(longest_wait_ms <= MAX_WAIT_MS, "{longest_wait_ms} ms");
}
