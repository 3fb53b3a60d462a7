//! Rates at which this instance receives requests with each shared prompt part.

use super::PromptPart;
use carobwheel_core::time::Millis;
use std::collections::HashMap;

/// Time constant of the decaying counts, in milliseconds. A subject returns at one of twenty
/// instances only every one to four minutes, so that a shorter time would forget most subjects.
const AVERAGING_MS: f64 = 120_000.0;
/// Rate of a region's requests with a shared part that is assumed before any are observed, per
/// second. Rather too high than too low: a rate that is too low scatters the subject over the engines.
const PRIOR_PER_S: f64 = 0.25;
/// Number of requests that are assumed besides the observed ones. The time that belongs to them by
/// the assumed rate shrinks with the observed requests, since a few subjects are far more popular.
const PRIOR_COUNT: f64 = 0.5;
/// Maximum number of parts whose rates are kept.
const MAX_PARTS: usize = 4_096;
/// Decayed count below which a part is forgotten first when there are too many.
const MIN_KEPT_COUNT: f64 = 0.2;

/// Decaying counts of requests by shared prompt part.
#[derive(Clone, Debug, Default)]
pub struct PartDemand {
    counts: HashMap<u64, (f64, Millis)>,
    observed_since: Option<Millis>,
}

impl PartDemand {
    /// Counts a request with these shared parts.
    pub fn add(&mut self, shared: &[PromptPart], now: Millis) {
        self.observed_since.get_or_insert(now);
        if self.counts.len() + shared.len() > MAX_PARTS {
            self.forget_rare(now);
        }
        for part in shared {
            let (count, updated_at) = self.counts.entry(part.id).or_insert((0.0, now));
            *count = decayed(*count, *updated_at, now) + 1.0;
            *updated_at = now;
        }
    }

    /// Number of parts whose rates are kept.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no part's rate is kept.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Estimated rate of a region's requests with the part, per second, if its `instances` instances
    /// receive equal shares of them.
    pub fn region_per_s(&self, id: u64, instances: f64, now: Millis) -> f64 {
        let count = self
            .counts
            .get(&id)
            .map_or(0.0, |(count, updated_at)| decayed(*count, *updated_at, now));
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = self.observed_since.map_or(0, |at| now.since(at)) as f64;
        let observed_s = AVERAGING_MS / 1_000.0 * (1.0 - (-elapsed_ms / AVERAGING_MS).exp());
        let prior_s = PRIOR_COUNT * instances / PRIOR_PER_S / (1.0 + count);
        (count + PRIOR_COUNT) * instances / (observed_s + prior_s)
    }

    fn forget_rare(&mut self, now: Millis) {
        self.counts
            .retain(|_, (count, at)| decayed(*count, *at, now) >= MIN_KEPT_COUNT);
        if self.counts.len() > MAX_PARTS / 2 {
            self.counts.clear();
            self.observed_since = Some(now);
        }
    }
}

fn decayed(count: f64, updated_at: Millis, now: Millis) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let elapsed_ms = now.since(updated_at) as f64;
    count * (-elapsed_ms / AVERAGING_MS).exp()
}
