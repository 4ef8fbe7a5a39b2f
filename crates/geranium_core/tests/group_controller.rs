//! Tests of the controller that leads a failure domain.

mod group_fixture;

use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry, Order, OrderAction};
use geranium_core::event::EventKind;
use geranium_core::group::{
    GroupConfig, GroupController, GroupEffect, GroupInput, GroupTable, OrderOutcome, WriteOutcome,
};
use geranium_core::id::{FencingNumber, HostId, Incarnation, StoreRevision};
use geranium_core::record::ModelSpec;
use geranium_core::time::Timestamp;
use group_fixture::{domain, entry, host, idle_report, report_after, spec};

const PROCESS: Incarnation = Incarnation(7);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// A controller with a store that replies immediately.
struct Fixture {
    controller: GroupController,
    now: Timestamp,
    sequence: u64,
    revision: StoreRevision,
    stored: Option<GroupTable>,
    orders: Vec<Order>,
    events: Vec<EventKind>,
    engines: Vec<(HostId, Option<Order>)>,
}

impl Fixture {
    fn new(hosts: &[&str], models: &[ModelSpec]) -> Self {
        let cfg = GroupConfig::default();
        let mut f = Self {
            controller: GroupController::new(cfg, domain(), PROCESS),
            now: Timestamp::from_millis(10_000),
            sequence: 0,
            revision: StoreRevision(0),
            stored: None,
            orders: Vec::new(),
            events: Vec::new(),
            engines: hosts.iter().map(|name| (host(name), None)).collect(),
        };
        let entries: Vec<HostEntry> = hosts.iter().map(|name| entry(name)).collect();
        f.input(GroupInput::HostsChanged(&entries));
        f.set_models(models);
        f
    }

    fn set_models(&mut self, models: &[ModelSpec]) {
        let drained = &[];
        self.input(GroupInput::RecordsChanged { models, drained });
    }

    fn input(&mut self, input: GroupInput<'_>) {
        let effects = self.handle_input(input);
        self.run(effects);
    }

    fn handle_input(&mut self, input: GroupInput<'_>) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        self.controller.handle(self.now, input, &mut effects);
        effects
    }

    fn run(&mut self, effects: Vec<GroupEffect>) {
        for effect in effects {
            match effect {
                GroupEffect::LoadTable { read } => self.answer_read(read),
                GroupEffect::WriteTable { table, expected } => {
                    assert_eq!(expected, self.revision);
                    assert_eq!(table.check(), Ok(()));
                    let sequence = table.version().sequence;
                    self.stored = Some(table);
                    self.revision = self.revision.next();
                    let revision = self.revision;
                    let outcome = WriteOutcome::Applied { revision };
                    self.input(GroupInput::TableWritten { sequence, outcome });
                }
                GroupEffect::SendOrder(order) => self.accept_order(order),
                GroupEffect::PublishTable(_)
                | GroupEffect::QueryPeers(_)
                | GroupEffect::YieldLeadership => {}
                GroupEffect::Emit(event) => self.events.push(event.kind),
            }
        }
    }

    fn report(&mut self, report: &EngineReport) {
        let requested_at = self.now;
        self.input(GroupInput::Report {
            report,
            requested_at,
        });
    }

    fn answer_read(&mut self, read: u64) {
        let (table, revision) = (self.stored.clone(), self.revision);
        self.input(GroupInput::TableLoaded {
            read,
            table,
            revision,
        });
    }

    /// Starts a write and returns its table.
    fn start_write(&mut self) -> GroupTable {
        self.input(GroupInput::LeadershipGained);
        self.now = self.now + REPORT_INTERVAL;
        self.report(&idle_report("h1", 1));
        let report = &idle_report("h2", 1);
        let requested_at = self.now;
        let mut effects = self.handle_input(GroupInput::Report {
            report,
            requested_at,
        });
        assert_eq!(effects.len(), 1, "the write is the only effect");
        match effects.pop() {
            Some(GroupEffect::WriteTable { table, .. }) => table,
            other => panic!("expected a write, got {other:?}"),
        }
    }

