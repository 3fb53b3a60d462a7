//! Lookup of the route, account and service of a request.

use super::{Account, Config, Route};
use std::{rc::Rc, sync::Arc};

/// Result of the lookup by host, path and API key.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// A route, and the account of the key if the route requires one.
    Found(Rc<Route>, Option<Rc<Account>>),
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and no account has the given one.
    NoAccount,
}

impl Config {
    /// Finds the route of `host` with the longest prefix of `path`, and the account of `key`.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch {
        self.find_by(host, path, || key.and_then(|key| self.keys.get(key)))
    }

    /// Finds the route of `host` with the longest prefix of `path`, and the account with this name.
    pub fn find_for_account(&self, host: &str, path: &str, account: Option<&str>) -> RouteMatch {
        let accounts = &self.accounts;
        self.find_by(host, path, || account.and_then(|name| accounts.get(name)))
    }

    fn find_by<'a>(
        &'a self,
        host: &str,
        path: &str,
        account: impl FnOnce() -> Option<&'a Rc<Account>>,
    ) -> RouteMatch {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let routes = self.routes.get(&host);
        let route = routes.and_then(|routes| {
            let is_match = |route: &&Rc<Route>| path.starts_with(&route.path_prefix);
            routes.iter().find(is_match)
        });
        let Some(route) = route else {
            return RouteMatch::NoRoute;
        };
        if route.is_open || self.accounts.is_empty() {
            return RouteMatch::Found(Rc::clone(route), None);
        }
        match account() {
            Some(account) => RouteMatch::Found(Rc::clone(route), Some(Rc::clone(account))),
            None => RouteMatch::NoAccount,
        }
    }
}

impl Config {
    /// Number of the host's routes that `region` may serve.
    pub fn routes_at_home(&self, region: &str, host: &str) -> usize {
        let routes = self.routes.get(&host.to_ascii_lowercase());
        let is_home = |route: &&Rc<Route>| {
            route.home_regions.is_empty() || route.home_regions.iter().any(|home| home == region)
        };
        routes.into_iter().flatten().filter(is_home).count()
    }
}

/// Selects a service of `route` by weight; `draw` is a random number from 0 up to 1.
pub fn split_service(route: &Route, draw: f64) -> Option<Arc<str>> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut rest = draw * f64::from(total);
    for share in &route.shares {
        rest -= f64::from(share.weight);
        if rest < 0.0 {
            return Some(Arc::clone(&share.service));
        }
    }
    route.shares.last().map(|share| Arc::clone(&share.service))
}

/// Regions of `all` that may serve a request, by the home regions of both route and account.
pub fn allowed_regions<'a>(
    all: impl Iterator<Item = &'a str>,
    route: &Route,
    account: Option<&Account>,
) -> Vec<&'a str> {
    let is_home = |homes: &[String], region: &str| {
        homes.is_empty() || homes.iter().any(|home| home == region)
    };
    all.filter(|region| is_home(&route.home_regions, region))
        .filter(|region| account.is_none_or(|account| is_home(&account.home_regions, region)))
        .collect()
}
