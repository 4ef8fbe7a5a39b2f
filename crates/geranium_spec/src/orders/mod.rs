//! Groups formed by orders that nobody checks a fencing number of.
//!
//! Two managers act at the same time, each on what it last saw of the hosts, which
//! may be old for as long as it likes: one of them may be cut off from the store.
//! An entry may take effect late and a report may lag: both may show a former state of a
//! host, to any manager and any number of times.
//! Orders are carried out at any later time, after newer ones too, or never; answers
//! get lost; hosts start anew under the same id. An order ends with the process that
//! took its connection.
//!
//! The conditions are those of the planner, in
//! [`geranium_fleet::planner::guard`], and managers know hosts by the rules of
//! [`geranium_fleet::known_group::KnownGroup`]. Which hosts make up a group, when a group is
//! given up and whom a manager suspects is left open: every choice is tried.

mod action;
mod bounds;
mod model;
mod seen;
mod state;
mod steps;

pub use action::CountedAction;
pub use bounds::CountedBounds;
pub use model::CountedModel;
pub use state::CountedWorld;
