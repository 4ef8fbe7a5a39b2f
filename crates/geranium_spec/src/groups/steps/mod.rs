//! The steps that are possible in a state of the group model.

mod delegate;
mod engine;
mod leader;
mod plan;
mod rules;

use super::{GroupAction, GroupModel, GroupWorld};

/// Steps with the states that they lead to.
type Steps = Vec<(GroupAction, GroupWorld)>;

impl GroupModel {
    pub(super) fn steps(&self, world: &GroupWorld) -> Steps {
        let mut steps = Steps::new();
        for leader in 0..self.bounds.processes {
            self.leader_steps(world, leader, &mut steps);
        }
        self.stray_write_steps(world, &mut steps);
        self.engine_steps(world, &mut steps);
        for (_, next) in &mut steps {
            self.note_broken_rules(next);
        }
        steps
    }
}
