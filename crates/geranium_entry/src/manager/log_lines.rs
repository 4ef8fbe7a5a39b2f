//! Log lines that tell what the manager planned by.

use geranium_fleet::directory::Directory;
use geranium_fleet::host::Host;
use geranium_fleet::order::HostOrder;
use geranium_fleet::planner::GroupPlanner;
use geranium_fleet::service::Service;

/// Logs the hosts and groups that each model has and should have.
pub(super) fn log_supply(service: &Service, planner: &GroupPlanner) {
    for s in planner.supply() {
        log::info!(service:% = service.name, model:% = s.model, target_hosts = s.target_hosts, hosts = s.hosts, open_groups = s.open_groups, forming_groups = s.forming_groups, ending_groups = s.ending_groups, prepared_hosts = s.prepared_hosts, loading_hosts = s.loading_hosts, staged_members = s.staged_members, reclaims = s.reclaims; "hosts and groups of a model");
    }
}

/// Logs what an order rests on: what is known of its host and, for a join of a member of
/// another group, of the head of that group.
pub(super) fn log_basis(order: &HostOrder, planner: &GroupPlanner, directory: &Directory) {
    let host = directory.get(&order.host);
    let group = host.and_then(Host::membership).map(|m| &*m.group);
    let head = group.and_then(|g| planner.head_of(g));
    let head = head.and_then(|id| directory.get(id));
    let known = host.map(|h| h.group.to_string());
    let head = head.map(|h| format!("{}: {}", h.id, h.group));
    log::info!(host:% = order.host, order = order.kind.as_str(), expected_count = order.expected_count, known = known, head = head; "order is issued");
}
