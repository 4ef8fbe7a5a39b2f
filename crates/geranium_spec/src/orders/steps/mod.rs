//! The steps that are possible in a state of the model of counted orders.

mod host;
mod manager;

use super::model::GROUP_SIZE;
use super::state::{Host, Outdated};
use super::{CountedAction, CountedModel, CountedWorld};

type Steps = Vec<(CountedAction, CountedWorld)>;

impl CountedModel {
    pub(super) fn steps(&self, world: &CountedWorld) -> Steps {
        let mut steps = Steps::new();
        self.manager_steps(world, &mut steps);
        self.arrivals(world, &mut steps);
        self.host_steps(world, &mut steps);
        if world.late < self.bounds.late {
            self.outdate(world, &mut steps);
        }
        steps
    }

    /// Adds, for each step that changes a host, the same step after which entries and reports
    /// may show the state of the host before it.
    fn outdate(&self, world: &CountedWorld, steps: &mut Steps) {
        let mut late = Steps::new();
        for (action, next) in &*steps {
            let states = world.hosts.iter().zip(&next.hosts);
            for (host, (was, _)) in (0_u8..).zip(states).filter(|(_, (was, is))| was != is) {
                let step = Box::new(action.clone());
                let next = next.clone().with_outdated(host, *was);
                late.push((CountedAction::Outdates { step, host }, next));
            }
        }
        steps.append(&mut late);
        if self.bounds.formed && world.orders == 0 {
            for host in (0_u8..).take(GROUP_SIZE) {
                let next = world.clone().with_outdated(host, Host::default());
                steps.push((CountedAction::StartsOutdated(host), next));
            }
        }
    }
}

impl CountedWorld {
    /// Returns the same state in which entries and reports may show a former state of a host.
    fn with_outdated(mut self, host: u8, was: Host) -> Self {
        self.outdated = Some(Outdated { host, was });
        self.late += 1;
        self
    }
}
