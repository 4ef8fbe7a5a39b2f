//! Calls that must not repeat: drives the claim of each call.

mod driver;
mod service;

pub use service::{ClaimService, HolderDirectory, UpstreamCall};
