//! Choice of delegates and links over fleets of several sizes.

#![allow(clippy::unwrap_used)]

use carobwheel_core::fleet::{
    delegates_of, Peer, Topology, DELEGATES_PER_DATA_CENTRE, DELEGATE_CONTACTS, FORWARD_CONTACTS,
};
use rand::{rngs::StdRng, seq::SliceRandom as _, Rng as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const REGIONS: usize = 3;
const DATA_CENTRES_PER_REGION: usize = 2;

/// An instance and whether it runs.
struct Instance {
    name: String,
    region: String,
    data_centre: String,
    is_alive: bool,
}

fn fleet(size: usize) -> Vec<Instance> {
    let instance = |n: usize| {
        let (region, half) = (n % REGIONS, n / REGIONS % DATA_CENTRES_PER_REGION);
        Instance {
            name: format!("node-{n:03}"),
            region: format!("region-{region}"),
            data_centre: format!("region-{region}-{half}"),
            is_alive: true,
        }
    };
    (0..size).map(instance).collect()
}

fn peer(instance: &Instance) -> Peer<'_> {
    Peer {
        name: &instance.name,
        region: &instance.region,
        data_centre: &instance.data_centre,
        processor_millicores: 0,
        is_heard: instance.is_alive,
    }
}

/// Links of each running instance, which all know which others run.
fn topologies(fleet: &[Instance]) -> BTreeMap<&str, Topology> {
    let alive = fleet.iter().filter(|instance| instance.is_alive);
    alive
        .map(|own| {
            let others: Vec<Peer<'_>> = fleet
                .iter()
                .filter(|other| other.name != own.name)
                .map(peer)
                .collect();
            (own.name.as_str(), Topology::of(peer(own), &others))
        })
        .collect()
}

/// Largest number of messages on the way from one instance to all others, if they all can be reached.
/// A delegate passes on what it hears; other instances don't.
fn hops_to_all(from: &str, topologies: &BTreeMap<&str, Topology>) -> Option<usize> {
    let linked = |a: &str, b: &str| {
        let wants = |a: &str, b: &str| topologies[a].gossip.contains(b);
        topologies.contains_key(b) && (wants(a, b) || wants(b, a))
    };
    let mut reached: BTreeSet<&str> = BTreeSet::from([from]);
    let mut senders = vec![from];
    for hops in 0..10 {
        if reached.len() == topologies.len() {
            return Some(hops);
        }
        let next: Vec<&str> = topologies
            .keys()
            .copied()
            .filter(|name| !reached.contains(name))
            .filter(|name| senders.iter().any(|sender| linked(sender, name)))
            .collect();
        reached.extend(&next);
        senders = next;
        senders.retain(|name| topologies[name].is_delegate);
    }
    None
}

/// Most links of a delegate: the other delegates of its region and contacts in the other regions.
const MOST_LINKS: usize = DELEGATES_PER_DATA_CENTRE * DATA_CENTRES_PER_REGION - 1
    + (DELEGATE_CONTACTS + FORWARD_CONTACTS) * (REGIONS - 1);

#[test_case(6, 5; "six are all linked to each other")]
#[test_case(24, MOST_LINKS; "24")]
#[test_case(96, MOST_LINKS; "96")]
#[test_case(195, MOST_LINKS; "195")]
#[test_case(370, MOST_LINKS; "370")]
fn the_links_that_an_instance_wants_do_not_grow_with_the_fleet(size: usize, most: usize) {
    let fleet = fleet(size);
    for (name, topology) in topologies(&fleet) {
        let wanted = topology.gossip.len() + topology.forward.len();
        assert!(wanted <= most, "{name} wants {wanted} links");
        if !topology.is_delegate {
            assert_eq!(
                topology.gossip.len(),
                DELEGATES_PER_DATA_CENTRE * DATA_CENTRES_PER_REGION
            );
            assert!(topology.forward.len() <= FORWARD_CONTACTS * (REGIONS - 1));
        }
    }
}

