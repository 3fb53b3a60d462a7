//! Tests of the encoding of gossip between builds with and without crash reports.

#![allow(clippy::unwrap_used)]

mod gossip_support;

use carobwheel_core::{crash::CrashReport, time::Millis};
use carobwheel_edge::{
    node::{Additions, DutyReport, Gossip},
    peers::{decode, encode},
};
use gossip_support::{
    additions, digest_of, gossip, report, with_cold, with_cut_off, with_duties, with_fleet,
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::collections::BTreeSet;

#[test]
fn crash_reports_survive_the_encoding() {
    let decoded = decode(&encode(&gossip(report())).unwrap()).unwrap();
    assert_eq!(decoded.crashes, report());
    assert_eq!((decoded.life, decoded.asked), (7, vec![(9, 10)]));
}

#[test]
fn a_message_of_a_build_without_crash_reports_is_understood() {
    let old = postcard::to_stdvec(&gossip(CrashReport::default())).unwrap();
    let decoded = decode(&old).unwrap();
    assert_eq!((decoded.life, decoded.revisions), (7, vec![3, 4]));
    assert_eq!(decoded.crashes, CrashReport::default());
}

#[test]
fn a_build_without_crash_reports_understands_a_message_with_one() {
    let bytes = encode(&gossip(report())).unwrap();
    let old: Gossip = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(
        (old.life, old.revisions, old.asked),
        (7, vec![3, 4], vec![(9, 10)])
    );
}

#[test]
fn reports_on_requests_survive_the_encoding_with_and_without_other_parts() {
    for (crashes, limits) in [(CrashReport::default(), false), (report(), true)] {
        let mut message = gossip(crashes.clone());
        if limits {
            message.additions = additions();
        }
        message.additions.request_crashes = report();
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.crashes, crashes);
        assert_eq!(decoded.additions, message.additions);
    }
}

#[test]
fn reports_on_leaving_upstreams_survive_the_encoding_with_and_without_other_parts() {
    for request_crashes in [CrashReport::default(), report()] {
        let mut message = gossip(CrashReport::default());
        message.additions.request_crashes = request_crashes;
        message.additions.leaving = vec![7, 8];
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.additions, message.additions);
    }
}

/// Guards against a build without reports on requests, whose additions end the message.
#[test]
fn additions_without_reports_on_requests_are_understood() {
    let mut message = gossip(report());
    message.additions = additions();
    let decoded = decode(&encode(&message).unwrap()).unwrap();
    assert_eq!(decoded.additions, additions());
}

#[test]
fn limit_reports_survive_the_encoding_with_and_without_crash_reports() {
    for crashes in [CrashReport::default(), report()] {
        let mut message = gossip(crashes.clone());
        message.additions = additions();
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.additions, additions());
        assert_eq!(decoded.crashes, crashes);
    }
}

#[test]
fn a_build_without_limit_reports_understands_a_message_with_them() {
    let mut message = gossip(report());
    message.additions = additions();
    let bytes = encode(&message).unwrap();
    let (old, rest): (Gossip, &[u8]) = postcard::take_from_bytes(&bytes).unwrap();
    let crashes: CrashReport = postcard::from_bytes(rest).unwrap();
    assert_eq!((old.life, crashes), (7, report()));
}

/// Guards against builds that do not tell when reports were made.
#[test]
fn the_part_of_the_fleet_is_understood_without_the_times_of_its_reports() {
    let bytes = encode(&with_fleet()).unwrap();
    let times_bytes = postcard::to_stdvec(&(900_u64, vec![77_u64])).unwrap().len();
    let decoded = decode(&bytes[..bytes.len() - times_bytes]).unwrap();
    let fleet = decoded.additions.fleet.unwrap();
    assert_eq!((fleet.beat, fleet.made_at), (9, Millis::default()));
    assert_eq!(fleet.digest.unwrap().relayed[0].made_at, Millis::default());
}

#[test]
fn the_part_of_the_fleet_survives_the_encoding_with_and_without_other_parts() {
    let mut alone = gossip(CrashReport::default());
    alone.additions.fleet = with_fleet().additions.fleet;
    for message in [with_fleet(), alone] {
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.additions, message.additions);
    }
}

#[test]
fn a_build_without_delegates_understands_a_message_with_a_digest() {
    let bytes = encode(&with_fleet()).unwrap();
    let (old, rest): (Gossip, &[u8]) = postcard::take_from_bytes(&bytes).unwrap();
    let (crashes, rest): (CrashReport, &[u8]) = postcard::take_from_bytes(rest).unwrap();
    let (known, _): (Additions, &[u8]) = postcard::take_from_bytes(rest).unwrap();
    assert_eq!((old.life, crashes), (7, report()));
    assert_eq!(known.limits, additions().limits);
}

#[test]
fn the_input_of_duties_survives_the_encoding() {
    let decoded = decode(&encode(&with_duties()).unwrap()).unwrap();
    assert_eq!(decoded.additions, with_duties().additions);
}

/// Guards against builds without duties, and against bytes that deployments without duties would send.
#[test]
fn a_message_without_duties_is_the_one_of_builds_that_do_not_know_them() {
    let (with, without) = (
        encode(&with_duties()).unwrap(),
        encode(&with_fleet()).unwrap(),
    );
    assert!(with.starts_with(&without));
    let decoded = decode(&without).unwrap();
    assert_eq!(decoded.additions, with_fleet().additions);
}

