//! Decision on the number of engines in each data centre.

use super::{
    demand::{DemandHistory, EngineRate, OfferedLoad, MAX_AGE_MS},
    divide,
};
use crate::time::Millis;
use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

/// Interval of decisions, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Time for which demand has to be low beyond the start and the cold phase of an engine before engines are
/// released, in milliseconds.
const LOW_MARGIN_MS: u64 = 3_000;
/// Minimum time between two releases in a data centre, in milliseconds. An engine that is kept for a few
/// seconds costs less than one that is started again.
const RELEASE_INTERVAL_MS: u64 = 1_000;
/// Ratio of the demand at which an engine is released to the demand at which it is added.
const RELEASE_SHARE: f64 = 0.9;
/// Excess of engines that counts as small, as a share of those that are kept.
const SMALL_EXCESS_SHARE: f64 = 0.15;
/// Time for which demand has to be low before a small excess is released, in milliseconds.
const SMALL_EXCESS_MS: u64 = 30_000;
/// Engines of the region beyond what callers need.
const SPARE_ENGINES: u32 = 1;
/// Time beyond the start of an engine after which the number is sent again if the engines that are present
/// differ from it, in milliseconds. A call that the platform executed late may have replaced a later one.
const MISMATCH_MS: u64 = 12_000;

/// Bounds of a service's number of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScalingBounds {
    /// Smallest number in each data centre.
    pub min: u32,
    /// Largest number in each data centre.
    pub max: u32,
    /// Time from the call until a new engine serves, in milliseconds.
    pub boot_ms: u64,
    /// Time for which it is cold after that, in milliseconds.
    pub cold_ms: u64,
}

impl ScalingBounds {
    /// Time from the call until a new engine works at its full rate, in milliseconds.
    pub const fn start_ms(&self) -> u64 {
        self.boot_ms + self.cold_ms
    }
}

/// Engines of the service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Engines that take requests at their full rate.
    pub ready: u32,
    /// Engines that are cold.
    pub cold: u32,
    /// Engines that are leaving.
    pub draining: u32,
    /// Whether the data centre gets no requests.
    pub is_evacuated: bool,
}

impl Site {
    /// Engines that are not leaving.
    pub const fn present(&self) -> u32 {
        self.ready + self.cold
    }
}

/// What is known of a service in the region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScaleInput {
    /// Data centres of the region.
    pub sites: Vec<Site>,
    /// Load that callers offer.
    pub load: OfferedLoad,
    /// Age of this information, in milliseconds.
    pub age_ms: u64,
    /// What one engine can do.
    pub engine: EngineRate,
    /// Bounds of the service.
    pub bounds: ScalingBounds,
}

/// Call that sets the number of engines in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleCall {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Number of engines.
    pub desired: u32,
    /// Engines that are still to be started; negative if some are to be released. Of several calls, the one
    /// with the highest number comes first.
    pub missing: i64,
    /// Earlier calls in a row that were not confirmed.
    pub failed_calls: u32,
}

/// Change of the desired number of engines, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleChange {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Number before.
    pub before: u32,
    /// New number.
    pub desired: u32,
    /// Present demand of the region, in engines.
    pub level: f64,
    /// Demand that is expected when a new engine serves, in engines.
    pub expected: f64,
}

/// What is known of one data centre's number.
#[derive(Clone, Copy, Debug, Default)]
struct SiteState {
    desired: u32,
    /// Number of the last call that was confirmed in this term.
    confirmed: Option<u32>,
    /// Whether a call has an unknown outcome.
    is_unknown: bool,
    /// Engines that are present, without those that are leaving.
    present: u32,
    /// Calls in a row that were not confirmed.
    failed_calls: u32,
    /// Time of the last release.
    released_at: Millis,
    /// Time since which the engines that are present differ from the confirmed number.
    differs_since: Option<Millis>,
}

/// Decisions on one service in one region.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    history: DemandHistory,
    sites: BTreeMap<Arc<str>, SiteState>,
    decided_at: Option<Millis>,
    /// Start of the term; `None` while another instance decides.
    term_since: Option<Millis>,
}

impl Autoscaler {
    /// Whether this instance decides.
    pub const fn has_term(&self) -> bool {
        self.term_since.is_some()
    }

