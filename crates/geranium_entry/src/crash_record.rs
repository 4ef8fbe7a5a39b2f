//! What entry hosts tell each other about crashes of backend servers.

use geranium_fleet::crash::{CrashCount, CrashReport, Trial};
use serde::{Deserialize, Serialize};

use crate::stored_record;

/// Prefix of the values that hold crash records.
pub(crate) const CRASH_PREFIX: &str = "crash/";

/// A message about crashes, as a value in the store or as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CrashRecord {
    /// A backend server has ended under requests.
    Crashed(CrashReport),
    /// A suspected request or prompt part was answered.
    Disproved(CrashCount),
    /// An entry host lets one request with a refused prompt part run.
    Trial(Trial),
}

impl CrashRecord {
    /// Parses a stored record; one that is malformed is ignored.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        stored_record::parse("crash record", value)
    }

    /// Returns the name of the record in the store. Two entry hosts that have the same to say
    /// use the same name, except for crashes, of which each knows other requests: these names
    /// contain the `sender` and a number that it does not use twice.
    pub(crate) fn name(&self, sender: &str, number: u64) -> String {
        match self {
            Self::Crashed(report) => {
                let (host, incarnation) = (&report.crash.host, report.crash.incarnation);
                format!("{CRASH_PREFIX}server/{host}-{incarnation}/{sender}-{number:x}")
            }
            Self::Disproved(count) => {
                let (subject, disproved) = (count.subject, count.disproved);
                format!("{CRASH_PREFIX}disproved/{subject}/{disproved}")
            }
            Self::Trial(trial) => {
                let (subject, crashes, number) = (trial.subject, trial.crashes, trial.number);
                format!("{CRASH_PREFIX}trial/{subject}/{crashes}-{number}")
            }
        }
    }
}
