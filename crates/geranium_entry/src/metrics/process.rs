//! Counters maintained outside the entry host: calls to the store, dropped log lines.

use std::sync::Arc;

use geranium_platform::{StoreCallCounter, StoreCallKind, StoreCallResult};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;

use crate::LogWriter;

/// Counters that the process passes to the entry host.
#[derive(Clone, Debug, Default)]
pub struct ProcessCounters {
    /// Calls to the store.
    pub store_calls: Arc<StoreCallCounter>,
    /// The log writer, which counts the lines that it drops.
    pub log: LogWriter,
}

impl ProcessCounters {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register_collector(Box::new(self.clone()));
    }
}

impl Collector for ProcessCounters {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let mut calls = encoder.encode_descriptor(
            "store_calls",
            "Calls to the store",
            None,
            MetricType::Counter,
        )?;
        for kind in StoreCallKind::ALL {
            for answer in StoreCallResult::ALL {
                let labels = [("kind", kind.name()), ("answer", answer.name())];
                let count = ConstCounter::new(self.store_calls.get(kind, answer));
                count.encode(calls.encode_family(&labels)?)?;
            }
        }
        let dropped = ConstCounter::new(self.log.dropped());
        let lines = encoder.encode_descriptor(
            "log_lines_dropped",
            "Log lines that did not fit",
            None,
            MetricType::Counter,
        )?;
        dropped.encode(lines)
    }
}
