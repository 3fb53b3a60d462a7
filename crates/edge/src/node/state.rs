//! State of an instance, and the decisions that are based on it.

use super::{CatchUp, ForecastReport, ReachTable, ReportRelay};
use crate::{
    cold::{own_cold_rate, ColdReports},
    dispatch::Pools,
    limit::{AccountLimit, Bucket},
    log::Log,
    member::Members,
    memory::MemoryBudget,
    metrics::Metrics,
    model::{Account, Config, Route, Service},
    names::HeaderNames,
    peers::Links,
    place::{InferenceJob, JobMix, PartDemand, Placement},
    retry::{RetryBounds, RetryBudget},
    rollout::{Trial, Verdict},
    scaling::Scaling,
    settings::Settings,
    store::{Decoder, Position, Replica, VerdictRecord},
    upstream::Upstreams,
    usage::Usage,
};
use carobwheel_core::{
    crash::CrashDetector,
    fleet::Topology,
    time::{Clock, Millis},
};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};
use tokio::sync::mpsc::Sender;
use tokio_util::sync::CancellationToken;

/// Time after the signal to stop during which new requests are still accepted, in milliseconds.
const ACCEPT_WHILE_LEAVING_MS: u64 = 2_700;
/// Time after the signal to stop during which requests are sent to upstreams for the first time, in
/// milliseconds. Leaves accepted requests a moment to find a place.
const SEND_WHILE_LEAVING_MS: u64 = ACCEPT_WHILE_LEAVING_MS + 300;
/// Share of the deployment's slack on limits that is used; the rest covers the delay of gossip.
const LIMIT_SLACK_SHARE: f64 = 0.5;
/// State and services of this instance, shared by all its tasks.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Start time of the process in Unix milliseconds, which identifies its lifetime.
    pub life: u64,
    /// Header names.
    pub names: HeaderNames,
    /// Decodes items of the store.
    pub decoder: Decoder,
    /// Clock.
    pub clock: Clock,
    /// Log.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Pooled connections to upstreams.
    pub pools: Pools,
    /// Memory for callers.
    pub memory: Rc<MemoryBudget>,
    /// Links to other instances.
    pub links: Links,
    /// Queue of verdicts to write to the store.
    pub record: Sender<VerdictRecord>,
    /// Whether this instance watches the store itself, on behalf of its region or since others tell it too
    /// little.
    pub is_watcher: tokio::sync::watch::Sender<bool>,
    /// Notified when a health check of an upstream that may have restarted is due at once.
    pub restart_suspected: tokio::sync::Notify,
    /// Cancelled at the end of the grace period of a stop.
    pub grace_end: CancellationToken,
    /// Number of callers' requests whose response head has not been sent yet.
    pub in_flight: Cell<usize>,
    /// Number of exchanges with other instances that are in progress.
    pub peer_exchanges: Cell<usize>,
    /// Mutable state.
    pub state: RefCell<State>,
}

