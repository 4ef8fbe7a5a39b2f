//! Sends orders to engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geranium_core::engine::{HostEntry, Order};
use geranium_core::group::OrderOutcome;
use geranium_core::id::HostId;
use geranium_engine::{EngineApi, EngineError};
use tokio::sync::mpsc;

use super::ControlInput;
use geranium_telemetry::ProcessClock;

/// Sends orders to engines and their outcomes to the control task.
pub struct OrderSender<E> {
    engines: E,
    clock: ProcessClock,
    addresses: BTreeMap<HostId, SocketAddr>,
    tx: mpsc::Sender<ControlInput>,
}

impl<E: EngineApi> OrderSender<E> {
    /// Creates a sender without hosts.
    pub fn new(engines: E, clock: ProcessClock, tx: mpsc::Sender<ControlInput>) -> Self {
        Self {
            engines,
            clock,
            addresses: BTreeMap::new(),
            tx,
        }
    }

    /// Replaces the addresses with those of the platform's list of hosts.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) {
        self.addresses = hosts.iter().map(|h| (h.host.clone(), h.address)).collect();
    }

    /// Sends an order; the outcome for a host that is not listed is `NoAnswer`.
    pub fn send(&self, order: Order) {
        let engines = self.engines.clone();
        let clock = self.clock;
        let address = self.addresses.get(&order.host).copied();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let outcome = match address {
                Some(address) => send_to((&engines, clock), address, &order, &tx).await,
                None => OrderOutcome::NoAnswer,
            };
            let _ = tx
                .send(ControlInput::OrderAnswered(Box::new(order), outcome))
                .await;
        });
    }
}

async fn send_to<E: EngineApi>(
    (engines, clock): (&E, ProcessClock),
    address: SocketAddr,
    order: &Order,
    tx: &mpsc::Sender<ControlInput>,
) -> OrderOutcome {
    let requested_at = clock.now();
    match engines.send_order(address, order).await {
        Ok(report) => {
            let input = ControlInput::Report(Box::new(report), requested_at);
            let _ = tx.send(input).await;
            OrderOutcome::Accepted
        }
        Err(EngineError::StaleFencing(_, highest)) => OrderOutcome::Refused { highest },
        Err(e) => {
            log::debug!("order to {} was not answered: {e}", order.host);
            OrderOutcome::NoAnswer
        }
    }
}
