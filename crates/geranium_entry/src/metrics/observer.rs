//! Updates gauges from the local state once a second.

use std::rc::Rc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::host::GroupState;

use super::{GroupLabels, ModelLabel, ServiceLabel, gauge};
use crate::dialect::Dialect;
use crate::state::{Core, SharedState};

/// Interval between two updates.
const INTERVAL: Duration = Duration::from_secs(1);

/// Updates the gauges until the process ends.
pub(crate) async fn run<D: Dialect>(shared: Rc<SharedState<D>>) {
    loop {
        let due = shared.now() + INTERVAL;
        tokio::time::sleep(INTERVAL).await;
        let now = shared.now();
        let metrics = &shared.metrics;
        metrics.loop_lag.observe(now.since(due).as_secs_f64());
        metrics.running.set(gauge(shared.running.count()));
        let heard = now.since(shared.last_store_contact.get());
        metrics.directory_age.set(gauge(heard.as_millis()));
        let behind = shared.freshness.borrow().behind(now);
        metrics.view_behind.set(gauge(behind.as_millis()));
        shared.check_freshness();
        let held = shared.recent_changes.held_bytes();
        metrics.recent_change_bytes.set(gauge(held));
        let in_force = shared.configured_at.get().map(|at| now.since(at));
        metrics
            .configuration_age
            .set(gauge(in_force.unwrap_or_default().as_secs()));
        observe_core(&shared, now);
    }
}

fn observe_core<D: Dialect>(shared: &SharedState<D>, now: Timestamp) {
    let mut core = shared.core.borrow_mut();
    let cold = core.directory.hosts();
    let cold = cold.filter(|h| h.cold_until.is_some_and(|until| now < until));
    shared.metrics.cold_hosts.set(gauge(cold.count()));
    let entry_hosts = core.entry_hosts.len();
    shared.metrics.entry_hosts.set(gauge(entry_hosts));
    for (service, budget) in &mut core.budgets {
        let label = ServiceLabel {
            service: service.to_string(),
        };
        let left = budget.remaining(now);
        shared
            .metrics
            .retry_budget
            .get_or_create(&label)
            .set(i64::from(left));
    }
    observe_groups(shared, &core);
}

/// Updates the number of groups by model and state, and the downtime of groups that do not
/// serve.
fn observe_groups<D: Dialect>(shared: &SharedState<D>, core: &Core) {
    let mut groups: HashMap<GroupLabels, i64> = HashMap::default();
    for host in core.directory.hosts() {
        let head = host.membership().filter(|m| m.rank == 0);
        let (Some(head), Some(model)) = (head, &host.model) else {
            continue;
        };
        let labels = GroupLabels {
            model: model.to_string(),
            state: head.state.as_str(),
        };
        *groups.entry(labels).or_default() += 1;
        if head.state != GroupState::Open {
            let model = model.to_string();
            let down = shared
                .metrics
                .group_down
                .get_or_create(&ModelLabel { model });
            down.inc_by(INTERVAL.as_secs());
        }
    }
    shared.metrics.groups.clear();
    for (labels, count) in groups {
        shared.metrics.groups.get_or_create(&labels).set(count);
    }
}
