//! The gate of a replica group on an entry host.
//!
//! A group of two hosts serves; then its table replaces one of them. Engines end,
//! restart and follow old and new orders in any order; their reports arrive late,
//! out of order or never; the entry host learns of the new table late or never,
//! and it may pause before it looks at its gate. The decision is that of the real
//! [`GroupGate`](geranium_core::group::GroupGate).

mod model;
mod state;
mod steps;

pub use model::{GateBounds, GateModel};
pub use state::GateWorld;
pub use steps::GateAction;
