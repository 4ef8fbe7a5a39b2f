//! Sending of orders and handling of their outcomes.

use super::GroupController;
use crate::engine::{Order, OrderAction};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::dispatch::DueOrder;
use crate::group::{GroupEffect, OrderOutcome, OutagePolicy};
use crate::time::Timestamp;

impl<P: OutagePolicy> GroupController<P> {
    /// Handles the outcome of an order.
    pub(super) fn order_answered(&mut self, now: Timestamp, order: &Order, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted if order.action == OrderAction::Release => {
                self.progress
                    .release_accepted(now, &order.host, order.fencing);
            }
            // A newer leader may have written the table: read it before the next order.
            OrderOutcome::Refused { .. } => self.confirmed_at = None,
            OrderOutcome::Accepted | OrderOutcome::NoAnswer => {}
        }
    }

    /// Sends the due orders if the table was confirmed recently; otherwise reads the table.
    pub(super) fn send_due_orders(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let due = self.dispatcher.due(now, &self.view, &self.table);
        if due.is_empty() {
            return;
        }
        let limit = self.view.config().table_confirmation_max_age;
        let confirmed = self.confirmed_at.is_some_and(|at| now.since(at) <= limit);
        if confirmed {
            self.send(now, due, effects);
        } else {
            self.read_table(now, None, effects);
        }
    }

    /// Sends orders and emits an event for each new one.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        due: Vec<DueOrder>,
        effects: &mut Vec<GroupEffect>,
    ) {
        for DueOrder { order, first } in due {
            self.dispatcher.record_sent(now, &order);
            if first {
                effects.push(GroupEffect::Emit(order_event(&order)));
            }
            effects.push(GroupEffect::SendOrder(order));
        }
    }
}

fn order_event(order: &Order) -> EventDraft {
    let mut subject = EventSubject::host(&order.host);
    let what = match &order.action {
        OrderAction::Load(load) => {
            subject.group = Some(load.group.clone());
            "load"
        }
        OrderAction::Release => "release",
        OrderAction::Fence => "fence",
    };
    let reason = format!("{what} under fencing number {}", order.fencing);
    EventDraft::new(EventKind::OrderSent, subject, reason)
}
