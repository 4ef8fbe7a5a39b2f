//! Known state of an entry host as shown to operators.

use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;
use crate::directory::Directory;
use crate::host::{Host, HostState};
use crate::room::RoomRow;
use crate::route::{Route, RouteKind};

/// Routes, groups and backend servers known to one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHostView {
    /// Name of the entry host.
    pub entry_host: String,
    /// Name of the entry host that manages the groups, if it is known.
    pub manager: Option<String>,
    /// Milliseconds since the last news of the list of backend servers.
    pub directory_age_ms: u64,
    /// Milliseconds for which it has reached no backend server, if it reaches none; older
    /// versions do not say.
    #[serde(default)]
    pub cut_off_ms: Option<u64>,
    /// Number of backend servers that name a limit on requests.
    #[serde(default)]
    pub limited_servers: usize,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Routes, ordered by host and prefix.
    pub routes: Vec<RouteView>,
    /// Groups reported by their heads, ordered by model and name.
    pub groups: Vec<GroupRow>,
    /// Numbers of backend servers by service, ordered by service.
    pub services: Vec<ServiceRow>,
    /// Room at the groups by model and failure domain; older versions do not state it.
    #[serde(default)]
    pub room: Option<Vec<RoomRow>>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteView {
    /// Host name and prefix.
    pub matches: String,
    /// Which requests may be repeated.
    pub kind: String,
    /// Services with their weights.
    pub targets: String,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of backend servers that one client request may run on.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether no account key is needed.
    pub public: bool,
}

/// A group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Model.
    pub model: String,
    /// Name.
    pub group: String,
    /// State reported by the head.
    pub state: String,
    /// Id of the head.
    pub head: String,
    /// Fabric domain of the head.
    pub fabric_domain: String,
}

/// Numbers of backend servers of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Service.
    pub service: String,
    /// Those that take new work.
    pub ready: usize,
    /// Those that are leaving or whose failure domain is out of service.
    pub leaving: usize,
    /// Those that are cold.
    pub cold: usize,
}

impl RouteView {
    /// Creates the view of a route.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        let kind = match route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Stream { resumable: true } => "stream, resumable",
            RouteKind::Stream { resumable: false } => "stream",
        };
        let targets = route.targets.iter();
        let targets: Vec<String> = targets
            .map(|t| format!("{}:{}", t.service, t.weight))
            .collect();
        Self {
            matches: format!("{}{}", route.host, route.prefix),
            kind: kind.to_owned(),
            targets: targets.join(" "),
            timeout_ms: u64::try_from(route.timeout.as_millis()).unwrap_or(u64::MAX),
            attempts: route.max_attempts,
            priority: route.priority,
            public: route.public,
        }
    }

    /// Creates the views of all routes of a configuration, in order.
    #[must_use]
    pub fn all(deployment: &Deployment) -> Vec<Self> {
        let mut routes: Vec<Self> = deployment.routes.iter().map(|r| Self::new(r)).collect();
        routes.sort_by(|a, b| a.matches.cmp(&b.matches));
        routes
    }
}

impl GroupRow {
    /// Creates the rows of the groups whose heads are in a directory, in order.
    #[must_use]
    pub fn all(directory: &Directory) -> Vec<Self> {
        let mut groups: Vec<Self> = directory.hosts().filter_map(Self::of_head).collect();
        groups.sort_by(|a, b| (&a.model, &a.group).cmp(&(&b.model, &b.group)));
        groups
    }

    fn of_head(host: &Host) -> Option<Self> {
        let head = host.membership().filter(|m| m.rank == 0)?;
        Some(Self {
            model: host.model.as_deref().unwrap_or("unknown").to_owned(),
            group: head.group.to_string(),
            state: head.state.as_str().to_owned(),
            head: host.id.to_string(),
            fabric_domain: host.fabric_domain.as_deref().unwrap_or("none").to_owned(),
        })
    }
}

impl ServiceRow {
    /// Counts the backend servers of each service.
    #[must_use]
    pub fn all(directory: &Directory, now: Timestamp) -> Vec<Self> {
        let mut rows: Vec<Self> = Vec::new();
        for host in directory.hosts() {
            let known = rows.iter().position(|r| *r.service == *host.service);
            let index = known.unwrap_or_else(|| {
                rows.push(Self {
                    service: host.service.to_string(),
                    ..Self::default()
                });
                rows.len() - 1
            });
            let out = directory.is_domain_out(&host.failure_domain);
            let row = &mut rows[index];
            if host.state == HostState::Draining || out {
                row.leaving += 1;
            } else {
                row.ready += 1;
            }
            row.cold += usize::from(host.cold_until.is_some_and(|until| now < until));
        }
        rows.sort_by(|a, b| a.service.cmp(&b.service));
        rows
    }
}
