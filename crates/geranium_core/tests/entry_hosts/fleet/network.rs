//! Simulated network: store writes, watches and messages between hosts.

use super::*;

impl Fleet {
    /// Writes to the store and notifies the hosts that watch it.
    pub(super) fn write(
        &mut self,
        record: &StoredRecord,
        expected: StoreRevision,
    ) -> Option<StoreRevision> {
        let revision = self.store.write(record, expected)?;
        let change = StoreChange::Put(record.clone(), revision);
        let watching: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|(at, host)| Some((*at, host.watch?)))
            .collect();
        for (at, watch) in watching {
            let is_silent = self.stalled_watches.contains(&self.hosts[&at].info.host);
            if self.reaches_store(at) && !is_silent {
                self.send(
                    at,
                    STORE_LATENCY,
                    Message::Watch(watch, vec![change.clone()]),
                );
            }
        }
        Some(revision)
    }

    pub(super) fn fail_watches(&mut self) {
        let watching: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|(at, host)| Some((*at, host.watch?)))
            .collect();
        for (at, watch) in watching {
            if !self.reaches_store(at) {
                self.send(at, CALL_TIMEOUT, Message::WatchFailed(watch));
            }
        }
    }

    pub(super) fn reaches_store(&self, at: SocketAddr) -> bool {
        !self.store.is_down && !self.cut_from_store.contains(&self.hosts[&at].info.host)
    }

    /// Returns whether a message is delivered, which may be decided by random loss.
    pub(super) fn arrives(&mut self, from: SocketAddr, to: SocketAddr) -> bool {
        let is_lost = self.rng.random_range(0..1_000) < self.lost_per_mille;
        !is_lost && self.is_reachable(from, to)
    }

    pub(super) fn is_reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let Some(target) = self.hosts.get(&to) else {
            return false;
        };
        let (a, b) = (&self.hosts[&from].info, &target.info);
        let is_cut = |info: &MemberInfo| self.cut_domains.contains(&info.failure_domain);
        a.failure_domain == b.failure_domain || !(is_cut(a) || is_cut(b))
    }

    pub(super) fn record_event(&mut self, at: SocketAddr, event: EventDraft) {
        let host = self.hosts[&at].info.host.clone();
        self.events.push((self.now, host, event));
    }

    pub(super) fn send(&mut self, to: SocketAddr, after: Duration, message: Message) {
        self.sequence += 1;
        let at = (self.now + after, self.sequence);
        self.queue.insert(at, (to, message));
    }
}
