//! Steps of the control half: groups, leaders, engines and the platform's store.
//!
//! A [`Rig`] holds one failure domain with fakes at its interfaces: a store, engines
//! and the links between them. Entry hosts run the real [`GroupController`] and
//! [`GroupGate`]. An [`Oracle`] compares what their gates say with what the
//! engines do, and every order and table with what the store has held.
//!
//! [`GroupController`]: geranium_core::group::GroupController
//! [`GroupGate`]: geranium_core::group::GroupGate

mod column;
mod engine;
mod entry;
mod fleet;
mod inject;
mod measure;
mod message;
mod mutation;
mod network;
mod oracle;
mod outage;
mod random;
mod rig;
mod scenario;
mod step;
mod store;
mod times;

pub use column::ControlColumn;
pub use engine::FakeEngine;
pub use entry::EntryHost;
pub use fleet::Fleet;
pub use measure::Measures;
pub use mutation::Mutation;
pub use oracle::{Oracle, Violation};
pub use outage::{OutageCost, OutageFault};
pub use rig::Rig;
pub use scenario::{Scenario, ScenarioResult};
pub use step::Step;
pub use times::RepairTimes;