/// Mutable state of the instance.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force; `None` until the first one is loaded.
    pub config: Option<Rc<Config>>,
    /// Known upstreams.
    pub upstreams: Upstreams,
    /// Other instances.
    pub members: Members,
    /// Links that this instance wants, and its role in its region.
    pub topology: Topology,
    /// Delegate whose sums this instance subscribes to.
    pub sums_from: Option<Arc<str>>,
    /// Reports of other instances that are passed on.
    pub relay: ReportRelay,
    /// Number of instances that the latest sums of each other region cover, and their arrival.
    pub region_instances: HashMap<Arc<str>, (Millis, u32)>,
    /// Forecasts of other regions as delegates have passed them on, with the time of their arrival.
    pub region_forecasts: HashMap<Arc<str>, (Millis, Vec<ForecastReport>)>,
    /// Evidence of upstreams that have restarted.
    pub cold_reports: ColdReports,
    /// Token buckets by account.
    pub buckets: HashMap<Arc<str>, Bucket>,
    /// Recent mix of requested work, by service.
    pub mixes: HashMap<Arc<str>, JobMix>,
    /// Demand for shared prompt parts, by service.
    pub demands: HashMap<Arc<str>, PartDemand>,
    /// Retry budgets by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Services of whose upstreams in the own region this instance reaches none at present.
    pub cut_off: HashSet<Arc<str>>,
    /// Contacts from which this is concluded.
    pub reach: ReachTable,
    /// Data centres that receive no requests.
    pub evacuated: HashSet<Arc<str>>,
    /// Rollouts by service.
    pub trials: HashMap<Arc<str>, Trial>,
    /// Number of requests that wait for a limited upstream, by service.
    pub limit_queues: HashMap<Arc<str>, usize>,
    /// Verdicts by service and target; also those that were read before their rollout order.
    pub verdicts: HashMap<(Arc<str>, Arc<str>), Verdict>,
    /// Time at which each version was first seen, by service and version.
    pub versions: HashMap<(Arc<str>, Arc<str>), Millis>,
    /// Evidence on prompt parts that crash engines.
    pub crashes: CrashDetector,
    /// Evidence on whole requests that crash upstreams.
    pub request_crashes: CrashDetector,
    /// Replica of the followed prefixes of the store.
    pub replica: Replica,
    /// Whether the facts that are being applied are the first ones below their prefix.
    pub is_first_content: bool,
    /// Prefixes in which another instance is ahead, by index.
    pub behind: HashMap<usize, CatchUp>,
    /// Time until which this instance watches the store whatever its role.
    pub watch_until: Millis,
    /// Era of the store; `None` until it has answered.
    pub store_era: Option<u64>,
    /// Time at which this instance learned that the store was restored.
    pub restored_at: Option<Millis>,
    /// Start of the current outage of the store.
    pub store_lost_at: Option<Millis>,
    /// Indexes of prefixes whose last read has failed.
    pub lost_prefixes: HashSet<usize>,
    /// Time since which the upstreams' entries cannot be followed.
    pub news_lost_at: Option<Millis>,
    /// Whether the upstreams are asked since then.
    pub is_asking: bool,
    /// End of the last outage of the store.
    pub store_back_at: Option<Millis>,
    /// Requests by account, if they are reported.
    pub usage: Option<Usage>,
    /// Numbers of upstreams, if this deployment sets them.
    pub scaling: Option<Scaling>,
    /// Time of the signal to stop.
    pub leaving_at: Option<Millis>,
    /// [`State::cut_off`] as the other instances have last been told.
    pub published_cut_off: HashSet<Arc<str>>,
    /// Requests that were forwarded to instances of the own region because of it and have no answer yet.
    pub nearby_in_flight: HashMap<Arc<str>, u32>,
}

