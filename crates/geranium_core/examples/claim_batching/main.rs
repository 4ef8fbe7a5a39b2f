//! Measures one write a claim against several claims a transaction.
//!
//! A seeded discrete-event run drives the real call machines of eight entry hosts
//! against a model of the platform's store; no clock is read. Run it with
//! `cargo run --release -p geranium_core --example claim_batching`.

mod sim;
mod store;
mod way;

use sim::{Figures, Simulation};
use way::Way;

/// Calls a second over all entry hosts.
const OFFERED_RATES: [u32; 7] = [50, 100, 150, 200, 500, 1_000, 2_000];

fn main() {
    println!(
        "{:<22} {:>8} {:>9} {:>9} {:>9} {:>8} {:>13} {:>11}",
        "way", "calls/s", "p50 ms", "p99 ms", "refused", "done/s", "transactions/s", "writes each"
    );
    for rate in OFFERED_RATES {
        for way in Way::ALL {
            let figures = Simulation::new(*way, rate).run();
            print(*way, rate, &figures);
        }
    }
}

fn print(way: Way, rate: u32, figures: &Figures) {
    println!(
        "{:<22} {:>8} {:>9.1} {:>9.1} {:>8.1}% {:>8.0} {:>13.0} {:>12.1}",
        way.name(),
        rate,
        figures.latency_ms(0.50),
        figures.latency_ms(0.99),
        figures.refused_percent(),
        figures.done_per_second(),
        figures.transactions_per_second(),
        figures.writes_per_transaction(),
    );
}
