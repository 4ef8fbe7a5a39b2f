//! The group model: its fixed parts and its properties.

use std::cell::RefCell;
use std::rc::Rc;

use geranium_core::collections::HashMap;
use geranium_core::engine::Member;
use geranium_core::group::GroupTable;
use geranium_core::id::{FabricDomainId, FailureDomainId, GroupId, Incarnation};
use geranium_core::record::ModelSpec;

use super::action::OrderArrival;
use super::facts::{OrderFacts, TableFacts, table_facts};
use super::state::{Broken, Engine, KnownTable, Leader};
use super::{GroupAction, GroupBounds, GroupWorld};
use crate::fixture::{model_spec, numbered_member};
use crate::{Interner, Model, Mutation, Property, Witness};

/// Hosts of one replica group.
pub(super) const GROUP_SIZE: usize = 2;

/// The group model.
#[derive(Debug)]
pub struct GroupModel {
    pub(super) bounds: GroupBounds,
    pub(super) mutation: Option<Mutation>,
    pub(super) tables: Interner<GroupTable>,
    pub(super) groups: Interner<GroupId>,
    facts: RefCell<HashMap<u32, Rc<TableFacts>>>,
    pub(super) spec: ModelSpec,
    pub(super) hosts: Vec<Member>,
}

impl GroupModel {
    /// Makes a model, with one guard removed if a mutation is given.
    #[must_use]
    pub fn new(bounds: GroupBounds, mutation: Option<Mutation>) -> Self {
        let hosts = (0..bounds.engines.len()).map(numbered_member).collect();
        Self {
            bounds,
            mutation,
            tables: Interner::default(),
            groups: Interner::default(),
            facts: RefCell::default(),
            spec: model_spec(),
            hosts,
        }
    }

    pub(super) fn mutates(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns a table in short form.
    pub(super) fn facts(&self, table: u32) -> Rc<TableFacts> {
        if let Some(facts) = self.facts.borrow().get(&table) {
            return Rc::clone(facts);
        }
        let hosts = self.hosts.len();
        let facts = self
            .tables
            .with(table, |t| table_facts(t, hosts, &self.groups));
        let facts = Rc::new(facts);
        self.facts.borrow_mut().insert(table, Rc::clone(&facts));
        facts
    }

    /// Describes the arrival of an order.
    pub(super) fn arrival(&self, order: OrderFacts) -> OrderArrival {
        OrderArrival {
            host: order.host,
            fencing: order.fencing,
            group: order.load.map(|load| self.groups.value(load.group)),
        }
    }

    pub(super) fn process(&self, leader: u8) -> Incarnation {
        Incarnation(u64::from(leader) + 1)
    }
}

pub(super) fn fabric_domain() -> FabricDomainId {
    FabricDomainId::new("fabric")
}

impl Model for GroupModel {
    type State = GroupWorld;
    type Action = GroupAction;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn initial(&self) -> GroupWorld {
        let table = GroupTable::new(FailureDomainId::new("d"));
        let stored = KnownTable {
            table: self.tables.number(table),
            revision: 0,
        };
        let mut leaders = vec![Leader::default(); usize::from(self.bounds.processes)];
        // Processes are alike, so the first that reads may be called process 0.
        leaders[0].known = Some(stored);
        GroupWorld {
            stored,
            leaders,
            engines: vec![Engine::default(); self.bounds.engines.len()],
            sent: Vec::new(),
            stray_writes: Vec::new(),
            lost_answers: 0,
            restarts: 0,
            amendments: 0,
            broken: Broken::default(),
            serves: false,
        }
    }

    fn successors(&self, state: &GroupWorld) -> Vec<(GroupAction, GroupWorld)> {
        self.steps(state)
    }

    fn properties(&self) -> Vec<Property<GroupWorld>> {
        vec![
            Property {
                name: "every stored table keeps the rules of the aggregate",
                holds: |world| !world.broken.table_rules,
            },
            Property {
                name: "a fencing number stands for one content",
                holds: |world| !world.broken.fencing_reused,
            },
            Property {
                name: "a successor's numbers are above those of every order sent",
                holds: |world| !world.broken.successor_unaware,
            },
            Property {
                name: "no host serves one group while the table has it in another",
                holds: |world| !world.broken.host_in_two_groups,
            },
        ]
    }

    fn witnesses(&self) -> Vec<Witness<GroupWorld>> {
        let mut witnesses: Vec<Witness<GroupWorld>> = vec![Witness {
            name: "a group whose members all follow the table",
            shows: |world| world.serves,
        }];
        if self.bounds.writes >= 3 {
            witnesses.push(Witness {
                name: "a group that serves after the third write",
                shows: |world| world.serves && world.stored.revision >= 3,
            });
        }
        witnesses
    }
}
