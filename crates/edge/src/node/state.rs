//! What one instance knows.

use crate::{
    cold::{ColdRate, COLD_USERS},
    dispatch::Pools,
    hash::short_hash,
    limit::{AccountLimit, Bucket},
    log::Log,
    member::Members,
    metrics::Metrics,
    model::{Account, Config, Route, Service},
    names::HeaderNames,
    peers::Links,
    place::{choose, region_outlook, Choice, Job, Kind, Mix, Outlook, Placed, Rules},
    retry::{RetryBounds, RetryBudget},
    rollout::{Trial, TrialBounds, Verdict},
    settings::Settings,
    store::{Decoder, Recorded, Replica},
    upstream::Upstreams,
};
use carobwheel_core::time::{Clock, Millis};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};
use tokio::sync::mpsc::Sender;

/// Time after a signal to stop in which requests are still taken, in milliseconds.
const ACCEPT_WHILE_LEAVING_MS: u64 = 2_700;
/// Other instances of a region below which each looks at all upstreams.
const SMALL_REGION_INSTANCES: usize = 6;
/// Upstreams that an instance of a larger region looks at by chance.
const SAMPLED_UPSTREAMS: usize = 3;
/// Part of the deployment's slack on limits that is used; the rest covers lateness.
const LIMIT_SLACK_SHARE: f64 = 0.5;
/// Time for which a version without an order is not used, in milliseconds.
const UNORDERED_VERSION_HOLD_MS: u64 = 3_000;

/// One instance.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: Arc<str>,
    /// Own region.
    pub region: Arc<str>,
    /// Start of the process in civil time, in milliseconds.
    pub life: u64,
    /// Header names.
    pub names: HeaderNames,
    /// Turns items of the store into news.
    pub decoder: Decoder,
    /// Clock.
    pub clock: Clock,
    /// Logs.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to upstreams.
    pub pools: Pools,
    /// Links to other instances.
    pub links: Links,
    /// States of moves to record in the store.
    pub record: Sender<Recorded>,
    /// Whether this instance watches the store for others of its region.
    pub is_watcher: tokio::sync::watch::Sender<bool>,
    /// Requests of callers that wait for the head of their answer.
    pub in_flight: Cell<usize>,
    /// Exchanges with other instances that are under way.
    pub peer_exchanges: Cell<usize>,
    /// Everything that decisions look at.
    pub state: RefCell<State>,
}

/// Everything that decisions look at.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force, once one is known.
    pub config: Option<Rc<Config>>,
    /// Upstreams.
    pub upstreams: Upstreams,
    /// Other instances.
    pub members: Members,
    /// Tokens of accounts.
    pub buckets: HashMap<Arc<str>, Bucket>,
    /// Work that callers have asked for lately, by service.
    pub mixes: HashMap<Arc<str>, Mix>,
    /// Budgets of repeats by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Data centres that must get nothing.
    pub evacuated: HashSet<Arc<str>>,
    /// Moves by service.
    pub trials: HashMap<Arc<str>, Trial>,
    /// Verdicts that stood before their order was seen, by service and target.
    pub verdicts: HashMap<(Arc<str>, Arc<str>), Verdict>,
    /// Versions of services and when they were first seen.
    pub versions: HashMap<(Arc<str>, Arc<str>), Millis>,
    /// Copy of the followed parts of the store.
    pub replica: Replica,
    /// Prefixes of which another instance knows more, and since when.
    pub behind: HashMap<usize, Millis>,
    /// The store does not answer since then.
    pub store_lost_at: Option<Millis>,
    /// The store answered again then.
    pub store_back_at: Option<Millis>,
    /// The instance was told to stop then.
    pub leaving_at: Option<Millis>,
}

/// What is asked of the upstreams of a region.
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a Arc<str>,
    /// Request.
    pub job: &'a Job,
    /// Upstreams that have had it.
    pub tried: &'a [Arc<str>],
    /// Whether it goes to the version on trial, by a draw from 0 up to 1.
    pub draw: f64,
}

