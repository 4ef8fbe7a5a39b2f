//! What must always hold while groups form, break and are repaired, under dead
//! and cut hosts, late orders and changes of the manager.

mod rig;

use std::time::Duration;

use rand::Rng;
use rig::{Rig, model};

/// Runs a random day and returns the rig after it.
fn random_day(seed: u64, late_part: f64) -> Rig {
    let models = vec![model("large", 4, 0.5), model("small", 2, 0.5)];
    let mut rig = Rig::new(seed, 2, 10, models);
    rig.run(Duration::from_secs(20), false);
    rig.late_part = late_part;
    let ids: Vec<_> = rig.hosts.keys().cloned().collect();
    for _ in 0..24 {
        let id = ids[rig.rng.random_range(0..ids.len())].clone();
        match rig.rng.random_range(0..6) {
            0 | 1 => rig.kill(&id),
            2 | 3 => rig.revive(&id),
            4 => {
                let cut = rig.rng.random();
                rig.set_cut(&id, cut);
            }
            _ => rig.change_manager(),
        }
        let pause = rig.rng.random_range(100..3_000);
        rig.run(Duration::from_millis(pause), true);
    }
    rig
}

#[test]
fn no_group_is_partial_and_no_host_serves_two_groups() {
    for seed in 0..60 {
        let rig = random_day(seed, 0.0);

        assert!(
            rig.violations.is_empty(),
            "seed {seed}: {:?}",
            rig.violations
        );
    }
}

#[test]
fn late_orders_break_nothing() {
    for seed in 0..60 {
        let rig = random_day(seed, 0.35);

        assert!(
            rig.violations.is_empty(),
            "seed {seed}: {:?}",
            rig.violations
        );
    }
}
