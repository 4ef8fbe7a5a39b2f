//! Prometheus metrics of the process.

mod labels;
mod observer;
mod process;

use std::sync::Arc;
use std::time::Duration;

use geranium_fleet::directory::Directory;
use geranium_fleet::engine_profile::EngineProfile;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

pub(crate) use labels::{
    AdmissionLabels, CauseLabel, GroupLabels, ModelLabel, OutcomeLabels, ServiceLabel,
};
pub(crate) use observer::run;
pub use process::ProcessCounters;

/// Prometheus metrics of the process.
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    /// Requests by kind and outcome; the outcome of a refused request is the refusal reason.
    pub(crate) outcomes: Family<OutcomeLabels, Counter>,
    /// Requests of callers by model.
    pub(crate) model_requests: Family<ModelLabel, Counter>,
    /// Requests of callers that were refused and have not run, by model.
    pub(crate) model_refusals: Family<ModelLabel, Counter>,
    /// Requests for models with admission by priority or account, by decision and priority.
    pub(crate) admissions: Family<AdmissionLabels, Counter>,
    /// Attempts at backend servers by outcome.
    pub(crate) attempts: Family<CauseLabel, Counter>,
    /// Retries by cause.
    pub(crate) retries: Family<CauseLabel, Counter>,
    /// Streams that were resumed at another backend server, by cause.
    pub(crate) resumes: Family<CauseLabel, Counter>,
    /// Notices that backend servers gave about themselves in responses.
    pub(crate) server_notices: Family<CauseLabel, Counter>,
    /// Requests sent to backend servers known to be cold.
    pub(crate) cold_requests: Counter,
    /// Remaining retries of this entry host's share of the retry budget, by service.
    pub(crate) retry_budget: Family<ServiceLabel, Gauge>,
    /// Requests sent to other entry hosts for want of a path to the backend servers.
    pub(crate) forwards: Counter,
    /// 1 while this entry host can reach no backend server.
    pub(crate) cut_off: Gauge,
    /// Orders to hosts by kind.
    pub(crate) orders: Family<CauseLabel, Counter>,
    /// Backend servers that ended under requests of this entry host.
    pub(crate) crashes: Counter,
    /// Requests and prompt parts that are refused because they crash backend servers.
    pub(crate) refused_subjects: Gauge,
    /// Returns of the store from an older copy of its data.
    pub(crate) store_restores: Counter,
    /// Number of times that a group became silent.
    pub(crate) silences: Counter,
    /// Time from the arrival of a request to its first attempt, in seconds.
    pub(crate) dispatch_wait: Histogram,
    /// Time to the first event or to the complete response, in seconds.
    pub(crate) first_answer: Histogram,
    /// Time between two chunks of events of a stream, in seconds.
    pub(crate) event_pause: Histogram,
    /// Attempts in progress at backend servers.
    pub(crate) running: Gauge,
    /// Groups by model and by the state of their head host.
    pub(crate) groups: Family<GroupLabels, Gauge>,
    /// Time for which reported groups did not serve, in seconds, by model.
    pub(crate) group_down: Family<ModelLabel, Counter>,
    /// Wanted share of the hosts by model, per mille, as planned by the manager.
    pub(crate) model_share: Family<ModelLabel, Gauge>,
    /// Hosts that a model needs to answer in time, as planned by the manager.
    pub(crate) model_hosts_needed: Family<ModelLabel, Gauge>,
    /// Entry hosts known to be registered, including this one.
    pub(crate) entry_hosts: Gauge,
    /// Backend servers known to be cold.
    pub(crate) cold_hosts: Gauge,
    /// Hosts that belong to no group, as seen by the manager.
    pub(crate) stranded: Gauge,
    /// Hosts that belong to no group and can join one of a model at once, as seen by the
    /// manager.
    pub(crate) standby: Family<ModelLabel, Gauge>,
    /// Version of the current configuration.
    pub(crate) version: Gauge,
    /// Seconds since the current configuration took effect.
    pub(crate) configuration_age: Gauge,
    /// Milliseconds since the last contact with the store.
    pub(crate) directory_age: Gauge,
    /// Milliseconds since the last moment for which the local view is known to be complete.
    pub(crate) view_behind: Gauge,
    /// Bytes of the responses with changes that other entry hosts sent.
    pub(crate) peer_change_bytes: Counter,
    /// Memory of the store changes kept for other entry hosts, in bytes.
    pub(crate) recent_change_bytes: Gauge,
    /// Delay of a timer in the single thread of the event loop, in seconds.
    pub(crate) loop_lag: Histogram,
}

impl Metrics {
    /// Sets the numbers of hosts of a service that are in no group.
    pub(crate) fn set_hosts_without_group(
        &self,
        directory: &Directory,
        service: &str,
        engine: &EngineProfile,
    ) {
        self.stranded.set(gauge(directory.stranded(service)));
        for model in &engine.models {
            let label = ModelLabel {
                model: model.name.to_string(),
            };
            let hosts = directory.standby(service, &model.name);
            self.standby.get_or_create(&label).set(gauge(hosts));
        }
    }