    fn accept_order(&mut self, order: Order) {
        self.orders.push(order.clone());
        let engine = self
            .engines
            .iter_mut()
            .find(|(host, _)| *host == order.host);
        let Some((_, accepted)) = engine else {
            return;
        };
        *accepted = Some(order.clone());
        let outcome = OrderOutcome::Accepted;
        self.input(GroupInput::OrderAnswered {
            order: &order,
            outcome,
        });
    }

    fn remove_engine(&mut self, name: &str) {
        self.engines.retain(|(engine, _)| *engine != host(name));
    }

    /// Advances the time, with a report of every engine in each interval.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + REPORT_INTERVAL;
            self.sequence += 1;
            for (host, accepted) in self.engines.clone() {
                let report = match &accepted {
                    Some(order) => report_after(order, self.sequence),
                    None => idle_report(host.as_str(), self.sequence),
                };
                self.report(&report);
            }
            self.input(GroupInput::Tick);
        }
    }

    fn become_leader(&mut self) {
        self.input(GroupInput::LeadershipGained);
        self.advance(Duration::from_secs(2));
    }

    fn open_groups(&self) -> usize {
        let (table, _) = self.controller.table();
        let view = self.controller.view();
        let groups = table.groups().iter();
        groups
            .filter(|(id, group)| view.is_open(self.now, id, group))
            .count()
    }
}

#[test]
fn a_leader_forms_the_groups_that_the_records_ask_for() {
    let mut f = Fixture::new(&["h1", "h2", "h3", "h4", "h5"], &[spec("v1", 2)]);

    f.become_leader();

    assert_eq!(f.open_groups(), 2);
    assert_eq!(f.orders.len(), 4);
    assert!(f.events.contains(&EventKind::GroupFormed));
}

fn orders_in(effects: &[GroupEffect]) -> usize {
    let orders = effects
        .iter()
        .filter(|effect| matches!(effect, GroupEffect::SendOrder(_)));
    orders.count()
}

fn read_in(effects: &[GroupEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        GroupEffect::LoadTable { read } => Some(*read),
        _ => None,
    })
}

#[test]
fn no_order_is_sent_before_the_table_write_succeeds() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    let sequence = f.start_write().version().sequence;

    let outcome = WriteOutcome::Failed;
    let failed = f.handle_input(GroupInput::TableWritten { sequence, outcome });

    assert!(failed.is_empty());
}

#[test]
fn no_order_follows_an_ambiguous_write_until_the_table_is_read() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    let table = f.start_write();
    let sequence = table.version().sequence;

    let outcome = WriteOutcome::Ambiguous;
    let after = f.handle_input(GroupInput::TableWritten { sequence, outcome });
    let tick = f.handle_input(GroupInput::Tick);
    let read = f.handle_input(GroupInput::TableLoaded {
        read: read_in(&after).expect("a read is requested"),
        table: Some(table),
        revision: StoreRevision(1),
    });

    assert!(tick.is_empty());
    assert_eq!(orders_in(&read), 2);
}

#[test]
fn a_late_answer_to_an_earlier_call_is_ignored() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    let table = f.start_write();
    let sequence = table.version().sequence;

    let revision = StoreRevision(1);
    let outcome = WriteOutcome::Applied { revision };
    let earlier = sequence - 1;
    let late = f.handle_input(GroupInput::TableWritten {
        sequence: earlier,
        outcome,
    });
    let timely = f.handle_input(GroupInput::TableWritten { sequence, outcome });

    assert!(late.is_empty());
    assert_eq!(orders_in(&timely), 2);
}

