//! The types that most users of this crate need.

pub use crate::{Cell, Column, Fault, Matrix, Totals, Verdict};
