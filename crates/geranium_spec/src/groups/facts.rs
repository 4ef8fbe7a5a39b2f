//! Orders and tables in the short form that the rules compare.

use geranium_core::engine::{Order, OrderAction};
use geranium_core::group::{GroupTable, TableVersion};
use geranium_core::id::{GroupId, HostId};

use crate::Interner;

/// What a load order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct LoadFacts {
    /// Number of the group.
    pub group: u32,
    /// Hosts of the members, by bit.
    pub members: u8,
    /// Position of the host among the members.
    pub rank: u32,
}

/// An order in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct OrderFacts {
    pub fencing: u64,
    pub host: u8,
    /// What the host is to load, or nothing if it is released.
    pub load: Option<LoadFacts>,
}

impl OrderFacts {
    /// Returns whether both belong to one group under one number.
    pub(super) fn same_group(&self, other: &Self) -> bool {
        let group = |facts: &Self| facts.load.map(|load| load.group);
        self.load.is_some() && group(self) == group(other) && self.fencing == other.fencing
    }
}

/// A table in short form.
#[derive(Clone, Debug)]
pub(super) struct TableFacts {
    pub valid: bool,
    pub version: TableVersion,
    pub next_fencing: u64,
    /// Group of each host, if it is in one, with its fencing number.
    pub owners: Vec<Option<(u32, u64)>>,
    pub orders: Vec<OrderFacts>,
}

/// Finds the index of a host of the model.
pub(super) fn host_index(host: &HostId) -> u8 {
    let digits = host.as_str().trim_start_matches('h');
    digits.parse().expect("hosts of the model are numbered")
}

pub(super) fn order_facts(order: &Order, groups: &Interner<GroupId>) -> OrderFacts {
    let load = match &order.action {
        OrderAction::Load(load) => {
            let bits = load.members.iter().map(|m| 1 << host_index(&m.host));
            Some(LoadFacts {
                group: groups.number(load.group.clone()),
                members: bits.fold(0, |all, bit: u8| all | bit),
                rank: load.rank,
            })
        }
        OrderAction::Release | OrderAction::Fence => None,
    };
    OrderFacts {
        fencing: order.fencing.0,
        host: host_index(&order.host),
        load,
    }
}

pub(super) fn table_facts(
    table: &GroupTable,
    hosts: usize,
    groups: &Interner<GroupId>,
) -> TableFacts {
    let mut owners = vec![None; hosts];
    for (id, group) in table.groups() {
        for member in &group.members {
            let owner = (groups.number(id.clone()), group.fencing.0);
            owners[usize::from(host_index(&member.host))] = Some(owner);
        }
    }
    let mut orders = table.orders();
    if table.version().amendment > 0 {
        // Without the store a holder loads members, but releases nobody.
        orders.retain(|order| order.action != OrderAction::Release);
    }
    TableFacts {
        valid: table.check().is_ok(),
        version: table.version(),
        next_fencing: table.next_fencing().0,
        owners,
        orders: orders
            .iter()
            .map(|order| order_facts(order, groups))
            .collect(),
    }
}