#[test]
fn odd_input_of_duties_costs_no_other_part() {
    let (with, without) = (
        encode(&with_duties()).unwrap(),
        encode(&with_fleet()).unwrap(),
    );
    for end in without.len()..with.len() {
        let decoded = decode(&with[..end]).unwrap();
        assert_eq!(decoded.additions.fleet, with_fleet().additions.fleet);
    }
}

#[test]
fn reports_of_restarts_survive_the_encoding_with_and_without_duties() {
    for message in [with_cold(with_fleet()), with_cold(with_duties())] {
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.additions, message.additions);
    }
}

#[test]
fn services_out_of_reach_survive_the_encoding_with_and_without_duties_and_a_digest() {
    let mut alone = with_fleet();
    alone.additions.fleet.as_mut().unwrap().digest = None;
    for message in [with_duties(), with_fleet(), alone] {
        let message = with_cut_off(message);
        let decoded = decode(&encode(&message).unwrap()).unwrap();
        assert_eq!(decoded.additions, message.additions);
    }
}

/// Guards against a message that earlier builds do not understand, and against one that is much longer.
#[test]
fn reports_of_restarts_follow_what_earlier_builds_know_and_take_few_bytes() {
    let with = encode(&with_cold(with_duties())).unwrap();
    let without = encode(&with_duties()).unwrap();
    assert!(with.starts_with(&without));
    let bytes = with.len() - without.len();
    assert!(bytes <= 3 * 8 + 5, "{bytes} bytes");
}

#[test]
fn odd_reports_of_restarts_cost_no_other_part() {
    let with = encode(&with_cold(with_duties())).unwrap();
    let without = encode(&with_duties()).unwrap();
    for end in without.len()..with.len() {
        let decoded = decode(&with[..end]).unwrap();
        assert_eq!(decoded.additions, with_duties().additions);
    }
}

#[test]
fn services_that_only_others_do_not_reach_survive_the_encoding() {
    let mut message = with_cut_off(with_fleet());
    message.additions.cut_off.clear();
    let decoded = decode(&encode(&message).unwrap()).unwrap();
    assert_eq!(decoded.additions, message.additions);
}

/// Guards against builds that do not know services out of reach: they read what precedes these, and an empty
/// report where there is no input of duties.
#[test]
fn a_build_without_services_out_of_reach_understands_a_message_with_them() {
    for message in [with_duties(), with_fleet()] {
        let known = encode(&message).unwrap();
        let bytes = encode(&with_cut_off(message.clone())).unwrap();
        assert!(bytes.starts_with(&known));
        if message.additions.duties.is_none() {
            let old: DutyReport = postcard::from_bytes(&bytes[known.len()..]).unwrap();
            assert_eq!(old, DutyReport::default());
        }
    }
}

#[test]
fn odd_services_out_of_reach_cost_no_other_part() {
    let without = encode(&with_duties()).unwrap();
    let with = encode(&with_cut_off(with_duties())).unwrap();
    for end in without.len()..with.len() {
        let decoded = decode(&with[..end]).unwrap();
        assert_eq!(decoded.additions, with_duties().additions);
    }
}

#[test]
fn reports_of_restarts_and_services_out_of_reach_survive_the_encoding_together() {
    let message = with_cold(with_cut_off(with_fleet()));
    let decoded = decode(&encode(&message).unwrap()).unwrap();
    assert_eq!(decoded.additions, message.additions);
}

/// Guards against messages that outgrow the links of small instances when most of a large fleet loses the same
/// services at once.
#[test]
fn services_out_of_reach_of_a_large_fleet_take_a_few_bytes_for_each_instance() {
    const INSTANCES: u16 = 371;
    let mut message = with_fleet();
    let services: BTreeSet<u32> = (0..3).map(|service| 0xfff0_0000 + service).collect();
    let heartbeat = digest_of(&mut message).unwrap().heartbeats[0];
    let digest = digest_of(&mut message).unwrap();
    digest.heartbeats = vec![heartbeat; INSTANCES.into()];
    let without = encode(&message).unwrap().len();
    digest_of(&mut message).unwrap().cut_off = (0..INSTANCES)
        .map(|index| (index, services.clone()))
        .collect();
    let with = encode(&message).unwrap().len();
    assert!(with - without <= usize::from(INSTANCES) * 3 + 32);
}

#[test]
fn more_services_out_of_reach_than_a_message_has_room_for_cost_only_the_last_ones() {
    let mut message = with_cut_off(with_fleet());
    message.additions.cut_off = (100..200).collect();
    let decoded = decode(&encode(&message).unwrap()).unwrap();
    let own: BTreeSet<u32> = (100..164).collect();
    assert_eq!(decoded.additions.cut_off, own);
}

/// Cut and altered messages are refused or understood in part; none may end the process.
#[test]
fn odd_messages_do_no_harm() {
    let whole = encode(&with_cold(with_cut_off(with_duties()))).unwrap();
    for end in 0..whole.len() {
        drop(decode(&whole[..end]));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut bytes = whole.clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        drop(decode(&bytes));
    }
}
