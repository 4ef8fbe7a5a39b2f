//! The configuration model: its fixed parts and its properties.

use std::cell::RefCell;

use geranium_core::id::{Incarnation, StoreRevision};
use geranium_core::record::{
    ApplyPlan, ApplyRequest, CurrentRecord, Document, Expectation, KnownTopology, RecordRank,
    RecordSet, StoredRecord, WriterId,
};
use geranium_core::time::Timestamp;

use super::state::{Host, Stored, Write};
use super::{ConfigAction, ConfigWorld};
use crate::{Model, Mutation, Property, Witness};

/// Entry hosts: two that operators use, and one that only listens.
pub(super) const HOSTS: usize = 3;

/// Entry hosts that operators use.
pub(super) const OPERATORS: usize = 2;

/// Bounds that keep the number of states finite and small.
#[derive(Clone, Copy, Debug)]
pub struct ConfigBounds {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Changes that operators ask for.
    pub plans: u8,
    /// Store answers that get lost.
    pub lost_answers: u8,
    /// Restores of the store from an older copy.
    pub restores: u8,
    /// Entry hosts that restart empty.
    pub restarts: u8,
}

impl ConfigBounds {
    /// Returns bounds with operators that race and answers that get lost.
    #[must_use]
    pub const fn racing() -> Self {
        Self {
            name: "configuration, operators race",
            plans: 3,
            lost_answers: 1,
            restores: 0,
            restarts: 1,
        }
    }

    /// Returns bounds with a store that is restored from an older copy.
    #[must_use]
    pub const fn restoring() -> Self {
        Self {
            name: "configuration, the store is restored",
            plans: 3,
            lost_answers: 1,
            restores: 1,
            restarts: 0,
        }
    }
}

/// The configuration model.
#[derive(Debug)]
pub struct ConfigModel {
    pub(super) bounds: ConfigBounds,
    pub(super) mutation: Option<Mutation>,
    /// Versions of the record by number.
    versions: RefCell<Vec<StoredRecord>>,
}

impl ConfigModel {
    /// Makes a model, with one guard removed if a mutation is given.
    #[must_use]
    pub fn new(bounds: ConfigBounds, mutation: Option<Mutation>) -> Self {
        Self {
            bounds,
            mutation,
            versions: RefCell::default(),
        }
    }

    pub(super) fn mutates(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    pub(super) fn version(&self, number: u8) -> StoredRecord {
        self.versions.borrow()[usize::from(number)].clone()
    }

    pub(super) fn rank(&self, number: Option<u8>) -> Option<RecordRank> {
        number.map(|number| self.versions.borrow()[usize::from(number)].rank())
    }

    fn number(&self, version: StoredRecord) -> u8 {
        let mut versions = self.versions.borrow_mut();
        let known = versions.iter().position(|known| known == &version);
        let index = known.unwrap_or_else(|| {
            versions.push(version);
            versions.len() - 1
        });
        u8::try_from(index).expect("few versions")
    }

    pub(super) fn current(&self, stored: Stored) -> CurrentRecord {
        CurrentRecord {
            stored: stored.version.map(|number| self.version(number)),
            revision: StoreRevision(u64::from(stored.revision)),
        }
    }

    pub(super) fn in_force(&self, held: Option<u8>) -> RecordSet {
        let mut set = RecordSet::default();
        if let Some(number) = held {
            set.merge(self.version(number));
        }
        set
    }

    /// Returns the version in force after another one was heard of.
    pub(super) fn merged(&self, held: Option<u8>, heard: u8) -> Option<u8> {
        if self.mutates(Mutation::MergeWithoutRank) {
            return Some(heard);
        }
        let mut set = self.in_force(held);
        let version = self.version(heard);
        let key = version.key.clone();
        set.merge(version);
        set.get(&key)
            .map(|entry| self.number(StoredRecord::clone(&entry.stored)))
    }

    /// Plans a change that an operator asks a host for.
    pub(super) fn plan(&self, world: &ConfigWorld, host: usize) -> Option<Write> {
        let state = world.hosts[host];
        let writer = writer(host, state.plans);
        let request =
            ApplyRequest::put(document(host, state.plans), Expectation::Any, "op", writer);
        let held = state
            .held
            .filter(|_| !self.mutates(Mutation::PlanFromStoreAlone));
        let plan = ApplyPlan::new(
            &request,
            &self.current(world.stored),
            &self.in_force(held),
            &KnownTopology::default(),
            clock(host),
        );
        let plan = plan.ok()?;
        Some(Write {
            version: self.number(plan.record),
            expected: world.stored.revision,
        })
    }

    /// Returns the plan that led to a write.
    pub(super) fn plan_of(&self, write: Write) -> ApplyPlan {
        ApplyPlan {
            record: self.version(write.version),
            expected: StoreRevision(u64::from(write.expected)),
            unchanged: false,
            warnings: Vec::new(),
        }
    }
}

/// Clocks of the hosts differ, so that a later change may bear an earlier time.
fn clock(host: usize) -> Timestamp {
    Timestamp::from_millis(1_000_000 - 10_000 * host as u64)
}

fn writer(host: usize, plans: u8) -> WriterId {
    WriterId {
        incarnation: Incarnation(host as u64 + 1),
        sequence: u64::from(plans) + 1,
    }
}

fn document(host: usize, plans: u8) -> Document {
    let limit = 1 + host * 10 + usize::from(plans);
    let hash = "0".repeat(64);
    let text = format!(
        r#"{{"schema_version": 2, "kind": "account", "name": "a", "key_sha256": ["{hash}"],
            "max_concurrent": {limit}, "priority": 5}}"#
    );
    Document::parse(&text).expect("the document is valid")
}

impl Model for ConfigModel {
    type State = ConfigWorld;
    type Action = ConfigAction;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn initial(&self) -> ConfigWorld {
        ConfigWorld {
            hosts: vec![Host::default(); HOSTS],
            ..ConfigWorld::default()
        }
    }

    fn successors(&self, state: &ConfigWorld) -> Vec<(ConfigAction, ConfigWorld)> {
        self.steps(state)
    }

    fn properties(&self) -> Vec<Property<ConfigWorld>> {
        vec![
            Property {
                name: "the version in force on a host never goes back",
                holds: |world| !world.reverted,
            },
            Property {
                name: "an accepted change outranks what was in force when it was planned",
                holds: |world| !world.accepted_stale,
            },
            Property {
                name: "accepted changes follow one another unless the store is restored",
                holds: |world| !world.forked || world.restores > 0,
            },
        ]
    }

    fn witnesses(&self) -> Vec<Witness<ConfigWorld>> {
        vec![
            Witness {
                name: "two accepted changes",
                shows: |world| world.accepted.len() >= 2,
            },
            Witness {
                name: "an accepted change in force on every host",
                shows: |world| {
                    let held = world.hosts[0].held;
                    let same = world.hosts.iter().all(|host| host.held == held);
                    same && held.is_some_and(|held| world.accepted.contains(&held))
                },
            },
        ]
    }
}
