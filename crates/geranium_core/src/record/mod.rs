//! Operator records, their validation and their replication.
//!
//! An operator submits a [`Document`]. An accepted document is stored as a
//! [`StoredRecord`] value in the platform's store. Each host keeps the records in
//! a [`RecordSet`], whose typed views the other modules read.

mod account_key;
mod apply;
mod check;
mod diff;
mod digest;
mod document;
mod error;
mod field_violation;
mod fields;
mod json;
mod key;
mod kind;
mod read;
pub mod replication;
mod set;
mod spec;
mod stored;
mod upgrade;
mod version;
mod view;

pub use account_key::hash_key;
pub use apply::{ApplyError, ApplyOutcome, ApplyPlan, ApplyRequest, CurrentRecord, Expectation};
pub use check::{Finding, KnownTopology, Severity, check_change};
pub use diff::{FieldChange, diff};
pub use digest::ConfigDigest;
pub use document::{Document, MAX_DOCUMENT_LEN};
pub use error::RecordError;
pub use field_violation::{FieldViolation, FieldViolations};
pub use key::{RECORD_PREFIX, RecordKey};
pub use kind::RecordKind;
pub use set::{MergeOutcome, RecordEntry, RecordIndex, RecordSet};
pub use spec::{
    AccountShare, AccountSpec, DrainSpec, DrainTarget, ModelSpec, Placement, RecordSpec,
    ServiceEndpoint, ServiceRoute, ServiceSpec,
};
pub use stored::{Generation, MAX_HISTORY_LEN, RecordChange, RecordRank, StoredRecord, WriterId};
pub use version::SchemaVersion;
pub use view::DrainView;
