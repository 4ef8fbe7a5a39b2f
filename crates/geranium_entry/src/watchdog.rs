//! Detection of groups that stopped responding.

use std::rc::Rc;
use std::time::Duration;

use geranium_fleet::first_token::FirstTokenEstimate;
use geranium_fleet::host::HostId;
use geranium_fleet::silence::SilenceThresholds;

use crate::dialect::Dialect;
use crate::peers::PeerLink;
use crate::state::SharedState;

/// Time for which a repeated suspicion of a group is neither logged nor counted again.
const SUSPICION_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Checks for silent groups until the process ends.
pub(crate) async fn run<D: Dialect>(shared: Rc<SharedState<D>>, peers: Rc<PeerLink>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for head in silent_heads(&shared) {
            report_silent_group(&shared, &peers, &head);
        }
    }
}

fn silent_heads<D: Dialect>(shared: &SharedState<D>) -> Vec<HostId> {
    let now = shared.now();
    let core = shared.core.borrow();
    let Some(table) = &core.route_table else {
        return Vec::new();
    };
    let services = &table.deployment().services;
    // Each of many entry hosts often has only waiting requests at a group, and these may be
    // queued.
    let has_many_entry_hosts = core.has_many_entry_hosts();
    let mut silent = Vec::new();
    shared.running.for_each(|id, work| {
        let Some(host) = core.directory.get(id) else {
            return;
        };
        let engine = services.get(&host.service).and_then(|s| s.engine.as_ref());
        let Some(engine) = engine else {
            return;
        };
        let model = host.model.as_deref().and_then(|m| engine.model(m));
        let time_factor = model.map_or(1.0, |m| m.time_factor);
        let load = core.dispatcher.total_running(id);
        let queue_wait = model
            .filter(|_| has_many_entry_hosts)
            .map(|m| FirstTokenEstimate::new(engine, m).queue_wait(load));
        let thresholds = SilenceThresholds::new(engine, time_factor)
            .with_queue_wait(queue_wait.unwrap_or_default());
        if thresholds.is_silent(
            &work.activity(),
            engine.prefill_tokens_per_s / time_factor,
            now,
        ) {
            silent.push(id.clone());
        }
    });
    silent
}

/// Moves the attempts away from a silent group and reports it to the manager.
fn report_silent_group<D: Dialect>(shared: &SharedState<D>, peers: &PeerLink, head: &HostId) {
    let now = shared.now();
    let previous = shared
        .suspected_heads
        .borrow_mut()
        .insert(head.clone(), now);
    if previous.is_none_or(|at| now.since(at) > SUSPICION_REPEAT_INTERVAL) {
        shared.metrics.silences.inc();
        let activity = shared.running.activity(head);
        log::warn!(head:% = head, activity:? = activity; "group is silent, its work moves away");
    }
    shared.reroute_from(head);
    let manager = shared
        .core
        .borrow()
        .manager
        .as_ref()
        .map(|(_, address)| *address);
    // While no server is reached, a silence shows nothing of this one.
    let is_telling = !shared.is_manager.get() && !shared.is_cut_off();
    if let Some(address) = manager.filter(|_| is_telling) {
        peers.send_suspect(address, head);
    }
    shared.state_changed.notify_waiters();
}
