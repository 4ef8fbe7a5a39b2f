//! Shares of the models of each service, as the manager plans by them.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::capacity::{DemandShares, ModelDemand, ModelLoad};
use geranium_fleet::demand::{DemandSum, ModelRequests};
use geranium_fleet::engine_profile::EngineProfile;
use geranium_fleet::host::{Host, HostState};
use geranium_fleet::service::Service;

use crate::metrics::{Metrics, ModelLabel};
use crate::state::Core;

/// Interval at which the demand for the models is logged.
const DEMAND_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Change of a share that is logged.
const LOGGED_CHANGE: f64 = 0.05;

/// Weight of the published demand shares of models relative to the observed demand, in
/// host milliseconds of work.
const PRIOR_WORK_MS: f64 = 60_000.0;

/// Shares of the models by service.
#[derive(Default)]
pub(crate) struct ModelShares {
    by_service: HashMap<Arc<str>, ServiceShares>,
}

impl ModelShares {
    /// Updates the shares of the models of a service, and returns them.
    ///
    /// They follow the demand over all entry hosts if these are too many for a full mesh, and
    /// the requests of this one otherwise.
    pub(crate) fn update(
        &mut self,
        core: &mut Core,
        service: &Service,
        engine: &EngineProfile,
        metrics: &Metrics,
        now: Timestamp,
    ) -> Vec<f64> {
        if !core.has_many_entry_hosts() {
            let meter = core.demand.entry(service.name.clone()).or_default();
            return meter.shares(engine, PRIOR_WORK_MS);
        }
        let shares = self
            .by_service
            .entry(service.name.clone())
            .or_insert_with(|| ServiceShares::new(core, service, engine, now));
        shares.update(core, service, engine, metrics, now);
        shares.demand.shares().to_vec()
    }
}

/// Shares of the models of one service, by the demand over all entry hosts.
struct ServiceShares {
    demand: DemandShares,
    logged: Vec<f64>,
    demand_logged: Timestamp,
    discarded: usize,
}

impl ServiceShares {
    /// Creates the operator's initial shares. If groups serve already and the demand is reported, it
    /// replaces them at once.
    fn new(core: &mut Core, service: &Service, engine: &EngineProfile, now: Timestamp) -> Self {
        let total = core.total_demand(now);
        let is_reported = core.is_reported(&total);
        let hosts = hosts_in_service(core, service);
        let shares = if is_reported && hosts.iter().any(|h| h.is_open_head()) {
            DemandShares::take_over(engine, hosts.len(), now)
        } else {
            DemandShares::new(engine, hosts.len(), now)
        };
        Self {
            logged: shares.shares().to_vec(),
            demand: shares,
            demand_logged: now,
            discarded: 0,
        }
    }

    /// Updates the shares from the load reports of all entry hosts.
    fn update(
        &mut self,
        core: &mut Core,
        service: &Service,
        engine: &EngineProfile,
        metrics: &Metrics,
        now: Timestamp,
    ) {
        let (loads, hosts) = {
            let hosts = hosts_in_service(core, service);
            let running = |id: &str| core.dispatcher.total_running(id);
            let loads = ModelLoad::collect(engine, hosts.iter().copied(), running);
            (loads, hosts.len())
        };
        self.log_discarded(service, &loads);
        let total = core.total_demand(now);
        let is_reported = core.is_reported(&total);
        let demands = estimate_demands(service, engine, &loads, &total, is_reported);
        self.demand.update(engine, &demands, hosts, now);
        self.log_changes(service, engine, &demands);
        if now.since(self.demand_logged) >= DEMAND_LOG_INTERVAL {
            self.demand_logged = now;
            log_demand(service, engine, &total);
        }
        self.set_metrics(engine, metrics);
    }

    fn log_discarded(&mut self, service: &Service, loads: &[ModelLoad]) {
        let discarded = loads.iter().map(|l| l.discarded).sum();
        if discarded > self.discarded {
            log::warn!(service:% = service.name, groups = discarded; "impossible loads of groups are ignored");
        }
        self.discarded = discarded;
    }

    fn log_changes(
        &mut self,
        service: &Service,
        engine: &EngineProfile,
        demands: &[Option<ModelDemand>],
    ) {
        let shares = self.demand.shares();
        let logged = &self.logged;
        let is_large = |(a, b): (&f64, &f64)| (a - b).abs() > LOGGED_CHANGE;
        if shares.len() == logged.len() && !shares.iter().zip(logged).any(is_large) {
            return;
        }
        for (i, model) in engine.models.iter().enumerate() {
            log::info!(service:% = service.name, model:% = model.name, share = shares[i], hosts_needed = self.demand.hosts_needed()[i], arrivals_per_s = demands[i].map(|d| d.arrivals_per_s), max_running = demands[i].map(|d| d.max_running); "shares of the models changed");
        }
        self.logged = shares.to_vec();
    }

    fn set_metrics(&self, engine: &EngineProfile, metrics: &Metrics) {
        let values = self.demand.shares().iter().zip(self.demand.hosts_needed());
        for (model, (share, needed)) in engine.models.iter().zip(values) {
            let label = ModelLabel {
                model: model.name.to_string(),
            };
            let per_mille = (share * 1_000.0).round();
            metrics
                .model_share
                .get_or_create(&label)
                .set(per_mille as i64);
            metrics
                .model_hosts_needed
                .get_or_create(&label)
                .set(needed.round() as i64);
        }
    }
}

/// Estimates the demand for each model of the engine; `is_reported` tells whether most entry hosts
/// report what their callers ask for.
fn estimate_demands(
    service: &Service,
    engine: &EngineProfile,
    loads: &[ModelLoad],
    total: &DemandSum,
    is_reported: bool,
) -> Vec<Option<ModelDemand>> {
    let unknown = ModelRequests::default();
    let priorities = total.priorities(&service.name);
    let models = engine.models.iter().zip(loads);
    let estimates = models.map(|(model, load)| {
        let requests = total.model(&service.name, &model.name);
        ModelDemand::estimate(
            engine,
            model,
            load,
            requests.unwrap_or(&unknown),
            priorities,
            is_reported,
        )
    });
    estimates.collect()
}

/// Logs what the callers of all entry hosts ask for.
fn log_demand(service: &Service, engine: &EngineProfile, total: &DemandSum) {
    for model in &engine.models {
        let Some(r) = total.model(&service.name, &model.name) else {
            continue;
        };
        log::info!(service:% = service.name, model:% = model.name, entry_hosts = total.entry_hosts, asked_per_s = r.asked_per_s, refused_per_s = r.refused_per_s, objective_ms = r.objective_ms, first_token_delay_ms = r.first_token_delay().as_millis() as u64; "demand for a model");
    }
}

/// Returns the hosts of a service that take work, without failure domains out of service.
fn hosts_in_service<'a>(core: &'a Core, service: &Service) -> Vec<&'a Host> {
    let mut hosts = core.directory.of_service(&service.name);
    hosts.retain(|h| {
        h.state == HostState::Ready && !core.directory.is_domain_out(&h.failure_domain)
    });
    hosts
}
