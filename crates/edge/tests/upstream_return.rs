//! Upstreams whose entry goes although their process lives, and comes back.

#![allow(clippy::unwrap_used)]

use carobwheel_core::{brittle::Brittleness, time::Millis, upstream_limit::News};
use carobwheel_edge::{
    place::PromptPart,
    upstream::{Outcome, Stage, Upstream, UpstreamEntry, Upstreams},
};
use std::sync::Arc;
use test_case::test_case;

/// Start of the process as Unix time.
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;

fn entry(stage: Stage) -> UpstreamEntry {
    UpstreamEntry {
        id: "i-1".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north-a".into(),
        version: "v1".into(),
        slots: 6,
        stage,
        cold_left_ms: 0,
        time_left_ms: None,
        started_unix_ms: Some(STARTED_UNIX_MS),
    }
}

/// Table with one upstream.
struct Table(Upstreams);

impl Table {
    fn new() -> Self {
        let mut table = Self(Upstreams::default());
        table.update(entry(Stage::Ready), 0);
        table
    }

    fn update(&mut self, entry: UpstreamEntry, now: u64) {
        self.0
            .update_entry(entry, &Arc::from("north"), 0, Millis(now));
    }

    fn upstream(&mut self) -> &mut Upstream {
        self.0.by_id.get_mut("i-1").unwrap()
    }

    /// Removes the entry, and forgets the upstream.
    fn remove(&mut self, now: u64) {
        self.0.entry_removed("i-1", false, Millis(now));
        assert_eq!(self.0.sweep(Millis(now)).len(), 1);
        assert!(self.0.by_id.is_empty());
    }
}

/// Guards against requests at a draining upstream long after its report: its entry had gone and come back,
/// and it counted as one that had just begun to drain.
#[test]
fn an_upstream_that_comes_back_is_draining_since_its_first_report() {
    let mut table = Table::new();
    table.update(entry(Stage::Draining), 1_000);
    assert!(table.upstream().accepts_requests(true, Millis(1_000)));
    table.remove(5_000);
    table.update(entry(Stage::Draining), 6_000);
    assert!(!table.upstream().accepts_requests(true, Millis(6_000)));
    assert_eq!(table.upstream().leaving_at, Some(Millis(1_000)));
}

/// Guards against requests at a draining upstream whose entry says once more that it is ready, as one in a
/// restored store does until the upstream has written it again.
#[test_case(Some(STARTED_UNIX_MS), false; "of a known process")]
#[test_case(None, true; "of processes that cannot be told apart")]
fn an_upstream_that_has_reported_draining_does_not_become_ready(
    started_unix_ms: Option<u64>,
    is_usable: bool,
) {
    let mut table = Table(Upstreams::default());
    let entry = |stage| UpstreamEntry {
        started_unix_ms,
        ..entry(stage)
    };
    table.update(entry(Stage::Ready), 0);
    table.update(entry(Stage::Draining), 1_000);
    table.update(entry(Stage::Ready), 8_000);
    assert_eq!(
        table.upstream().accepts_requests(false, Millis(8_000)),
        is_usable
    );
    table.update(entry(Stage::Draining), 9_000);
    assert!(!table.upstream().accepts_requests(false, Millis(9_000)));
}

/// Guards against requests at an upstream that drains for an unknown time, since this instance has started
/// after its report.
#[test]
fn an_upstream_that_is_first_seen_draining_gets_no_requests() {
    let mut table = Table(Upstreams::default());
    table.update(entry(Stage::Draining), 10);
    assert!(!table.upstream().accepts_requests(false, Millis(10)));
    assert!(!table.upstream().accepts_requests(true, Millis(10)));
}

/// What is known of a process and of no other one.
#[derive(Clone, Copy, Debug)]
enum Known {
    StatedLeaving,
    Limit,
    Brittle,
    Unreachable,
    AssumedCold,
}

impl Known {
    fn set(self, upstream: &mut Upstream, now: Millis) {
        match self {
            Self::StatedLeaving => assert!(upstream.state_leaving(now)),
            Self::Limit => {
                upstream.limit.record_response(News::Limited(2.0), now);
            }
            Self::Brittle => {
                let statement = Brittleness::Brittle {
                    max_rejections_per_s: 4,
                };
                upstream.brittle.record_response(statement, now);
            }
            Self::Unreachable => {
                upstream.health.record_outcome(Outcome::Unreachable, now);
            }
            Self::AssumedCold => {
                upstream.cold.assume(20_000, now);
            }
        }
    }

