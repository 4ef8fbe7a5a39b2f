//! The steps that are possible in a state of the claim model.

mod membership;
mod process;
mod service;
mod store;

use super::slot::Progress;
use super::{ClaimAction, ClaimModel, ClaimWorld};

/// Steps with the states that they lead to.
type Steps = Vec<(ClaimAction, ClaimWorld)>;

impl ClaimModel {
    pub(in crate::claims) fn steps(&self, world: &ClaimWorld) -> Steps {
        let mut steps = Steps::new();
        self.time_steps(world, &mut steps);
        self.store_steps(world, &mut steps);
        for index in 0..self.bounds.calls.len() {
            let slot = u8::try_from(index).expect("few requests");
            match world.slots[index].progress {
                Progress::NotSent => self.submit_step(world, slot, &mut steps),
                Progress::Running => {
                    self.wake_step(world, slot, &mut steps);
                    self.write_steps(world, slot, &mut steps);
                    self.read_steps(world, slot, &mut steps);
                    self.check_steps(world, slot, &mut steps);
                    self.dispatch_steps(world, slot, &mut steps);
                }
                Progress::Over => {}
            }
        }
        for (_, next) in &mut steps {
            self.drop_lost_writes(next);
        }
        steps
    }
}
