//! Hosts that fall silent, come back or leave.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GroupController;
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::GroupEffect;
use crate::id::HostId;
use crate::time::Timestamp;

/// Time between two questions about a host that may still live.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two questions about a host that is taken for failed.
const ASK_INTERVAL_FAILED: Duration = Duration::from_millis(2_000);

/// Time between two attempts to leave the lease to a peer.
const YIELD_INTERVAL: Duration = Duration::from_millis(1_000);

impl<P> GroupController<P> {
    /// Emits what has changed about the hosts of the failure domain.
    pub(super) fn note_hosts(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let hosts = self
            .world
            .hosts()
            .into_iter()
            .flat_map(|hosts| hosts.keys());
        for host in hosts {
            if self.world.is_failed(now, host) {
                if self.silent.insert(host.clone()) {
                    emit(effects, EventKind::HostSilent, host, "no report in time");
                }
            } else if self.world.recent(now, host).is_some() && self.silent.remove(host) {
                emit(effects, EventKind::HostHeard, host, "it reports again");
            }
            if !self.world.is_going(host) {
                self.going.remove(host);
            } else if self.going.insert(host.clone()) {
                emit(
                    effects,
                    EventKind::HostLeaving,
                    host,
                    "it takes no new work",
                );
            }
        }
    }

    /// Asks the peers about members that have fallen silent.
    pub(super) fn ask_peers(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let suspects: Vec<HostId> = self
            .hosts_to_ask(now)
            .into_iter()
            .filter(|host| self.world.is_suspect(now, host))
            .filter(|host| self.may_ask(now, host))
            .cloned()
            .collect();
        if suspects.is_empty() {
            return;
        }
        for host in &suspects {
            self.asked_peers.insert(host.clone(), now);
        }
        effects.push(GroupEffect::AskPeers(suspects));
    }

    /// Members of groups, or every host if none is heard.
    fn hosts_to_ask(&self, now: Timestamp) -> Vec<&HostId> {
        if self.world.is_blind(now) {
            let hosts = self.world.hosts().into_iter();
            return hosts.flat_map(BTreeMap::keys).collect();
        }
        let groups = self.table.groups().values();
        let members = groups.flat_map(|group| &group.members);
        members.map(|member| &member.host).collect()
    }

    /// Leaves the lease to a peer that hears more engines.
    pub(super) fn yield_leadership(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let waits = |at: Timestamp| now.since(at) < YIELD_INTERVAL;
        if self.yielded_at.is_some_and(waits) {
            return;
        }
        self.yielded_at = Some(now);
        effects.push(GroupEffect::YieldLeadership);
    }

    fn may_ask(&self, now: Timestamp, host: &HostId) -> bool {
        let interval = if self.world.is_failed(now, host) {
            ASK_INTERVAL_FAILED
        } else {
            ASK_INTERVAL
        };
        let asked_at = self.asked_peers.get(host);
        asked_at.is_none_or(|&at| now.since(at) >= interval)
    }
}

fn emit(effects: &mut Vec<GroupEffect>, kind: EventKind, host: &HostId, reason: &str) {
    let subject = EventSubject::host(host);
    effects.push(GroupEffect::Emit(EventDraft::new(kind, subject, reason)));
}
