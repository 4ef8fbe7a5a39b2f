//! Counters and histograms of the process.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    /// Kind of the route.
    pub(crate) kind: &'static str,
    /// Outcome.
    pub(crate) outcome: &'static str,
}

/// A word that tells one count from another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    /// The word.
    pub(crate) cause: &'static str,
}

/// Counters and histograms of the process.
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    /// Requests by kind and outcome.
    pub(crate) ends: Family<EndLabels, Counter>,
    /// Further attempts by cause.
    pub(crate) retries: Family<CauseLabel, Counter>,
    /// Orders to hosts by what they ask for.
    pub(crate) orders: Family<CauseLabel, Counter>,
    /// Groups that fell silent.
    pub(crate) silences: Counter,
    /// Time to the first event or the whole answer, in seconds.
    pub(crate) first_answer: Histogram,
    /// Requests that run at backend servers.
    pub(crate) running: Gauge,
    /// Hosts in no group, as the manager sees them.
    pub(crate) stranded: Gauge,
    /// Version of the configuration in force.
    pub(crate) version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("geranium_entry");
        let ends = Family::default();
        let retries = Family::default();
        let orders = Family::default();
        let silences = Counter::default();
        let first_answer = Histogram::new(exponential_buckets(0.01, 2.0, 11));
        let running = Gauge::default();
        let stranded = Gauge::default();
        let version = Gauge::default();
        registry.register("requests", "Requests by kind and outcome", ends.clone());
        registry.register("retries", "Further attempts by cause", retries.clone());
        registry.register("orders", "Orders to hosts", orders.clone());
        registry.register("silences", "Groups that fell silent", silences.clone());
        registry.register(
            "first_answer_seconds",
            "Time to the first event",
            first_answer.clone(),
        );
        registry.register("running", "Requests at backend servers", running.clone());
        registry.register("stranded_hosts", "Hosts in no group", stranded.clone());
        registry.register("configuration_version", "Version in force", version.clone());
        Self {
            registry: Arc::new(registry),
            ends,
            retries,
            orders,
            silences,
            first_answer,
            running,
            stranded,
            version,
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub(crate) fn note_end(&self, kind: &'static str, outcome: &'static str) {
        self.ends.get_or_create(&EndLabels { kind, outcome }).inc();
    }

    /// Returns the registry, for the server that renders it.
    pub(crate) fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }
}

/// Renders a registry as text.
pub(crate) fn render(registry: &Registry) -> String {
    let mut text = String::new();
    if let Err(e) = encode(&mut text, registry) {
        log::error!("metrics cannot be rendered: {e}");
    }
    text
}
