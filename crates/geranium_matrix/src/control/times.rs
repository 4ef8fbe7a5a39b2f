//! Times from a member's death to the gate closed and to the repair ordered.

use std::fmt;
use std::time::Duration;

use geranium_core::group::DelegatedSpares;

use super::{Scenario, Step};
use crate::Fault;

/// Deaths that are timed, each at another moment between two polls.
const DEATHS: u64 = 25;

/// Time between the moments of two deaths.
const PHASE_STEP: u64 = 10;

/// Times from a member's death, over deaths at all moments between two polls.
#[derive(Clone, Debug)]
pub struct RepairTimes {
    fault: Fault,
    checks_fencing: bool,
    closed: Vec<Duration>,
    ordered: Vec<Duration>,
}

impl RepairTimes {
    /// Times deaths while a fault is in force that began just before.
    #[must_use]
    pub fn measure(fault: Fault, checks_fencing: bool) -> Self {
        let mut times = Self {
            fault,
            checks_fencing,
            closed: Vec::new(),
            ordered: Vec::new(),
        };
        for death in 0..DEATHS {
            let scenario = Scenario {
                step: Step::Repair,
                faults: vec![fault],
                phase: Duration::from_millis(death * PHASE_STEP),
                moment: Duration::ZERO,
                checks_fencing,
                mutation: None,
            };
            let measures = scenario.run(DelegatedSpares).measures;
            times.closed.extend(measures.gate_closed_after);
            times.ordered.extend(measures.repair_ordered_after);
        }
        times.closed.sort_unstable();
        times.ordered.sort_unstable();
        times
    }
}

impl fmt::Display for RepairTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let engines = if self.checks_fencing {
            "fenced"
        } else {
            "unfenced"
        };
        write!(f, "{} {engines} ", self.fault)?;
        write_times(f, "closed", &self.closed)?;
        f.write_str(" ")?;
        write_times(f, "ordered", &self.ordered)
    }
}

fn write_times(f: &mut fmt::Formatter<'_>, what: &str, times: &[Duration]) -> fmt::Result {
    let at = |n: usize| times.get(n).map_or(0, Duration::as_millis);
    let last = times.len().saturating_sub(1);
    write!(
        f,
        "{what} n={} min={} median={} max={}",
        times.len(),
        at(0),
        at(last / 2),
        at(last)
    )
}
