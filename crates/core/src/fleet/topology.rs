//! Choice of the delegates and of the links that an instance keeps.

use sha2::{Digest as _, Sha256};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Delegates in each data centre: one may be lost while another one takes over.
pub const DELEGATES_PER_DATA_CENTRE: usize = 2;
/// Delegates of each other region with which a delegate keeps a link.
pub const DELEGATE_CONTACTS: usize = 3;
/// Instances of each other region to which an instance keeps a link for forwarded requests.
pub const FORWARD_CONTACTS: usize = 2;

/// An instance as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Name, unique in the fleet.
    pub name: &'a str,
    /// Region.
    pub region: &'a str,
    /// Data centre.
    pub data_centre: &'a str,
    /// Processor time that it may use, in thousandths of a core; 0 if unknown.
    pub processor_millicores: u32,
    /// Whether it was heard lately, directly or through a delegate, or was just registered.
    pub is_heard: bool,
}

/// Links of one instance and its role in its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Whether the instance is a delegate of its region.
    pub is_delegate: bool,
    /// Delegates of the region, the instance itself included if it is one.
    pub region_delegates: BTreeSet<String>,
    /// Instances with which it exchanges gossip.
    pub gossip: BTreeSet<String>,
    /// Further instances to which it may forward requests.
    pub forward: BTreeSet<String>,
}

impl Topology {
    /// Links of `own` in a fleet with these other instances.
    pub fn of(own: Peer<'_>, others: &[Peer<'_>]) -> Self {
        let peers: Vec<Peer<'_>> = others.iter().copied().chain([own]).collect();
        let region_delegates = delegates_of(own.region, &peers);
        let is_delegate = region_delegates.contains(own.name);
        let other_regions: BTreeSet<&str> = others
            .iter()
            .map(|peer| peer.region)
            .filter(|region| *region != own.region)
            .collect();
        let mut gossip: BTreeSet<&str> = region_delegates.clone();
        let mut forward: BTreeSet<&str> = BTreeSet::new();
        for region in other_regions {
            if is_delegate {
                let delegates = delegates_of(region, others);
                let is_candidate = |peer: &Peer<'_>| delegates.contains(peer.name);
                gossip.extend(contacts(own.name, others, is_candidate, DELEGATE_CONTACTS));
            }
            let is_candidate = |peer: &Peer<'_>| peer.region == region;
            forward.extend(contacts(own.name, others, is_candidate, FORWARD_CONTACTS));
        }
        gossip.remove(own.name);
        forward.retain(|name| !gossip.contains(name));
        Self {
            is_delegate,
            region_delegates: owned(region_delegates),
            gossip: owned(gossip),
            forward: owned(forward),
        }
    }
}

fn owned(names: BTreeSet<&str>) -> BTreeSet<String> {
    names.into_iter().map(str::to_owned).collect()
}

/// Order in which instances take on work for others: the largest first, and equal ones by name.
pub fn role_order(processor_millicores: u32, name: &str) -> (Reverse<u32>, &str) {
    (Reverse(processor_millicores), name)
}

/// Delegates of a region: in each data centre the first by [`role_order`] of those that were heard. Silent
/// ones fill up the number, since an instance that hears nobody has to try someone.
pub fn delegates_of<'a>(region: &str, peers: &[Peer<'a>]) -> BTreeSet<&'a str> {
    let mut by_data_centre: BTreeMap<&str, Vec<Peer<'a>>> = BTreeMap::new();
    for peer in peers.iter().filter(|peer| peer.region == region) {
        let members = by_data_centre.entry(peer.data_centre).or_default();
        members.push(*peer);
    }
    let mut delegates = BTreeSet::new();
    for mut members in by_data_centre.into_values() {
        members.sort_by_key(|peer| {
            let order = role_order(peer.processor_millicores, peer.name);
            (!peer.is_heard, order)
        });
        let first = members.into_iter().take(DELEGATES_PER_DATA_CENTRE);
        delegates.extend(first.map(|peer| peer.name));
    }
    delegates
}

/// The first `count` candidates for `own` by rendezvous hashing, so that each candidate is chosen by its
/// part of the instances. Silent ones come last.
fn contacts<'a>(
    own: &str,
    others: &[Peer<'a>],
    is_candidate: impl Fn(&Peer<'a>) -> bool,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<Peer<'a>> = others.iter().copied().filter(is_candidate).collect();
    ranked.sort_by_cached_key(|peer| (!peer.is_heard, pair_digest(own, peer.name)));
    let first = ranked.into_iter().take(count);
    first.map(|peer| peer.name).collect()
}

/// Digest of two names, the same for both of them.
pub(super) fn pair_digest(a: &str, b: &str) -> [u8; 32] {
    Sha256::digest(format!("{}/{}", a.min(b), a.max(b))).into()
}
