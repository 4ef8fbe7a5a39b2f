//! Identifiers.
//!
//! Text identifiers share their storage, so that a clone costs one reference count.

mod number;
mod text;

pub use number::{FencingNumber, Incarnation, StoreRevision};
pub use text::{
    AccountId, FabricDomainId, FailureDomainId, GroupId, HostId, IdError, ModelId, RecordName,
    RequestId,
};
