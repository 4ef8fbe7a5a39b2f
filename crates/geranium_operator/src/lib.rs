//! Types and HTTP client of the operator interface.
//!
//! The daemon serves these types as JSON under `/v1` on its operator listener.
//! `geraniumctl` calls it through [`OperatorClient`].

mod client;
mod operator_error;
mod record_view;
mod status_view;

pub mod prelude;

pub use client::OperatorClient;
pub use operator_error::OperatorError;
pub use record_view::{
    ApplyAnswer, ApplyOutcome, ApplyRequest, HistoryEntry, InForceView, LostRace, RecordPage,
    RecordView, ValidateAnswer,
};
pub use status_view::{
    AcceleratorView, Explanation, GroupView, HostView, MemberView, ModelView, StatusView, StoreView,
};
