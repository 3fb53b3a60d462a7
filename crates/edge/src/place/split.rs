//! Which engines of a region read long prompts and which make long answers.
//!
//! The load this answers: long prompts with short answers beside short prompts with long answers,
//! on the same engines. An engine that always reads prompts makes the tokens of its running answers
//! at a fraction of their speed, so long answers run into their timeout. Kept apart, the engines
//! for prompts can read nearly all of the time, and the engines for answers hardly read at all.
//! The engines are ranked by a hash that all instances compute alike, and divided by the work of
//! the two kinds that callers have asked of an instance lately.

use super::{pace::step_ms, InferenceJob};
use crate::{hash::rendezvous, upstream::Upstream};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashSet, sync::Arc};

/// Prompt tokens that an engine reads in a millisecond, as far as kinds of jobs are told apart; the
/// same everywhere, so that all instances see the same kind.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// Part of an engine's slots that are in use in a well filled batch.
const BATCH_PART: f64 = 0.5;
/// Time over which work is averaged, in milliseconds.
const AVERAGED_MS: f64 = 10_000.0;
/// Part of the shared parts of prompts that is read again.
const REREAD_PART: f64 = 0.5;
/// Work that has to be known before engines are divided, in milliseconds of engine time.
const MIN_KNOWN_MS: f64 = 200.0;
/// Smallest part of the work of either kind that engines are set apart for.
const MIN_PART: f64 = 0.08;
/// Fewest engines that are divided.
const MIN_ENGINES: usize = 4;
/// Key of the engines' ranking.
const RANK_KEY: u64 = 0x5370_6c69_7450_6f6f;

/// What takes most of an engine's time for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Reading its prompt.
    PrefillHeavy,
    /// Making its answer.
    DecodeHeavy,
}

impl JobKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::PrefillHeavy, Self::DecodeHeavy];

    /// The kind of a job at engines that run `slots` requests at once.
    pub fn of(job: &InferenceJob, slots: u32) -> Self {
        let reading_ms = f64::from(job.own_tokens()) / READ_TOKENS_PER_MS;
        if answering_ms(job, slots) > reading_ms {
            Self::DecodeHeavy
        } else {
            Self::PrefillHeavy
        }
    }
}

/// Engine time that an answer takes in a well filled batch, in milliseconds.
fn answering_ms(job: &InferenceJob, slots: u32) -> f64 {
    let batch = BATCH_PART * f64::from(slots.max(1));
    f64::from(job.max_output_tokens) * step_ms(batch) / batch
}

/// Work of both kinds that callers have asked for lately, in milliseconds of engine time.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobMix {
    reading_ms: f64,
    answering_ms: f64,
    at: Millis,
}

impl JobMix {
    /// Takes note of a job for engines that run `slots` requests at once.
    pub fn add(&mut self, job: &InferenceJob, slots: u32, now: Millis) {
        self.decay(now);
        let unread = f64::from(job.own_tokens()) + REREAD_PART * f64::from(job.shared_tokens());
        let work_ms = unread / READ_TOKENS_PER_MS + answering_ms(job, slots);
        match JobKind::of(job, slots) {
            JobKind::PrefillHeavy => self.reading_ms += work_ms,
            JobKind::DecodeHeavy => self.answering_ms += work_ms,
        }
    }

    /// Part of the engines that should make long answers; `None` while they should not be divided.
    pub fn decode_share(&self) -> Option<f64> {
        let all_ms = self.reading_ms + self.answering_ms;
        if all_ms < MIN_KNOWN_MS {
            return None;
        }
        let part = self.answering_ms / all_ms;
        (MIN_PART..=1.0 - MIN_PART).contains(&part).then_some(part)
    }

    fn decay(&mut self, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.since(self.at) as f64;
        let left = (-passed_ms / AVERAGED_MS).exp();
        self.reading_ms *= left;
        self.answering_ms *= left;
        self.at = now;
    }
}

/// Identifiers of the engines that are set apart for the other kind of jobs.
pub fn engines_for_other_kind(
    engines: &[&Upstream],
    kind: JobKind,
    decode_share: Option<f64>,
) -> HashSet<Arc<str>> {
    let Some(part) = decode_share.filter(|_| engines.len() >= MIN_ENGINES) else {
        return HashSet::new();
    };
    let mut ranked = engines.to_vec();
    ranked.sort_by_cached_key(|up| Reverse(rendezvous(&up.entry.id, RANK_KEY)));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let answering = ((ranked.len() as f64 * part).ceil() as usize).clamp(1, ranked.len() - 1);
    let others = match kind {
        JobKind::DecodeHeavy => &ranked[answering..],
        JobKind::PrefillHeavy => &ranked[..answering],
    };
    others.iter().map(|up| Arc::clone(&up.entry.id)).collect()
}