impl Node {
    /// Current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether the instance takes requests.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.config.is_some()
            && state.replica.is_complete()
            && state.members.has_joined(self.now())
            && state.leaving_at.is_none()
    }

    /// Whether the instance has received the signal to stop.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving_at.is_some()
    }

    /// Whether the signal to stop was so long ago that a new request might not complete.
    pub fn is_refusing_requests(&self) -> bool {
        self.is_leaving_for(ACCEPT_WHILE_LEAVING_MS)
    }

    /// Whether the signal to stop was so long ago that a request which was sent to no upstream yet
    /// might not complete.
    pub fn is_refusing_sends(&self) -> bool {
        self.is_leaving_for(SEND_WHILE_LEAVING_MS)
    }

    fn is_leaving_for(&self, min_ms: u64) -> bool {
        let leaving_at = self.state.borrow().leaving_at;
        leaving_at.is_some_and(|at| self.now().since(at) >= min_ms)
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Charges tokens to an account's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are available, in milliseconds.
    pub fn charge(&self, account: &Account, tokens: u64) -> Result<(), u64> {
        if account.tokens_per_s <= 0.0 {
            return Ok(());
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let fleet = state.members.fleet(now);
        let limit = self.account_limit(account);
        let bucket = state
            .buckets
            .entry(Arc::clone(&account.name))
            .or_insert_with(|| Bucket::new(&limit, fleet, now));
        bucket.take(tokens, &limit, fleet, now)
    }

    /// Tokens of an account that this instance may spend now (`None` without a limit), and the result
    /// of charging `tokens` to its bucket, without doing so.
    pub fn peek_charge(&self, account: &Account, tokens: u64) -> (Option<u64>, Result<(), u64>) {
        if account.tokens_per_s <= 0.0 {
            return (None, Ok(()));
        }
        let now = self.now();
        let state = self.state.borrow();
        let fleet = state.members.fleet(now);
        let limit = self.account_limit(account);
        let known = state.buckets.get(&account.name).cloned();
        let mut bucket = known.unwrap_or_else(|| Bucket::new(&limit, fleet, now));
        let available_tokens = bucket.available_tokens(&limit, fleet, now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let available_tokens = available_tokens.max(0.0) as u64;
        let charged = bucket.take(tokens, &limit, fleet, now);
        (Some(available_tokens), charged)
    }

    /// Limit of an account over all instances.
    pub(super) fn account_limit(&self, account: &Account) -> AccountLimit {
        let slack_tokens = self.settings.bounds.limit_extra_tokens;
        AccountLimit {
            tokens_per_s: account.tokens_per_s,
            burst_tokens: account.burst_tokens,
            slack_tokens: LIMIT_SLACK_SHARE * slack_tokens.min(account.burst_tokens),
        }
    }

    /// Refunds the tokens of a request that has not run.
    pub fn refund(&self, account: &Account, tokens: u64) {
        if let Some(bucket) = self.state.borrow_mut().buckets.get_mut(&account.name) {
            bucket.refund(tokens);
        }
    }

    /// Bounds of the retry budgets, from the settings.
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

    /// Counts a request to `service` that is about to run in the own region.
    pub fn note_request(&self, service: &Arc<str>, job: &InferenceJob) {
        let (bounds, now) = (self.retry_bounds(), self.now());
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(Arc::clone(service)).or_default();
        budget.record_request(&bounds, now);
        let engine = state.service(service).and_then(|service| service.engine);
        if let Some(engine) = engine {
            let mix = state.mixes.entry(Arc::clone(service)).or_default();
            mix.add(job, engine.slots, now);
        }
    }

    /// Takes one retry from the service's budget. Returns false if the budget is exhausted.
    pub fn try_repeat(&self, service: &Arc<str>) -> bool {
        let (bounds, now) = (self.retry_bounds(), self.now());
        let mut state = self.state.borrow_mut();
        let instances = state.members.fleet(now).instances;
        let budget = state.budgets.entry(Arc::clone(service)).or_default();
        budget.try_take(&bounds, instances, now)
    }

    /// Records that a request is sent to an upstream.
    pub fn note_sent(&self, placed: &Placement, job: &InferenceJob, cold_per_s: f64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let limit_users = state.limit_users(self, &placed.id, now);
        state.record_brittle_send(self, &placed.id, now);
        if let Some(upstream) = state.upstreams.by_id.get_mut(&placed.id) {
            upstream.cold.record_sent(own_cold_rate(cold_per_s), now);
            upstream.limit.record_sent(limit_users, now);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let expected_ms = placed.wait_ms.max(0.0) as u64;
            upstream.health.record_sent(expected_ms * 2 + 500, now);
            upstream.own += placed.load;
            upstream
                .prefill_rate
                .add(f64::from(placed.load.unread_tokens), now);
            upstream.cache.insert(&job.parts, now);
            if job.prompt_tokens > 0 {
                self.metrics.prompt_tokens.add(job.prompt_tokens.into());
                self.metrics.cached_tokens.add(placed.cached_tokens.into());
                self.metrics.count_placement(placed.home.name());
            }
            if *upstream.region == *self.region {
                let service = &upstream.entry.service;
                state.reach.record_sent(service, expected_ms, now);
            }
            // Counted after the placement, whose estimate is about the other requests.
            let service = Arc::clone(&upstream.entry.service);
            if let Some((_, shared)) = job.parts.split_last() {
                state.demands.entry(service).or_default().add(shared, now);
            }
        }
    }
}

impl State {
    /// Records whether the next facts below a prefix are the first ones.
    pub(super) fn note_first_content(&mut self, prefix: usize) {
        let positions = self.replica.positions();
        self.is_first_content = positions.get(prefix) == Some(&Position::default());
    }

    /// Service with this name.
    pub fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.config
            .as_ref()
            .and_then(|config| config.services.get(name).cloned())
    }

    /// Other instances of the region that may be running, whether or not their gossip arrives.
    pub(super) fn region_members(&self, node: &Node, _: Millis) -> Vec<&Arc<str>> {
        let members = self.members.by_name.values();
        members
            .filter(|member| member.entry.region == node.region)
            .map(|member| &member.entry.name)
            .collect()
    }
}

/// Priority of a request for the upstream, from 0 (highest) to 9.
pub fn urgency(route: &Route, account: Option<&Account>) -> u8 {
    /// Priority of requests of the highest rank.
    const HIGHEST_RANK_URGENCY: u8 = 3;
    let rank = account
        .and_then(|account| account.priority)
        .unwrap_or(route.priority);
    (HIGHEST_RANK_URGENCY + rank).min(9)
}
