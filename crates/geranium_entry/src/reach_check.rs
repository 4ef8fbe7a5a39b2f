//! Checks whether this entry host has a network path to the backend servers.

use std::rc::Rc;
use std::time::Duration;

use geranium_fleet::reach::BackendReach;

use crate::dialect::Dialect;
use crate::metrics::gauge;
use crate::state::SharedState;

/// Interval between checks while no backend server can be reached.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

impl<D: Dialect> SharedState<D> {
    /// Returns whether this entry host reached no backend server when it last checked.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.core.borrow().reach.is_cut_off()
    }

    /// Starts a check after the connection of a request failed, unless one has just run.
    pub(crate) fn check_reach_soon(self: &Rc<Self>, suspect: &str) {
        let is_due = self.core.borrow().reach.is_check_due(self.now());
        if !is_due || self.reach_checks.is_running(&()) {
            return;
        }
        let (shared, suspect) = (self.clone(), suspect.to_owned());
        tokio::task::spawn_local(async move { shared.check_reach(Some(&suspect)).await });
    }

    /// Connects to some backend servers, or waits for the check in progress; returns whether
    /// any was reached. `suspect` is a server that may have ended.
    pub(crate) async fn check_reach(&self, suspect: Option<&str>) -> bool {
        if self.reach_checks.join(&()).await {
            return !self.is_cut_off();
        }
        let _guard = self.reach_checks.begin(());
        let targets = {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            let own_domain = &self.cfg.failure_domain;
            BackendReach::targets(&core.directory, own_domain, suspect, &mut core.rng)
        };
        let connections = targets.iter().map(|(id, address)| async move {
            let opened = self.open_connection(id, *address).await;
            if let Err(e) = &opened {
                log::debug!(host:% = id; "{e}");
            }
            opened.is_ok()
        });
        let outcomes = futures::future::join_all(connections).await;
        let reached = outcomes.into_iter().filter(|reached| *reached).count();
        self.record_reach(targets.len(), reached);
        !self.is_cut_off()
    }

    fn record_reach(&self, targets: usize, reached: usize) {
        let now = self.now();
        let cut_off_for = self.core.borrow().reach.cut_off_for(now);
        let changed = self
            .core
            .borrow_mut()
            .reach
            .record_check(targets, reached, now);
        if !changed {
            return;
        }
        let is_cut_off = self.is_cut_off();
        self.metrics.cut_off.set(gauge(u64::from(is_cut_off)));
        if is_cut_off {
            log::warn!(asked = targets; "this entry host reaches no backend server");
        } else {
            let ms = cut_off_for.map(|d| d.as_millis() as u64);
            log::info!(asked = targets, reached = reached, cut_off_ms = ms; "this entry host reaches backend servers again");
        }
        self.state_changed.notify_waiters();
    }
}

/// Checks again and again while no backend server can be reached.
pub(crate) async fn run<D: Dialect>(shared: Rc<SharedState<D>>) {
    loop {
        while shared.is_cut_off() {
            shared.check_reach(None).await;
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
        shared.state_changed.notified().await;
    }
}
