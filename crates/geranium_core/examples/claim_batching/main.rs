//! Measures one write a claim against several claims a transaction.
//!
//! A seeded discrete-event run drives the real call machines of eight entry hosts
//! against a model of the platform's store; no clock is read. Run it with
//! `cargo run --release -p geranium_core --example claim_batching`.

mod sim;
mod store;
mod strategy;

use sim::{Measurements, Simulation};
use strategy::Strategy;

/// Calls a second over all entry hosts.
const OFFERED_RATES: [u32; 7] = [50, 100, 150, 200, 500, 1_000, 2_000];

fn main() {
    println!(
        "{:<22} {:>8} {:>9} {:>9} {:>9} {:>8} {:>13} {:>11}",
        "way", "calls/s", "p50 ms", "p99 ms", "refused", "done/s", "transactions/s", "writes each"
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
