//! How an instance catches up with others that know later changes in the store.
//!
//! It pulls what it lacks from one of them. Builds that do not say which removals their answers lack are
//! asked only if no others are ahead, and bring no progress. It watches the store itself for a while if the pulls bring
//! nothing, or if nobody tells it of changes: event loops and links may be late on either end.

use super::{restore::CONFIG_PREFIX, Node, State};
use crate::{
    log::Event,
    member::Member,
    store::{Coverage, Facts, Position},
};
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Longest age of a message whose sender may be asked for changes, in milliseconds.
const MAX_MESSAGE_AGE_MS: u64 = 5_000;
/// Time for which another instance has to be ahead before changes are pulled, in milliseconds: the own
/// watch may return them as well.
const PULL_DELAY_MS: u64 = 400;
/// Time until the second pull, in milliseconds; it doubles with each further one.
const PULL_INTERVAL_MS: u64 = 400;
/// Number of pulls after which their interval no longer grows.
const MAX_DOUBLINGS: u32 = 3;
/// Time without progress after which the store is watched, in milliseconds.
const STUCK_MS: u64 = 1_000;
/// Time without a message of an instance that follows the store after which it is watched, in
/// milliseconds.
const NEWS_SILENCE_MS: u64 = 1_500;
/// Shortest time for which the store is then watched, in milliseconds. Each start costs listings.
const MIN_WATCH_MS: u64 = 5_000;

/// Request to another instance for changes of a prefix of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Name of the instance.
    pub member: Arc<str>,
    /// Index of the prefix.
    pub prefix: usize,
    /// Position of the own replica.
    pub after: Position,
    /// Time at which another instance was first heard to be ahead.
    pub behind_since: Millis,
}

/// Progress in a prefix in which another instance is ahead.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    /// Time at which another instance was first heard to be ahead.
    since: Millis,
    /// Own position, and the time from which it has been the same.
    after: Position,
    unchanged_since: Millis,
    /// Pulls from this position, and the time of the last one.
    pulls: u32,
    pulled_at: Millis,
}

impl CatchUp {
    fn new(after: Position, now: Millis) -> Self {
        Self {
            since: now,
            after,
            unchanged_since: now,
            pulls: 0,
            pulled_at: now,
        }
    }

    /// Starts over if the own position has changed. The next pull then waits, so that one returns several
    /// changes in quick succession.
    fn update(&mut self, after: Position, now: Millis) {
        if self.after != after {
            *self = Self {
                since: self.since,
                pulls: 1,
                ..Self::new(after, now)
            };
        }
    }

    /// Whether to pull if the first pull has to wait for `delay_ms` milliseconds.
    fn is_pull_due(&self, delay_ms: u64, now: Millis) -> bool {
        let wait_ms = match self.pulls {
            0 => delay_ms,
            pulls => PULL_INTERVAL_MS << (pulls - 1).min(MAX_DOUBLINGS),
        };
        now.since(self.pulled_at) >= wait_ms
    }

    fn pulled(&mut self, now: Millis) {
        self.pulls += 1;
        self.pulled_at = now;
    }

    fn is_stuck(&self, now: Millis) -> bool {
        now.since(self.unchanged_since) >= STUCK_MS
    }
}

/// How far an instance is in a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lead {
    has_newer_config: bool,
    position: Position,
}

/// Instance that is ahead, and how far.
struct Ahead {
    member: Arc<str>,
    lead: Lead,
    hides_coverage: bool,
}

