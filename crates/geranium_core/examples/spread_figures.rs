//! Prints the store calls, messages and propagation times of simulated
//! fleets of several sizes.
//!
//! `cargo run --release -p geranium_core --example spread_figures -- [DOMAINS HOSTS]`

use std::time::Duration;

#[path = "../tests/entry_hosts/figures.rs"]
mod figures;
#[path = "../tests/entry_hosts/fleet.rs"]
#[allow(dead_code, reason = "the tests use more of the fixture")]
mod fleet;
#[path = "../tests/entry_hosts/store.rs"]
mod store;

fn main() {
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = match args[..] {
        [domains, hosts] => vec![(domains, hosts)],
        _ => vec![(3, 2), (3, 3), (9, 5), (27, 15)],
    };
    for (domains, hosts) in sizes {
        let idle = Duration::from_secs(120);
        let changes = if domains * hosts > 100 { 50 } else { 200 };
        let figures = figures::Figures::measure(domains, hosts, idle, 10, changes);
        println!("{figures}");
    }
}
