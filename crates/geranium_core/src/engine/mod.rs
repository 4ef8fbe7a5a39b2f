//! Reports of model engines, and the orders that they accept.
//!
//! These types are the message bodies of the engines' public order and report
//! interface and of the platform's host list.

mod host;
mod order;
mod report;

pub use host::{HostEntry, HostState};
pub use order::{LoadOrder, Member, Order, OrderAction};
pub use report::{Assignment, EnginePhase, EngineReport};
