//! What model engines report and which orders they accept.
//!
//! These types are the bodies of the engines' published order and report
//! interface, and of the platform's list of hosts.

mod host;
mod order;
mod report;

pub use host::{HostEntry, HostState};
pub use order::{LoadOrder, Member, Order, OrderAction};
pub use report::{Assignment, EnginePhase, EngineReport};
