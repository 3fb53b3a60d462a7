//! Encoding of the services that instances do not reach: bits of a word for each instance, since many of them
//! may lose the same services at once.

use crate::node::Additions;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of services that fit into a word. A message tells of no others.
const MAX_SERVICES: usize = 64;

/// Services that the sender and the instances of its heartbeats do not reach.
#[derive(Serialize, Deserialize)]
pub(super) struct CutOffPart {
    /// Hashes of the names of all services in this part.
    services: Vec<u32>,
    /// Those of the sender, as bits.
    own: u64,
    /// Those of other instances, as bits by the index of the heartbeat.
    others: Vec<(u16, u64)>,
}

impl CutOffPart {
    /// The part of a message; `None` if all instances reach all services.
    pub(super) fn of(additions: &Additions) -> Option<Self> {
        let none = BTreeMap::new();
        let digest = additions
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.digest.as_ref());
        let others = digest.map_or(&none, |digest| &digest.cut_off);
        let listed: BTreeSet<u32> = others.values().flatten().copied().collect();
        // The own services come first, since no other message may tell of them.
        let rest = listed.difference(&additions.cut_off).copied();
        let services: Vec<u32> = additions
            .cut_off
            .iter()
            .copied()
            .chain(rest)
            .take(MAX_SERVICES)
            .collect();
        if services.is_empty() {
            return None;
        }
        let bits = |cut_off: &BTreeSet<u32>| {
            let indexed = services.iter().enumerate();
            let set = indexed.filter(|(_, service)| cut_off.contains(service));
            set.fold(0_u64, |bits, (index, _)| bits | 1 << index)
        };
        let others = others
            .iter()
            .map(|(index, cut_off)| (*index, bits(cut_off)));
        let (own, others) = (bits(&additions.cut_off), others.collect());
        Some(Self {
            services,
            own,
            others,
        })
    }

    /// Adds the part to the message that it came with.
    pub(super) fn set(&self, additions: &mut Additions) {
        let of_bits = |bits: u64| -> BTreeSet<u32> {
            let indexed = self.services.iter().take(MAX_SERVICES).enumerate();
            let set = indexed.filter(|(index, _)| bits >> index & 1 == 1);
            set.map(|(_, service)| *service).collect()
        };
        additions.cut_off = of_bits(self.own);
        let digest = additions
            .fleet
            .as_mut()
            .and_then(|fleet| fleet.digest.as_mut());
        if let Some(digest) = digest {
            let others = self.others.iter();
            digest.cut_off = others
                .map(|(index, bits)| (*index, of_bits(*bits)))
                .collect();
        }
    }
}
