//! Upper bounds on store calls, heartbeats and propagation times, measured in
//! virtual time.

use std::time::Duration;

use crate::figures::Figures;

#[test]
fn calls_and_times_stay_within_bounds_at_the_current_fleet_size() {
    let figures = Figures::measure(3, 3, Duration::from_secs(50), 9, 30);

    println!("{figures}");
    // Each change costs its writer one read and one write; no other host reads the
    // store because of it.
    assert_eq!(figures.burst_calls, 200);
    assert!(figures.idle_calls_per_second < 0.5);
    assert!(figures.one_cut.iter().all(|t| *t <= Duration::from_secs(3)));
    assert!(figures.lossy.iter().all(|t| *t <= Duration::from_secs(3)));
}

#[test]
fn heartbeats_of_a_host_stay_within_bounds_in_a_large_domain() {
    let figures = Figures::measure(2, 15, Duration::from_secs(5), 1, 1);

    println!("{figures}");
    // Each exchange serves both hosts, so each host starts only about half of the
    // allowed exchanges.
    assert!(figures.heartbeats_per_host_second < 16.0);
    assert_eq!(figures.burst_calls, 200);
}