    fn holds(self, upstream: &Upstream, now: Millis) -> bool {
        match self {
            Self::StatedLeaving => {
                upstream.has_stated_leaving && !upstream.accepts_requests(true, now)
            }
            Self::Limit => upstream.limit.rate(now).is_some(),
            Self::Brittle => upstream.brittle.max_rejections_per_s(now).is_some(),
            Self::Unreachable => upstream.health.is_unreachable(),
            Self::AssumedCold => upstream.cold.is_cold(now),
        }
    }
}

/// Guards against an upstream that only loses its way to the store and then counts as a new one: what it has
/// stated, and what was observed of it, was forgotten with its entry.
#[test_case(Known::StatedLeaving; "that it leaves")]
#[test_case(Known::Limit; "the rate that it takes")]
#[test_case(Known::Brittle; "the rejections that it endures")]
#[test_case(Known::Unreachable; "that it cannot be reached")]
#[test_case(Known::AssumedCold; "that it may be cold")]
fn what_is_known_of_a_process_holds_when_its_entry_comes_back(known: Known) {
    let mut table = Table::new();
    known.set(table.upstream(), Millis(1_000));
    table.remove(2_000);
    table.update(entry(Stage::Ready), 8_000);
    assert!(known.holds(table.upstream(), Millis(8_000)));
    // Another process of the same id starts afresh.
    table.remove(9_000);
    let restarted = UpstreamEntry {
        started_unix_ms: Some(STARTED_UNIX_MS + 1),
        ..entry(Stage::Ready)
    };
    table.update(restarted, 9_500);
    assert!(!known.holds(table.upstream(), Millis(9_500)));
}

/// Guards against an entry of an earlier process, as a restored store has it, that undoes what the running
/// one has stated.
#[test]
fn an_entry_of_an_earlier_process_does_not_undo_what_the_later_one_has_stated() {
    let mut table = Table::new();
    table.upstream().state_leaving(Millis(1_000));
    let earlier = UpstreamEntry {
        started_unix_ms: Some(STARTED_UNIX_MS - 1),
        ..entry(Stage::Ready)
    };
    table.update(earlier, 2_000);
    table.update(entry(Stage::Ready), 3_000);
    assert!(!table.upstream().accepts_requests(true, Millis(3_000)));
}

/// Guards against memory for the prompt parts of upstreams that are gone, after a rollout for one of each
/// upstream of the service.
#[test]
fn the_prompt_parts_of_an_upstream_without_an_entry_are_not_kept() {
    let part = PromptPart { id: 7, tokens: 40 };
    let mut table = Table::new();
    table.upstream().cache.set_capacity(1_000);
    table.upstream().cache.insert(&[part], Millis(1_000));
    assert_eq!(table.upstream().cache.cached_prefix_tokens(&[part]), 40);
    table.remove(2_000);
    table.update(entry(Stage::Ready), 3_000);
    assert_eq!(table.upstream().cache.cached_prefix_tokens(&[part]), 0);
}

/// Guards against a table that grows with each upstream that ever was.
#[test]
fn what_is_known_of_upstreams_that_are_gone_is_bounded() {
    let mut table = Table(Upstreams::default());
    for number in 0..2_000_u64 {
        let one = UpstreamEntry {
            id: format!("i-{number}").into(),
            ..entry(Stage::Ready)
        };
        table.update(one, number);
        table
            .0
            .entry_removed(&format!("i-{number}"), false, Millis(number));
        table.0.sweep(Millis(number));
    }
    assert!(table.0.retained_count() <= 256);
    table.0.sweep(Millis(1_000_000));
    assert_eq!(table.0.retained_count(), 0);
}

/// Guards against a health check that was under way when the entry went, and kept all later ones from
/// starting.
#[test]
fn checks_go_on_after_an_entry_has_come_back() {
    let mut table = Table::new();
    table.upstream().checks.start(Millis(1_900));
    table.remove(2_000);
    table.update(entry(Stage::Ready), 3_000);
    assert!(table.upstream().checks.is_due(200, Millis(3_000)));
}
