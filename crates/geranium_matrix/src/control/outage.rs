//! Costs of an outage of the platform's store under a policy.

use std::fmt;
use std::time::Duration;

use geranium_core::group::OutagePolicy;

use super::fleet::REPLICAS;
use super::{Fleet, Measures, Rig};

const SETTLE_TIME: Duration = Duration::from_millis(14_000);

/// Time from the beginning of an outage to the fault.
const FAULT_AFTER: Duration = Duration::from_millis(5_000);

/// Time that is measured after the outage.
const AFTERMATH: Duration = Duration::from_millis(30_000);

/// Time that a replaced entry host needs to start.
const RESTART_TIME: Duration = Duration::from_millis(2_000);

/// What happens during an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageFault {
    /// Nothing else fails.
    Nothing,
    /// One member dies.
    MemberDies,
    /// A member of each group dies.
    TwoMembersDie,
    /// A member restarts and has lost its model.
    MemberRestarts,
    /// The leading entry host is replaced, then a member dies.
    LeaderThenMemberDies,
}

impl OutageFault {
    /// Every fault.
    pub const ALL: &'static [Self] = &[
        Self::Nothing,
        Self::MemberDies,
        Self::TwoMembersDie,
        Self::MemberRestarts,
        Self::LeaderThenMemberDies,
    ];
}

impl fmt::Display for OutageFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing",
            Self::MemberDies => "member-dies",
            Self::TwoMembersDie => "two-members-die",
            Self::MemberRestarts => "member-restarts",
            Self::LeaderThenMemberDies => "leader-then-member-dies",
        })
    }
}

/// An outage of the store with a fault in it.
#[derive(Clone, Copy, Debug)]
pub struct OutageCost {
    /// The fault.
    pub fault: OutageFault,
    /// Length of the outage.
    pub outage: Duration,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
}

impl OutageCost {
    /// Runs the outage and returns what it costs, with the number of broken rules.
    #[must_use]
    pub fn run(&self, policy: impl OutagePolicy + Clone) -> (Measures, usize) {
        let mut rig = Rig::new(Fleet::standard(self.checks_fencing), policy, None);
        rig.set_records(&[Fleet::record("v1", REPLICAS)], &[]);
        rig.run_for(SETTLE_TIME);
        rig.wanted = REPLICAS as usize;
        rig.measures = Measures::default();
        rig.store_up = false;
        rig.run_for(FAULT_AFTER);
        self.happen(&mut rig);
        rig.run_for(self.outage.saturating_sub(FAULT_AFTER));
        rig.store_up = true;
        rig.run_for(AFTERMATH);
        (rig.measures, rig.oracle.violations().len())
    }

    fn happen<P: OutagePolicy + Clone>(&self, rig: &mut Rig<P>) {
        match self.fault {
            OutageFault::Nothing => {}
            OutageFault::MemberDies => kill(rig, 0),
            OutageFault::TwoMembersDie => {
                kill(rig, 0);
                kill(rig, 1);
            }
            OutageFault::MemberRestarts => {
                if let Some(host) = rig.member(0, 1) {
                    let position = rig.engine_position(&host);
                    rig.engines[position].restart();
                }
            }
            OutageFault::LeaderThenMemberDies => {
                // The lease has run out by now, so the last writer is the leader meant.
                let last = rig.last_writer();
                rig.entries[last].alive = false;
                rig.run_for(RESTART_TIME);
                rig.replace_entry(last);
                kill(rig, 0);
            }
        }
    }
}

fn kill<P: OutagePolicy + Clone>(rig: &mut Rig<P>, group: usize) {
    if let Some(host) = rig.member(group, 1) {
        let position = rig.engine_position(&host);
        rig.engines[position].alive = false;
    }
}