    /// Begins a term in which this instance decides. The numbers that others have set are not known.
    pub fn begin_term(&mut self, now: Millis) {
        self.term_since = Some(now);
        self.sites.clear();
        self.decided_at = None;
    }

    /// Ends the term. Demand is observed further, so that a next term can begin with its history.
    pub fn end_term(&mut self) {
        self.term_since = None;
    }

    /// Observes the service, and decides if this is the instance's term. Outdated information changes
    /// nothing. Does nothing if it is called again within a second.
    pub fn update(&mut self, input: &ScaleInput, now: Millis) -> Vec<ScaleChange> {
        let is_due = self
            .decided_at
            .is_none_or(|at| now.since(at) >= INTERVAL_MS);
        if !is_due || input.age_ms > MAX_AGE_MS || input.sites.is_empty() {
            return Vec::new();
        }
        self.decided_at = Some(now);
        let engines = input.engine.engines_for(&input.load);
        let low_ms = low_ms(&input.bounds);
        let kept_ms = low_ms.max(SMALL_EXCESS_MS);
        self.history
            .add(engines, input.bounds.start_ms(), kept_ms, now);
        self.note_present(input, now);
        if self.term_since.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let level = self.history.level(now);
        let expected = self.history.expected_in(input.bounds.start_ms(), now);
        for (name, desired) in self.decide(input, expected, now) {
            let Some(site) = self.sites.get_mut(&name) else {
                continue;
            };
            if site.desired != desired {
                if desired < site.desired {
                    site.released_at = now;
                }
                changes.push(ScaleChange {
                    data_centre: name,
                    before: std::mem::replace(&mut site.desired, desired),
                    desired,
                    level,
                    expected,
                });
            }
        }
        changes
    }

    /// Next call, if one is needed: a number that differs from the last one confirmed, or one whose call had
    /// no response. The data centre with the fewest failed calls comes first, so that one whose calls always fail
    /// does not block the others; of these, the one that lacks most engines.
    pub fn next_call(&self) -> Option<ScaleCall> {
        self.term_since?;
        let waiting = self.sites.iter().filter(|(_, site)| site.wants_call());
        let (name, site) =
            waiting.max_by_key(|(_, site)| (Reverse(site.failed_calls), site.missing()))?;
        Some(ScaleCall {
            data_centre: Arc::clone(name),
            desired: site.desired,
            missing: site.missing(),
            failed_calls: site.failed_calls,
        })
    }

    /// Records the outcome of a call: whether the number is confirmed, or may have been set or not.
    pub fn answered(&mut self, data_centre: &str, desired: u32, is_confirmed: bool) {
        if let Some(site) = self.sites.get_mut(data_centre) {
            site.is_unknown = !is_confirmed;
            site.failed_calls += 1;
            if is_confirmed {
                site.failed_calls = 0;
                site.confirmed = Some(desired);
                site.differs_since = None;
            }
        }
    }

    /// Desired number of engines and the number that is present, by data centre.
    pub fn numbers(&self) -> impl Iterator<Item = (&Arc<str>, u32, u32)> {
        let sites = self.sites.iter();
        sites.map(|(name, site)| (name, site.desired, site.present))
    }

    /// Records which engines are present. Before the first number of a term is confirmed, the present one
    /// takes the place of what the former holder has set: engines that it has ordered still appear.
    fn note_present(&mut self, input: &ScaleInput, now: Millis) {
        let is_known = |name: &Arc<str>| input.sites.iter().any(|site| site.data_centre == *name);
        self.sites.retain(|name, _| is_known(name));
        let is_decider = self.term_since.is_some();
        let bounds = input.bounds;
        for site in &input.sites {
            let name = Arc::clone(&site.data_centre);
            let present = site.present();
            let state = self.sites.entry(name).or_insert_with(|| SiteState {
                desired: present,
                ..SiteState::default()
            });
            let has_grown = present > std::mem::replace(&mut state.present, present);
            if !is_decider {
                state.desired = present;
            } else if state.confirmed.is_none() && !state.is_unknown && has_grown {
                state.desired = state.desired.max(present);
            }
            state.note_difference(bounds.boot_ms + MISMATCH_MS, now);
        }
    }

