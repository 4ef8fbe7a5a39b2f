//! What an entry host does on the effects of its controller.

use geranium_core::engine::Order;
use geranium_core::group::{GroupEffect, GroupInput, GroupTable, OutagePolicy};
use geranium_core::id::{FencingNumber, HostId};
use geranium_core::time::Timestamp;

use super::{Call, EntryHost, YIELD_TIME};
use crate::control::Mutation;
use crate::control::message::{Message, Node};

impl<P: OutagePolicy + Clone> EntryHost<P> {
    pub(super) fn input(&mut self, now: Timestamp, input: GroupInput<'_>) {
        let mut effects = Vec::new();
        self.controller.handle(now, input, &mut effects);
        for effect in effects {
            self.act(now, effect);
        }
    }

    fn act(&mut self, now: Timestamp, effect: GroupEffect) {
        match effect {
            GroupEffect::LoadTable { read } => {
                let call = self.call(now, Call::Read { read });
                self.outbox.push((Node::Store, Message::Read(call)));
            }
            GroupEffect::WriteTable { table, expected } => {
                if self.mutation == Some(Mutation::OrderBeforeIntent) {
                    table.orders().into_iter().for_each(|o| self.send_order(o));
                }
                let sequence = table.version().sequence;
                let call = self.call(now, Call::Write { sequence, expected });
                self.outbox
                    .push((Node::Store, Message::Write(call, table, expected)));
            }
            GroupEffect::PublishTable(table) => {
                if table.version().amendment > 0 {
                    self.amendments.push(table.clone());
                }
                // A table that breaks a rule is refused by the gate itself.
                let _ = self.gate.set_table(&table);
                self.publish(table);
            }
            GroupEffect::QueryPeers(hosts) => self.send_to_peers(&Message::Ask(hosts)),
            GroupEffect::YieldLeadership => self.yield_lease(now),
            GroupEffect::SendOrder(order) => self.send_order(order),
            GroupEffect::Emit(_) => {}
        }
    }

    fn send_order(&mut self, mut order: Order) {
        let first = self.sent.insert((order.host.clone(), order.fencing));
        if self.mutation == Some(Mutation::OrdersSentOnce) && !first {
            return;
        }
        if self.mutation == Some(Mutation::FencingConstant) {
            order.fencing = FencingNumber(1);
        }
        if let Some(&engine) = self.engines.get(&order.host) {
            self.outbox
                .push((Node::Engine(engine), Message::Order(order)));
        }
    }

    pub(super) fn publish(&mut self, table: GroupTable) {
        self.send_to_peers(&Message::Table(table));
    }

    fn send_to_peers(&mut self, message: &Message) {
        for peer in (0..self.peers).filter(|&peer| peer != self.position) {
            self.outbox.push((Node::Entry(peer), message.clone()));
        }
    }

    pub(super) fn answer_peer(&mut self, now: Timestamp, from: Node, hosts: &[HostId]) {
        for host in hosts {
            if let Some(o) = self.controller.view().reports().get(host) {
                let age = now.since(o.requested_at);
                self.outbox.push((from, Message::Heard(host.clone(), age)));
            }
        }
    }

    fn yield_lease(&mut self, now: Timestamp) {
        self.lease_until = None;
        self.next_lease = now + YIELD_TIME;
        self.outbox
            .push((Node::Store, Message::Release(self.incarnation)));
        self.input(now, GroupInput::LeadershipLost);
    }
}
