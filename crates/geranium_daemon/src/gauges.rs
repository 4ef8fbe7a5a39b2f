//! Gauges that are computed when the metrics are read.

use crate::metrics::ReasonLabel;
use crate::node::Node;

impl Node {
    /// Updates the gauges before the metrics are rendered.
    pub fn refresh_metrics(&self) {
        let view = self.published.view();
        let (calls, failures) = self.store_calls();
        self.metrics.store_calls.set(calls.cast_signed());
        self.metrics.store_failures.set(failures.cast_signed());
        self.metrics
            .events_dropped
            .set(self.recorder.dropped().cast_signed());
        self.metrics.records.set(view.records.len() as i64);
        self.metrics.groups_open.set(view.serving.len() as i64);
        self.metrics
            .groups_closed
            .set(view.closed_reasons.len() as i64);
        self.metrics.leading.set(i64::from(view.is_leader));
        self.metrics
            .store_reachable
            .set(i64::from(view.store_reachable));
        self.refresh_entry_host_gauges();
        let accelerators = crate::operator::accelerators(self, &view);
        self.metrics.accelerators.clear();
        self.set_accelerator_gauge("serving", accelerators.serving);
        for (reason, count) in accelerators.stranded {
            self.set_accelerator_gauge(&reason, count);
        }
    }

    fn refresh_entry_host_gauges(&self) {
        self.metrics.entry_hosts.clear();
        let peers = self.peers.view();
        let behind = peers
            .hosts
            .values()
            .filter(|known| known.digest != peers.digest);
        self.metrics.hosts_behind.set(behind.count() as i64);
        for known in peers.hosts.values() {
            let label = ReasonLabel {
                reason: known.state.to_owned(),
            };
            self.metrics.entry_hosts.get_or_create(&label).inc();
        }
    }

    fn set_accelerator_gauge(&self, reason: &str, count: u32) {
        let label = ReasonLabel {
            reason: reason.to_owned(),
        };
        self.metrics
            .accelerators
            .get_or_create(&label)
            .set(i64::from(count));
    }
}