    /// New number for each data centre.
    fn decide(&self, input: &ScaleInput, expected: f64, now: Millis) -> Vec<(Arc<str>, u32)> {
        let bounds = &input.bounds;
        let active = input.sites.iter().filter(|site| !site.is_evacuated).count();
        let low_ms = low_ms(bounds);
        let needed = divide(engines(expected), active, bounds.min, bounds.max);
        let needed_with_spare = divide(
            engines(expected) + SPARE_ENGINES,
            active,
            bounds.min,
            bounds.max,
        );
        let is_observed = self.history.observed_ms(now) >= low_ms;
        let total: u32 = self.active_total(input);
        let kept = self.kept_engines(total, low_ms, now);
        let kept = divide(kept, active, bounds.min, bounds.max);
        let is_short = total < needed.iter().sum();
        let mut numbers = Vec::new();
        let mut active_index = 0;
        for site in &input.sites {
            let Some(state) = self.sites.get(&site.data_centre) else {
                continue;
            };
            let (least, most) = if site.is_evacuated {
                (bounds.min, bounds.min)
            } else {
                let index = active_index;
                active_index += 1;
                let least = if is_short || state.desired < needed[index] {
                    needed_with_spare[index]
                } else {
                    bounds.min
                };
                (least, kept[index])
            };
            let desired = state
                .desired
                .clamp(bounds.min, bounds.max.max(bounds.min))
                .max(least);
            let may_release = is_observed && state.may_release(now);
            let is_released = may_release && desired > most.max(least);
            let desired = desired - u32::from(is_released);
            numbers.push((Arc::clone(&site.data_centre), desired));
        }
        numbers
    }

    /// Number of engines below which none is released. A small excess goes only after a longer time: it costs
    /// little, and demand that varies about a constant would otherwise start and stop engines.
    fn kept_engines(&self, total: u32, low_ms: u64, now: Millis) -> u32 {
        let kept_over = |ms| engines(self.kept_demand(ms, now)) + SPARE_ENGINES;
        let kept = kept_over(low_ms);
        if f64::from(total) > f64::from(kept) * (1.0 + SMALL_EXCESS_SHARE) + 1.0 {
            kept
        } else {
            kept_over(low_ms.max(SMALL_EXCESS_MS))
        }
    }

    /// Demand for which no engine is released: the largest of the highest expected one of the last `ms`
    /// milliseconds, the highest present one with a margin, and the one that is always kept ready.
    fn kept_demand(&self, ms: u64, now: Millis) -> f64 {
        let expected = self.history.peak_expected(ms, now);
        let present = self.history.peak_level(ms, now) / RELEASE_SHARE;
        expected.max(present).max(self.history.kept_ready(now))
    }

    fn active_total(&self, input: &ScaleInput) -> u32 {
        let active = input.sites.iter().filter(|site| !site.is_evacuated);
        let states = active.filter_map(|site| self.sites.get(&site.data_centre));
        states.map(|state| state.desired).sum()
    }
}

impl SiteState {
    /// Whether an engine may be released: the last call is confirmed, and the last release is long enough ago.
    fn may_release(&self, now: Millis) -> bool {
        !self.wants_call() && now.since(self.released_at) >= RELEASE_INTERVAL_MS
    }

    /// Number that is in force, as far as it is known.
    fn known(&self) -> u32 {
        self.confirmed.unwrap_or(self.present)
    }

    fn wants_call(&self) -> bool {
        self.is_unknown || self.desired != self.known()
    }

    /// Engines that are still to be started; negative if some are to be released.
    fn missing(&self) -> i64 {
        i64::from(self.desired) - i64::from(self.known())
    }

    /// Sends the number again if the engines that are present have differed from it for longer than an
    /// engine takes to start.
    fn note_difference(&mut self, max_ms: u64, now: Millis) {
        if self.confirmed != Some(self.desired) || self.present == self.desired {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) >= max_ms {
            self.is_unknown = true;
            self.differs_since = Some(now);
        }
    }
}

/// Time for which demand has to be low before engines are released, in milliseconds.
const fn low_ms(bounds: &ScalingBounds) -> u64 {
    bounds.start_ms() + LOW_MARGIN_MS
}

/// Whole engines for a demand with a fraction.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn engines(demand: f64) -> u32 {
    demand.max(0.0).min(f64::from(u16::MAX)).ceil() as u32
}
