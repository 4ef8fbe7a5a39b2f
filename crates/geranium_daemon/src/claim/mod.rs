//! Calls that must not repeat: drives the claim of each call.

mod driver;
mod holders;
mod sender;
mod service;
mod sweep;

pub use holders::Holders;
pub use service::{ClaimService, HolderDirectory, UpstreamCall};
pub use sweep::sweep_claims;
