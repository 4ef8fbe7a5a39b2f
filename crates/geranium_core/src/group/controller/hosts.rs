//! Detection of hosts that fall silent, recover or leave.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GroupController;
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::GroupEffect;
use crate::id::HostId;
use crate::time::Timestamp;

/// Interval between peer queries about a host that may still be alive.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between peer queries about a host that is considered failed.
const PEER_QUERY_INTERVAL_FAILED: Duration = Duration::from_millis(2_000);

/// Interval between attempts to yield the lease to a peer.
const YIELD_INTERVAL: Duration = Duration::from_millis(1_000);

impl<P> GroupController<P> {
    /// Emits events for changes of the hosts in the failure domain.
    pub(super) fn emit_host_events(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let hosts = self.view.hosts().into_iter().flat_map(|hosts| hosts.keys());
        for host in hosts {
            if self.view.is_failed(now, host) {
                if self.silent.insert(host.clone()) {
                    emit(effects, EventKind::HostSilent, host, "no report in time");
                }
            } else if self.view.recent(now, host).is_some() && self.silent.remove(host) {
                emit(
                    effects,
                    EventKind::HostHeard,
                    host,
                    "the host reports again",
                );
            }
            if !self.view.is_leaving_service(host) {
                self.leaving.remove(host);
            } else if self.leaving.insert(host.clone()) {
                emit(
                    effects,
                    EventKind::HostLeaving,
                    host,
                    "the host accepts no new work",
                );
            }
        }
    }

    /// Queries the peers about hosts without a recent report.
    pub(super) fn query_peers(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let suspects: Vec<HostId> = self
            .hosts_to_query(now)
            .into_iter()
            .filter(|host| self.view.is_suspect(now, host))
            .filter(|host| self.is_query_due(now, host))
            .cloned()
            .collect();
        if suspects.is_empty() {
            return;
        }
        for host in &suspects {
            self.peer_queries.insert(host.clone(), now);
        }
        effects.push(GroupEffect::QueryPeers(suspects));
    }

    /// Returns the members of groups, or every host if no host reports to this process.
    fn hosts_to_query(&self, now: Timestamp) -> Vec<&HostId> {
        if self.view.is_isolated(now) {
            let hosts = self.view.hosts().into_iter();
            return hosts.flat_map(BTreeMap::keys).collect();
        }
        let groups = self.table.groups().values();
        let members = groups.flat_map(|group| &group.members);
        members.map(|member| &member.host).collect()
    }

    /// Yields the lease to a peer that receives reports of more engines.
    pub(super) fn yield_leadership(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let too_recent = |at: Timestamp| now.since(at) < YIELD_INTERVAL;
        if self.yielded_at.is_some_and(too_recent) {
            return;
        }
        self.yielded_at = Some(now);
        effects.push(GroupEffect::YieldLeadership);
    }

    fn is_query_due(&self, now: Timestamp, host: &HostId) -> bool {
        let interval = if self.view.is_failed(now, host) {
            PEER_QUERY_INTERVAL_FAILED
        } else {
            PEER_QUERY_INTERVAL
        };
        let last_query = self.peer_queries.get(host);
        last_query.is_none_or(|&at| now.since(at) >= interval)
    }
}

fn emit(effects: &mut Vec<GroupEffect>, kind: EventKind, host: &HostId, reason: &str) {
    let subject = EventSubject::host(host);
    effects.push(GroupEffect::Emit(EventDraft::new(kind, subject, reason)));
}