    /// Removes the values that only the manager of the groups knows.
    pub(crate) fn clear_manager_gauges(&self) {
        self.model_share.clear();
        self.model_hosts_needed.clear();
        self.standby.clear();
        self.stranded.set(0);
    }

    /// Counts an attempt that was answered, `took` after its request arrived or was sent.
    pub(crate) fn record_first_answer(&self, took: Duration) {
        self.record_attempt("answered");
        self.first_answer.observe(took.as_secs_f64());
    }

    /// Registers all metrics, including the counters of the process.
    pub(crate) fn new(process: &ProcessCounters) -> Self {
        let mut registry = Registry::with_prefix("geranium_entry");
        process.register(&mut registry);
        let r = &mut registry;
        Self {
            outcomes: register_metric(r, "requests", "Requests by kind and outcome"),
            model_requests: register_metric(r, "model_requests", "Requests by model"),
            model_refusals: register_metric(r, "model_refusals", "Refused requests by model"),
            admissions: register_metric(r, "admissions", "Requests by admission and priority"),
            attempts: register_metric(r, "attempts", "Attempts by how they ended"),
            retries: register_metric(r, "retries", "Further attempts by cause"),
            resumes: register_metric(r, "resumes", "Streams that went on elsewhere"),
            server_notices: register_metric(r, "server_notices", "What servers said of themselves"),
            cold_requests: register_metric(r, "cold_requests", "Requests to cold backend servers"),
            retry_budget: register_metric(r, "retry_budget", "Retries left here by service"),
            forwards: register_metric(r, "forwards", "Requests sent to other entry hosts"),
            cut_off: register_metric(r, "cut_off", "Whether no backend server is reached"),
            orders: register_metric(r, "orders", "Orders to hosts"),
            crashes: register_metric(r, "crashes", "Servers that ended under requests"),
            refused_subjects: register_metric(
                r,
                "refused_subjects",
                "Requests and prompt parts refused because they crash servers",
            ),
            store_restores: register_metric(r, "store_restores", "Returns from an older copy"),
            silences: register_metric(r, "silences", "Groups that fell silent"),
            dispatch_wait: register_duration(
                r,
                "dispatch_wait_seconds",
                "Arrival to first attempt",
            ),
            first_answer: register_duration(r, "first_answer_seconds", "Time to the first event"),
            event_pause: register_duration(r, "event_pause_seconds", "Time between stream pieces"),
            running: register_metric(r, "running", "Requests at backend servers"),
            groups: register_metric(r, "groups", "Groups by model and state"),
            group_down: register_metric(r, "group_down_seconds", "Time of groups not serving"),
            model_share: register_metric(r, "model_share", "Wanted share per mille"),
            model_hosts_needed: register_metric(r, "model_hosts_needed", "Hosts needed by model"),
            entry_hosts: register_metric(r, "entry_hosts", "Entry hosts known"),
            cold_hosts: register_metric(r, "cold_hosts", "Backend servers known to be cold"),
            stranded: register_metric(r, "stranded_hosts", "Hosts in no group"),
            standby: register_metric(r, "standby_hosts", "Hosts in no group that join at once"),
            version: register_metric(r, "configuration_version", "Version in force"),
            configuration_age: register_metric(
                r,
                "configuration_age_seconds",
                "Age of the version",
            ),
            directory_age: register_metric(r, "directory_age_milliseconds", "Time since the store"),
            view_behind: register_metric(
                r,
                "view_behind_milliseconds",
                "Time since the view was known to be complete",
            ),
            peer_change_bytes: register_metric(
                r,
                "peer_change_bytes",
                "Bytes of changes from other entry hosts",
            ),
            recent_change_bytes: register_metric(
                r,
                "recent_change_bytes",
                "Memory of changes kept for other entry hosts",
            ),
            loop_lag: register_duration(r, "loop_lag_seconds", "Lateness of timers"),
            registry: Arc::new(registry),
        }
    }

    /// Counts a finished request.
    pub(crate) fn record_outcome(&self, kind: &'static str, outcome: &'static str) {
        self.outcomes
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
    }

    /// Counts a finished attempt.
    pub(crate) fn record_attempt(&self, cause: &'static str) {
        self.attempts.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a notice of a backend server.
    pub(crate) fn record_server_notice(&self, cause: &'static str) {
        let label = CauseLabel { cause };
        self.server_notices.get_or_create(&label).inc();
    }

    /// Returns the registry, for the server that renders it.
    pub(crate) fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }
}

/// Registers a metric with its default value.
fn register_metric<M: Metric + Clone + Default>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// Registers a histogram of durations with buckets from 1 ms to about 8 s.
fn register_duration(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 14));
    registry.register(name, help, histogram.clone());
    histogram
}

/// Converts a number to the value type of gauges; saturates on overflow.
pub(crate) fn gauge(n: impl TryInto<i64>) -> i64 {
    n.try_into().unwrap_or(i64::MAX)
}

/// Renders a registry in the Prometheus text format.
pub(crate) fn render(registry: &Registry) -> String {
    let mut text = String::new();
    if let Err(e) = encode(&mut text, registry) {
        log::error!("failed to render metrics: {e}");
    }
    text
}
