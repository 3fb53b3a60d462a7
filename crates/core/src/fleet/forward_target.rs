//! Choice of the instances that run requests for one that reaches none of a service's upstreams.

use super::{topology::pair_digest, Peer};

/// Processor time that an instance counts with whose build does not tell, in thousandths of a core.
const UNKNOWN_MILLICORES: u32 = 100;

/// An instance that can run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Processor time that it may use, in thousandths of a core; 0 if unknown.
    pub processor_millicores: u32,
    /// Requests that it was forwarded and has not answered yet.
    pub in_flight: u32,
}

impl ForwardTarget {
    /// Share of the requests that it should get, relative to others.
    fn weight(self) -> f64 {
        weight_of(self.processor_millicores) / (1.0 + f64::from(self.in_flight))
    }
}

fn weight_of(processor_millicores: u32) -> f64 {
    f64::from(match processor_millicores {
        0 => UNKNOWN_MILLICORES,
        known => known,
    })
}

/// Index of the target for the random number `draw` in `[0, 1)`. Requests are spread by processor time, and
/// fewer go to a target that has not answered the earlier ones.
pub fn choose_target(targets: &[ForwardTarget], draw: f64) -> Option<usize> {
    let total: f64 = targets.iter().map(|target| target.weight()).sum();
    let mut left = draw * total;
    for (index, target) in targets.iter().enumerate() {
        left -= target.weight();
        if left < 0.0 {
            return Some(index);
        }
    }
    targets.len().checked_sub(1)
}

/// The `count` candidates to which `own` keeps links for such requests, by weighted rendezvous hashing: each
/// candidate is chosen in proportion to its processor time.
pub fn target_contacts<'a>(own: &str, candidates: &[Peer<'a>], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(f64, &'a str)> = candidates
        .iter()
        .map(|peer| {
            let score = -unit_hash(own, peer.name).ln() / weight_of(peer.processor_millicores);
            (score, peer.name)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    let first = ranked.into_iter().take(count);
    first.map(|(_, name)| name).collect()
}

/// Hash of two names in `(0, 1)`.
fn unit_hash(a: &str, b: &str) -> f64 {
    let digest = pair_digest(a, b);
    let word = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
    (f64::from(word) + 0.5) / (f64::from(u32::MAX) + 1.0)
}
