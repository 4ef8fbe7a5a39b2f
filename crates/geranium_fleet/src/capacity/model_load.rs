//! Requests that run at the groups of a model.

use crate::engine_profile::EngineProfile;
use crate::host::Host;

/// Number of requests at a group, as a multiple of its slots, above which a reported load is
/// impossible: queues of entry hosts end far below it.
const MAX_REQUESTS_PER_SLOT: f64 = 64.0;

/// Requests that all entry hosts run at the open groups of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Requests, running or queued.
    pub running: f64,
    /// Open groups.
    pub groups: usize,
    /// Open groups that are left out, as their load is impossible.
    pub discarded: usize,
}

impl ModelLoad {
    /// Adds up the loads of the open groups among `hosts`, in the order of the profile's models.
    ///
    /// `running` returns the requests that all entry hosts run at a head.
    pub fn collect<'a>(
        profile: &EngineProfile,
        hosts: impl IntoIterator<Item = &'a Host>,
        running: impl Fn(&str) -> f64,
    ) -> Vec<Self> {
        let mut loads = vec![Self::default(); profile.models.len()];
        for head in hosts.into_iter().filter(|h| h.is_open_head()) {
            let model = head.model.as_ref().and_then(|m| profile.model_index(m));
            if let Some(i) = model {
                loads[i].add_group(running(&head.id), profile.slots);
            }
        }
        loads
    }

    fn add_group(&mut self, running: f64, slots: u32) {
        let max_running = f64::from(slots.max(1)) * MAX_REQUESTS_PER_SLOT;
        if (0.0..=max_running).contains(&running) {
            self.running += running;
            self.groups += 1;
        } else {
            self.discarded += 1;
        }
    }

    /// Returns the mean number of requests at a group, or `None` if no load is known.
    #[must_use]
    pub fn per_group(&self) -> Option<f64> {
        (self.groups > 0).then(|| self.running / self.groups as f64)
    }
}
