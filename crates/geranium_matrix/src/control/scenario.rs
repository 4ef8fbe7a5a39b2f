//! One cell of the control half: faults at several moments of a step.

use std::fmt;
use std::time::Duration;

use geranium_core::group::OutagePolicy;
use geranium_core::time::Timestamp;

use super::fleet::REPLICAS;
use super::oracle::GATE_LIMIT;
use super::rig::QUANTUM;
use super::{Fleet, Measures, Mutation, Rig, Step, Violation};
use crate::Fault;

/// Time before a step in which the rig settles.
const SETTLE_TIME: Duration = Duration::from_millis(14_000);

/// Time from just before the step to its beginning.
const LEAD_IN: Duration = Duration::from_millis(300);

/// Time between two faults of a pair.
const PAIR_GAP: Duration = Duration::from_millis(700);

/// Time after the last fault by which everything serves again.
const RESTORE_LIMIT: Duration = Duration::from_millis(60_000);

/// Time for which everything must go on serving before a run ends.
const STABLE_TIME: Duration = Duration::from_millis(2_000);

/// Time from a member's death to the order for its repair.
const REPAIR_ORDER_LIMIT: Duration = Duration::from_millis(2_000);

/// A step with faults at one moment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The step.
    pub step: Step,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Time by which the step is shifted against the entry hosts' polls.
    pub phase: Duration,
    /// Time of the first fault, counted from just before the step.
    pub moment: Duration,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
    /// Guard that is removed, if any.
    pub mutation: Option<Mutation>,
}

/// What a scenario came to.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// What it cost.
    pub measures: Measures,
}

/// Time from a domain's return until its groups take work again.
const RETURN_LIMIT: Duration = Duration::from_millis(2_000);

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<&str> = self.faults.iter().map(|fault| fault.as_str()).collect();
        let kind = if self.checks_fencing { "" } else { "@unfenced" };
        let moment = self.moment.as_millis();
        write!(f, "{} {}{kind} at {moment} ms", faults.join("+"), self.step)
    }
}

#[derive(Clone, Copy)]
enum Action {
    BeginStep,
    EndStep,
    BeginFault(Fault),
    EndFault(Fault),
}

impl Scenario {
    /// Runs the scenario.
    #[must_use]
    pub fn run(&self, policy: impl OutagePolicy + Clone) -> ScenarioResult {
        let fleet = Fleet::standard(self.checks_fencing);
        let mut rig = Rig::new(fleet, policy, self.mutation);
        if self.step.starts_with_groups() {
            rig.set_records(&[Fleet::record("v1", REPLICAS)], &[]);
        }
        rig.run_for(SETTLE_TIME + self.phase);
        if self.step.starts_with_groups() {
            rig.wanted = REPLICAS as usize;
        }
        let start = rig.now;
        for (at, action) in self.actions() {
            let wait = (start + at).since(rig.now);
            rig.run_for(wait);
            self.act(&mut rig, action);
        }
        self.wait_until_restored(&mut rig);
        self.check_costs(&mut rig);
        ScenarioResult {
            violations: rig.oracle.violations(),
            measures: rig.measures,
        }
    }

    fn actions(&self) -> Vec<(Duration, Action)> {
        let mut actions = vec![
            (LEAD_IN, Action::BeginStep),
            (LEAD_IN + self.step.length(), Action::EndStep),
        ];
        let mut at = self.moment;
        for &fault in &self.faults {
            actions.push((at, Action::BeginFault(fault)));
            actions.push((at + fault.length(), Action::EndFault(fault)));
            at += PAIR_GAP;
        }
        actions.sort_by_key(|(at, _)| *at);
        actions
    }

