//! The steps that are possible in a state of the model of counted orders.

mod host;
mod manager;

use super::{CountedAction, CountedModel, CountedWorld};

type Steps = Vec<(CountedAction, CountedWorld)>;

impl CountedModel {
    pub(super) fn steps(&self, world: &CountedWorld) -> Steps {
        let mut steps = Steps::new();
        self.manager_steps(world, &mut steps);
        self.arrivals(world, &mut steps);
        self.host_steps(world, &mut steps);
        steps
    }
}
