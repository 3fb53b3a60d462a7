//! The configuration in force: routes, services, accounts and limits on callers.

mod lookup;

pub use lookup::{allowed_regions, split_service, RouteMatch};

use std::{collections::HashMap, rc::Rc, sync::Arc};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are event streams; they may be continued only where the route allows it.
    Stream {
        /// A stream may be continued on another upstream.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether answers are event streams.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route that is split, and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Beginning of the paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the first byte that is aimed at, in milliseconds.
    pub aim_ms: u64,
    /// Longest pause between events that is aimed at, in milliseconds; 0 where none is set.
    pub pause_aim_ms: u64,
    /// Rank; 0 is the highest.
    pub rank: u8,
    /// Services that serve the route.
    pub shares: Vec<ServiceShare>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Requests need no key.
    pub is_open: bool,
    /// Regions that may serve the route; empty: any.
    pub home_regions: Vec<String>,
}

/// Sizes of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_cache_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Connections that one upstream takes from all callers.
    pub max_connections: u32,
    /// Time for which an upstream stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// Present where the upstreams are model engines.
    pub engine: Option<EngineCapacity>,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, if any.
    pub rank: Option<u8>,
    /// Tokens counted for a request that does not state any.
    pub plain_tokens: u64,
    /// Tokens a second that the account may use; 0: no limit.
    pub tokens_per_s: f64,
    /// Tokens that the account may use at once.
    pub burst_tokens: f64,
    /// Regions that may serve the account; empty: any.
    pub home_regions: Vec<String>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
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
    /// Rises with each version.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Rc<Service>>,
    /// Accounts by name.
    pub accounts: HashMap<Arc<str>, Rc<Account>>,
    /// Accounts by key.
    pub keys: HashMap<String, Rc<Account>>,
    /// Highest rank among the routes of each service.
    pub first_ranks: HashMap<Arc<str>, u8>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// The parts of a configuration as the adapter decodes them.
#[derive(Clone, Debug, Default)]
pub struct ConfigParts {
    /// Version.
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
                let first = config.first_ranks.entry(service).or_insert(route.rank);
                *first = route.rank.min(*first);
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
