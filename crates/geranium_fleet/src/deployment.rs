//! One version of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;

use crate::route::Route;
use crate::service::Service;

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account, passed on to backend servers.
    pub name: Arc<str>,
    /// Keys that authenticate callers as members of the account.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// One complete version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version number; it increases, but not always by 1.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Accounts, or `None` if callers need no key.
    pub accounts: Option<Vec<Account>>,
}
