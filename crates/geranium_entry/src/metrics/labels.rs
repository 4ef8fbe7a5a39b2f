//! Labels of metrics, all of low cardinality.

use prometheus_client::encoding::EncodeLabelSet;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Kind of the route.
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// Cause, kind or outcome that is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    /// Name of the cause, kind or outcome.
    pub(crate) cause: &'static str,
}

/// Decision about a request for a model and the priority of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AdmissionLabels {
    /// `in_time`, `late` or `refused`.
    pub(crate) decision: &'static str,
    /// Priority; 0 is the highest.
    pub(crate) priority: u32,
}

/// A configured service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    pub(crate) service: String,
}

/// A configured model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ModelLabel {
    pub(crate) model: String,
}

/// Model and state of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GroupLabels {
    pub(crate) model: String,
    /// State reported by the head host.
    pub(crate) state: &'static str,
}
