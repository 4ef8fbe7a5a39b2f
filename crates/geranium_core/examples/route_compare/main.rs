//! Compares routing policies under the same seeded load.
//!
//! ```text
//! cargo run --release -p geranium_core --example route_compare -- [SEED]
//! ```

mod engine;
mod load;
mod sim;

use geranium_core::route::{LeastInFlight, LeastWait, RandomTwoChoices, RoundRobin, RoutePolicy};

use load::LoadSettings;
use sim::{Outcome, Simulation};

const DEFAULT_SEED: u64 = 1;
const REQUEST_RATES_PER_SEC: [f64; 3] = [30.0, 45.0, 55.0];

fn run(policy: impl RoutePolicy + Clone, settings: &LoadSettings) -> Outcome {
    Simulation::new(policy, settings).run()
}

fn print(name: &str, outcome: &Outcome) {
    let millis = |quantile| outcome.first_token_millis.value_at_quantile(quantile);
    println!(
        "{name:<18} {:>7} {:>7} {:>7} {:>8.1}% {:>9.2} {:>8}",
        millis(0.5),
        millis(0.95),
        millis(0.99),
        outcome.hit_ratio() * 100.0,
        outcome.imbalance(),
        outcome.refused,
    );
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    for rate in REQUEST_RATES_PER_SEC {
        let settings = LoadSettings::new(seed.unwrap_or(DEFAULT_SEED), rate);
        println!(
            "{rate} requests/s, {} groups, {} entry hosts, seed {}; first token in ms",
            settings.groups, settings.entry_hosts, settings.seed
        );
        println!(
            "{:<18} {:>7} {:>7} {:>7} {:>9} {:>9} {:>8}",
            "policy", "p50", "p95", "p99", "hits", "imbalance", "refused"
        );
        print("round robin", &run(RoundRobin::default(), &settings));
        print("least in flight", &run(LeastInFlight, &settings));
        print("random two choices", &run(RandomTwoChoices, &settings));
        print("least wait", &run(LeastWait::default(), &settings));
        println!();
    }
}
