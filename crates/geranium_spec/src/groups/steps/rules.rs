//! The rules that a state keeps or breaks.

use crate::groups::facts::{OrderFacts, TableFacts};
use crate::groups::state::Broken;
use crate::groups::{GroupModel, GroupWorld};

impl GroupModel {
    pub(super) fn note_broken_rules(&self, world: &mut GroupWorld) {
        let table = self.facts(world.stored.table);
        let served = served_groups(world);
        world.broken = Broken {
            table_rules: !table.valid || self.knows_invalid_table(world),
            fencing_reused: reuses_fencing(&world.sent),
            successor_unaware: world.sent.iter().any(|o| o.fencing >= table.next_fencing),
            host_in_two_groups: served.iter().any(|order| is_elsewhere(order, &table)),
        };
        world.serves = served.iter().any(|order| {
            let owner = order.load.map(|load| (load.group, order.fencing));
            table.owners[usize::from(order.host)] == owner
        });
    }

    fn knows_invalid_table(&self, world: &GroupWorld) -> bool {
        let known = world.leaders.iter().filter_map(|leader| leader.known);
        known
            .into_iter()
            .any(|known| !self.facts(known.table).valid)
    }
}

/// Returns the orders followed by members whose whole group follows one number: a
/// gate with the table of that number finds such a group complete.
fn served_groups(world: &GroupWorld) -> Vec<OrderFacts> {
    let followed = world.engines.iter().filter_map(|engine| engine.follows);
    let complete = |order: &OrderFacts| {
        let members = order.load.map_or(0, |load| load.members);
        let follows = |host: usize| {
            let other = world.engines[host].follows;
            other.is_some_and(|other| order.same_group(&other))
        };
        (0..world.engines.len())
            .filter(|host| members & (1 << host) != 0)
            .all(follows)
    };
    followed.filter(complete).collect()
}

/// Returns whether a table has a member of a served group in another group.
fn is_elsewhere(order: &OrderFacts, table: &TableFacts) -> bool {
    let Some(load) = order.load else {
        return false;
    };
    let hosts = 0..table.owners.len();
    hosts
        .filter(|host| load.members & (1 << host) != 0)
        .any(|host| {
            let owner = table.owners[host];
            owner.is_some_and(|(group, _)| group != load.group)
        })
}

/// Returns whether two orders share a number, but not their group and members.
fn reuses_fencing(sent: &[OrderFacts]) -> bool {
    // Sorted by fencing number, so that orders with one number are neighbours.
    sent.windows(2).any(|pair| {
        let content = |order: &OrderFacts| order.load.map(|load| (load.group, load.members));
        pair[0].fencing == pair[1].fencing && content(&pair[0]) != content(&pair[1])
    })
}
