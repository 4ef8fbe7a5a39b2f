//! Delivery of messages.

use geranium_core::group::OutagePolicy;

use super::Rig;
use crate::control::message::{Message, Node};
use crate::control::network::Packet;

impl<P: OutagePolicy + Clone> Rig<P> {
    pub(super) fn deliver_packets(&mut self) {
        while let Some(packet) = self.network.next(self.now) {
            match packet.to {
                Node::Store => self.deliver_to_store(packet),
                Node::Entry(position) => self.deliver_to_entry(position, packet),
                Node::Engine(position) => self.deliver_to_engine(position, packet),
            }
        }
    }

    fn deliver_to_store(&mut self, packet: Packet) {
        if !self.store_up {
            return;
        }
        let answer = self.store.answer(self.now, packet.message);
        for table in std::mem::take(&mut self.store.written) {
            self.oracle.check_written(&table);
            for position in 0..self.entries.len() {
                let message = Message::Table(table.clone());
                self.send(Node::Store, Node::Entry(position), message);
            }
        }
        if let Some(message) = answer {
            self.send(Node::Store, packet.from, message);
        }
    }

    fn deliver_to_entry(&mut self, position: usize, packet: Packet) {
        let host = &mut self.entries[position];
        match host.paused_until.filter(|until| *until > self.now) {
            _ if !host.alive => {}
            Some(until) => self.network.enqueue(until, packet),
            None => {
                host.receive(self.now, packet.from, packet.message);
                self.flush(position);
            }
        }
    }

    fn deliver_to_engine(&mut self, position: usize, packet: Packet) {
        let engine = &mut self.engines[position];
        if !engine.alive {
            return;
        }
        if let Some(until) = engine.paused_until.filter(|until| *until > self.now) {
            self.network.enqueue(until, packet);
            return;
        }
        let answer = match packet.message {
            Message::Poll(call) => engine.report(self.now).map(|r| Message::Report(call, r)),
            Message::Order(order) => {
                self.oracle.check_order(&order);
                let outcome = engine.take(self.now, &order);
                Some(Message::OrderAnswer(order, outcome))
            }
            _ => None,
        };
        if let Some(message) = answer {
            self.send(Node::Engine(position), packet.from, message);
        }
    }
}
