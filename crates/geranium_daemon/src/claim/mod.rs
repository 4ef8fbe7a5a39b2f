//! Calls that must not repeat: drives the claim of each call.

mod driver;
mod membership_directory;
mod service;
mod sweep;
mod writer;

pub use membership_directory::MembershipDirectory;
pub use service::{ClaimService, HolderDirectory, UpstreamCall};
pub use sweep::sweep_claims;
