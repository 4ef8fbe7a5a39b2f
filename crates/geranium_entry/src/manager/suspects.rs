//! Probes of groups that entry hosts suspect to have stopped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;

use super::Manager;
use crate::dialect::Dialect;

/// Number of consecutive unanswered probes after which a host is considered dead.
const PROBE_ATTEMPTS: u32 = 2;
/// Time for which a suspected group is not probed again.
const PROBE_COOLDOWN: Duration = Duration::from_millis(1_500);
/// Time for which a stopped group is not announced again, so that the other entry hosts
/// can find out with a request whether it serves after all.
const STOP_ANNOUNCEMENT_COOLDOWN: Duration = Duration::from_secs(8);

impl<D: Dialect> Manager<D> {
    /// Probes the members of suspected groups.
    pub(super) fn probe_suspects(self: &Rc<Self>) {
        let now = self.shared.now();
        let suspects: Vec<(HostId, Timestamp)> = {
            let mut suspects = self.shared.suspected_heads.borrow_mut();
            suspects.retain(|_, at| now.since(*at) < PROBE_COOLDOWN);
            suspects.iter().map(|(id, at)| (id.clone(), *at)).collect()
        };
        for (head, at) in suspects {
            let mut probed = self.last_probed.borrow_mut();
            let last = probed.get(&head).copied();
            if last.is_some_and(|last| now.since(last) < PROBE_COOLDOWN || at <= last) {
                continue;
            }
            probed.insert(head.clone(), now);
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.probe(&head).await });
        }
    }

    /// Announces to all entry hosts that a group has lost a member.
    fn announce_stopped(&self, head: &HostId) {
        let now = self.shared.now();
        let mut announced = self.announced_stops.borrow_mut();
        announced.retain(|_, at| now.since(*at) < STOP_ANNOUNCEMENT_COOLDOWN);
        if announced.contains_key(head) {
            return;
        }
        announced.insert(head.clone(), now);
        self.shared.reroute_from(head);
        self.peers.send_stopped(&self.shared.cfg.name, head);
    }

    async fn probe(self: Rc<Self>, head: &HostId) {
        let members: Vec<(Arc<str>, HostId, u64, SocketAddr)> = {
            let core = self.shared.core.borrow();
            let service = core.directory.get(head).map(|h| &h.service);
            if !service.is_some_and(|s| self.planners.borrow().contains_key(s)) {
                return;
            }
            let members = core.directory.group_of_head(head);
            members
                .into_iter()
                .map(|h| (h.service.clone(), h.id.clone(), h.incarnation, h.address))
                .collect()
        };
        let probes = members.into_iter().map(|(service, id, incarnation, address)| {
            let manager = self.clone();
            async move {
                for _ in 0..PROBE_ATTEMPTS {
                    if manager.fetch_host_report(&id, address).await.is_some() {
                        return false;
                    }
                }
                if !manager.shared.check_reach(Some(&id)).await {
                    log::warn!(host:% = id; "backend server does not answer, nor does any other");
                    return false;
                }
                log::warn!(host:% = id; "backend server does not answer and is taken to be dead");
                if let Some(planner) = manager.planners.borrow_mut().get_mut(&service) {
                    planner.mark_dead(&id, incarnation, manager.shared.now());
                }
                manager.shared.state_changed.notify_waiters();
                true
            }
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(dead) = probes.next().await {
            if dead {
                self.announce_stopped(head);
                break;
            }
        }
        // Finish the remaining probes, as more members may be dead.
        while probes.next().await.is_some() {}
    }
}
