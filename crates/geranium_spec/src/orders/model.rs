//! The model of counted orders: its fixed parts and its properties.

use geranium_fleet::host::Membership;
use geranium_fleet::planner::guard;

use super::seen::Seen;
use super::state::{Broken, Group, GroupNumber, HeadSighting, Host, Manager, Member, Phase};
use super::{CountedAction, CountedBounds, CountedWorld};
use crate::{Model, Mutation, Property, Witness};

/// Hosts of one group.
pub(super) const GROUP_SIZE: usize = 2;

/// The model of counted orders.
#[derive(Debug)]
pub struct CountedModel {
    pub(super) bounds: CountedBounds,
    pub(super) mutation: Option<Mutation>,
}

impl CountedModel {
    /// Makes a model, with one guard removed if a mutation is given.
    #[must_use]
    pub const fn new(bounds: CountedBounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation }
    }

    pub(super) fn mutates(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns whether a manager takes a host to be free for another group.
    pub(super) fn is_free(&self, world: &CountedWorld, manager: &Manager, host: u8) -> bool {
        let seen = &manager.seen[usize::from(host)];
        let own = seen.member.map(|m| membership(world, host, m));
        let is_over = |_: &str| {
            let group = seen.member.map_or(0, |m| m.group);
            self.mutates(Mutation::ReuseBeforeHeadLeft) || self.knows_over(world, manager, group)
        };
        guard::may_join_another(own.as_ref(), is_over)
    }

    /// Returns whether a manager may tell the head of a group to serve.
    pub(super) fn may_open(&self, world: &CountedWorld, manager: &Manager, group: u8) -> bool {
        let members = world.groups[usize::from(group)].members;
        let reported = members.iter().filter_map(|&host| {
            let member = manager.seen[usize::from(host)].member;
            member
                .filter(|m| m.group == group)
                .map(|m| membership(world, host, m))
        });
        let reported: Vec<Membership> = reported.collect();
        if self.mutates(Mutation::OpenBeforeMembers) {
            return reported
                .iter()
                .any(|m| guard::may_open(1, [m]) && m.rank == 0);
        }
        guard::may_open(GROUP_SIZE, &reported)
    }

    /// Returns whether a manager knows that the head of a group does not serve it.
    fn knows_over(&self, world: &CountedWorld, manager: &Manager, group: GroupNumber) -> bool {
        if manager.unopened & (1 << group) != 0 {
            return false;
        }
        let Some(sighting) = manager.heads[usize::from(group)] else {
            return false;
        };
        let head = world.groups[usize::from(group)].members[0];
        let seen = &manager.seen[usize::from(head)];
        if seen.life < sighting.life {
            return false;
        }
        let shown = seen.member.map(|m| membership(world, head, m));
        let is_over = guard::is_group_over(&group_name(group), shown.as_ref());
        let is_member = seen.member.is_some_and(|m| m.group == group);
        let is_later = seen
            .order_count()
            .is_some_and(|c| (seen.life, c) > (sighting.life, sighting.order_count));
        is_over && (is_member || is_later || self.mutates(Mutation::EntryEndsGroup))
    }
}

fn group_name(group: GroupNumber) -> String {
    format!("g{group}")
}

/// Returns a membership as the planner knows it.
fn membership(world: &CountedWorld, host: u8, member: Member) -> Membership {
    let members = world.groups[usize::from(member.group)].members;
    Membership {
        group: group_name(member.group).into(),
        epoch: u64::from(member.group) + 1,
        rank: usize::from(members[0] != host),
        state: member.state.into(),
    }
}

impl Model for CountedModel {
    type State = CountedWorld;
    type Action = CountedAction;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn initial(&self) -> CountedWorld {
        let mut hosts = vec![Host::default(); usize::from(self.bounds.hosts)];
        let mut groups = Vec::new();
        if self.bounds.formed {
            let ready = Member {
                group: 0,
                state: Phase::Ready,
            };
            for host in &mut hosts[..GROUP_SIZE] {
                host.begun = 1;
                host.member = Some(ready);
            }
            groups.push(Group {
                members: [0, 1],
                were_ready: 0b11,
            });
        }
        let mut heads = vec![None; usize::from(self.bounds.groups)];
        if self.bounds.formed {
            heads[0] = Some(HeadSighting {
                life: 0,
                order_count: 1,
            });
        }
        let manager = Manager {
            seen: hosts.iter().copied().map(Seen::at_start).collect(),
            heads,
            unopened: 0,
        };
        CountedWorld {
            hosts,
            managers: vec![manager; usize::from(self.bounds.managers)],
            groups,
            in_flight: Vec::new(),
            orders: 0,
            restarts: 0,
            outdated: None,
            late: 0,
            broken: Broken::default(),
        }
    }

    fn successors(&self, state: &CountedWorld) -> Vec<(CountedAction, CountedWorld)> {
        self.steps(state)
    }

    fn properties(&self) -> Vec<Property<CountedWorld>> {
        vec![
            Property {
                name: "a group serves only after each member was ready under its name",
                holds: |world| !world.broken.opened_partial,
            },
            Property {
                name: "no host joins another group while the head of its own serves",
                holds: |world| !world.broken.joined_beside_open_head,
            },
        ]
    }

    fn witnesses(&self) -> Vec<Witness<CountedWorld>> {
        let mut witnesses: Vec<Witness<CountedWorld>> = vec![Witness {
            name: "a group that serves",
            shows: |world| world.serves(0),
        }];
        if self.bounds.formed {
            witnesses.push(Witness {
                name: "a second group with a member of the first",
                shows: |world| world.hosts[1].member.is_some_and(|m| m.group == 1),
            });
        }
        witnesses
    }
}
