//! Replica groups: formation, membership, fencing numbers and repair.
//!
//! [`GroupTable`] is the aggregate that the platform's store keeps for each
//! failure domain. [`GroupController`] is the leader's state machine, which
//! changes the table and derives orders from it. [`GroupGate`] runs on every entry
//! host and decides from the table and the engine reports which groups accept
//! requests.

mod config;
mod controller;
mod delegation;
mod demand;
mod dispatch;
mod domain_view;
mod effect;
mod error;
mod gate;
mod member_fault;
mod missed_reports;
mod outage;
mod placement;
mod planner;
mod progress;
mod replica_group;
mod reports;
mod serving;
mod table;

pub use config::GroupConfig;
pub use controller::GroupController;
pub use delegation::Delegation;
pub use demand::{Demand, Drains};
pub use domain_view::DomainView;
pub use effect::{GroupEffect, GroupInput, OrderOutcome, WriteOutcome};
pub use error::GroupError;
pub use gate::GroupGate;
pub use member_fault::MemberFault;
pub use outage::{DelegatedSpares, NoDelegation, OutagePolicy};
pub use replica_group::{GroupState, ReplicaGroup};
pub use reports::{LatestReports, Observation};
pub use serving::{ServingGroup, Temperature};
pub use table::{GroupTable, TableVersion};
