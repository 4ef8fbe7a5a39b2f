//! The types that most users of this crate need.

pub use crate::check::{CheckReport, Verdict, Violation, check, find_violation};
pub use crate::suite::{Level, check_all, check_mutation};
pub use crate::{Model, Mutation, Property, Protocol, Witness};