impl Node {
    /// The current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the instance takes requests.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.config.is_some() && state.replica.is_complete() && state.leaving_at.is_none()
    }

    /// Whether the instance was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving_at.is_some()
    }

    /// Whether the instance was told to stop so long ago that a new request might be cut.
    pub fn is_refusing_requests(&self) -> bool {
        let leaving_at = self.state.borrow().leaving_at;
        leaving_at.is_some_and(|at| self.now().since(at) >= ACCEPT_WHILE_LEAVING_MS)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Chooses an upstream of the own region.
    pub fn place(&self, placement_request: &PlacementRequest<'_>) -> Choice {
        let now = self.now();
        let state = self.state.borrow();
        state.with_rules(self, placement_request, now, |rules| {
            choose(&state.upstreams, placement_request.job, rules, now)
        })
    }

    /// What a job of the service has to expect in the own region.
    pub fn region_outlook(&self, service: &Arc<str>, kind: Kind) -> Option<Outlook> {
        let now = self.now();
        let state = self.state.borrow();
        let placement_request = PlacementRequest {
            service,
            job: &Job::default(),
            tried: &[],
            draw: 1.0,
        };
        state.with_rules(self, &placement_request, now, |rules| {
            region_outlook(&state.upstreams, kind, rules, now)
        })
    }

    /// Takes tokens of the account for a request.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until they will be there.
    pub fn charge(&self, account: &Account, tokens: u64) -> Result<(), u64> {
        if account.tokens_per_s <= 0.0 {
            return Ok(());
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let fleet = state.members.fleet(&self.region, now);
        let limit = AccountLimit {
            tokens_per_s: account.tokens_per_s,
            burst_tokens: account.burst_tokens,
            slack_tokens: LIMIT_SLACK_SHARE
                * self
                    .settings
                    .bounds
                    .limit_extra_tokens
                    .min(account.burst_tokens),
        };
        let bucket = state
            .buckets
            .entry(Arc::clone(&account.name))
            .or_insert_with(|| Bucket::new(&limit, fleet, now));
        bucket.take(tokens, &limit, fleet, now)
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&self, account: &Account, tokens: u64) {
        if let Some(bucket) = self.state.borrow_mut().buckets.get_mut(&account.name) {
            bucket.give_back(tokens);
        }
    }

    fn retry_bounds(&self) -> RetryBounds {
        let bounds = &self.settings.bounds;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let window_ms = (bounds.retry_window_s * 1_000.0) as u64;
        RetryBounds {
            share: bounds.retry_share,
            window_ms,
            extra: bounds.retry_extra,
        }
    }

    /// Takes note of a request to `service` that is to run in the own region.
    pub fn note_request(&self, service: &Arc<str>, job: &Job) {
        let (bounds, now) = (self.retry_bounds(), self.now());
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(Arc::clone(service)).or_default();
        budget.note_request(&bounds, now);
        let engine = state.service(service).and_then(|service| service.engine);
        if let Some(engine) = engine {
            let mix = state.mixes.entry(Arc::clone(service)).or_default();
            mix.add(job, engine.slots, now);
        }
    }

    /// Takes one repeat to `service`; false if none is left.
    pub fn try_repeat(&self, service: &Arc<str>) -> bool {
        let (bounds, now) = (self.retry_bounds(), self.now());
        let mut state = self.state.borrow_mut();
        let instances = state.members.fleet(&self.region, now).instances;
        let budget = state.budgets.entry(Arc::clone(service)).or_default();
        budget.try_take(&bounds, instances, now)
    }

    /// Takes note that a request goes to an upstream.
    pub fn note_sent(&self, placed: &Placed, job: &Job, cold_per_s: f64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let users = state.cold_users(self, now);
        if let Some(upstream) = state.upstreams.by_id.get_mut(&placed.id) {
            #[allow(clippy::cast_precision_loss)]
            let per_s = cold_per_s / users as f64;
            upstream.cold.sent(ColdRate { per_s }, now);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let expected_ms = placed.wait_ms.max(0.0) as u64;
            upstream.health.sent(expected_ms * 2 + 500, now);
            upstream.own += placed.load;
            upstream
                .reads
                .add(f64::from(placed.load.unread_tokens), now);
            upstream.cache.insert(&job.parts);
        }
    }
}

impl State {
    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.config
            .as_ref()
            .and_then(|config| config.services.get(name).cloned())
    }

    /// What takes most of an upstream's time for a job.
    pub fn kind_of(&self, service: &str, job: &Job) -> Kind {
        let service = self.service(service);
        let engine = service.as_ref().and_then(|service| service.engine);
        engine.map_or(Kind::Reading, |engine| Kind::of(job, engine.slots))
    }

    /// How many instances of the region use one cold upstream.
    fn cold_users(&self, node: &Node, now: Millis) -> usize {
        let others = self.region_members(node, now).len();
        (others + 1).min(COLD_USERS)
    }

    /// Other instances of the region that may be at work, heard or not.
    fn region_members(&self, node: &Node, _: Millis) -> Vec<&Arc<str>> {
        let members = self.members.by_name.values();
        members
            .filter(|member| member.entry.region == node.region)
            .map(|member| &member.entry.name)
            .collect()
    }

    /// Whether this instance is one of those that use the cold upstream `id`.
    fn is_cold_user(&self, node: &Node, id: &str, now: Millis) -> bool {
        let weight = |name: &str| name_pair_hash(name, id);
        let own = weight(&node.name);
        let ahead = self.region_members(node, now);
        ahead.iter().filter(|name| weight(name) > own).count() < COLD_USERS
    }

    fn with_rules<T>(
        &self,
        node: &Node,
        placement_request: &PlacementRequest<'_>,
        now: Millis,
        decide: impl FnOnce(&Rules<'_>) -> T,
    ) -> T {
        let is_version_allowed =
            |version: &str| self.is_version_allowed(node, placement_request, version, now);
        let is_cold_user = |id: &str| self.is_cold_user(node, id, now);
        let service = self.service(placement_request.service);
        let engine = service.as_ref().and_then(|service| service.engine);
        let rules = Rules {
            service: placement_request.service,
            region: &node.region,
            evacuated: &self.evacuated,
            is_version_allowed: &is_version_allowed,
            is_cold_user: &is_cold_user,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            tried: placement_request.tried,
            answering_part: self
                .mixes
                .get(placement_request.service)
                .and_then(Mix::answering_part),
            sampled: if self.region_members(node, now).len() < SMALL_REGION_INSTANCES {
                0
            } else {
                SAMPLED_UPSTREAMS
            },
        };
        decide(&rules)
    }

    fn is_version_allowed(
        &self,
        node: &Node,
        placement_request: &PlacementRequest<'_>,
        version: &str,
        now: Millis,
    ) -> bool {
        if let Some(trial) = self.trials.get(placement_request.service) {
            let bounds = TrialBounds {
                share: node.settings.bounds.trial_share,
            };
            let is_new = placement_request.draw < trial.share(bounds);
            return is_new == (*trial.order.target == *version);
        }
        let key = (Arc::clone(placement_request.service), Arc::from(version));
        if self.verdicts.get(&key) == Some(&Verdict::Reverted) {
            return false;
        }
        // A version may show up shortly before the order that concerns it.
        let is_only = self
            .versions
            .keys()
            .filter(|(service, _)| service == placement_request.service)
            .count()
            <= 1;
        is_only
            || self
                .versions
                .get(&key)
                .is_none_or(|at| now.since(*at) >= UNORDERED_VERSION_HOLD_MS)
    }
}

/// Hash of a pair of names, alike on all instances.
fn name_pair_hash(a: &str, b: &str) -> u32 {
    short_hash(&format!("{a}/{b}"))
}

/// How urgent a request is to an upstream, from 0 (first) to 9.
pub fn urgency(route: &Route, account: Option<&Account>) -> u8 {
    /// Urgency of a request of the highest rank.
    const FIRST: u8 = 3;
    let rank = account
        .and_then(|account| account.rank)
        .unwrap_or(route.rank);
    (FIRST + rank).min(9)
}
