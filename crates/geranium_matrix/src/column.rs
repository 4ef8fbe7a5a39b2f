//! Steps of the matrix and what a cell may come to.

use std::fmt;

use crate::Fault;

/// What a cell came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every check passed.
    Held(String),
    /// A check failed.
    Red(String),
    /// The fault has nothing to do with the step.
    NotApplicable(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held(reason) => write!(f, "held {reason}"),
            Self::Red(reason) => write!(f, "red {reason}"),
            Self::NotApplicable(reason) => write!(f, "not-applicable {reason}"),
        }
    }
}

/// One step of the system, to which each fault happens in turn.
pub trait Column: Sync {
    /// Returns the name of the step, without spaces.
    fn step(&self) -> String;

    /// Lets faults happen during the step; two faults make a pair.
    fn run(&self, faults: &[Fault]) -> Verdict;

    /// Returns the pairs of faults to be tried besides the single ones.
    fn pairs(&self) -> Vec<[Fault; 2]> {
        Vec::new()
    }
}
