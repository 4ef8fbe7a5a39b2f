//! Tests of which hosts load weights, and how many at a time.

mod engine;
mod fixture;
mod simulation;

use std::time::Duration;

use engine::model;
use simulation::Simulation;

/// Guards against loads that stay unused while only members of a model below its share wait for
/// one: they leave a part to others.
#[test]
fn members_of_a_model_below_its_share_use_all_loads_that_no_other_host_needs() {
    let models = vec![model("large", 4, 0.4), model("small", 2, 0.6)];
    let mut simulation = Simulation::new(11, 1, 14, models);
    simulation.planner.set_favours_deficits(true);
    simulation.shares = vec![1.0, 0.0];
    simulation.run(Duration::from_secs(5), false);

    let mut most = 0;
    for _ in 0..300 {
        simulation.run(Duration::from_millis(100), true);
        most = most.max(simulation.loading_members());
    }

    assert_eq!(most, simulation.profile.max_concurrent_loads);
}
