//! Whether a request may run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::CrashSubject;

/// A single request that may run in spite of a refusal, to find out whether its subject still
/// crashes backend servers. One entry host may let it run; they agree on which by the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The refused subject.
    pub subject: CrashSubject,
    /// Its crashes so far.
    pub crashes: u32,
    /// Number of the trial since the last crash, from 1.
    pub number: u32,
}

/// Decision on whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may run.
    Allowed,
    /// It may run only if this entry host wins the trial.
    Trial(Trial),
    /// It must not run.
    Refused {
        /// The subject that crashes backend servers.
        subject: CrashSubject,
        /// Time until the next trial.
        retry_after: Duration,
    },
}