#[test_case(6; "6")]
#[test_case(24; "24")]
#[test_case(195; "195")]
#[test_case(370; "370")]
fn news_of_any_instance_reaches_all_in_three_messages_with_one_in_ten_dead(size: usize) {
    for seed in 0..5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = fleet(size);
        for instance in &mut fleet {
            instance.is_alive = !rng.random_bool(0.1);
        }
        let topologies = topologies(&fleet);
        let mut senders: Vec<&str> = topologies.keys().copied().collect();
        senders.shuffle(&mut rng);
        for from in senders.into_iter().take(20) {
            let hops = hops_to_all(from, &topologies);
            assert!(hops.is_some_and(|hops| hops <= 3), "seed {seed}: {hops:?}");
        }
    }
}

/// Until an instance knows which of the delegates are dead, the others have to suffice.
#[test]
fn news_still_reaches_all_when_one_delegate_of_each_data_centre_has_just_died() {
    let mut fleet = fleet(195);
    let mut topologies_before: BTreeMap<String, Topology> = BTreeMap::new();
    for (name, topology) in topologies(&fleet) {
        topologies_before.insert(name.to_owned(), topology);
    }
    let mut lost_in: BTreeSet<String> = BTreeSet::new();
    for instance in &mut fleet {
        let is_delegate = topologies_before[&instance.name].is_delegate;
        if is_delegate && lost_in.insert(instance.data_centre.clone()) {
            topologies_before.remove(&instance.name);
        }
    }
    assert_eq!(lost_in.len(), REGIONS * DATA_CENTRES_PER_REGION);
    let left: BTreeMap<&str, Topology> = topologies_before
        .iter()
        .map(|(name, topology)| (name.as_str(), topology.clone()))
        .collect();
    for from in left.keys().step_by(7) {
        assert!(hops_to_all(from, &left).is_some_and(|hops| hops <= 3));
    }
}

#[test]
fn the_instances_of_a_region_share_the_requests_that_others_forward() {
    let fleet = fleet(195);
    let mut received: BTreeMap<String, usize> = BTreeMap::new();
    for topology in topologies(&fleet).values().filter(|t| !t.is_delegate) {
        for name in &topology.forward {
            *received.entry(name.clone()).or_default() += 1;
        }
    }
    let most = received.values().max().unwrap();
    // Four links on the mean.
    assert!(*most <= 14, "{most} instances forward to the same one");
}

#[test]
fn silent_delegates_are_replaced_and_fill_up_the_number() {
    let peer = |name, is_heard| Peer {
        name,
        region: "north",
        data_centre: "north-a",
        processor_millicores: 120,
        is_heard,
    };
    let all = [peer("a", true), peer("b", true), peer("c", true)];
    assert_eq!(delegates_of("north", &all), BTreeSet::from(["a", "b"]));
    let one_silent = [peer("a", false), peer("b", true), peer("c", true)];
    assert_eq!(
        delegates_of("north", &one_silent),
        BTreeSet::from(["b", "c"])
    );
    let two_silent = [peer("a", false), peer("b", false), peer("c", true)];
    assert_eq!(
        delegates_of("north", &two_silent),
        BTreeSet::from(["a", "c"])
    );
}

/// Guards against small machines that do the work of delegates because of their names.
#[test]
fn delegates_are_the_largest_instances_that_are_heard() {
    let peer = |name, processor_millicores, is_heard| Peer {
        name,
        region: "north",
        data_centre: "north-a",
        processor_millicores,
        is_heard,
    };
    let others = [
        peer("1", 500, true),
        peer("10", 120, true),
        peer("11", 120, true),
    ];
    let all = [&others[..], &[peer("2", 500, true)]].concat();
    assert_eq!(delegates_of("north", &all), BTreeSet::from(["1", "2"]));
    let one_silent = [&others[..], &[peer("2", 500, false)]].concat();
    assert_eq!(
        delegates_of("north", &one_silent),
        BTreeSet::from(["1", "10"])
    );
}
