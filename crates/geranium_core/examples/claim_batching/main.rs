//! Compares strategies for batching claim writes into store transactions.
//!
//! A seeded discrete-event simulation runs the real claim state machines of eight
//! entry hosts against a model of the platform's store; it reads no clock. Run it with
//! `cargo run --release -p geranium_core --example claim_batching`.

mod sim;
mod store;
mod strategy;

use sim::{Measurements, Simulation};
use strategy::Strategy;

/// Call rates over all entry hosts, in calls per second.
const OFFERED_RATES: [u32; 7] = [50, 100, 150, 200, 500, 1_000, 2_000];

fn main() {
    println!(
        "{:<22} {:>8} {:>9} {:>9} {:>9} {:>8} {:>13} {:>11}",
        "strategy",
        "calls/s",
        "p50 ms",
        "p99 ms",
        "refused",
        "done/s",
        "transactions/s",
        "writes/tx"
    );
    for rate in OFFERED_RATES {
        for strategy in Strategy::ALL {
            let measurements = Simulation::new(*strategy, rate).run();
            print(*strategy, rate, &measurements);
        }
    }
}

fn print(strategy: Strategy, rate: u32, measurements: &Measurements) {
    println!(
        "{:<22} {:>8} {:>9.1} {:>9.1} {:>8.1}% {:>8.0} {:>13.0} {:>12.1}",
        strategy.name(),
        rate,
        measurements.latency_ms(0.50),
        measurements.latency_ms(0.99),
        measurements.refused_percent(),
        measurements.done_per_second(),
        measurements.transactions_per_second(),
        measurements.writes_per_transaction(),
    );
}