#[test]
fn a_read_that_takes_longer_than_a_second_still_confirms_the_table() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    let table = f.start_write();
    let sequence = table.version().sequence;
    let outcome = WriteOutcome::Ambiguous;
    let after = f.handle_input(GroupInput::TableWritten { sequence, outcome });
    for n in 2..6 {
        f.now = f.now + REPORT_INTERVAL;
        f.report(&idle_report("h1", n));
        f.report(&idle_report("h2", n));
    }

    f.now = f.now + REPORT_INTERVAL;
    let read = f.handle_input(GroupInput::TableLoaded {
        read: read_in(&after).expect("a read is requested"),
        table: Some(table),
        revision: StoreRevision(1),
    });

    assert_eq!(orders_in(&read), 2);
}

#[test]
fn a_failed_member_is_replaced_within_two_seconds() {
    let mut f = Fixture::new(&["h1", "h2", "h3"], &[spec("v1", 1)]);
    f.become_leader();
    f.orders.clear();

    f.remove_engine("h2");
    f.advance(Duration::from_secs(2));

    assert_eq!(f.open_groups(), 1);
    let loads = f
        .orders
        .iter()
        .filter(|o| matches!(o.action, OrderAction::Load(_)));
    let hosts: Vec<&str> = loads.map(|o| o.host.as_str()).collect();
    assert_eq!(hosts, ["h1", "h3"]);
}

#[test]
fn a_changed_record_keeps_the_old_group_until_the_new_one_serves() {
    let mut f = Fixture::new(&["h1", "h2", "h3", "h4"], &[spec("v1", 1)]);
    f.become_leader();

    f.set_models(&[spec("v2", 1)]);
    let mut lowest = f.open_groups();
    for _ in 0..40 {
        f.advance(REPORT_INTERVAL);
        lowest = lowest.min(f.open_groups());
    }

    assert!(lowest >= 1);
    let versions: Vec<&str> = f
        .controller
        .table()
        .0
        .groups()
        .values()
        .map(|group| group.version.as_str())
        .collect();
    assert_eq!(versions, ["v2"]);
}

#[test]
fn a_changed_record_is_applied_without_spare_hosts() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    f.become_leader();

    f.set_models(&[spec("v2", 1)]);
    f.advance(Duration::from_secs(10));

    assert_eq!(f.open_groups(), 1);
    let (table, _) = f.controller.table();
    assert!(table.groups().values().all(|group| group.version == "v2"));
}

#[test]
fn a_record_scaled_to_zero_frees_its_hosts() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    f.become_leader();

    f.set_models(&[spec("v1", 0)]);
    f.advance(Duration::from_secs(10));

    let (table, _) = f.controller.table();
    assert!(table.groups().is_empty());
    assert!(table.releasing().is_empty());
}

#[test]
fn a_leader_without_records_dissolves_nothing() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    f.become_leader();
    let cfg = GroupConfig::default();
    f.controller = GroupController::new(cfg, domain(), Incarnation(8));

    f.become_leader();

    assert_eq!(f.controller.table().0.groups().len(), 1);
}

#[test]
fn fencing_numbers_exceed_those_reported_by_engines() {
    let mut f = Fixture::new(&["h1", "h2"], &[spec("v1", 1)]);
    f.input(GroupInput::LeadershipGained);
    let mut ahead = idle_report("h1", 1);
    ahead.fencing = FencingNumber(900);
    f.now = f.now + REPORT_INTERVAL;

    f.report(&ahead);
    f.report(&idle_report("h2", 1));

    assert!(f.orders.iter().all(|order| order.fencing.0 > 900));
    assert_eq!(f.orders.len(), 2);
}

#[test]
fn an_implausible_fencing_number_of_one_engine_does_not_block_the_others() {
    let mut f = Fixture::new(&["h1", "h2", "h3"], &[spec("v1", 1)]);
    f.input(GroupInput::LeadershipGained);
    let mut implausible = idle_report("h9", 1);
    implausible.fencing = FencingNumber(u64::MAX);
    implausible.host = host("h3");

    f.report(&implausible);
    f.advance(Duration::from_secs(2));

    assert_eq!(f.open_groups(), 1);
}