impl Node {
    /// Changes to pull from other instances that are ahead.
    pub fn due_pulls(&self) -> Vec<Pull> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let own = state.replica.positions();
        let prefixes = own.into_iter().enumerate();
        prefixes
            .filter_map(|(prefix, after)| self.due_pull(&mut state, prefix, after, now))
            .collect()
    }

    fn due_pull(
        &self,
        state: &mut State,
        prefix: usize,
        after: Position,
        now: Millis,
    ) -> Option<Pull> {
        let ahead = state.ahead(self, prefix, after, now);
        let Some(first) = ahead.first() else {
            state.behind.remove(&prefix);
            return None;
        };
        if !state.behind.contains_key(&prefix) {
            self.log.event(Event::StoreBehind {
                member: &first.member,
                prefix,
                after: after.revision,
                revision: first.lead.position.revision,
            });
        }
        // What was kept of a restored store until it was written again is compared with all that is there.
        let needs_all = state.replica.keeps_earlier_items(prefix) && !state.is_settling(now);
        let known = state.behind.entry(prefix);
        let catch_up = known.or_insert_with(|| CatchUp::new(after, now));
        catch_up.update(after, now);
        // What operators write is in force from its confirmation, and nobody else tells this instance.
        let is_urgent = prefix == CONFIG_PREFIX && !*self.is_watcher.borrow();
        let delay_ms = if is_urgent { 0 } else { PULL_DELAY_MS };
        if !catch_up.is_pull_due(delay_ms, now) {
            return None;
        }
        let chosen = choose_source(&ahead, catch_up.pulls);
        catch_up.pulled(now);
        // A newer version may stand at an older position, from before a restore of the store.
        let is_further = chosen.lead.position > after;
        Some(Pull {
            member: Arc::clone(&chosen.member),
            prefix,
            after: if is_further && !needs_all {
                after
            } else {
                Position::default()
            },
            behind_since: catch_up.since,
        })
    }

    /// Records whether the build of an instance says what its answers leave out.
    pub fn note_coverage(&self, member: &str, facts: &Facts) {
        let mut state = self.state.borrow_mut();
        if let Some(member) = state.members.by_name.get_mut(member) {
            member.hides_coverage = facts.coverage == Coverage::Unknown;
        }
    }

    /// Decides whether this instance watches the store itself.
    pub(super) fn update_watch(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let own = self.as_peer();
        let is_for_region = state.members.is_watcher(own, now);
        let is_watcher = is_for_region || state.must_watch(now);
        let replace = |known: &mut bool| std::mem::replace(known, is_watcher) != is_watcher;
        if self.is_watcher.send_if_modified(replace) {
            self.log.event(Event::StoreWatched {
                is_watcher,
                is_for_region,
            });
        }
    }
}

impl State {
    /// Instances that are ahead of `after` in a prefix, the furthest first.
    fn ahead(&self, node: &Node, prefix: usize, after: Position, now: Millis) -> Vec<Ahead> {
        let own_config = self.config_version();
        let members = self.members.by_name.values();
        let recent = members.filter(|member| member.has_direct_within(MAX_MESSAGE_AGE_MS, now));
        let ahead = recent.filter_map(|member: &Member| {
            let position = member.position(prefix, after.era)?;
            let has_newer_config = prefix == CONFIG_PREFIX && member.config_version > own_config;
            let lead = Lead {
                has_newer_config,
                position,
            };
            (has_newer_config || position > after).then(|| Ahead {
                member: Arc::clone(&member.entry.name),
                lead,
                hides_coverage: member.hides_coverage,
            })
        });
        let mut ahead: Vec<Ahead> = ahead
            .filter(|ahead| node.links.connection(&ahead.member).is_some())
            .collect();
        if ahead.iter().any(|ahead| !ahead.hides_coverage) {
            ahead.retain(|ahead| !ahead.hides_coverage);
        }
        ahead.sort_by_key(|ahead| std::cmp::Reverse(ahead.lead));
        ahead
    }

    /// Whether this instance has to watch the store although others do it for its region.
    fn must_watch(&mut self, now: Millis) -> bool {
        let mut behind = self.behind.values();
        let is_stuck = behind.any(|catch_up| catch_up.is_stuck(now));
        let mut members = self.members.by_name.values();
        let has_news = members
            .any(|member| member.has_store && member.has_direct_within(NEWS_SILENCE_MS, now));
        if is_stuck || !has_news {
            self.watch_until = now.plus(MIN_WATCH_MS);
        }
        now < self.watch_until
    }
}

/// Instance to pull from: at first one of those that are furthest ahead, then any that is ahead, since the
/// former may be late.
fn choose_source(ahead: &[Ahead], pulls: u32) -> &Ahead {
    let furthest = ahead
        .iter()
        .take_while(|other| other.lead == ahead[0].lead)
        .count();
    let count = if pulls <= 1 { furthest } else { ahead.len() };
    &ahead[rand::random_range(0..count)]
}
