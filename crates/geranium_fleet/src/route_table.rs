//! Lookup of the route and the account of a request.

use std::sync::Arc;

use geranium_core::collections::{HashMap, HashSet};

use crate::deployment::{Account, Deployment};
use crate::route::Route;

/// A deployment with its lookup tables.
#[derive(Debug)]
pub struct RouteTable {
    deployment: Deployment,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, usize>,
    prioritized: HashSet<Arc<str>>,
}

impl RouteTable {
    /// Creates the lookup tables of a deployment.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in &deployment.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let mut by_key = HashMap::default();
        for (i, account) in deployment.accounts.iter().flatten().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), i);
            }
        }
        Self {
            prioritized: prioritized_services(&deployment),
            deployment,
            by_host,
            by_key,
        }
    }

    /// Returns the deployment.
    #[must_use]
    pub const fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the route with the longest prefix that matches `path`.
    ///
    /// `host` is the value of the host header, with or without port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = *self.by_key.get(key)?;
        self.deployment.accounts.as_ref()?.get(index)
    }

    /// Returns whether requests of a route need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.deployment.accounts.is_some() && !route.public
    }

    /// Returns whether the routes of a service have differing priorities.
    #[must_use]
    pub fn has_differing_priorities(&self, service: &str) -> bool {
        self.prioritized.contains(service)
    }
}

fn prioritized_services(deployment: &Deployment) -> HashSet<Arc<str>> {
    let mut first: HashMap<&Arc<str>, u8> = HashMap::default();
    let mut prioritized = HashSet::default();
    for route in &deployment.routes {
        for target in &route.targets {
            let priority = first.entry(&target.service).or_insert(route.priority);
            if *priority != route.priority {
                prioritized.insert(target.service.clone());
            }
        }
    }
    prioritized
}
