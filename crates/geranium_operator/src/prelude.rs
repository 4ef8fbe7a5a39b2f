//! Commonly used types of this crate.

pub use crate::{
    ApplyAnswer, ApplyOutcome, ApplyRequest, InForceView, OperatorClient, OperatorError,
    RecordView, StatusView,
};
