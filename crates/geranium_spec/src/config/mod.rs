//! The spread of one record of the operators.
//!
//! Two operators change a record through different entry hosts. Answers of the
//! store get lost, writes arrive late, the store may be restored from an older
//! copy, entry hosts restart empty, and what each holds reaches the others in any
//! order. Plans, merges and the settling of lost answers are those of
//! [`geranium_core::record`].

mod model;
mod state;
mod steps;

pub use model::{ConfigBounds, ConfigModel};
pub use state::ConfigWorld;
pub use steps::ConfigAction;
