//! Membership over a simulated network that drops, delays, duplicates and partitions packets.

mod member_support;

use carobwheel_core::member::{MemberEvent, MemberState, PROBE_PERIOD_MS};
use member_support::{Faults, Net};
use rand::Rng;
use std::{env, ops::Range};
use test_case::test_case;

const LOSSY: Faults = Faults {
    lost_per_mille: 10,
    duplicated_per_mille: 20,
    jitter_ms: 20,
};
/// Maximum time to agreement after the last fault, in probe periods.
const SETTLE_PERIODS: u64 = 40;

fn seeds(count: u64) -> Range<u64> {
    let count =
        env::var("CAROBWHEEL_SEEDS").map_or(count, |text| text.parse().expect("number of seeds"));
    0..count
}

#[test_case(&[2, 2, 2] ; "six instances in three regions")]
#[test_case(&[1, 1, 6] ; "regions of one instance")]
#[test_case(&[40, 3] ; "a region with more members than one instance probes")]
fn instances_find_each_other_from_the_live_list(regions: &[usize]) {
    for seed in seeds(5) {
        let mut net = Net::new(regions, seed);
        net.faults = LOSSY;
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
    }
}

#[test]
fn a_killed_instance_is_suspected_and_gone_within_seconds() {
    for seed in seeds(10) {
        let mut net = Net::new(&[8, 4], seed);
        net.faults = LOSSY;
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        net.run(30 * PROBE_PERIOD_MS);
        net.kill(3);
        let dead = net.nodes[3].identity.instance.clone();
        net.run(6 * PROBE_PERIOD_MS);
        let state = |net: &Net, at: usize| net.nodes[at].members.member(&dead).unwrap().state;
        assert_ne!(state(&net, 0), MemberState::Alive, "seed {seed}");
        net.settle(10 * PROBE_PERIOD_MS);
        assert_eq!(state(&net, 11), MemberState::Gone);
    }
}

#[test]
fn one_percent_of_loss_makes_no_instance_gone() {
    for seed in seeds(3) {
        let mut net = Net::new(&[10, 10], seed);
        net.faults = LOSSY;
        net.run(300 * PROBE_PERIOD_MS);
        for node in &mut net.nodes {
            let gone = |event: &MemberEvent| {
                matches!(
                    event,
                    MemberEvent::Changed {
                        to: MemberState::Gone,
                        ..
                    }
                )
            };
            let count = node
                .members
                .take_events()
                .iter()
                .filter(|e| gone(e))
                .count();
            assert_eq!(count, 0, "seed {seed}");
        }
    }
}

#[test]
fn leaving_is_known_in_the_region_at_once_and_everywhere_soon() {
    for seed in seeds(20) {
        let mut net = Net::new(&[6, 6, 6], seed);
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        net.run(20 * PROBE_PERIOD_MS);
        net.leave(0);
        net.settle(4 * PROBE_PERIOD_MS);
    }
}

#[test]
fn a_revision_reaches_everyone_within_two_seconds() {
    for seed in seeds(6) {
        let mut net = Net::new(&[10, 10, 10], seed);
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        net.run(20 * PROBE_PERIOD_MS);
        net.publish(7, 2);
        net.run(2_000);
        assert!(
            net.nodes.iter().all(|node| node.revision == 2),
            "seed {seed}"
        );
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
    }
}

/// Guards against an instance that waits for its peers although their documents never arrive.
#[test]
fn an_instance_whose_fetches_bring_nothing_knows_that_it_is_stuck() {
    let mut net = Net::new(&[4, 4], 1);
    net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
    net.fetches_fail = true;
    net.publish(7, 2);
    net.run(5_000);
    let is_stuck = |net: &Net, at: usize| net.nodes[at].members.is_fetch_stuck(net.now);
    assert!((0..7).all(|at| is_stuck(&net, at)));
    assert!(!is_stuck(&net, 7));
    net.fetches_fail = false;
    net.run(3_000);
    assert!(!(0..8).any(|at| is_stuck(&net, at)));
}

#[test]
fn a_region_comes_back_after_an_hour() {
    for seed in seeds(2) {
        let mut net = Net::new(&[3, 3, 3], seed);
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        for at in 0..3 {
            net.side[at] = 1;
        }
        net.run(1_800 * PROBE_PERIOD_MS);
        let region = net.nodes[8].identity.region.clone();
        assert!(!net.nodes[0].members.is_region_reachable(&region));
        assert!(net.nodes[0].members.alive_in(&region).is_empty());
        net.publish(8, 5);
        net.restart(7);
        net.restart(1);
        net.run(1_800 * PROBE_PERIOD_MS);
        net.side = vec![0; 9];
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        assert!(net.nodes[0].members.is_region_reachable(&region));
    }
}

