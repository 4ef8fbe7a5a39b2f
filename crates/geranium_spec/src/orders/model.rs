//! The model of counted orders: its fixed parts and its properties.

use geranium_fleet::host::Membership;
use geranium_fleet::planner::guard;

use super::state::{Broken, Group, GroupNumber, Host, Manager, Member, Phase, Seen};
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

    /// Returns whether a manager may send a host an order.
    pub(super) fn may_order(&self, seen: &Seen) -> bool {
        let confirmed = seen.awaited.is_none() || self.mutates(Mutation::CountAheadOfEntry);
        confirmed && seen.begun.is_some()
    }

    /// Returns whether a manager takes a host to be free for another group.
    pub(super) fn is_free(&self, world: &CountedWorld, manager: &Manager, host: u8) -> bool {
        let seen = &manager.seen[usize::from(host)];
        let own = seen.member.map(|m| membership(world, host, m));
        let is_over = |_: &str| {
            let group = seen.member.map_or(0, |m| m.group);
            self.mutates(Mutation::ReuseBeforeHeadLeft) || knows_over(world, manager, group)
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
}

/// Returns whether a manager knows that the head of a group does not serve it.
fn knows_over(world: &CountedWorld, manager: &Manager, group: GroupNumber) -> bool {
    let bit = 1 << group;
    if manager.unopened & bit != 0 || manager.heads_seen & bit == 0 {
        return false;
    }
    let head = world.groups[usize::from(group)].members[0];
    let reported = manager.seen[usize::from(head)].member;
    let reported = reported.map(|m| membership(world, head, m));
    guard::is_group_over(&group_name(group), reported.as_ref())
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
        let seen = hosts.iter().map(|host| Seen {
            life: host.life,
            member: host.member,
            begun: Some(host.begun),
            awaited: None,
        });
        let manager = Manager {
            seen: seen.collect(),
            heads_seen: u8::from(self.bounds.formed),
            unopened: 0,
        };
        CountedWorld {
            hosts,
            managers: vec![manager; usize::from(self.bounds.managers)],
            groups,
            in_flight: Vec::new(),
            orders: 0,
            restarts: 0,
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
