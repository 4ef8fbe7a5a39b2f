//! Room at the groups of a model, as shown to operators.

use geranium_core::collections::HashMap;
use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::host::{Host, HostId};

/// Open groups of one model in one failure domain, with their requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRow {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Number of open groups.
    pub groups: usize,
    /// Number of requests there, over all entry hosts, as far as they reported them.
    pub running: u64,
    /// Number of requests that the groups run at once.
    pub slots: u64,
    /// Number of groups that run as many requests as they have slots, or more.
    pub full_groups: usize,
}

impl RoomRow {
    /// Creates the rows of all models, ordered by service, model and failure domain.
    ///
    /// `running` returns the number of requests at a backend server.
    #[must_use]
    pub fn all(directory: &Directory, running: impl Fn(&HostId) -> f64) -> Vec<Self> {
        let mut rows: HashMap<(&str, &str, &str), Self> = HashMap::default();
        for host in directory.hosts().filter(|h| h.is_open_head()) {
            let model = host.model.as_deref().unwrap_or("unknown");
            let key = (&*host.service, model, &*host.failure_domain);
            let row = rows.entry(key).or_insert_with(|| Self {
                service: key.0.to_owned(),
                model: key.1.to_owned(),
                failure_domain: key.2.to_owned(),
                ..Self::default()
            });
            row.add(host, running(&host.id));
        }
        let mut rows: Vec<Self> = rows.into_values().collect();
        rows.sort_by(|a, b| a.key().cmp(&b.key()));
        rows
    }

    fn add(&mut self, head: &Host, running: f64) {
        self.groups += 1;
        self.running += running.round() as u64;
        self.slots += u64::from(head.slots);
        self.full_groups += usize::from(running >= f64::from(head.slots));
    }

    fn key(&self) -> (&str, &str, &str) {
        (&self.service, &self.model, &self.failure_domain)
    }
}
