//! Calls that must not run twice, each protected by a claim in the store.

mod driver;
mod membership_directory;
mod service;
mod sweep;
mod writer;

pub use membership_directory::MembershipDirectory;
pub use service::{ClaimService, HolderDirectory, UpstreamCall};
pub use sweep::sweep_claims;
