//! The steps that are possible in a state of the configuration model.

use std::fmt;

use geranium_core::record::ApplyOutcome;

use super::model::{HOSTS, OPERATORS};
use super::state::{Host, Stored, Write};
use super::{ConfigModel, ConfigWorld};
use crate::Mutation;

/// One step of one part of the configuration model; numbers name hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAction {
    /// An operator asks a host for a change, which is planned and sent.
    Apply(usize),
    /// A write takes effect or loses, and its answer arrives.
    WriteAnswered(usize),
    /// A write takes effect, and its answer is lost.
    WriteAnswerLost(usize),
    /// A write is given up while it is still on its way.
    WriteDelayed(usize),
    /// A write that was given up arrives.
    StrayWriteArrives,
    /// A host reads back to settle its write.
    Settle(usize),
    /// A host reads the record.
    Read(usize),
    /// A host hears of the version that another one holds.
    Hear(usize, usize),
    /// A host writes back a version that the store lacks.
    WriteBack(usize),
    /// The store is restored from the copy before its last write.
    Restored,
    /// A host restarts without records.
    Restarts(usize),
}

impl fmt::Display for ConfigAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(n) => write!(f, "an operator asks host {n} for a change"),
            Self::WriteAnswered(n) => write!(f, "host {n}: the store answers its write"),
            Self::WriteAnswerLost(n) => write!(f, "host {n}: the answer to its write is lost"),
            Self::WriteDelayed(n) => write!(f, "host {n}: its write is delayed past the timeout"),
            Self::StrayWriteArrives => write!(f, "a delayed write arrives at the store"),
            Self::Settle(n) => write!(f, "host {n} reads back what became of its write"),
            Self::Read(n) => write!(f, "host {n} reads the record"),
            Self::Hear(n, from) => write!(f, "host {n} hears of the version of host {from}"),
            Self::WriteBack(n) => write!(f, "host {n} writes its version back"),
            Self::Restored => write!(f, "the store is restored from the copy before"),
            Self::Restarts(n) => write!(f, "host {n} restarts without records"),
        }
    }
}

type Steps = Vec<(ConfigAction, ConfigWorld)>;

impl ConfigModel {
    pub(super) fn steps(&self, world: &ConfigWorld) -> Steps {
        let mut steps = Steps::new();
        for host in 0..HOSTS {
            if host < OPERATORS {
                self.operator_steps(world, host, &mut steps);
            }
            self.spread_steps(world, host, &mut steps);
        }
        self.store_steps(world, &mut steps);
        steps
    }

    fn operator_steps(&self, world: &ConfigWorld, host: usize, steps: &mut Steps) {
        let state = world.hosts[host];
        if let Some(write) = state.write {
            self.write_steps(world, host, write, steps);
        } else if let Some(write) = state.unsettled {
            steps.push((ConfigAction::Settle(host), self.settle(world, host, write)));
        } else if world.plans < self.bounds.plans
            && let Some(write) = self.plan(world, host)
        {
            let mut next = world.clone();
            next.plans += 1;
            next.hosts[host].plans += 1;
            next.hosts[host].write = Some(write);
            next.hosts[host].planned_over = state.held;
            steps.push((ConfigAction::Apply(host), next));
        }
    }

    fn write_steps(&self, world: &ConfigWorld, host: usize, write: Write, steps: &mut Steps) {
        let mut taken = world.clone();
        taken.hosts[host].write = None;
        let mut answered = taken.clone();
        if self.store(&mut answered, write) {
            self.accept(&mut answered, host, write.version);
        }
        steps.push((ConfigAction::WriteAnswered(host), answered));
        if world.lost_answers >= self.bounds.lost_answers {
            return;
        }
        taken.lost_answers += 1;
        taken.hosts[host].unsettled = Some(write);
        let mut lost = taken.clone();
        self.store(&mut lost, write);
        steps.push((ConfigAction::WriteAnswerLost(host), lost));
        taken.stray_writes.push(write);
        taken.stray_writes.sort_unstable();
        steps.push((ConfigAction::WriteDelayed(host), taken));
    }

    /// Applies a conditional write and returns whether it took effect.
    fn store(&self, world: &mut ConfigWorld, write: Write) -> bool {
        let fits = write.expected == world.stored.revision;
        if !fits && !self.mutates(Mutation::RecordCas) {
            return false;
        }
        world.copy = world.stored;
        world.stored = Stored {
            version: Some(write.version),
            revision: world.stored.revision + 1,
        };
        true
    }

    /// The operator is told that the change is accepted.
    fn accept(&self, world: &mut ConfigWorld, host: usize, version: u8) {
        let planned_over = world.hosts[host].planned_over;
        world.accepted_stale |= self.rank(planned_over) > self.rank(Some(version));
        let new = self.version(version);
        world.forked |= world.accepted.iter().any(|&other| {
            let other = self.version(other);
            !new.includes_write(other.writer()) && !other.includes_write(new.writer())
        });
        world.accepted.push(version);
        self.hear(world, host, version);
    }

    fn settle(&self, world: &ConfigWorld, host: usize, write: Write) -> ConfigWorld {
        let mut next = world.clone();
        next.hosts[host].unsettled = None;
        match self
            .plan_of(write)
            .resolve_outcome(&self.current(world.stored))
        {
            ApplyOutcome::Applied => {
                self.accept(&mut next, host, write.version);
                if let Some(stored) = world.stored.version {
                    self.hear(&mut next, host, stored);
                }
            }
            ApplyOutcome::NotApplied => next.hosts[host].write = Some(write),
            ApplyOutcome::Superseded(_) | ApplyOutcome::Replan | ApplyOutcome::Unknown(_) => {}
        }
        next
    }

    fn hear(&self, world: &mut ConfigWorld, host: usize, version: u8) {
        let before = world.hosts[host].held;
        let after = self.merged(before, version);
        world.reverted |= self.rank(after) < self.rank(before);
        world.hosts[host].held = after;
    }

    fn spread_steps(&self, world: &ConfigWorld, host: usize, steps: &mut Steps) {
        let sources = world.hosts.iter().map(|other| other.held).enumerate();
        let peers = sources.map(|(from, held)| (ConfigAction::Hear(host, from), held));
        let store = (ConfigAction::Read(host), world.stored.version);
        for (action, version) in peers.chain([store]) {
            let Some(version) = version else { continue };
            let mut next = world.clone();
            self.hear(&mut next, host, version);
            if next != *world {
                steps.push((action, next));
            }
        }
        let held = world.hosts[host].held;
        if let Some(version) = held
            && self.rank(held) > self.rank(world.stored.version)
        {
            let mut next = world.clone();
            let expected = world.stored.revision;
            self.store(&mut next, Write { version, expected });
            steps.push((ConfigAction::WriteBack(host), next));
        }
        if world.restarts < self.bounds.restarts && held.is_some() {
            let mut next = world.clone();
            next.restarts += 1;
            next.hosts[host] = Host {
                plans: world.hosts[host].plans,
                ..Host::default()
            };
            steps.push((ConfigAction::Restarts(host), next));
        }
    }

    fn store_steps(&self, world: &ConfigWorld, steps: &mut Steps) {
        for index in 0..world.stray_writes.len() {
            let mut next = world.clone();
            let write = next.stray_writes.remove(index);
            if self.store(&mut next, write) {
                steps.push((ConfigAction::StrayWriteArrives, next));
            }
        }
        if world.restores < self.bounds.restores && world.stored != world.copy {
            let mut next = world.clone();
            next.restores += 1;
            next.stored = world.copy;
            steps.push((ConfigAction::Restored, next));
        }
    }
}
