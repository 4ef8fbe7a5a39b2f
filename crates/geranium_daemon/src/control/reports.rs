//! Polls engines for their reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::engine::HostEntry;
use geranium_core::id::{FailureDomainId, HostId};
use geranium_engine::EngineApi;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use super::ControlInput;
use geranium_telemetry::ProcessClock;

/// Polls the engines of a failure domain for their reports, each in its own task.
pub struct ReportPoller<E> {
    engines: E,
    clock: ProcessClock,
    failure_domain: FailureDomainId,
    interval: Duration,
    tx: mpsc::Sender<ControlInput>,
    tasks: BTreeMap<HostId, (SocketAddr, JoinHandle<()>)>,
}

impl<E: EngineApi> ReportPoller<E> {
    /// Creates a poller without hosts.
    pub fn new(
        (engines, clock): (E, ProcessClock),
        failure_domain: FailureDomainId,
        interval: Duration,
        tx: mpsc::Sender<ControlInput>,
    ) -> Self {
        Self {
            engines,
            clock,
            failure_domain,
            interval,
            tx,
            tasks: BTreeMap::new(),
        }
    }

    /// Starts and stops tasks, so that each host of the failure domain has one.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) {
        let expected: BTreeMap<&HostId, SocketAddr> = hosts
            .iter()
            .filter(|h| h.failure_domain == self.failure_domain)
            .map(|h| (&h.host, h.address))
            .collect();
        self.tasks.retain(|host, (address, task)| {
            let keep = expected.get(host) == Some(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for (host, address) in expected {
            if !self.tasks.contains_key(host) {
                let task = self.spawn_poll_task(host.clone(), address);
                self.tasks.insert(host.clone(), (address, task));
            }
        }
    }

    fn spawn_poll_task(&self, host: HostId, address: SocketAddr) -> JoinHandle<()> {
        let engines = self.engines.clone();
        let tx = self.tx.clone();
        let clock = self.clock;
        let mut ticks = tokio::time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tokio::spawn(async move {
            loop {
                ticks.tick().await;
                let requested_at = clock.now();
                let input = match engines.report(address).await {
                    Ok(report) if report.host == host => {
                        ControlInput::Report(Box::new(report), requested_at)
                    }
                    Ok(report) => {
                        log::warn!(
                            "{address} is listed as {host} but reports as {}",
                            report.host
                        );
                        ControlInput::ReportMissed(host.clone())
                    }
                    Err(_) => ControlInput::ReportMissed(host.clone()),
                };
                if tx.send(input).await.is_err() {
                    return;
                }
            }
        })
    }
}

impl<E> Drop for ReportPoller<E> {
    fn drop(&mut self) {
        for (_, task) in self.tasks.values() {
            task.abort();
        }
    }
}
