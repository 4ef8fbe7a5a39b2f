//! What managers see and order.

use super::Steps;
use crate::orders::seen::Seen;
use crate::orders::state::{Group, GroupNumber, HeadSighting, Manager, Order, Request};
use crate::orders::{CountedAction, CountedModel, CountedWorld};

impl CountedModel {
    pub(super) fn manager_steps(&self, world: &CountedWorld, steps: &mut Steps) {
        for (m, known) in (0_u8..).zip(&world.managers) {
            for host in 0..self.bounds.hosts {
                let seen = known.seen[usize::from(host)];
                self.see(world, m, host, steps);
                if seen.order_count().is_some() {
                    self.order_one(world, m, host, steps);
                }
            }
            self.form(world, m, known, steps);
        }
    }

    /// Shows a manager the present or an outdated entry or report of a host.
    fn see(&self, world: &CountedWorld, manager: u8, host: u8, steps: &mut Steps) {
        let mut push = |action, observe: &dyn Fn(&mut Seen)| {
            let mut next = world.clone();
            next.learn(manager, host, observe);
            if next != *world {
                steps.push((action, next));
            }
        };
        let actual = world.hosts[usize::from(host)];
        push(CountedAction::Seen { manager, host }, &|seen| {
            seen.observe_entry(actual, self.mutation);
        });
        push(CountedAction::Asked { manager, host }, &|seen| {
            seen.observe_report(actual, self.mutation);
        });
        if let Some(outdated) = world.outdated.filter(|o| o.host == host) {
            push(CountedAction::SeenLate { manager, host }, &|seen| {
                seen.observe_entry(outdated.was, self.mutation);
            });
            push(CountedAction::ReportedLate { manager, host }, &|seen| {
                seen.observe_report(outdated.was, self.mutation);
            });
        }
    }

    /// Forms a group of two hosts that the manager takes to be free.
    fn form(&self, world: &CountedWorld, m: u8, known: &Manager, steps: &mut Steps) {
        let full = world.groups.len() >= usize::from(self.bounds.groups);
        if full || world.orders + 2 > self.bounds.orders {
            return;
        }
        let free = |host: &u8| {
            known.seen[usize::from(*host)].order_count().is_some()
                && self.is_free(world, known, *host)
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
            known_life: known.life,
            expected: known
                .order_count()
                .expect("only hosts with a known count get orders"),
            request,
        };
        self.in_flight.push(order);
        self.in_flight.sort_unstable();
        self.orders += 1;
        order
    }
    /// Changes what a manager knows of a host, and when it knew a head to be in its group.
    pub(super) fn learn(&mut self, manager: u8, host: u8, observe: impl FnOnce(&mut Seen)) {
        let manager = &mut self.managers[usize::from(manager)];
        let seen = &mut manager.seen[usize::from(host)];
        observe(seen);
        let (Some(member), Some(order_count)) = (seen.member, seen.order_count()) else {
            return;
        };
        if self.groups[usize::from(member.group)].members[0] == host {
            manager.heads[usize::from(member.group)] = Some(HeadSighting {
                life: seen.life,
                order_count,
            });
        }
    }
}
