//! Enumeration of states and search for violations.

mod node;
mod report;
mod search;

pub use report::{CheckReport, PropertyReport, Verdict, Violation, WitnessReport};
pub use search::{check, find_violation};
