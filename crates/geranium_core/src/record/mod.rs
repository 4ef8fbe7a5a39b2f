//! Operator records, their validation and their spread.

mod spec;

pub use spec::{
    AccountShare, AccountSpec, DrainSpec, DrainTarget, ModelSpec, Placement, ServiceEndpoint,
    ServiceRoute, ServiceSpec,
};
