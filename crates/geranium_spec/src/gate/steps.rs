//! The steps that are possible in a state of the gate model.

use std::fmt;

use super::model::{BOUND_TICKS, REPORT_MAX_DELAY_TICKS};
use super::state::{Follows, Heard, Report, ReportInFlight};
use super::{GateModel, GateWorld};
use crate::Mutation;

/// One step of one part of the gate model; numbers name hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Time passes.
    TimePasses,
    /// The table in the store replaces a member.
    TableChanges,
    /// The entry host learns of the new table.
    TableHeard,
    /// An engine ends.
    EngineEnds(u8),
    /// An engine starts again without a model.
    EngineStarts(u8),
    /// An engine follows an order of a table.
    OrderArrives(u8, u8),
    /// An engine is released.
    ReleaseArrives(u8),
    /// An engine sends a report.
    ReportSent(u8),
    /// A report arrives at the entry host.
    ReportArrives(u8),
}

impl fmt::Display for GateAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimePasses => write!(f, "one tick passes"),
            Self::TableChanges => write!(f, "the table replaces h1 by h2"),
            Self::TableHeard => write!(f, "the entry host learns of the new table"),
            Self::EngineEnds(host) => write!(f, "the engine of h{host} ends"),
            Self::EngineStarts(host) => write!(f, "the engine of h{host} starts again"),
            Self::OrderArrives(host, table) => {
                write!(f, "h{host} follows the order of table {table}")
            }
            Self::ReleaseArrives(host) => write!(f, "h{host} is released"),
            Self::ReportSent(host) => write!(f, "h{host} sends a report"),
            Self::ReportArrives(host) => write!(f, "a report of h{host} arrives"),
        }
    }
}

type Steps = Vec<(GateAction, GateWorld)>;

impl GateModel {
    pub(super) fn steps(&self, world: &GateWorld) -> Steps {
        let mut steps = Steps::new();
        self.time_and_table_steps(world, &mut steps);
        for index in 0..world.engines.len() {
            let host = u8::try_from(index).expect("few hosts");
            self.engine_steps(world, host, &mut steps);
        }
        self.report_steps(world, &mut steps);
        for (_, next) in &mut steps {
            note_followed(next);
            self.note_gate(next);
        }
        steps
    }

    fn time_and_table_steps(&self, world: &GateWorld, steps: &mut Steps) {
        if world.tick < self.bounds.last_tick {
            let mut next = world.clone();
            next.tick += 1;
            next.in_flight.retain(|flight| flight.until >= next.tick);
            steps.push((GateAction::TimePasses, next));
        }
        if world.stored == 0 {
            let mut next = world.clone();
            next.stored = 1;
            steps.push((GateAction::TableChanges, next));
        } else if world.known == 0 {
            let mut next = world.clone();
            next.known = 1;
            steps.push((GateAction::TableHeard, next));
        }
    }

    fn engine_steps(&self, world: &GateWorld, host: u8, steps: &mut Steps) {
        let index = usize::from(host);
        let engine = world.engines[index];
        if !engine.up {
            let mut next = world.clone();
            next.engines[index].up = true;
            next.engines[index].incarnation += 1;
            next.engines[index].sequence = 0;
            next.engines[index].follows = Follows::Nothing;
            steps.push((GateAction::EngineStarts(host), next));
            return;
        }
        if world.failures < self.bounds.failures {
            let mut next = world.clone();
            next.failures += 1;
            next.engines[index].up = false;
            steps.push((GateAction::EngineEnds(host), next));
        }
        if world.orders >= self.bounds.orders {
            return;
        }
        for table in 0..=world.stored {
            if self.is_member(table, host) && engine.follows != Follows::Table(table) {
                let mut next = world.clone();
                next.orders += 1;
                next.engines[index].follows = Follows::Table(table);
                steps.push((GateAction::OrderArrives(host, table), next));
            }
        }
        let released = world.stored == 1 && !self.is_member(1, host);
        if released && engine.follows != Follows::Nothing {
            let mut next = world.clone();
            next.orders += 1;
            next.engines[index].follows = Follows::Nothing;
            steps.push((GateAction::ReleaseArrives(host), next));
        }
    }

    fn report_steps(&self, world: &GateWorld, steps: &mut Steps) {
        if world.reports < self.bounds.reports {
            for index in 0..world.engines.len() {
                if world.engines[index].up {
                    let host = u8::try_from(index).expect("few hosts");
                    steps.push((GateAction::ReportSent(host), send_report(world, host)));
                }
            }
        }
        for index in 0..world.in_flight.len() {
            let mut next = world.clone();
            let report = next.in_flight.remove(index).report;
            self.hear(&mut next, report);
            steps.push((GateAction::ReportArrives(report.host), next));
        }
    }

    fn hear(&self, world: &mut GateWorld, report: Report) {
        let mut gate = self.gate(world.known, &world.heard);
        if gate.observe(self.time(world.tick), &self.engine_report(report)) {
            let tick = world.tick;
            // An earlier report of one run leaves no trace in the gate.
            world.heard.retain(|heard| {
                let same_run = heard.report.incarnation == report.incarnation;
                heard.report.host != report.host || !same_run
            });
            world.heard.push(Heard { report, tick });
        }
        if self.mutates(Mutation::HeadSpeaksForMembers) && report.host == 0 {
            self.hear_members(world);
        }
    }

    /// Takes a report of rank 0 for one of every member.
    fn hear_members(&self, world: &mut GateWorld) {
        let tick = world.tick;
        for host in 1..u8::try_from(world.engines.len()).expect("few hosts") {
            if self.is_member(world.known, host) {
                let report = Report {
                    host,
                    incarnation: 1,
                    sequence: u8::MAX,
                    follows: Follows::Table(world.known),
                };
                world.heard.push(Heard { report, tick });
            }
        }
    }
}

fn send_report(world: &GateWorld, host: u8) -> GateWorld {
    let mut next = world.clone();
    next.reports += 1;
    let engine = &mut next.engines[usize::from(host)];
    engine.sequence += 1;
    let report = Report {
        host,
        incarnation: engine.incarnation,
        sequence: engine.sequence,
        follows: engine.follows,
    };
    next.in_flight.push(ReportInFlight {
        report,
        until: world.tick + REPORT_MAX_DELAY_TICKS,
    });
    next.in_flight.sort_unstable();
    next
}

/// Notes which engines follow which table at this time; what is older than the
/// bound makes no difference any more.
fn note_followed(world: &mut GateWorld) {
    let tick = world.tick;
    for engine in &mut world.engines {
        for followed_at in &mut engine.followed_at {
            *followed_at = followed_at.filter(|at| tick - at <= BOUND_TICKS);
        }
        if let (true, Follows::Table(table)) = (engine.up, engine.follows) {
            engine.followed_at[usize::from(table)] = Some(tick);
        }
    }
}
