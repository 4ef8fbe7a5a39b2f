//! The types that most users of this crate need.

pub use crate::{
    ApplyAnswer, ApplyOutcome, ApplyRequest, InForceView, OperatorClient, OperatorError,
    RecordView, StatusView,
};
