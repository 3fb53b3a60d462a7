//! Partition of a region's engines into those for prefill-heavy and those for decode-heavy jobs.
//!
//! Designed for long prompts with short outputs beside short prompts with long outputs on the same
//! engines. An engine that is always busy with prefill decodes its running requests at a fraction
//! of its speed, so long outputs run into their timeout. After the partition, the engines for
//! prefill-heavy jobs can spend nearly all of their time on prefill, and the others hardly any.
//! The engines are ranked by a hash that is the same on all instances, and divided in proportion to
//! the work of the two kinds that callers have recently requested from an instance.

use super::{pace::decode_step_ms, InferenceJob};
use crate::{hash::rendezvous, upstream::Upstream};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashSet, sync::Arc};

/// Prefill speed for the classification of jobs, in tokens a millisecond; a constant, so that all
/// instances classify a job alike.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Share of an engine's slots in use that is assumed for a typical batch.
const TYPICAL_BATCH_SHARE: f64 = 0.5;
/// Time constant of the moving averages of work, in milliseconds.
const AVERAGING_MS: f64 = 10_000.0;
/// Share of shared prompt tokens that are assumed to need prefill again.
const REPEATED_PREFILL_SHARE: f64 = 0.5;
/// Work below which the engines are not divided, in milliseconds of engine time.
const MIN_WORK_MS: f64 = 200.0;
/// Share of the work of either kind below which the engines are not divided.
const MIN_WORK_SHARE: f64 = 0.08;
/// Number of engines below which they are not divided.
const MIN_ENGINES: usize = 4;
/// Rendezvous key of the engine ranking.
const ENGINE_RANK_KEY: u64 = 0x5370_6c69_7450_6f6f;

/// The phase of inference that takes most of an engine's time for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Prefill of the prompt.
    PrefillHeavy,
    /// Decoding of the output.
    DecodeHeavy,
}

impl JobKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::PrefillHeavy, Self::DecodeHeavy];

    /// Kind of a job at engines with `slots` batch slots.
    pub fn of(job: &InferenceJob, slots: u32) -> Self {
        let prefill_ms = f64::from(job.own_tokens()) / PREFILL_TOKENS_PER_MS;
        if decode_ms(job, slots) > prefill_ms {
            Self::DecodeHeavy
        } else {
            Self::PrefillHeavy
        }
    }
}

/// Engine time for decoding a job's output in a typical batch, in milliseconds.
fn decode_ms(job: &InferenceJob, slots: u32) -> f64 {
    let batch = TYPICAL_BATCH_SHARE * f64::from(slots.max(1));
    f64::from(job.max_output_tokens) * decode_step_ms(batch) / batch
}

/// Decaying sums of the work of both kinds that callers requested, in milliseconds of engine time.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobMix {
    prefill_ms: f64,
    decode_ms: f64,
    updated_at: Millis,
}

impl JobMix {
    /// Adds a job for engines with `slots` batch slots.
    pub fn add(&mut self, job: &InferenceJob, slots: u32, now: Millis) {
        self.decay(now);
        let prefill_tokens =
            f64::from(job.own_tokens()) + REPEATED_PREFILL_SHARE * f64::from(job.shared_tokens());
        let work_ms = prefill_tokens / PREFILL_TOKENS_PER_MS + decode_ms(job, slots);
        match JobKind::of(job, slots) {
            JobKind::PrefillHeavy => self.prefill_ms += work_ms,
            JobKind::DecodeHeavy => self.decode_ms += work_ms,
        }
    }

    /// Share of the engines for decode-heavy jobs; `None` while they should not be divided.
    pub fn decode_share(&self) -> Option<f64> {
        let total_ms = self.prefill_ms + self.decode_ms;
        if total_ms < MIN_WORK_MS {
            return None;
        }
        let share = self.decode_ms / total_ms;
        (MIN_WORK_SHARE..=1.0 - MIN_WORK_SHARE)
            .contains(&share)
            .then_some(share)
    }

    fn decay(&mut self, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.since(self.updated_at) as f64;
        let factor = (-elapsed_ms / AVERAGING_MS).exp();
        self.prefill_ms *= factor;
        self.decode_ms *= factor;
        self.updated_at = now;
    }
}

/// Identifiers of the engines that are reserved for jobs of another kind than `kind`.
pub fn engines_for_other_kind(
    engines: &[&Upstream],
    kind: JobKind,
    decode_share: Option<f64>,
) -> HashSet<Arc<str>> {
    let Some(share) = decode_share.filter(|_| engines.len() >= MIN_ENGINES) else {
        return HashSet::new();
    };
    let mut ranked = engines.to_vec();
    ranked.sort_by_cached_key(|up| Reverse(rendezvous(&up.entry.id, ENGINE_RANK_KEY)));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let decode_count = ((ranked.len() as f64 * share).ceil() as usize).clamp(1, ranked.len() - 1);
    let reserved = match kind {
        JobKind::DecodeHeavy => &ranked[decode_count..],
        JobKind::PrefillHeavy => &ranked[..decode_count],
    };
    reserved.iter().map(|up| Arc::clone(&up.entry.id)).collect()
}
