//! One version of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;

use crate::route::Route;
use crate::service::Service;

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account, passed on to backend servers.
    pub name: Arc<str>,
    /// Keys by which callers show that they belong to the account.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// One version of the operator's configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version; grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Bounds on callers.
    pub limits: ClientLimits,
    /// Accounts, or `None` if callers need no key.
    pub accounts: Option<Vec<Account>>,
}