    fn act<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>, action: Action) {
        match action {
            Action::BeginStep => self.step.begin(rig),
            Action::EndStep => self.step.end(rig),
            Action::BeginFault(fault) => fault.happen(rig, self.step),
            Action::EndFault(fault) => fault.end(rig, self.step),
        }
    }

    /// Lets time pass until every replica that the hosts can carry serves on
    /// every entry host, or until the limit.
    fn wait_until_restored<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        let limit = rig.now + RESTORE_LIMIT;
        let mut whole_since: Option<Timestamp> = None;
        while rig.now < limit {
            rig.run_for(QUANTUM);
            let expected = (REPLICAS as usize).min(rig.capacity());
            rig.wanted = expected;
            if self.fewest_open(rig) < expected {
                whole_since = None;
                continue;
            }
            let since = *whole_since.get_or_insert(rig.now);
            if rig.now.since(since) >= STABLE_TIME {
                return;
            }
        }
        let open = self.fewest_open(rig);
        rig.oracle.note(Violation::NotRestored(open, rig.wanted));
    }

    /// Counts the open groups of the final version on the entry host that has fewest.
    fn fewest_open<P: OutagePolicy + Clone>(&self, rig: &Rig<P>) -> usize {
        let count = |position: usize| {
            let groups = rig.entries[position].gate().table().groups();
            let open = rig.open_on(position);
            let current = open
                .iter()
                .filter(|id| groups[*id].version == self.step.final_version());
            current.count()
        };
        (0..rig.entries.len()).map(count).min().unwrap_or(0)
    }

    fn check_costs<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        let cut: usize = rig.engines.iter().map(|engine| engine.cut_requests).sum();
        if self.step != Step::Repair && self.spares_engines() && cut > 0 {
            rig.oracle.note(Violation::RequestsCut(cut));
        }
        match self.step {
            Step::Repair => self.check_repair(rig),
            Step::ConfigurationChange | Step::LeaderChange => self.check_gap(rig),
            Step::DomainOutAndBack => self.check_return(rig),
            Step::Formation | Step::Leaving => {}
        }
    }

    /// Returns whether every member stays within reach of the present leader.
    fn spares_engines(&self) -> bool {
        let hit = self.faults.iter().any(|fault| fault.hits_engines());
        let hidden = self.faults.contains(&Fault::MemberCutFromFollowers);
        let moved =
            self.step == Step::LeaderChange || self.faults.iter().any(|fault| fault.moves_leader());
        !(hit || hidden && moved)
    }

    /// Returns whether groups serve on through the faults on some entry host.
    fn spares_service(&self) -> bool {
        let taken = self.faults.iter().filter(|fault| fault.takes_entry_host());
        let taken = taken.count() + usize::from(self.step == Step::LeaderChange);
        let fleet = Fleet::standard(self.checks_fencing);
        let disturbed = [Fault::EntryHostsReplaced, Fault::OperatorsRace];
        self.spares_engines()
            && taken < fleet.entry_hosts
            && !self.faults.iter().any(|fault| disturbed.contains(fault))
    }

    fn check_repair<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        let closed = rig.measures.gate_closed_after.unwrap_or(RESTORE_LIMIT);
        if closed > GATE_LIMIT {
            rig.oracle
                .note(Violation::TooLate("closing the gate", closed));
        }
        let ordered = rig.measures.repair_ordered_after.unwrap_or(RESTORE_LIMIT);
        let leader_works = self.faults.iter().all(|fault| fault.spares_leader());
        if leader_works && ordered > REPAIR_ORDER_LIMIT {
            rig.oracle
                .note(Violation::TooLate("ordering the repair", ordered));
        }
    }

    /// Old groups serve until new ones do, and need no leader to serve.
    fn check_gap<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        let gap = rig.measures.group_downtime;
        if self.spares_service() && !gap.is_zero() {
            rig.oracle.note(Violation::Gap(gap));
        }
    }

    /// Groups that stayed loaded serve as soon as the domain is back.
    fn check_return<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        let gap = rig.measures.group_downtime;
        let limit = RETURN_LIMIT * REPLICAS;
        if self.spares_service() && gap > limit {
            rig.oracle
                .note(Violation::TooLate("taking work again", gap));
        }
    }
}
