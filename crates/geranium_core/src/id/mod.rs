//! Identifiers.
//!
//! Text identifiers are reference counted, so that cloning them is cheap.

mod number;
mod text;

pub use number::{FencingNumber, Incarnation, StoreRevision};
pub use text::{
    AccountId, FabricDomainId, FailureDomainId, GroupId, HostId, IdError, ModelId, RecordName,
    RequestId,
};
