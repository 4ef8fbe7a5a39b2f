//! The protocol of group tables: leaders, one store, engines.
//!
//! Any process may believe that it leads at any time, so leases lapse and
//! processes pause past them wherever that hurts most. Writes of the table get
//! lost before or after they take effect or arrive late, orders arrive late,
//! doubled or never, leaders suspect members without cause, and engines restart.
//! Every change of the table is one of the methods of
//! [`GroupTable`](geranium_core::group::GroupTable).

mod action;
mod bounds;
mod facts;
mod model;
mod state;
mod steps;

pub use action::GroupAction;
pub use bounds::{EngineKind, GroupBounds};
pub use model::GroupModel;
pub use state::GroupWorld;
