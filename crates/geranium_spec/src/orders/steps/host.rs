//! What hosts do with orders, and what happens to them.

use super::Steps;
use crate::Mutation;
use crate::orders::state::{GroupNumber, Host, Member, Order, Phase, Request};
use crate::orders::{CountedAction, CountedModel, CountedWorld};

impl CountedModel {
    /// Lets each order on its way arrive, with and without an answer.
    pub(super) fn arrivals(&self, world: &CountedWorld, steps: &mut Steps) {
        for index in 0..world.in_flight.len() {
            let mut next = world.clone();
            let order = next.in_flight.remove(index);
            let begun = self.carry_out(&mut next, order);
            let text = order.to_string();
            let mut answered = next.clone();
            answered.learn(order.manager, order.host, |seen| {
                if begun {
                    seen.record_begun(order);
                } else {
                    seen.record_refused(order);
                }
            });
            if answered != next {
                let action = CountedAction::Arrives {
                    order: text.clone(),
                    answered: true,
                };
                steps.push((action, answered));
            }
            let action = CountedAction::Arrives {
                order: text,
                answered: false,
            };
            steps.push((action, next));
        }
    }

    pub(super) fn host_steps(&self, world: &CountedWorld, steps: &mut Steps) {
        for (host, actual) in (0_u8..).zip(&world.hosts) {
            if let Some(member) = actual.member.filter(|m| m.state == Phase::Joining) {
                let mut next = world.clone();
                next.become_ready(host, member.group);
                steps.push((CountedAction::Ready(host), next));
            }
            if world.lacks_member(host, *actual) {
                let mut next = world.clone();
                next.set_state(host, Phase::Broken);
                steps.push((CountedAction::HeadBreaks(host), next));
            }
            if world.restarts < self.bounds.restarts {
                let mut next = world.clone();
                next.restart(host);
                steps.push((CountedAction::Restarts(host), next));
            }
        }
    }

    /// Carries an order out and returns whether it has begun.
    fn carry_out(&self, world: &mut CountedWorld, order: Order) -> bool {
        let host = world.hosts[usize::from(order.host)];
        let counted = order.expected == host.begun || self.mutates(Mutation::OrdersWithoutCount);
        if order.life != host.life || !counted {
            return false;
        }
        let done = match order.request {
            Request::Join(group) => world.join(order.host, group),
            Request::Open(group) => world.open(order.host, group),
            Request::Leave(group) => world.leave(order.host, group),
        };
        if done {
            world.hosts[usize::from(order.host)].begun += 1;
        }
        done
    }
}

impl CountedWorld {
    /// Returns whether the head of a group serves it.
    pub(in crate::orders) fn serves(&self, group: GroupNumber) -> bool {
        let Some(formed) = self.groups.get(usize::from(group)) else {
            return false;
        };
        let open = Member {
            group,
            state: Phase::Open,
        };
        self.hosts[usize::from(formed.members[0])].member == Some(open)
    }

    fn set_state(&mut self, host: u8, state: Phase) {
        if let Some(member) = &mut self.hosts[usize::from(host)].member {
            member.state = state;
        }
    }

    fn become_ready(&mut self, host: u8, group: GroupNumber) {
        self.set_state(host, Phase::Ready);
        self.groups[usize::from(group)].were_ready |= 1 << host;
    }

    /// Returns whether a host is a head that serves and has lost a member.
    fn lacks_member(&self, host: u8, actual: Host) -> bool {
        let Some(member) = actual.member.filter(|m| m.state == Phase::Open) else {
            return false;
        };
        let other = self.groups[usize::from(member.group)].members[1];
        let other = self.hosts[usize::from(other)].member;
        debug_assert_eq!(self.groups[usize::from(member.group)].members[0], host);
        other.is_none_or(|other| other.group != member.group)
    }

    fn join(&mut self, host: u8, group: GroupNumber) -> bool {
        let own = self.hosts[usize::from(host)].member;
        if own.is_some_and(|m| m.group == group) {
            return false;
        }
        if own.is_some_and(|m| self.serves(m.group)) {
            self.broken.joined_beside_open_head = true;
        }
        self.hosts[usize::from(host)].member = Some(Member {
            group,
            state: Phase::Joining,
        });
        true
    }

    fn open(&mut self, host: u8, group: GroupNumber) -> bool {
        let ready = Member {
            group,
            state: Phase::Ready,
        };
        let formed = self.groups[usize::from(group)];
        if self.hosts[usize::from(host)].member != Some(ready) || formed.members[0] != host {
            return false;
        }
        let all = formed.members.iter().fold(0, |bits, m| bits | (1 << m));
        if formed.were_ready != all {
            self.broken.opened_partial = true;
        }
        self.set_state(host, Phase::Open);
        true
    }

    fn leave(&mut self, host: u8, group: GroupNumber) -> bool {
        let own = self.hosts[usize::from(host)].member;
        if own.is_none_or(|m| m.group != group) {
            return false;
        }
        self.hosts[usize::from(host)].member = None;
        true
    }

    /// Starts a host anew; the orders that its process had taken end with it.
    fn restart(&mut self, host: u8) {
        self.restarts += 1;
        let life = self.hosts[usize::from(host)].life + 1;
        self.hosts[usize::from(host)] = Host {
            life,
            ..Host::default()
        };
        self.in_flight.retain(|order| order.host != host);
    }
}
