//! Steps of engines.

use super::Steps;
use crate::Mutation;
use crate::groups::GroupAction as A;
use crate::groups::bounds::EngineKind;
use crate::groups::facts::OrderFacts;
use crate::groups::state::Engine;
use crate::groups::{GroupModel, GroupWorld};

impl GroupModel {
    pub(super) fn engine_steps(&self, world: &GroupWorld, steps: &mut Steps) {
        for order in &world.sent {
            let host = usize::from(order.host);
            let Some(engine) = self.follow(world.engines[host], *order) else {
                continue;
            };
            if engine != world.engines[host] {
                let mut next = world.clone();
                next.engines[host] = engine;
                steps.push((A::OrderArrives(self.arrival(*order)), next));
            }
        }
        if world.restarts < self.bounds.restarts {
            for host in 0..self.bounds.engines.len() {
                let mut next = world.clone();
                next.restarts += 1;
                self.restart(&mut next, host);
                let number = u8::try_from(host).expect("few hosts");
                steps.push((A::EngineRestarts(number), next));
            }
        }
    }

    /// Restarts an engine, which forgets its group and the numbers that it has seen.
    fn restart(&self, world: &mut GroupWorld, host: usize) {
        let engine = &mut world.engines[host];
        let seen = engine.barrier.max(engine.highest);
        *engine = Engine::default();
        if !self.mutates(Mutation::OrdersOutliveRestart) {
            // Orders to the old process ended with their connections.
            self.raise_barrier(world, host, seen);
        }
    }

    /// Drops the orders to a host below a number; no such order arrives any more.
    pub(super) fn raise_barrier(&self, world: &mut GroupWorld, host: usize, barrier: u64) {
        let engine = &mut world.engines[host];
        engine.barrier = engine.barrier.max(barrier);
        let barrier = engine.barrier;
        world
            .sent
            .retain(|order| usize::from(order.host) != host || order.fencing >= barrier);
    }

    /// Returns the engine after an order, or nothing if it refuses it.
    fn follow(&self, engine: Engine, order: OrderFacts) -> Option<Engine> {
        let checks = self.bounds.engines[usize::from(order.host)] == EngineKind::Checks;
        let stale = order.fencing < engine.highest;
        if stale && checks && !self.mutates(Mutation::Fencing) {
            return None;
        }
        Some(Engine {
            highest: engine.highest.max(order.fencing),
            follows: order.load.map(|_| order),
            ..engine
        })
    }
}
