//! Links between the parts of a rig.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geranium_core::time::Timestamp;

use super::message::{Message, Node};

const LINK_DELAY: Duration = Duration::from_millis(2);
const ORDER_COPY_DELAY: Duration = Duration::from_millis(2_300);

/// A message on its way.
#[derive(Clone, Debug)]
pub(super) struct Packet {
    pub(super) from: Node,
    pub(super) to: Node,
    pub(super) message: Message,
}

/// Links with delays, cuts and late copies of orders.
#[derive(Clone, Debug, Default)]
pub(super) struct Network {
    queue: BTreeMap<(Timestamp, u64), Packet>,
    sent: u64,
    cuts: BTreeSet<(Node, Node)>,
    /// Extra delay of messages to and from the store.
    pub(super) store_delay: Duration,
    /// Whether each order arrives once more, late.
    pub(super) copy_orders: bool,
    /// Whether orders are lost.
    pub(super) lose_orders: bool,
}

impl Network {
    /// Cuts two parts off from each other.
    pub(super) fn cut(&mut self, a: Node, b: Node) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Mends every cut.
    pub(super) fn mend(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether two parts are cut off from each other.
    pub(super) fn is_cut(&self, a: Node, b: Node) -> bool {
        self.cuts.contains(&(a, b))
    }

    /// Sends a message, which is lost if the parts are cut off from each other.
    pub(super) fn send(&mut self, now: Timestamp, packet: Packet) {
        if self.is_cut(packet.from, packet.to) {
            return;
        }
        let is_order = matches!(packet.message, Message::Order(_));
        if is_order && self.lose_orders {
            return;
        }
        if is_order && self.copy_orders {
            self.enqueue(now + ORDER_COPY_DELAY, packet.clone());
        }
        let with_store = packet.from == Node::Store || packet.to == Node::Store;
        let extra = if with_store {
            self.store_delay
        } else {
            Duration::ZERO
        };
        self.enqueue(now + LINK_DELAY + extra, packet);
    }

    /// Puts a message back until its receiver is ready.
    pub(super) fn enqueue(&mut self, at: Timestamp, packet: Packet) {
        self.sent += 1;
        self.queue.insert((at, self.sent), packet);
    }

    /// Takes the next message that has arrived.
    pub(super) fn next(&mut self, now: Timestamp) -> Option<Packet> {
        let (&key, _) = self.queue.first_key_value()?;
        if key.0 > now {
            return None;
        }
        let packet = self.queue.remove(&key)?;
        if self.is_cut(packet.from, packet.to) {
            return self.next(now);
        }
        Some(packet)
    }
}
