//! What managers see and order.

use super::Steps;
use crate::orders::state::{Group, GroupNumber, Manager, Member, Order, Phase, Request, Seen};
use crate::orders::{CountedAction, CountedModel, CountedWorld};

impl CountedModel {
    pub(super) fn manager_steps(&self, world: &CountedWorld, steps: &mut Steps) {
        for (m, known) in (0_u8..).zip(&world.managers) {
            for host in 0..self.bounds.hosts {
                let seen = known.seen[usize::from(host)];
                see(world, m, host, steps);
                ask(world, m, host, steps);
                if self.may_order(&seen) {
                    self.order_one(world, m, host, steps);
                }
            }
            self.form(world, m, known, steps);
        }
    }

    /// Forms a group of two hosts that the manager takes to be free.
    fn form(&self, world: &CountedWorld, m: u8, known: &Manager, steps: &mut Steps) {
        let full = world.groups.len() >= usize::from(self.bounds.groups);
        if full || world.orders + 2 > self.bounds.orders {
            return;
        }
        let free = |host: &u8| {
            self.may_order(&known.seen[usize::from(*host)]) && self.is_free(world, known, *host)
        };
        let free: Vec<u8> = (0..self.bounds.hosts).filter(free).collect();
        for &head in &free {
            for &other in free.iter().filter(|o| **o != head) {
                let mut next = world.clone();
                let group = GroupNumber::try_from(next.groups.len()).expect("few groups");
                let members = [head, other];
                next.groups.push(Group {
                    members,
                    were_ready: 0,
                });
                next.managers[usize::from(m)].unopened |= 1 << group;
                next.send(m, head, Request::Join(group));
                next.send(m, other, Request::Join(group));
                steps.push((
                    CountedAction::Forms {
                        manager: m,
                        members,
                    },
                    next,
                ));
            }
        }
    }

    /// Sends one host an order about a group that exists.
    fn order_one(&self, world: &CountedWorld, m: u8, host: u8, steps: &mut Steps) {
        if world.orders >= self.bounds.orders {
            return;
        }
        let known = &world.managers[usize::from(m)];
        let seen = &known.seen[usize::from(host)];
        let mut requests = Vec::new();
        if let Some(member) = seen.member {
            requests.push(Request::Leave(member.group));
            let is_head = world.groups[usize::from(member.group)].members[0] == host;
            if is_head && self.may_open(world, known, member.group) {
                requests.push(Request::Open(member.group));
            }
        }
        for (group, formed) in (0_u8..).zip(&world.groups) {
            let own = known.unopened & (1 << group) != 0 && formed.members.contains(&host);
            let joined = seen.member.is_some_and(|member| member.group == group);
            if own && !joined && self.is_free(world, known, host) {
                requests.push(Request::Join(group));
            }
        }
        for request in requests {
            let mut next = world.clone();
            if let Request::Open(group) = request {
                next.managers[usize::from(m)].unopened &= !(1 << group);
            }
            let order = next.send(m, host, request);
            steps.push((CountedAction::Sends(order.to_string()), next));
        }
    }
}

impl CountedWorld {
    /// Sends an order that holds for what the manager knows of the host.
    fn send(&mut self, manager: u8, host: u8, request: Request) -> Order {
        let known = self.managers[usize::from(manager)].seen[usize::from(host)];
        let order = Order {
            manager,
            host,
            life: self.hosts[usize::from(host)].life,
            expected: known
                .begun
                .expect("only hosts with a known count get orders"),
            request,
        };
        self.in_flight.push(order);
        self.in_flight.sort_unstable();
        self.orders += 1;
        order
    }
}

/// A manager sees the entry of a host as it is now.
fn see(world: &CountedWorld, m: u8, host: u8, steps: &mut Steps) {
    let actual = world.hosts[usize::from(host)];
    let mut next = world.clone();
    let manager = &mut next.managers[usize::from(m)];
    let seen = &mut manager.seen[usize::from(host)];
    if seen.life != actual.life {
        *seen = Seen {
            life: actual.life,
            member: None,
            begun: actual.member.is_none().then_some(0),
            awaited: None,
        };
    }
    seen.member = actual.member;
    if seen
        .awaited
        .is_some_and(|order| shows(order, actual.member))
    {
        seen.awaited = None;
    }
    if let Some(member) = actual.member
        && world.groups[usize::from(member.group)].members[0] == host
    {
        manager.heads_seen |= 1 << member.group;
    }
    if next != *world {
        steps.push((CountedAction::Seen { manager: m, host }, next));
    }
}

/// A manager asks a host; the count is taken only with the group that is known.
fn ask(world: &CountedWorld, m: u8, host: u8, steps: &mut Steps) {
    let actual = world.hosts[usize::from(host)];
    let mut next = world.clone();
    let seen = &mut next.managers[usize::from(m)].seen[usize::from(host)];
    let group = |member: Option<Member>| member.map(|member| member.group);
    if seen.life != actual.life || group(seen.member) != group(actual.member) {
        return;
    }
    seen.begun = Some(actual.begun);
    seen.awaited = None;
    if next != *world {
        steps.push((CountedAction::Asked { manager: m, host }, next));
    }
}

/// Returns whether what a host reports shows the effect of an order.
fn shows(order: Request, member: Option<Member>) -> bool {
    let state_in = |group| member.filter(|m| m.group == group).map(|m| m.state);
    match order {
        Request::Join(group) => state_in(group).is_some(),
        Request::Open(group) => state_in(group) != Some(Phase::Ready),
        Request::Leave(group) => state_in(group).is_none(),
    }
}
