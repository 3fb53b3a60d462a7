//! Configuration in force: routes, services, accounts and limits on callers.

mod lookup;

pub use lookup::{allowed_regions, split_service, RouteMatch};

use std::{collections::HashMap, rc::Rc, sync::Arc};

/// Kind of a route, by whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are event streams.
    Stream {
        /// Whether a broken stream may be continued on another upstream.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be retried.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether responses are event streams.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a weighted traffic split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Route by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to the first byte, in milliseconds.
    pub aim_ms: u64,
    /// Target for the longest pause between events, in milliseconds; 0 if not set.
    pub pause_aim_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that serve the route, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_open: bool,
    /// Regions that may serve the route; any region if empty.
    pub home_regions: Vec<String>,
}

/// Capacity of each of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
}

/// Service with its capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Maximum number of connections that one upstream accepts in total.
    pub max_connections: u32,
    /// Path of the upstreams' health checks, if they answer any.
    pub health_path: Option<Arc<str>>,
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Maximum rate of requests to a cold upstream, per second.
    pub cold_per_s: f64,
    /// Capacity of the engines, if the upstreams are model engines.
    pub engine: Option<EngineCapacity>,
    /// Bounds of the number of upstreams, if the gateway may set it.
    pub scaling: Option<Scaling>,
}

/// Bounds of a service's number of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scaling {
    /// Smallest number in each data centre.
    pub min: u32,
    /// Largest number in each data centre.
    pub max: u32,
    /// Time until a new upstream serves, in milliseconds.
    pub boot_ms: u64,
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's, if any.
    pub priority: Option<u8>,
    /// Tokens charged for a request that does not state its use.
    pub plain_tokens: u64,
    /// Rate limit, in tokens a second; 0 for no limit.
    pub tokens_per_s: f64,
    /// Burst of the rate limit, in tokens.
    pub burst_tokens: f64,
    /// Regions that may serve the account; any region if empty.
    pub home_regions: Vec<String>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration, indexed for requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number, which rises with each change.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Rc<Service>>,
    /// Accounts by name.
    pub accounts: HashMap<Arc<str>, Rc<Account>>,
    /// Accounts by key.
    pub keys: HashMap<String, Rc<Account>>,
    /// Highest priority (lowest number) among the routes of each service.
    pub highest_priorities: HashMap<Arc<str>, u8>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Configuration as decoded by the adapter, before indexing.
#[derive(Clone, Debug, Default)]
pub struct ConfigParts {
    /// Version number.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Accounts.
    pub accounts: Vec<Account>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl From<ConfigParts> for Config {
    fn from(parts: ConfigParts) -> Self {
        let mut config = Self {
            version: parts.version,
            limits: parts.limits,
            ..Self::default()
        };
        for route in parts.routes {
            for share in &route.shares {
                let service = Arc::clone(&share.service);
                let first = config
                    .highest_priorities
                    .entry(service)
                    .or_insert(route.priority);
                *first = route.priority.min(*first);
            }
            let routes = config.routes.entry(route.host.clone()).or_default();
            routes.push(Rc::new(route));
        }
        for routes in config.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for service in parts.services {
            config
                .services
                .insert(service.name.clone(), Rc::new(service));
        }
        for account in parts.accounts {
            let account = Rc::new(account);
            for key in &account.keys {
                config.keys.insert(key.clone(), Rc::clone(&account));
            }
            config.accounts.insert(account.name.clone(), account);
        }
        config
    }
}
