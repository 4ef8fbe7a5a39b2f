//! Events about hosts that fall silent, come back or leave.

use super::GroupController;
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::GroupEffect;
use crate::id::HostId;
use crate::time::Timestamp;

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
}

fn emit(effects: &mut Vec<GroupEffect>, kind: EventKind, host: &HostId, reason: &str) {
    let subject = EventSubject::host(host);
    effects.push(GroupEffect::Emit(EventDraft::new(kind, subject, reason)));
}