#[test]
fn both_halves_of_a_region_find_each_other_after_an_hour() {
    for seed in seeds(2) {
        let mut net = Net::new(&[8], seed);
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        for at in 0..4 {
            net.side[at] = 1;
        }
        net.run(3_600 * PROBE_PERIOD_MS);
        net.settle(1);
        net.side = vec![0; 8];
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
        // While the halves reconnect, no instance declares any further member gone.
        for node in &mut net.nodes {
            let events = node.members.take_events();
            let after = events.iter().rposition(|event| {
                matches!(
                    event,
                    MemberEvent::Changed {
                        from: MemberState::Gone,
                        ..
                    }
                )
            });
            let lost = events[..after.unwrap_or(0)].iter().filter(|event| {
                matches!(
                    event,
                    MemberEvent::Changed {
                        to: MemberState::Gone,
                        ..
                    }
                )
            });
            assert_eq!(lost.count(), 4, "seed {seed}");
        }
    }
}

#[test]
fn all_instances_restart_at_once() {
    for seed in seeds(10) {
        let mut net = Net::new(&[4, 4, 4], seed);
        net.faults = LOSSY;
        net.run(60 * PROBE_PERIOD_MS);
        for at in 0..12 {
            net.restart(at);
        }
        net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
    }
}

/// Injects one random fault.
fn inject_random_fault(net: &mut Net) {
    let at = net.rng.random_range(0..net.nodes.len());
    let is_running = net.nodes[at].is_running;
    match net.rng.random_range(0..8) {
        0 if is_running => net.kill(at),
        1 | 2 => net.restart(at),
        3 if is_running && !net.nodes[at].has_left => net.leave(at),
        4 => {
            let region = net.nodes[at].identity.region.clone();
            for other in 0..net.nodes.len() {
                net.side[other] = u8::from(net.nodes[other].identity.region == region);
            }
        }
        5 => {
            for other in 0..net.nodes.len() {
                net.side[other] = net.rng.random_range(0..2);
            }
        }
        6 => net.side = vec![0; net.nodes.len()],
        7 if is_running => {
            let highest = net
                .nodes
                .iter()
                .map(|node| node.revision)
                .max()
                .unwrap_or(0);
            net.publish(at, highest + 1);
        }
        _ => {}
    }
}

#[test]
fn random_faults_end_in_agreement() {
    for seed in seeds(16) {
        let mut net = Net::new(&[4, 3, 1, 2], seed);
        net.faults = Faults {
            lost_per_mille: 50,
            ..LOSSY
        };
        for _ in 0..30 {
            inject_random_fault(&mut net);
            let pause_ms = net.rng.random_range(0..15 * PROBE_PERIOD_MS);
            net.run(pause_ms);
        }
        net.side = vec![0; net.nodes.len()];
        net.faults = LOSSY;
        for at in 0..net.nodes.len() {
            if !net.nodes[at].is_running {
                net.restart(at);
            }
        }
        let limit_ms = SETTLE_PERIODS * PROBE_PERIOD_MS;
        let settled_ms = net.settle(limit_ms);
        assert!(settled_ms <= limit_ms, "seed {seed}");
    }
}

/// Counts the unreachable-region events of all instances when packet loss, duplication and jitter are
/// the only faults.
fn silent_regions(sizes: &[usize], seed: u64, periods: u64) -> usize {
    let mut net = Net::new(sizes, seed);
    net.faults = LOSSY;
    net.settle(SETTLE_PERIODS * PROBE_PERIOD_MS);
    net.run(periods * PROBE_PERIOD_MS);
    let is_silent = |event: &MemberEvent| matches!(event, MemberEvent::RegionSilent { .. });
    net.nodes
        .iter_mut()
        .map(|node| {
            node.members
                .take_events()
                .iter()
                .filter(|e| is_silent(e))
                .count()
        })
        .sum()
}

#[test]
fn no_region_counts_as_silent_without_a_fault() {
    for seed in seeds(2) {
        assert_eq!(silent_regions(&[6; 11], seed, 120), 0, "seed {seed}");
        assert_eq!(silent_regions(&[1, 2, 20], seed, 300), 0, "seed {seed}");
    }
}
