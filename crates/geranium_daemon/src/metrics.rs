//! Prometheus metrics of the process.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the smallest bucket of latency histograms, in seconds.
const SMALLEST_LATENCY_BUCKET: f64 = 0.001;

/// Number of latency buckets; each bound is twice the previous one.
const LATENCY_BUCKETS: u16 = 17;

/// Label that gives a reason, a state or an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Stable name from a closed set of values.
    pub reason: String,
}

/// Label of an answered request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabel {
    /// Kind of the call.
    pub call: CallKind,
    /// Stable name of the outcome.
    pub outcome: String,
}

/// Kind of the call that a request makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum CallKind {
    /// A chat completion.
    Chat,
    /// A call of a service that is not a model engine.
    Service,
}

/// Label with a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DomainLabel {
    /// Failure domain.
    pub failure_domain: String,
}

/// Metrics of the process.
pub struct Metrics {
    registry: Registry,
    /// Answered requests.
    pub requests: Family<RequestLabel, Counter>,
    /// Time to the first token, in seconds.
    pub first_token: Histogram,
    /// Tokens relayed to callers.
    pub tokens: Counter,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Streams resumed on another group.
    pub resumed: Counter,
    /// Retries, by outcome of the retry budget.
    pub retries: Family<ReasonLabel, Counter>,
    /// Requests sent to cold groups.
    pub cold_starts: Counter,
    /// Claimed calls, by outcome.
    pub claims: Family<ReasonLabel, Counter>,
    /// Time during which wanted replica groups did not serve, summed over the groups, in
    /// milliseconds.
    pub group_downtime_ms: Family<DomainLabel, Counter>,
    /// Accelerators of the failure domain, by use or by the reason why they are stranded.
    pub accelerators: Family<ReasonLabel, Gauge>,
    /// Groups that accept requests.
    pub groups_open: Gauge,
    /// Groups in the group table that accept no requests.
    pub groups_closed: Gauge,
    /// Records in force.
    pub records: Gauge,
    /// Calls to the platform's service.
    pub store_calls: Gauge,
    /// Failed calls to the platform's service.
    pub store_failures: Gauge,
    /// Events that were dropped from the ring buffer.
    pub events_dropped: Gauge,
    /// Whether the platform's service answers: 1 or 0.
    pub store_reachable: Gauge,
    /// Whether this process leads its failure domain: 1 or 0.
    pub leading: Gauge,
    /// Known entry hosts whose records differ from those in force here.
    pub hosts_behind: Gauge,
    /// Known entry hosts, by state.
    pub entry_hosts: Family<ReasonLabel, Gauge>,
}

impl Metrics {
    /// Creates and registers the metrics.
    #[must_use]
    pub fn new() -> Self {
        let first_token = Histogram::new(exponential_buckets(
            SMALLEST_LATENCY_BUCKET,
            2.0,
            LATENCY_BUCKETS,
        ));
        let mut metrics = Self {
            registry: Registry::with_prefix("geranium"),
            requests: Family::default(),
            first_token,
            tokens: Counter::default(),
            in_progress: Gauge::default(),
            resumed: Counter::default(),
            retries: Family::default(),
            cold_starts: Counter::default(),
            claims: Family::default(),
            group_downtime_ms: Family::default(),
            accelerators: Family::default(),
            groups_open: Gauge::default(),
            groups_closed: Gauge::default(),
            records: Gauge::default(),
            store_calls: Gauge::default(),
            store_failures: Gauge::default(),
            events_dropped: Gauge::default(),
            store_reachable: Gauge::default(),
            leading: Gauge::default(),
            hosts_behind: Gauge::default(),
            entry_hosts: Family::default(),
        };
        metrics.register_requests();
        metrics.register_control();
        metrics
    }

    /// Renders the metrics in the text exposition format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts an answered request.
    pub fn count_request(&self, call: CallKind, outcome: &str) {
        let label = RequestLabel {
            call,
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&label).inc();
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Answered requests", self.requests.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        registry.register("tokens", "Tokens passed on", self.tokens.clone());
        registry.register(
            "requests_in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        registry.register("streams_resumed", "Streams resumed", self.resumed.clone());
        registry.register("retries", "Retries by outcome", self.retries.clone());
        registry.register(
            "cold_starts",
            "Requests on cold groups",
            self.cold_starts.clone(),
        );
        registry.register("claims", "Claimed calls by outcome", self.claims.clone());
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "group_downtime_milliseconds",
            "Time of replica groups asked for but not serving",
            self.group_downtime_ms.clone(),
        );
        registry.register(
            "accelerators",
            "Accelerators by use",
            self.accelerators.clone(),
        );
        registry.register(
            "groups_open",
            "Groups that take requests",
            self.groups_open.clone(),
        );
        registry.register(
            "groups_closed",
            "Groups that take none",
            self.groups_closed.clone(),
        );
        registry.register("records", "Records in force", self.records.clone());
        registry.register("store_calls", "Platform calls", self.store_calls.clone());
        registry.register(
            "store_failures",
            "Failed platform calls",
            self.store_failures.clone(),
        );
        registry.register(
            "events_dropped",
            "Dropped events",
            self.events_dropped.clone(),
        );
        registry.register(
            "store_reachable",
            "Platform answers",
            self.store_reachable.clone(),
        );
        registry.register("leading", "Leads its failure domain", self.leading.clone());
        registry.register(
            "hosts_behind",
            "Entry hosts whose records differ from those in force here",
            self.hosts_behind.clone(),
        );
        registry.register(
            "entry_hosts",
            "Known entry hosts by state",
            self.entry_hosts.clone(),
        );
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
