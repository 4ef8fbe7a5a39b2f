//! Specification of the core protocols and its exhaustive check.
//!
//! Each protocol is a [`Model`]: states, the actions that lead from one to the
//! next, and properties that have to hold in every state. Where a decision is
//! made, the transition calls the aggregate of `geranium_core` that makes it in
//! the daemon, so that the specification can't drift from the code. The model
//! adds what the code doesn't decide: a store whose answers get lost, a network
//! that delays, processes that pause and end, and time.
//!
//! Each [`Mutation`] removes one guard; a check that still passes without a guard
//! would prove nothing.

pub mod check;
pub mod claims;
pub mod config;
mod fixture;
pub mod gate;
pub mod groups;
mod intern;
mod model;
mod mutation;
pub mod orders;
pub mod prelude;
pub mod suite;

pub use intern::Interner;
pub use model::{Model, Property, Witness};
pub use mutation::{Mutation, Protocol, UnknownMutation};
